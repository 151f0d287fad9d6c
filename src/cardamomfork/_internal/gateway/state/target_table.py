"""The targets that this instance knows, with their store entries and health."""

from __future__ import annotations

from collections import OrderedDict
import enum
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.store import entry_faults

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from cardamomfork._internal.models import fleet

LOST_ENTRY_GRACE_S = 1.5
"""Time for which a target stays after its entry disappeared in a store outage.
Entries are back within about 2 s of the store's recovery, which this instance
notices a little later. A target that has really left must get no work after
2 s."""
RESTORED_ENTRY_DOUBT_S = 5.0
"""Time after the store was restored from a copy in which the entry of a process
that is known to have ended is not used unless it is written again. Exceeds the
time after which the store removes the entry of a silent target."""
MAX_ENDED_PROCESSES = 4096
MAX_RESTING_PROCESSES = 4096
MAX_REST_S = 600.0
"""Bound of the time of rest that a target may ask for."""
FAILURE_WEIGHT = 0.25
"""Weight of one attempt in the exponential moving average of failures."""
FAILURE_HALF_LIFE_S = 6.0
"""Time in which the failure rate of an unused target falls by half."""
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
MIN_FAILURES_TO_PAUSE = 2
"""Consecutive failures from which on a target is paused."""
SLOWDOWN_SAMPLE_COUNT = 3
"""Number of samples whose minimum is the slowdown: a slow target is slow for
all requests, while the prefill of another request delays only some."""
SLOWDOWN_HALF_LIFE_S = 5.0
"""Time in which the excess slowdown falls by half without a new sample."""
MAX_SLOWDOWN = 20.0
RATE_LIMIT_RELEASE_DELAY_S = 1.0
"""Time for which a limit holds after an answer that doesn't name it. Another
instance may have received an answer with the limit in the meantime."""


class HealthSignal(enum.Enum):
    """Health of a target as seen by one attempt."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


@attrs.frozen
class RateLimit:
    """A limit on the requests of all instances together.

    Attributes:
        requests_per_s: The limit.
        observed_at: Time of the newest answer that named it, or of the first
            answer without it.
        has_ended: Whether a later answer named no limit.
        is_local: Whether this instance received that answer itself.
    """

    requests_per_s: float
    observed_at: float
    has_ended: bool = False
    is_local: bool = True


@attrs.define
class Target:
    """One target.

    Attributes:
        record: Its store entry.
        entry_lost_at: Time at which its entry disappeared in a store outage,
            or None.
        failure_rate: Moving average of failed attempts at `failure_rate_at`.
        failure_rate_at: Time of the last recorded signal.
        consecutive_failures: Failures since the last success.
        paused_until: Time until which it gets no work.
        slowdown_samples: Ratios of observed to predicted time, newest last.
        slowdown_observed_at: Time of the newest sample.
        rate_limit: The limit on requests that it has named, or None.
        permit_expected_at: Time before which no permit for a request to it is
            available.
        cold_until: Time until which it is cold.
        cold_per_s: Requests a second that it handles while it is cold.
    """

    record: fleet.TargetRecord
    entry_lost_at: float | None = None
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    consecutive_failures: int = 0
    paused_until: float = 0.0
    slowdown_samples: tuple[float, ...] = ()
    slowdown_observed_at: float = 0.0
    rate_limit: RateLimit | None = None
    permit_expected_at: float = 0.0
    cold_until: float = -math.inf
    cold_per_s: float = 0.0

    def is_cold(self, now: float) -> bool:
        """Returns whether it handles only few requests a second."""
        return now < self.cold_until

    def rate_limit_per_s(self, now: float) -> float | None:
        """Returns the limit in force in requests a second, or None.

        That of a cold target is the lower of what it handles and what it names.
        """
        stated_per_s = self._stated_limit_per_s(now)
        if not self.is_cold(now):
            return stated_per_s
        if stated_per_s is None:
            return self.cold_per_s
        return min(stated_per_s, self.cold_per_s)

    def _stated_limit_per_s(self, now: float) -> float | None:
        """Returns the limit that it names, or None."""
        limit = self.rate_limit
        if limit is None:
            return None
        if limit.has_ended and (
            now - limit.observed_at >= RATE_LIMIT_RELEASE_DELAY_S
        ):
            return None
        return limit.requests_per_s

    def permit_wait_s(self, now: float) -> float:
        """Returns the time until a permit may be available; 0 if unlimited."""
        if self.rate_limit_per_s(now) is None:
            return 0.0
        return max(self.permit_expected_at - now, 0.0)

    def decayed_failure_rate(self, now: float) -> float:
        """Returns the failure rate, reduced by the age of the last attempt."""
        age = max(now - self.failure_rate_at, 0.0)
        return float(self.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def slowdown(self, now: float) -> float:
        """Returns the ratio of observed to predicted time, at least 1."""
        if len(self.slowdown_samples) < SLOWDOWN_SAMPLE_COUNT:
            return 1.0
        age = max(now - self.slowdown_observed_at, 0.0)
        excess_slowdown = (min(self.slowdown_samples) - 1.0) * 0.5 ** (
            age / SLOWDOWN_HALF_LIFE_S
        )
        return float(1.0 + max(excess_slowdown, 0.0))

    def is_usable(self, now: float) -> bool:
        """Returns whether the target may get new work."""
        return not self.record.is_leaving and now >= self.paused_until


class TargetTable:
    """All known targets, indexed by id and by service."""

    def __init__(
        self,
        on_target_ended: Callable[[fleet.TargetRecord], None] = lambda _: None,
        order_seed: int = 0,
        excluded: evacuations.Evacuations | None = None,
    ) -> None:
        """Initializes an empty table.

        Args:
            on_target_ended: Called with the last entry of a target whose
                process has ended. Entries that lapsed in a store outage don't
                count.
            order_seed: Seed of the order of targets.
            excluded: Data centres whose targets get no new work; None if all
                may get some.
        """
        self._order_seed = order_seed
        self._evacuations = excluded or evacuations.Evacuations()
        self._on_target_ended = on_target_ended
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        # Targets in a random order by service and data centre, or None for all
        # data centres; dropped when a target comes or goes.
        self._orders: dict[tuple[str, str | None], tuple[Target, ...]] = {}
        # Data centres that these orders lack.
        self._orders_exclude: frozenset[str] = frozenset()
        # Whether the process was leaving, by target id and start.
        self._ended: OrderedDict[tuple[str, int], bool] = OrderedDict()
        self._doubtful: dict[str, fleet.TargetRecord] = {}
        self._faults = entry_faults.EntryFaults("target not recorded")
        self._doubt_until = 0.0
        # Ends of rests, by target id and start: an entry that lapses and
        # returns ends none.
        self._rest_ends: OrderedDict[tuple[str, int], float] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of known targets."""
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
        if self._evacuations.is_unrestricted:
            return [target for target in targets if target.is_usable(now)]
        return [
            target
            for target in targets
            if target.is_usable(now) and not self.is_evacuated(target.record)
        ]

    def is_evacuated(self, record: fleet.TargetRecord) -> bool:
        """Returns whether a target's data centre must get no new work."""
        return self._evacuations.excludes(record.data_centre)

    def are_evacuated(self, data_centres: Iterable[str]) -> bool:
        """Returns whether all of some data centres must get no new work."""
        return all(map(self._evacuations.excludes, data_centres))

    def staying_data_centres(self, service: str) -> frozenset[str]:
        """Returns the data centres of a service's targets that don't leave.

        Targets that are leaving get no work anyway.
        """
        return frozenset(
            target.record.data_centre
            for target in self._by_service.get(service, {}).values()
            if not target.record.is_leaving
        )

    def count_service(self, service: str) -> int:
        """Returns the number of known targets of a service."""
        return len(self._by_service.get(service, {}))

    def order_service(
        self, service: str, data_centre: str | None
    ) -> tuple[Target, ...]:
        """Returns a service's targets in an order of this table's own.

        Those in evacuated data centres are left out.

        Args:
            service: The service.
            data_centre: Data centre of the targets, or None for all.
        """
        if self._orders_exclude != self._evacuations.active:
            self._orders_exclude = self._evacuations.active
            self._orders.clear()
        key = (service, data_centre)
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = tuple(
                sorted(
                    (
                        target
                        for target in self._by_service.get(service, {}).values()
                        if data_centre in (None, target.record.data_centre)
                        and target.record.data_centre
                        not in self._orders_exclude
                    ),
                    key=lambda target: xxhash.xxh3_64_intdigest(
                        target.record.target_id.encode(), self._order_seed
                    ),
                )
            )
        return order

    def put(self, record: fleet.TargetRecord) -> bool:
        """Stores an entry; returns whether it is of a newly started target.

        A process that was leaving remains so, whatever its entry says later.
        """
        self._doubtful.pop(record.target_id, None)
        current = self._targets.get(record.target_id)
        if current is not None and not _is_other_process(
            current.record, record
        ):
            current.entry_lost_at = None
            if record.is_leaving or not current.record.is_leaving:
                current.record = record
            return False
        was_leaving = self._ended.get(_process_key(record))
        if current is not None:
            if was_leaving is not None:
                return False
            self._on_target_ended(current.record)
        self._drop(record.target_id)
        if was_leaving:
            record = attrs.evolve(record, is_leaving=True)
        target = Target(record)
        self._targets[record.target_id] = target
        self._orders.clear()
        self._by_service.setdefault(record.service, {})[record.target_id] = (
            target
        )
        return True

    def _put_scanned(self, record: fleet.TargetRecord, now: float) -> None:
        """Stores an entry of a scan, unless it may be from an older copy."""
        is_known = record.target_id in self._targets
        if (
            now < self._doubt_until
            and not is_known
            and _process_key(record) in self._ended
        ):
            self._doubtful[record.target_id] = record
        else:
            self.put(record)

    def remove(self, target_id: str, now: float, *, may_return: bool) -> None:
        """Removes a target whose entry has ended.

        Args:
            target_id: The target.
            now: Monotonic time.
            may_return: Whether the entry may have lapsed in a store outage
                while its target runs on; the target is then kept until
                `expire`.
        """
        self._doubtful.pop(target_id, None)
        target = self._targets.get(target_id)
        if target is None:
            return
        if may_return and not target.record.is_leaving:
            if target.entry_lost_at is None:
                target.entry_lost_at = now
            return
        self._on_target_ended(target.record)
        self._drop(target_id)

    def replace_all(
        self,
        records: Iterable[fleet.TargetRecord],
        now: float,
        *,
        may_return: bool,
        rewritten: Collection[str] = (),
    ) -> None:
        """Replaces all entries; processes that are not listed have ended.

        Args:
            records: The entries.
            now: Monotonic time.
            may_return: Whether entries may have lapsed in a store outage.
            rewritten: Ids of the targets whose entries were written since the
                store was last restored.
        """
        self._doubtful.clear()
        listed = set()
        for record in records:
            listed.add(_process_key(record))
            with self._faults.contained(record.target_id, 0):
                if record.target_id in rewritten:
                    self.put(record)
                else:
                    self._put_scanned(record, now)
        for target_id, target in list(self._targets.items()):
            if _process_key(target.record) not in listed:
                self.remove(target_id, now, may_return=may_return)

    def store_restored(self, now: float) -> None:
        """Records that entries may be older than what is known of targets."""
        self._doubt_until = now + RESTORED_ENTRY_DOUBT_S

    def expire(self, now: float) -> list[str]:
        """Drops targets whose lost entries didn't return; returns their ids.

        Targets of doubtful entries that are still there are used again.
        """
        if now >= self._doubt_until:
            for record in list(self._doubtful.values()):
                self.put(record)
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
        """Restarts the times of lost and doubtful entries after an outage.

        The store may have been restored again in the outage.
        """
        if self._doubtful:
            self._doubt_until = now + RESTORED_ENTRY_DOUBT_S
        for target in self._targets.values():
            if target.entry_lost_at is not None:
                target.entry_lost_at = now

    def record_signal(
        self, target_id: str, signal: HealthSignal, now: float
    ) -> bool:
        """Records an attempt's signal; returns whether the target is paused."""
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

    def mark_leaving(self, record: fleet.TargetRecord) -> bool:
        """Records that a target's process has said that it leaves.

        It remains so, whatever its entry says later.

        Returns:
            Whether that was not known.
        """
        key = _process_key(record)
        target = self._targets.get(record.target_id)
        if target is not None and _process_key(target.record) == key:
            was_leaving = target.record.is_leaving
            target.record = attrs.evolve(target.record, is_leaving=True)
            return not was_leaving
        if key in self._ended:
            self._ended[key] = True
        return False

    def is_leaving(self, record: fleet.TargetRecord) -> bool:
        """Returns whether a target's process is known to be leaving."""
        target = self._targets.get(record.target_id)
        if target is None or _process_key(target.record) != _process_key(
            record
        ):
            return self._ended.get(_process_key(record), False)
        return target.record.is_leaving

    def record_rest(
        self, record: fleet.TargetRecord, rest_s: float, now: float
    ) -> None:
        """Records that a target's process wants no requests for some time.

        A shorter rest that is asked for later does not shorten the first.

        Args:
            record: The target.
            rest_s: Time of the rest, in seconds.
            now: Monotonic time of the answer that asked for it.
        """
        key = _process_key(record)
        until = now + min(rest_s, MAX_REST_S)
        bounded_tables.put_newest(
            self._rest_ends,
            key,
            max(until, self._rest_ends.get(key, 0.0)),
            MAX_RESTING_PROCESSES,
        )

    def rest_left_s(self, record: fleet.TargetRecord, now: float) -> float:
        """Returns the time for which a target's process wants no requests."""
        return max(self._rest_ends.get(_process_key(record), 0.0) - now, 0.0)

    def clear_failures(self, data_centre: str | None = None) -> None:
        """Forgets failed attempts that were not the targets' faults.

        Args:
            data_centre: Data centre of the targets, or None for all.
        """
        for target in self._targets.values():
            if data_centre not in (None, target.record.data_centre):
                continue
            target.failure_rate = 0.0
            target.consecutive_failures = 0
            target.paused_until = 0.0

    def record_time_ratio(
        self, target_id: str, ratio: float, now: float
    ) -> None:
        """Records the ratio of observed to predicted time of an attempt."""
        target = self._targets.get(target_id)
        if target is None:
            return
        # The prediction already includes the slowdown known at that time.
        slowdown = min(max(ratio * target.slowdown(now), 1.0), MAX_SLOWDOWN)
        target.slowdown_samples = (*target.slowdown_samples, slowdown)[
            -SLOWDOWN_SAMPLE_COUNT:
        ]
        target.slowdown_observed_at = now

    def _drop(self, target_id: str) -> None:
        """Drops a target and remembers that its process has ended."""
        target = self._targets.pop(target_id, None)
        if target is not None:
            self._by_service[target.record.service].pop(target_id, None)
            self._orders.clear()
            bounded_tables.put_newest(
                self._ended,
                _process_key(target.record),
                target.record.is_leaving,
                MAX_ENDED_PROCESSES,
            )


def _process_key(record: fleet.TargetRecord) -> tuple[str, int]:
    """Returns the key of a target's process."""
    return (record.target_id, record.started_at_ms)


def _is_other_process(old: fleet.TargetRecord, new: fleet.TargetRecord) -> bool:
    """Returns whether two entries are of different target processes."""
    return (old.host, old.port, old.service, old.started_at_ms) != (
        new.host,
        new.port,
        new.service,
        new.started_at_ms,
    )
