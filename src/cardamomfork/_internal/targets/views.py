"""A target as this instance sees it: its word plus what was sent since."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import targets
from cardamomfork._internal.targets import health as health_module

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers

MAX_SNAPSHOTS = 32
MAX_REPORT_AGE_S = 15.0


@attrs.define(eq=False)
class Snapshot:
    """What this instance had on a target from a time on.

    Attributes:
        at: Monotonic time.
        reserved: KV memory, in tokens.
        queued: Prompt tokens without a first token.
        running: Requests.
    """

    recorded_at: float
    reserved: int
    queued: int
    running: int


@attrs.define(eq=False)
class RequestLoad:
    """What a request, or a part of one, takes of a target.

    Attributes:
        tokens: Uncached prompt tokens.
        reserved: KV memory, in tokens.
        prefill_s: Predicted prefill time, in seconds.
        is_part: Whether other engines compute parts as well.
        starts_in_s: Time until the part starts, in seconds.
    """

    tokens: int
    reserved: int
    prefill_s: float
    is_part: bool = False
    starts_in_s: float = 0.0


@attrs.define(eq=False)
class TargetView:
    """One target and what this instance has on it.

    Attributes:
        target: The target as configured.
        health: Trust and weight.
        is_drained: Whether operators or the platform take it out of work.
        leaving_boot_id: The life of it that said it is leaving, or None.
        boot_id: The life of it that last reported, or None.
        models: What it said it can run; empty while unknown.
        reserved: KV memory promised to this instance's requests, in tokens.
        queued: Prompt tokens sent without a first token yet.
        prefills: Predicted prefill times of those, in seconds, by request.
        running: Requests on it.
        busy_until: When its prefills are expected to be over.
        throttled_until: When a target that lost weight is due again.
        claims: Times at which parts of long prompts will need it.
    """

    target: targets.Target
    health: health_module.Health = attrs.field(factory=health_module.Health)
    is_drained: bool = False
    leaving_boot_id: identifiers.BootId | None = None
    boot_id: identifiers.BootId | None = None
    models: tuple[str, ...] = ()
    reserved: int = 0
    queued: int = 0
    running: int = 0
    busy_until: float = 0.0
    throttled_until: float = 0.0
    last_first_token_at: float = 0.0
    prefills: dict[identifiers.RequestId, float] = attrs.field(factory=dict)
    part_windows: dict[identifiers.RequestId, tuple[float, float]] = (
        attrs.field(factory=dict)
    )
    _peer_reserved: int = 0
    _peer_queued: int = 0
    _peer_running: int = 0
    _reported_at: float = -1e9
    # A deque only once there is something in it: an empty one takes 0.7 KB,
    # and most of a fleet's targets are never sent to from here.
    _history: collections.deque[Snapshot] | None = None

    @property
    def target_id(self) -> identifiers.TargetId:
        """The target's id."""
        return self.target.target_id

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new work."""
        if self.is_drained:
            return True
        boot_id = self.leaving_boot_id
        return boot_id is not None and boot_id == self.boot_id

    @property
    def is_plain(self) -> bool:
        """Whether it is a plain service."""
        return self.target.kind is targets.TargetKind.PLAIN

    @property
    def batch(self) -> int:
        """Sequences that it runs, those of other instances included."""
        return self.running + self._peer_running

    @property
    def free_tokens(self) -> int:
        """KV memory that can be promised, in tokens."""
        reserved = self.reserved + self._peer_reserved
        return self.target.memory_tokens - reserved

    def can_run(self, model: str) -> bool:
        """Returns whether it can run a model, as far as is known."""
        return not self.models or not model or model in self.models

    def observe(self, report: targets.LoadReport, now: float) -> bool:
        """Takes a load report; True if what it may be given changed."""
        if report.measured_at < self._reported_at:
            return False
        was_leaving = self.is_leaving
        self.boot_id = report.boot_id
        if report.leaving:
            self.leaving_boot_id = report.boot_id
        changed = was_leaving != self.is_leaving
        if now - report.measured_at > MAX_REPORT_AGE_S:
            return changed
        local = self._local_load_at(report.measured_at)
        used = self.target.memory_tokens - report.free_tokens
        self._peer_reserved = max(used - local.reserved, 0)
        self._peer_queued = max(report.queued_tokens - local.queued, 0)
        self._peer_running = max(report.running - local.running, 0)
        self._reported_at = report.measured_at
        changed = changed or report.models != self.models
        self.models = report.models
        return changed

    def peer_prefills_end_at(self, s_per_token: float) -> float:
        """Returns when other instances' prompts are through, by the report."""
        return self._reported_at + self._peer_queued * s_per_token

    def is_free(self, now: float, s_per_token: float) -> bool:
        """Returns whether it may get a request now."""
        if self.is_leaving or now < self.health.probe_at:
            return False
        if self.health.is_probed and self.running > 0:
            return False
        if self.running >= self.target.max_batch:
            return False
        if self.is_plain:
            return True
        if self.prefills:
            return False
        if self.part_windows and self.has_part_between(now, now):
            return False
        return self.peer_prefills_end_at(s_per_token) <= now

    def free_at(self, now: float, s_per_token: float) -> float | None:
        """Returns when it is expected to be free; None if not foreseeable."""
        if self.is_leaving or self.health.is_probed:
            return None
        if self.prefills and self.busy_until <= now:
            return None
        return max(
            now,
            self.busy_until,
            self.health.probe_at,
            self.current_part_ends_at(now),
            self.peer_prefills_end_at(s_per_token),
        )

    def has_part_between(self, start: float, end: float) -> bool:
        """Returns whether a part of a long prompt needs it in a time."""
        return any(
            starts_at <= end and start < ends_at
            for starts_at, ends_at in self.part_windows.values()
        )

    def current_part_ends_at(self, now: float) -> float:
        """Returns when the part that needs it now is expected to be over."""
        end_times = [
            ends_at
            for starts_at, ends_at in self.part_windows.values()
            if starts_at <= now < ends_at
        ]
        return max(end_times, default=now)

    def start(
        self,
        request_id: identifiers.RequestId,
        request_load: RequestLoad,
        now: float,
    ) -> None:
        """Notes a request, or a part of one, that goes to it."""
        exceptions.check_invariant(
            not self.is_leaving,
            "a leaving target gets no work",
            self.target_id,
        )
        exceptions.check_invariant(
            self.is_plain or request_load.reserved <= self.free_tokens,
            "memory is not promised twice",
            self.target_id,
        )
        self.running += 1
        self.reserved += request_load.reserved
        self.queued += request_load.tokens
        if request_load.is_part:
            start = now + request_load.starts_in_s
            self.part_windows[request_id] = (
                start,
                start + request_load.prefill_s,
            )
        else:
            self._start_prefill(request_id, request_load.prefill_s, now)
        self._record_snapshot(now)

    def end_prefill(
        self,
        request_id: identifiers.RequestId,
        request_load: RequestLoad,
        now: float,
    ) -> None:
        """Notes that a request's prompt is computed."""
        self.queued -= request_load.tokens
        self.part_windows.pop(request_id, None)
        if self.prefills.pop(request_id, None) is not None:
            self.busy_until = now + sum(self.prefills.values())
            self.last_first_token_at = now
        self._record_snapshot(now)

    def end(self, reserved: int, now: float) -> None:
        """Notes that a request left it."""
        self.running -= 1
        self.reserved -= reserved
        exceptions.check_invariant(
            self.running >= 0 and self.reserved >= 0 and self.queued >= 0,
            "a target's counts are not negative",
            self.target_id,
        )
        self._record_snapshot(now)

    def _start_prefill(
        self, request_id: identifiers.RequestId, prefill_s: float, now: float
    ) -> None:
        """Notes a prefill, and the rest that a lower weight asks for."""
        self.prefills[request_id] = prefill_s
        self.busy_until = max(self.busy_until, now) + prefill_s
        throttle_s = prefill_s * (1.0 / self.health.weight - 1.0)
        self.throttled_until = self.busy_until + throttle_s

    def _record_snapshot(self, now: float) -> None:
        """Keeps what this instance has on the target from now on."""
        if self._history is None:
            self._history = collections.deque(maxlen=MAX_SNAPSHOTS)
        self._history.append(
            Snapshot(now, self.reserved, self.queued, self.running)
        )

    def _local_load_at(self, at: float) -> Snapshot:
        """Returns what this instance had on the target at a time."""
        history = self._history
        if history is None:
            return Snapshot(at, 0, 0, 0)
        for snapshot in reversed(history):
            if snapshot.recorded_at <= at:
                return snapshot
        if len(history) == MAX_SNAPSHOTS:
            return history[0]
        return Snapshot(at, 0, 0, 0)
