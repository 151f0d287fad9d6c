"""Assigns targets to watching instances and gossips their load reports.

Two instances of a target's data centre watch it: they poll its load. They
gossip compact load reports to the other instances of the data centre, so that
a target is not polled by every instance.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal import bounded_tables
from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.instances import wire_ages
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

WATCHERS_PER_TARGET = 2
MAX_REPORTS = 4096
MAX_RELAYED_AGE_S = 4.0
RELAYS_PER_REPORT = 3
_MIN_AGE_DIFFERENCE_S = 0.25
_HEADER_BYTES = 5


class _PackedReport(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """Wire format of a load report; `age` is in deciseconds."""

    target_id: str
    boot_id: str
    age: int
    queued_tokens: int
    running: int
    free_tokens: int
    models: tuple[str, ...] = ()
    leaving: bool = False


@attrs.define
class _HeldReport:
    """A load report and how many more times it is sent to a peer."""

    report: targets.LoadReport
    relays_left: int


def watchers_of(
    target_id: identifiers.TargetId, candidates: Sequence[str]
) -> list[str]:
    """Returns the instances of a data centre that watch a target."""
    return rendezvous.owners(
        f"watch/{target_id}", candidates, WATCHERS_PER_TARGET
    )


def targets_watched_by(
    watcher: identifiers.InstanceId,
    target_ids: Iterable[identifiers.TargetId],
    candidates: Sequence[str],
) -> list[identifiers.TargetId]:
    """Returns the targets that one instance watches."""
    return [
        target_id
        for target_id in target_ids
        if watcher in watchers_of(target_id, candidates)
    ]


_decode_reports = decoding.msgpack_rows_decoder("load reports", _PackedReport)


class LoadGossip:
    """Latest load report of each target, gossiped under `Topic.LOAD`."""

    def __init__(
        self,
        deliver: Callable[[targets.LoadReport, float], None],
        max_reports: int = MAX_REPORTS,
    ) -> None:
        """Initializes an empty table.

        Args:
            deliver: Called with each newer report, local or from a peer, and
                the current time.
            max_reports: Largest number of reports held; the least recently
                updated are evicted first.
        """
        self._deliver = deliver
        self._max_reports = max_reports
        self._held: collections.OrderedDict[
            identifiers.TargetId, _HeldReport
        ] = collections.OrderedDict()
        self.unreadable = 0

    @property
    def topic(self) -> gossip.Topic:
        """Gossip topic of the payloads."""
        return gossip.Topic.LOAD

    @property
    def reports(self) -> Sequence[targets.LoadReport]:
        """The reports held, least recently updated first."""
        return [held.report for held in self._held.values()]

    def latest_boot_id(
        self, target_id: identifiers.TargetId
    ) -> identifiers.BootId | None:
        """Returns the boot id in a target's latest report."""
        held = self._held.get(target_id)
        return None if held is None else held.report.boot_id

    def observe(self, report: targets.LoadReport, now: float) -> bool:
        """Stores a report; returns False if the held one is not older."""
        held = self._held.get(report.target_id)
        if held is not None and not _is_newer(report, held.report):
            return False
        held = _HeldReport(report, RELAYS_PER_REPORT)
        bounded_tables.put_newest(
            self._held, report.target_id, held, self._max_reports
        )
        self._deliver(report, now)
        return True

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns the most recent reports that fit into the budget.

        Reports are sent within a data centre only.
        """
        del peer
        if scope is gossip.Scope.FLEET:
            return b""
        bytes_left = budget_bytes - _HEADER_BYTES
        rows: list[msgspec.Raw] = []
        for held in reversed(self._held.values()):
            age = now - held.report.measured_at
            if held.relays_left <= 0 or age > MAX_RELAYED_AGE_S:
                continue
            data = msgspec.msgpack.encode(_pack(held.report, age))
            if len(data) > bytes_left:
                break
            bytes_left -= len(data)
            held.relays_left -= 1
            rows.append(msgspec.Raw(data))
        return msgspec.msgpack.encode(rows) if rows else b""

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Stores the reports in a peer's payload."""
        del sender
        decoded = _decode_reports(payload)
        if isinstance(decoded, result.Err):
            self.unreadable += 1
            return
        received, odd_count = decoded.ok_value
        self.unreadable += odd_count
        for packed in received:
            self.observe(_unpack(packed, now), now)


def _is_newer(report: targets.LoadReport, held: targets.LoadReport) -> bool:
    """Returns whether a report has a later boot id or is clearly more recent.

    Within one boot id, a small difference in time may be a rounding error of
    the age on the wire.
    """
    if report.boot_id != held.boot_id:
        return report.boot_id > held.boot_id
    return report.measured_at > held.measured_at + _MIN_AGE_DIFFERENCE_S


def _pack(report: targets.LoadReport, age_s: float) -> _PackedReport:
    """Converts a report to its wire format; the age is rounded up."""
    return _PackedReport(
        report.target_id,
        report.boot_id,
        wire_ages.to_wire(age_s),
        report.queued_tokens,
        report.running,
        report.free_tokens,
        report.models,
        report.leaving,
    )


def _unpack(packed: _PackedReport, now: float) -> targets.LoadReport:
    """Converts a report from its wire format, with its time on this clock."""
    return targets.LoadReport(
        identifiers.TargetId(packed.target_id),
        identifiers.BootId(packed.boot_id),
        now - wire_ages.to_seconds(packed.age),
        packed.queued_tokens,
        packed.running,
        packed.free_tokens,
        packed.models,
        packed.leaving,
    )
