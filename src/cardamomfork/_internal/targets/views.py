"""Load and health of a target, as known to this instance.

A view combines the target's latest load report with the requests that this
instance has sent to it since then.
"""

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
    """Load that this instance has put on a target since a point in time.

    Attributes:
        recorded_at: Monotonic time in seconds from which the values hold.
        reserved: Reserved KV cache, in tokens.
        queued: Prompt tokens of requests without a first token.
        running: Number of requests.
    """

    recorded_at: float
    reserved: int
    queued: int
    running: int


@attrs.define(eq=False)
class RequestLoad:
    """Load that a request, or a part of its prompt, puts on a target.

    Attributes:
        tokens: Uncached prompt tokens.
        reserved: Reserved KV cache, in tokens.
        prefill_s: Predicted prefill time, in seconds.
        is_part: Whether other engines prefill parts of the same prompt.
        starts_in_s: Time until the prefill of the part starts, in seconds.
    """

    tokens: int
    reserved: int
    prefill_s: float
    is_part: bool = False
    starts_in_s: float = 0.0


@attrs.define(eq=False)
class TargetView:
    """State of a target and the load that this instance puts on it.

    Times are monotonic, in seconds.

    Attributes:
        target: Configuration of the target.
        health: Trust and weight of the target.
        is_drained: Whether operators or the platform have drained the target.
        leaving_boot_id: Boot id under which the target reported that it is
            leaving, or None.
        boot_id: Boot id of the latest load report, or None.
        models: Models that the target reported; empty if not known.
        reserved: KV cache reserved for this instance's requests, in tokens.
        queued: Prompt tokens of this instance's requests that have no first
            token yet.
        running: Number of this instance's requests on the target.
        busy_until: Time at which the prefills are expected to end.
        throttled_until: Time until which a target of reduced weight should
            not be preferred for new requests.
        last_first_token_at: Time at which a prefill last ended.
        prefills: Predicted prefill times in seconds by request.
        part_windows: Start and end of the expected prefill of each part of a
            long prompt, by request.
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
    # Created on first use: an empty deque takes 0.7 KB, and this instance
    # sends no requests to most of the fleet's targets.
    _history: collections.deque[Snapshot] | None = None

    @property
    def target_id(self) -> identifiers.TargetId:
        """Id of the target."""
        return self.target.target_id

    @property
    def is_leaving(self) -> bool:
        """Whether the target accepts no new requests."""
        if self.is_drained:
            return True
        boot_id = self.leaving_boot_id
        return boot_id is not None and boot_id == self.boot_id

    @property
    def is_plain(self) -> bool:
        """Whether the target is a plain service."""
        return self.target.kind is targets.TargetKind.PLAIN

    @property
    def batch(self) -> int:
        """Number of running sequences, including those of other instances."""
        return self.running + self._peer_running

    @property
    def free_tokens(self) -> int:
        """KV cache that is not reserved, in tokens."""
        reserved = self.reserved + self._peer_reserved
        return self.target.memory_tokens - reserved

    def can_run(self, model: str) -> bool:
        """Returns whether the target can run a model, as far as is known."""
        return not self.models or not model or model in self.models

    def observe(self, report: targets.LoadReport, now: float) -> bool:
        """Updates the view from a load report.

        Returns:
            Whether the set of requests that the target accepts changed.
        """
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
        """Returns when other instances' queued prefills end, by the report."""
        return self._reported_at + self._peer_queued * s_per_token

    def is_free(self, now: float, s_per_token: float) -> bool:
        """Returns whether the target can be sent a request now."""
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
        """Returns when the target is expected to be free; None if unknown."""
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
        """Returns whether a part of a long prompt is due in a time interval."""
        return any(
            starts_at <= end and start < ends_at
            for starts_at, ends_at in self.part_windows.values()
        )

    def current_part_ends_at(self, now: float) -> float:
        """Returns when the part that is due now is expected to end."""
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
        """Records that a request, or a part of its prompt, is sent."""
        exceptions.check_invariant(
            not self.is_leaving,
            "a leaving target gets no new requests",
            self.target_id,
        )
        exceptions.check_invariant(
            self.is_plain or request_load.reserved <= self.free_tokens,
            "KV cache is not reserved twice",
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
        """Records that the prefill of a request has ended."""
        self.queued -= request_load.tokens
        self.part_windows.pop(request_id, None)
        if self.prefills.pop(request_id, None) is not None:
            self.busy_until = now + sum(self.prefills.values())
            self.last_first_token_at = now
        self._record_snapshot(now)

    def end(self, reserved: int, now: float) -> None:
        """Records that a request has ended."""
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
        """Records a prefill and the throttling due to a reduced weight."""
        self.prefills[request_id] = prefill_s
        self.busy_until = max(self.busy_until, now) + prefill_s
        throttle_s = prefill_s * (1.0 / self.health.weight - 1.0)
        self.throttled_until = self.busy_until + throttle_s

    def _record_snapshot(self, now: float) -> None:
        """Appends the current load to the history."""
        if self._history is None:
            self._history = collections.deque(maxlen=MAX_SNAPSHOTS)
        self._history.append(
            Snapshot(now, self.reserved, self.queued, self.running)
        )

    def _local_load_at(self, at: float) -> Snapshot:
        """Returns the load that this instance put on the target at a time."""
        history = self._history
        if history is None:
            return Snapshot(at, 0, 0, 0)
        for snapshot in reversed(history):
            if snapshot.recorded_at <= at:
                return snapshot
        if len(history) == MAX_SNAPSHOTS:
            return history[0]
        return Snapshot(at, 0, 0, 0)
