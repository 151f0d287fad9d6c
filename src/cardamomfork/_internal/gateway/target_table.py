"""What this instance believes of each target: its entry and its health."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import fleet

LOST_ENTRY_GRACE_S = 1.5
"""Time for which a target whose entry may have lapsed is kept. Entries are back
within about 2 s of the store's return, which is noticed a little later; a
target that has in truth left must get no work after 2 s."""
FAILURE_WEIGHT = 0.25
"""Weight of one attempt in the smoothed share of failures."""
FAILURE_HALF_LIFE_S = 6.0
"""Time in which an old failure counts half."""
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
MIN_FAILURES_TO_PAUSE = 2
"""Failures in a row after which a target gets no work for a while."""
SLOWDOWN_SAMPLE_COUNT = 3
"""Observations of which the smallest counts: a slow target is slow for all
requests, while a prompt read for another request delays only some."""
SLOWDOWN_HALF_LIFE_S = 5.0
"""Time in which slowness that nobody observes again counts half."""
MAX_SLOWDOWN = 20.0


class HealthSignal(enum.Enum):
    """What an attempt showed of a target's health."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


@attrs.define
class Target:
    """One target.

    Attributes:
        record: Its entry.
        entry_lost_at: When its entry went in an outage of the store, or None.
        failures: Smoothed share of attempts that failed, at `failure_rate_at`.
        failure_rate_at: Time of the last failure.
        consecutive_failures: Failures since the last success.
        paused_until: Time up to which it gets no work.
        ratios: Observed over predicted times, the newest last.
        slowdown_observed_at: Time of the last observation.
    """

    record: fleet.TargetRecord
    entry_lost_at: float | None = None
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    consecutive_failures: int = 0
    paused_until: float = 0.0
    slowdown_samples: tuple[float, ...] = ()
    slowdown_observed_at: float = 0.0

    def decayed_failure_rate(self, now: float) -> float:
        """Returns the share of attempts that fail, less for old failures."""
        age = max(now - self.failure_rate_at, 0.0)
        return float(self.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def slowdown(self, now: float) -> float:
        """Returns how many times longer than predicted its work takes."""
        if len(self.slowdown_samples) < SLOWDOWN_SAMPLE_COUNT:
            return 1.0
        age = max(now - self.slowdown_observed_at, 0.0)
        excess_slowdown = (min(self.slowdown_samples) - 1.0) * 0.5 ** (
            age / SLOWDOWN_HALF_LIFE_S
        )
        return float(1.0 + max(excess_slowdown, 0.0))

    def is_usable(self, now: float) -> bool:
        """Whether it may get new work."""
        return not self.record.is_leaving and now >= self.paused_until


class TargetTable:
    """All targets by id."""

    def __init__(self) -> None:
        """Starts without targets."""
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, dict[str, Target]] = {}

    def __len__(self) -> int:
        """Returns how many targets are known."""
        return len(self._targets)

    def find(self, target_id: str) -> Target | None:
        """Returns a target, or None if it is unknown."""
        return self._targets.get(target_id)

    def find_id(self, name: str) -> str | None:
        """Returns the id of the target with an id or `IP:PORT` address."""
        if name in self._targets:
            return name
        for target_id, target in self._targets.items():
            if f"{target.record.host}:{target.record.port}" == name:
                return target_id
        return None

    def list_all(self) -> list[Target]:
        """Returns all targets."""
        return list(self._targets.values())

    def list_service(self, service: str, now: float) -> list[Target]:
        """Returns a service's targets that may get new work."""
        targets = self._by_service.get(service, {}).values()
        return [target for target in targets if target.is_usable(now)]

    def put(self, record: fleet.TargetRecord) -> bool:
        """Takes an entry; returns whether it names another run of a target."""
        current = self._targets.get(record.target_id)
        is_new_process = current is None or _is_other_process(
            current.record, record
        )
        if current is not None and not is_new_process:
            current.entry_lost_at = None
            if record.is_leaving or not current.record.is_leaving:
                current.record = record
            return False
        self._drop(record.target_id)
        target = Target(record)
        self._targets[record.target_id] = target
        self._by_service.setdefault(record.service, {})[record.target_id] = (
            target
        )
        return True

    def remove(self, target_id: str, now: float, *, may_return: bool) -> None:
        """Takes the end of an entry.

        Args:
            target_id: The target.
            now: Monotonic time.
            may_return: Whether the entry may have lapsed in an outage of the
                store while its target runs on.
        """
        target = self._targets.get(target_id)
        if target is None:
            return
        if may_return and not target.record.is_leaving:
            if target.entry_lost_at is None:
                target.entry_lost_at = now
            return
        self._drop(target_id)

    def replace_all(
        self,
        records: Iterable[fleet.TargetRecord],
        now: float,
        *,
        may_return: bool,
    ) -> None:
        """Takes a full list; whatever it lacks has ended."""
        listed = set()
        for record in records:
            listed.add(record.target_id)
            self.put(record)
        for target_id in list(self._targets):
            if target_id not in listed:
                self.remove(target_id, now, may_return=may_return)

    def expire(self, now: float) -> list[str]:
        """Drops targets whose entries have not come back; returns their ids."""
        expired = [
            target_id
            for target_id, target in self._targets.items()
            if target.entry_lost_at is not None
            and now - target.entry_lost_at >= LOST_ENTRY_GRACE_S
        ]
        for target_id in expired:
            self._drop(target_id)
        return expired

    def postpone_expiry(self, now: float) -> None:
        """Restarts the wait for entries to come back, at the store's return."""
        for target in self._targets.values():
            if target.entry_lost_at is not None:
                target.entry_lost_at = now

    def record_signal(
        self, target_id: str, signal: HealthSignal, now: float
    ) -> bool:
        """Takes what an attempt showed; returns whether the target pauses."""
        target = self._targets.get(target_id)
        if target is None:
            return False
        failure_rate = target.decayed_failure_rate(now)
        if signal is HealthSignal.GOOD:
            target.failure_rate = failure_rate * (1 - FAILURE_WEIGHT)
            target.failure_rate_at = now
            target.consecutive_failures = 0
            return False
        target.failure_rate = failure_rate + FAILURE_WEIGHT * (1 - failure_rate)
        target.failure_rate_at = now
        target.consecutive_failures += 1
        backoff_exponent = target.consecutive_failures - MIN_FAILURES_TO_PAUSE
        if signal is HealthSignal.UNREACHABLE:
            backoff_exponent = max(backoff_exponent, 0)
        if backoff_exponent < 0:
            return False
        pause_s = min(FIRST_PAUSE_S * 2.0**backoff_exponent, MAX_PAUSE_S)
        target.paused_until = max(target.paused_until, now + pause_s)
        return True

    def record_time_ratio(
        self, target_id: str, ratio: float, now: float
    ) -> None:
        """Takes observed over predicted time."""
        target = self._targets.get(target_id)
        if target is None:
            return
        # The prediction contained the pace that was known.
        slowdown = min(max(ratio * target.slowdown(now), 1.0), MAX_SLOWDOWN)
        target.slowdown_samples = (*target.slowdown_samples, slowdown)[
            -SLOWDOWN_SAMPLE_COUNT:
        ]
        target.slowdown_observed_at = now

    def _drop(self, target_id: str) -> None:
        """Forgets a target."""
        target = self._targets.pop(target_id, None)
        if target is not None:
            self._by_service[target.record.service].pop(target_id, None)


def _is_other_process(old: fleet.TargetRecord, new: fleet.TargetRecord) -> bool:
    """Tells whether an entry comes from another start than a known one."""
    return (old.host, old.port, old.service, old.started_at_ms) != (
        new.host,
        new.port,
        new.service,
        new.started_at_ms,
    )
