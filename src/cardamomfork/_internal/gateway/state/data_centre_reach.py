"""Decides which data centres this instance reaches during a partition.

Addresses the load of a fleet of many instances in which one data centre is cut
off from the others for some seconds while its callers still reach it: 69
instances in three data centres, with long prompts that several engines read
together. Without this decision each request finds out for itself, target after
target, that a whole data centre is out of reach.

Evidence is whatever arrives anyway: digests of the instances there, connections
to targets there that open or fail, and refusals of targets that could not reach
a helper. Only a doubt leads to a probe, which is a single connection.

An idle instance sends a digest a second, of which a packet loss of 3 % between
data centres takes some. `allowed_silence_s` is the least silence that such a
loss causes less than once in 10^6 s, see `silence_rate_per_s`. Rates of longer
silences, with 3 % loss:

    live instances       4          12          25
    allowed silence      1.35 s     0.80 s      0.60 s
    silences per second  9.3e-7     8.5e-7      2.0e-8

Instances with requests send more digests, so that these rates are upper bounds.
"""

from __future__ import annotations

from collections import OrderedDict
import enum
import functools
import math
from typing import Any
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cardamomfork._internal import bounded_tables

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_INTERVAL_S = 0.05
"""Interval of `tick`."""
MAX_TICK_GAP_S = 0.2
"""A longer time between two ticks is a pause of the process or its event loop.
What was not received in it shows nothing."""
HEARTBEAT_S = 1.0
"""Longest time between two digests of an idle instance in a large fleet."""
PACKET_LOSS = 0.03
"""Loss between data centres that must not lead to a suspicion."""
MAX_SILENCE_RATE_PER_S = 1e-6
MIN_ALLOWED_SILENCE_S = 0.6
"""With one tick and the way of a digest less than the 0.7 s after which nothing
may be sent to a data centre that is cut off."""
SILENCE_STEP_S = 0.05
LIVE_S = 2.2
"""Time since its last digest in which an instance counts as live. Covers two
heartbeats."""
GONE_S = 4.0
"""Time without a digest after which a data centre whose targets are reached
counts as one without live instances."""
FORGET_S = 90.0
"""Time without a digest after which one without targets is dropped."""
FAILURE_WINDOW_S = 1.0
MIN_FAILED_TARGETS = 2
"""A single target may have ended."""
TIMEOUT_SILENCE_FRACTION = 2 / 3
"""Part of the allowed silence that must have passed for time-outs to count.
When any silence sufficed, 69 idle instances suspected data centres twice in
300 s with a packet loss of 3 %."""
CONFIRM_DELAY_S = 0.05
"""Time without a digest after a failed connection until another target of the
data centre is probed."""
MAX_ATTEMPT_S = 0.5
"""Failures in this time after a pause may be of connections from before it."""
SILENCE_HOLD_S = 2.0
"""Time without suspicions of silence after a connection has ended one."""
PROBE_INTERVAL_S = 1.0
PROBE_LIMIT_S = 0.4
PAIR_APART_S = 1.0
"""Time for which helpers of two data centres are kept apart after a refusal."""
MAX_DATA_CENTRES = 64
MAX_INSTANCES = 1024
"""Bound of the instances that are counted per data centre."""
MAX_FAILED_TARGETS = 16
"""Bound of the failed targets that are remembered per data centre."""


class Reach(enum.Enum):
    """Whether this instance reaches a data centre."""

    REACHABLE = "reachable"
    SUSPECTED = "suspected"
    UNREACHABLE = "unreachable"


_MESSAGES = {
    Reach.REACHABLE: "data centre reachable",
    Reach.SUSPECTED: "data centre suspected",
    Reach.UNREACHABLE: "data centre unreachable",
}


def silence_rate_per_s(instances: int, silence_s: float) -> float:
    """Returns how often idle instances seem silent because of lost packets.

    A silence begins after a digest, of which there is one per instance and
    heartbeat. Each other instance sends at a random time of the heartbeat.

    Args:
        instances: Number of live instances.
        silence_s: Length of the silence, in seconds.
    """
    whole, part = divmod(silence_s / HEARTBEAT_S, 1.0)
    same = PACKET_LOSS**whole
    other = same * (1.0 - part * (1.0 - PACKET_LOSS))
    return float(instances / HEARTBEAT_S * same * other ** (instances - 1))


@functools.cache
def allowed_silence_s(instances: int) -> float:
    """Returns the silence of a data centre that raises no suspicion.

    Args:
        instances: Number of its live instances, at least 1.
    """
    steps = round(MIN_ALLOWED_SILENCE_S / SILENCE_STEP_S)
    while (
        silence_rate_per_s(instances, steps * SILENCE_STEP_S)
        > MAX_SILENCE_RATE_PER_S
    ):
        steps += 1
    return steps * SILENCE_STEP_S


@attrs.define
class _DataCentre:
    """Evidence about one data centre.

    Attributes:
        changed_at: Time of the last change of `reach`.
        reach: Whether it is reached.
        heard_at: Time of the last digest of one of its instances.
        live: Times of the last digests of its instances, oldest first.
        allowed_silence_s: Silence that raises no suspicion; infinite if it has
            no live instances.
        silent_at: Time at which silence raises a suspicion.
        hold_until: Time until which silence raises none.
        failures: Last failures by target, oldest first: when, and whether the
            connection timed out.
        probe_at: Time of the next probe, or None.
        probed_at: Time of the start of the last probe.
    """

    changed_at: float
    reach: Reach = Reach.REACHABLE
    heard_at: float = -math.inf
    live: OrderedDict[str, float] = attrs.field(factory=OrderedDict)
    allowed_silence_s: float = math.inf
    silent_at: float = math.inf
    hold_until: float = -math.inf
    failures: OrderedDict[str, tuple[float, bool]] = attrs.field(
        factory=OrderedDict
    )
    probe_at: float | None = None
    probed_at: float = -math.inf

    def count_live(self, now: float) -> int:
        """Drops instances that are no longer live; returns how many are."""
        while self.live and next(iter(self.live.values())) < now - LIVE_S:
            self.live.popitem(last=False)
        return len(self.live)

    def drop_failures(self, now: float) -> None:
        """Drops failures that are too old to count."""
        while (
            self.failures
            and next(iter(self.failures.values()))[0] < now - FAILURE_WINDOW_S
        ):
            self.failures.popitem(last=False)

    def is_failing(self, now: float) -> bool:
        """Returns whether failed connections raise a suspicion."""
        self.drop_failures(now)
        refused = sum(
            not is_timeout for _, is_timeout in self.failures.values()
        )
        if refused >= MIN_FAILED_TARGETS:
            return True
        # Lost packets cause time-outs too, so these need some silence.
        return len(self.failures) >= MIN_FAILED_TARGETS and (
            math.isinf(self.allowed_silence_s)
            or now - self.heard_at
            >= TIMEOUT_SILENCE_FRACTION * self.allowed_silence_s
        )

    def is_silent(self, now: float) -> bool:
        """Returns whether silence raises a suspicion."""
        return self.reach is Reach.REACHABLE and now >= max(
            self.silent_at, self.hold_until
        )


class DataCentreReach:
    """Decides which data centres get no new requests and no helpers.

    The decision is in force from a number of instances on; before, no evidence
    is kept. It is taken anew after a pause of the process.
    """

    def __init__(
        self,
        data_centre: str,
        min_instances: int,
        on_change: Callable[[str, Reach], None] = lambda _, __: None,
    ) -> None:
        """Initializes the decision without evidence.

        Args:
            data_centre: Data centre of this instance.
            min_instances: Number of instances from which on it is in force.
            on_change: Called with a data centre that is excluded from now on,
                or no longer, and whether it was reached before.
        """
        self._data_centre = data_centre
        self._min_instances = min_instances
        self._on_change = on_change
        self._is_active = False
        self._ticked_at = 0.0
        self._collecting_since = 0.0
        self._data_centres: OrderedDict[str, _DataCentre] = OrderedDict()
        self._apart_until: OrderedDict[frozenset[str], float] = OrderedDict()

    @property
    def is_active(self) -> bool:
        """Whether the decision is in force."""
        return self._is_active

    def unreachable(self, now: float) -> frozenset[str]:
        """Returns the data centres that get no new requests and no helpers."""
        # Silence counts between two ticks, but not if the ticks have stopped.
        is_ticking = now - self._ticked_at <= MAX_TICK_GAP_S
        return frozenset(
            name
            for name, known in self._data_centres.items()
            if known.reach is not Reach.REACHABLE
            or (is_ticking and known.is_silent(now))
        )

    def is_excluded(self, data_centre: str, now: float) -> bool:
        """Returns whether a data centre gets no new requests and no helpers."""
        return data_centre in self.unreachable(now)

    def pairs_apart(self, now: float) -> dict[frozenset[str], float]:
        """Returns pairs of data centres that share no prompt.

        Returns:
            The time left by pair, in seconds.
        """
        return {
            pair: until - now
            for pair, until in self._apart_until.items()
            if now < until
        }

    def tick(self, now: float, instances: int, known_instances: int) -> None:
        """Applies the passing of time; to be called each `TICK_INTERVAL_S`.

        Args:
            now: Monotonic time.
            instances: Number of instances that are heard.
            known_instances: The same with those that have fallen silent, which
                may be behind a partition.
        """
        if not self._is_active:
            if instances >= self._min_instances:
                self._is_active = True
                self._ticked_at = self._collecting_since = now
            return
        if known_instances < self._min_instances:
            self._deactivate()
            return
        self._restart_after_pause(now)
        self._ticked_at = now
        for name, known in list(self._data_centres.items()):
            if known.is_silent(now):
                self._set_reach(name, known, Reach.SUSPECTED, now, "silent")

    def record_digest(
        self, data_centre: str, instance_id: str, now: float, *, leaves: bool
    ) -> None:
        """Records a digest, directly from its sender or over a relay.

        Args:
            data_centre: Data centre of its sender.
            instance_id: Its sender.
            now: Monotonic time.
            leaves: Whether its sender is about to stop.
        """
        known = self._find(data_centre, now)
        if known is None:
            return
        known.heard_at = now
        known.live.pop(instance_id, None)
        if not leaves:
            bounded_tables.put_newest(
                known.live, instance_id, now, MAX_INSTANCES
            )
        live = known.count_live(now)
        known.allowed_silence_s = allowed_silence_s(live) if live else math.inf
        known.silent_at = now + known.allowed_silence_s
        self._confirm_reachable(data_centre, known, now, "digest")

    def record_connected(self, data_centre: str, now: float) -> None:
        """Records that a connection to a target was opened."""
        known = self._find(data_centre, now)
        if known is None:
            return
        if known.heard_at < now - GONE_S:
            # Its instances have ended, or their datagrams don't arrive.
            known.allowed_silence_s = math.inf
            known.silent_at = math.inf
        elif known.reach is not Reach.REACHABLE:
            known.hold_until = now + SILENCE_HOLD_S
        known.silent_at = max(known.silent_at, now + known.allowed_silence_s)
        self._confirm_reachable(data_centre, known, now, "connected")

    def record_failure(
        self,
        data_centre: str,
        target_id: str,
        now: float,
        *,
        is_timeout: bool = False,
    ) -> None:
        """Records that a connection to a target failed or takes long.

        Args:
            data_centre: Data centre of the target.
            target_id: The target.
            now: Monotonic time.
            is_timeout: Whether nothing was heard of the target, as after the
                loss of a packet.
        """
        known = self._find(data_centre, now)
        if known is None or now < self._collecting_since + MAX_ATTEMPT_S:
            return
        bounded_tables.put_newest(
            known.failures, target_id, (now, is_timeout), MAX_FAILED_TARGETS
        )
        if known.reach is not Reach.REACHABLE:
            return
        if known.is_failing(now):
            self._set_reach(
                data_centre, known, Reach.SUSPECTED, now, "connections failed"
            )
        elif known.probe_at is None and not is_timeout:
            known.probe_at = max(
                now + CONFIRM_DELAY_S, known.probed_at + PROBE_INTERVAL_S
            )

    def record_helper_refusal(
        self, primary: str, helper: str, helper_id: str, now: float
    ) -> None:
        """Records that a target could not reach a helper.

        Args:
            primary: Data centre of the target.
            helper: Data centre of the helper.
            helper_id: The helper.
            now: Monotonic time.
        """
        if not self._is_active or primary == helper:
            return
        bounded_tables.put_newest(
            self._apart_until,
            frozenset((primary, helper)),
            now + PAIR_APART_S,
            MAX_DATA_CENTRES,
        )
        if primary == self._data_centre:
            self.record_failure(helper, helper_id, now)

    def next_probe(self, now: float) -> str | None:
        """Returns the data centre to probe now, or None."""
        due = [
            (known.probe_at, name)
            for name, known in self._data_centres.items()
            if known.probe_at is not None and known.probe_at <= now
        ]
        return min(due)[1] if due else None

    def failed_targets(self, data_centre: str, now: float) -> frozenset[str]:
        """Returns the targets of a data centre that failed lately."""
        known = self._data_centres.get(data_centre)
        if known is None:
            return frozenset()
        known.drop_failures(now)
        return frozenset(known.failures)

    def start_probe(self, data_centre: str, now: float) -> None:
        """Records the start of a probe."""
        known = self._data_centres.get(data_centre)
        if known is not None:
            known.probe_at = None
            known.probed_at = now

    def abandon_probe(self, data_centre: str, now: float) -> None:
        """Schedules another probe after one that ended without a result."""
        known = self._data_centres.get(data_centre)
        if known is not None and known.reach is not Reach.REACHABLE:
            known.probe_at = now + PROBE_INTERVAL_S

    def end_probe(
        self,
        data_centre: str,
        started_at: float,
        now: float,
        *,
        is_open: bool,
        has_target: bool = True,
    ) -> None:
        """Records the result of a probe.

        Args:
            data_centre: The data centre.
            started_at: Time of the start of the probe.
            now: Monotonic time.
            is_open: Whether a connection was opened.
            has_target: Whether there was a target to probe.
        """
        if is_open:
            self.record_connected(data_centre, now)
            return
        known = self._find(data_centre, now)
        if known is None:
            return
        if started_at < self._collecting_since:
            # The probe was interrupted by a pause and shows nothing.
            if known.reach is Reach.UNREACHABLE:
                known.probe_at = now
            return
        if known.reach is Reach.REACHABLE:
            # The failed connection has been recorded as such.
            return
        if not has_target and known.heard_at < now - FORGET_S:
            del self._data_centres[data_centre]
            self._on_change(data_centre, known.reach)
            return
        if started_at < known.changed_at:
            # The doubt came up after the probe had started.
            known.probe_at = now
            return
        known.probe_at = now + PROBE_INTERVAL_S
        if known.reach is Reach.SUSPECTED:
            self._set_reach(
                data_centre, known, Reach.UNREACHABLE, now, "probe failed"
            )

    def dump(self, now: float) -> list[dict[str, Any]]:
        """Returns what is known of each data centre, for the state dump."""
        return [
            {
                "data_centre": name,
                "reach": known.reach.value,
                "since_s": round(now - known.changed_at, 2),
                "silent_s": (
                    round(now - known.heard_at, 2)
                    if math.isfinite(known.heard_at)
                    else None
                ),
                "instances": known.count_live(now),
                "failed_targets": sorted(self.failed_targets(name, now)),
            }
            for name, known in self._data_centres.items()
        ]

    def _find(self, data_centre: str, now: float) -> _DataCentre | None:
        """Returns the record of another data centre if it is kept.

        Without a free place the data centre with the oldest evidence is
        dropped.
        """
        if not self._is_active or data_centre == self._data_centre:
            return None
        self._restart_after_pause(now)
        known = self._data_centres.pop(data_centre, None)
        if known is None:
            known = _DataCentre(now)
            if len(self._data_centres) >= MAX_DATA_CENTRES:
                name, dropped = self._data_centres.popitem(last=False)
                self._on_change(name, dropped.reach)
        self._data_centres[data_centre] = known
        return known

    def _restart_after_pause(self, now: float) -> None:
        """Collects evidence anew if the process was paused."""
        if now - self._ticked_at <= MAX_TICK_GAP_S:
            return
        self._ticked_at = self._collecting_since = now
        for name, known in list(self._data_centres.items()):
            known.failures.clear()
            known.silent_at = now + known.allowed_silence_s
            known.probe_at = None
            if known.reach is Reach.SUSPECTED:
                self._set_reach(name, known, Reach.REACHABLE, now, "paused")
            elif known.reach is Reach.UNREACHABLE:
                known.probe_at = now

    def _confirm_reachable(
        self, name: str, known: _DataCentre, now: float, reason: str
    ) -> None:
        """Ends all doubts about a data centre."""
        known.failures.clear()
        known.probe_at = None
        if known.reach is not Reach.REACHABLE:
            self._set_reach(name, known, Reach.REACHABLE, now, reason)

    def _set_reach(
        self,
        name: str,
        known: _DataCentre,
        reach: Reach,
        now: float,
        reason: str,
    ) -> None:
        """Changes whether a data centre is reached."""
        before = known.reach
        logger.log(
            "INFO" if reach is Reach.REACHABLE else "WARNING",
            _MESSAGES[reach],
            data_centre=name,
            reason=reason,
            seconds=round(now - known.changed_at, 3),
            count=known.count_live(now),
        )
        known.reach = reach
        known.changed_at = now
        if reach is Reach.SUSPECTED:
            known.probe_at = now
        if Reach.REACHABLE in (before, reach):
            self._on_change(name, before)

    def _deactivate(self) -> None:
        """Drops all evidence, since the fleet has become small."""
        dropped = list(self._data_centres.items())
        self._is_active = False
        self._data_centres.clear()
        self._apart_until.clear()
        for name, known in dropped:
            self._on_change(name, known.reach)
