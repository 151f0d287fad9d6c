"""Which targets are cold, and until when.

A target that has just started, or that has lost what it had loaded, handles
only few requests a second and crashes under more. This module addresses the
moment in which many such targets return at once, while every instance has
requests waiting that would fill them. Cold is a property of one process of a
target. Its statements decide, in its store entry or in answers; the newest one
counts. Without any, a process that this instance sees start is cold for the
time that its service's configuration names.
"""

from __future__ import annotations

from collections import OrderedDict
import enum
import math
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding

MAX_PROCESSES = 4096
"""Processes of targets that are remembered; the oldest are evicted."""
MAX_COLD_S = 60.0
"""Bound of the time for which a target may be cold."""
MAX_REPORTS = 64
"""Statements in one digest; the newest ones are reported."""
REPORT_ENDED_S = 5.0
"""Time for which the end of a cold period is reported."""
ENTRY_DELAY_S = 1.0
"""Time after an answer's statement within which an entry doesn't shorten the
period. The entry may have been written before the answer: a poll of the store
takes some milliseconds, and polled changes are passed on to peers within this
time."""
CHANGE_TOLERANCE_S = 0.25
"""Smaller changes of the end of a period are not reported to peers at once. A
target states its remaining time in each answer, so the end shifts by the
answer's way."""


class Source(enum.Enum):
    """What states until when a target is cold."""

    START = "start"
    ENTRY = "entry"
    ANSWER = "own answer"
    PEER = "peer"


@attrs.frozen
class ColdReport:
    """A statement in an answer, as instances report it to each other.

    Attributes:
        target_id: The target.
        started_at_ms: Unix time of the start of its process.
        remaining_s: Time for which it was cold when it answered; 0 if it was
            not.
        age_s: Time since the answer.
    """

    target_id: str
    started_at_ms: int
    remaining_s: float
    age_s: float


@attrs.frozen
class _Statement:
    """A statement of a target.

    Attributes:
        stated_at: Time at which it was received.
        remaining_s: Time for which the target is cold from then on.
        source: Where it was received from.
    """

    stated_at: float
    remaining_s: float
    source: Source

    @property
    def until(self) -> float:
        """Time until which the target is cold."""
        return self.stated_at + self.remaining_s


@attrs.define
class _Process:
    """What is known of one process of a target.

    Attributes:
        service: Its service.
        seen_start_at: Time at which this instance saw it start; minus infinity
            if it ran before.
        revision: Store revision of the newest entry that was read.
        entry_remaining_s: What that entry states, or None.
        statement: The statement in force, or None.
        answer: The newest statement in an answer to this instance, which it
            reports to peers, or None.
        is_cold: Whether it is cold, as last logged.
    """

    service: str
    seen_start_at: float
    revision: int = -1
    entry_remaining_s: float | None = None
    statement: _Statement | None = None
    answer: _Statement | None = None
    is_cold: bool = False


class ColdTargets:
    """Decides until when the targets in the target table are cold."""

    def __init__(
        self,
        table: target_table.TargetTable,
        clock: Callable[[], float],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the decisions without any process.

        Args:
            table: The known targets, which get the decisions.
            clock: Monotonic time.
            on_change: Called when an answer to this instance states another
                end of a cold period.
        """
        self._table = table
        self._clock = clock
        self._on_change = on_change
        self._services: Mapping[str, fleet.Service] = {}
        self._processes: OrderedDict[tuple[str, int], _Process] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of processes that are remembered."""
        return len(self._processes)

    @property
    def cold_count(self) -> int:
        """Number of known targets that are cold."""
        now = self._clock()
        return sum(target.is_cold(now) for target in self._table.list_all())

    def rate_per_s(self, service: str) -> float:
        """Returns what a cold target handles; 0 if none is ever cold."""
        found = self._services.get(service)
        return found.cold_per_s if found is not None else 0.0

    def is_unknown(self, target_id: str, started_at_ms: int) -> bool:
        """Returns whether a process that may be cold is not known here.

        Other instances may have read its entry a moment before.
        """
        target = self._table.find(target_id)
        return (
            target is None or target.record.started_at_ms != started_at_ms
        ) and any(service.cold_per_s for service in self._services.values())

    def find_permit_rate(
        self, target_id: str, started_at_ms: int, asked_per_s: float
    ) -> float | None:
        """Returns the rate of a cold target's permits, or None.

        An instance that asks may know that a target is cold before this one
        does.

        Args:
            target_id: The target.
            started_at_ms: Unix time of the start of its process.
            asked_per_s: Limit in requests a second, as known to the instance
                that asks.

        Returns:
            The rate in requests a second; None if the target isn't cold, so
            that the rules for cold targets don't apply.
        """
        target = self._table.find(target_id)
        if target is None or target.record.started_at_ms != started_at_ms:
            return None
        cold_per_s = self.rate_per_s(target.record.service)
        if not cold_per_s:
            return None
        known_per_s = target.rate_limit_per_s(self._clock())
        if known_per_s is None:
            return min(cold_per_s, asked_per_s)
        return known_per_s if target.is_cold(self._clock()) else None

    def apply_services(self, services: Mapping[str, fleet.Service]) -> None:
        """Applies the services of a new configuration."""
        self._services = services
        self.update()

    def record_entry(
        self,
        record: fleet.TargetRecord,
        revision: int,
        *,
        is_start_seen: bool,
        may_be_outdated: bool = False,
    ) -> None:
        """Records what a target's entry states.

        Reading the same revision again changes nothing.

        Args:
            record: The entry.
            revision: Store revision of the entry, including the store's era.
            is_start_seen: Whether a process that was unknown has started since
                this instance read the targets for the first time.
            may_be_outdated: Whether the entry may be from the older copy from
                which the store was restored. It then doesn't shorten a period.
        """
        now = self._clock()
        key = (record.target_id, record.started_at_ms)
        process = self._processes.get(key)
        if process is None:
            process = _Process(
                record.service, now if is_start_seen else -math.inf
            )
            bounded_tables.put_newest(
                self._processes, key, process, MAX_PROCESSES
            )
        process.service = record.service
        remaining_s = record.cold_remaining_s
        is_reread = revision <= process.revision or (
            may_be_outdated
            and remaining_s == process.entry_remaining_s
            and store.split_era(revision)[1]
            <= store.split_era(process.revision)[1]
        )
        process.revision = max(process.revision, revision)
        if not is_reread:
            process.entry_remaining_s = remaining_s
        if not is_reread and remaining_s is not None:
            self._apply(
                process,
                _Statement(now, min(remaining_s, MAX_COLD_S), Source.ENTRY),
                only_lengthen=may_be_outdated
                or _is_answered_within(process, now - ENTRY_DELAY_S),
            )
        self._publish(key, process, now)

    def record_answer(
        self, record: fleet.TargetRecord, head: forwarding.ResponseHead
    ) -> None:
        """Records what the head of a target's answer states."""
        if head.cold_remaining_s is None:
            return
        now = self._clock()
        key = (record.target_id, record.started_at_ms)
        process = self._processes.get(key)
        if process is None:
            return
        statement = _Statement(
            now, min(head.cold_remaining_s, MAX_COLD_S), Source.ANSWER
        )
        until_before = self._cold_until(process)
        process.answer = statement
        self._apply(process, statement)
        self._publish(key, process, now)
        if self.rate_per_s(process.service) and (
            abs(max(statement.until, now) - max(until_before, now))
            > CHANGE_TOLERANCE_S
        ):
            self._on_change()

    def merge(self, report: ColdReport) -> None:
        """Records a peer's report if it is newer than what is known."""
        now = self._clock()
        key = (report.target_id, report.started_at_ms)
        process = self._processes.get(key)
        if process is None:
            return
        stated_at = now - report.age_s
        known = process.statement
        if known is not None and stated_at <= known.stated_at:
            return
        self._apply(
            process,
            _Statement(
                stated_at, min(report.remaining_s, MAX_COLD_S), Source.PEER
            ),
        )
        self._publish(key, process, now)

    def reports(self) -> tuple[ColdReport, ...]:
        """Returns the statements in answers to this instance, newest first.

        What entries state is read by every instance, and what peers report has
        been reported.
        """
        now = self._clock()
        found = [
            ColdReport(
                *key, process.answer.remaining_s, now - process.answer.stated_at
            )
            for key, process in self._processes.items()
            if process.answer is not None
            and process.statement == process.answer
            and process.answer.until + REPORT_ENDED_S > now
            and self.rate_per_s(process.service)
        ]
        found.sort(key=lambda report: report.age_s)
        return tuple(found[:MAX_REPORTS])

    def update(self) -> None:
        """Applies what is known to all targets; call it a few times a second.

        Logs the ends of cold periods.
        """
        now = self._clock()
        for target in self._table.list_all():
            key = (target.record.target_id, target.record.started_at_ms)
            process = self._processes.get(key)
            if process is not None:
                self._publish(key, process, now)

    def _apply(
        self,
        process: _Process,
        statement: _Statement,
        *,
        only_lengthen: bool = False,
    ) -> None:
        """Replaces the statement of a process by a newer one."""
        if only_lengthen and statement.until <= self._cold_until(process):
            return
        process.statement = statement

    def _cold_until(self, process: _Process) -> float:
        """Returns the time until which a process is cold."""
        if process.statement is not None:
            return process.statement.until
        service = self._services.get(process.service)
        start_s = service.cold_start_s if service is not None else 0.0
        return process.seen_start_at + start_s

    def _publish(
        self, key: tuple[str, int], process: _Process, now: float
    ) -> None:
        """Passes the decision on to the target table; logs a change."""
        target = self._table.find(key[0])
        if target is None or target.record.started_at_ms != key[1]:
            return
        target.cold_per_s = self.rate_per_s(process.service)
        target.cold_until = (
            self._cold_until(process) if target.cold_per_s else -math.inf
        )
        is_cold = target.is_cold(now)
        if is_cold == process.is_cold:
            return
        process.is_cold = is_cold
        if is_cold:
            logger.info(
                "target is cold",
                target_id=key[0],
                service=process.service,
                kind=process.statement.source.value
                if process.statement is not None
                else Source.START.value,
                seconds=round(target.cold_until - now, 3),
                detail=f"{target.cold_per_s:g} requests a second",
                revision=process.revision,
            )
        else:
            # What was measured of a cold target says nothing about a warm one.
            target.slowdown_samples = ()
            logger.info(
                "target is warm", target_id=key[0], service=process.service
            )


def _is_answered_within(process: _Process, since: float) -> bool:
    """Returns whether the statement in force is a newer answer's."""
    statement = process.statement
    return (
        statement is not None
        and statement.source in (Source.ANSWER, Source.PEER)
        and statement.stated_at >= since
    )
