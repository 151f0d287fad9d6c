"""Which instances watch which target, and load reports told to the others.

Two instances of a target's data centre watch it: they ask it for its load. The
rest of the data centre hears the reports from them, packed, so that no target
is asked by all.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal import bounded_tables
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
    """A load report on the wire; its age in deciseconds."""

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
    """A report and how often it is still told."""

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


class LoadGossip:
    """Newest load report of each target; gossips under `Topic.LOAD`."""

    def __init__(
        self,
        deliver: Callable[[targets.LoadReport, float], None],
        max_reports: int = MAX_REPORTS,
    ) -> None:
        """Starts empty.

        Args:
            deliver: Takes each newer report, own or heard, and the time.
            max_reports: Most reports held; the oldest go first.
        """
        self._deliver = deliver
        self._max_reports = max_reports
        self._held: collections.OrderedDict[
            identifiers.TargetId, _HeldReport
        ] = collections.OrderedDict()
        self.unreadable = 0

    @property
    def topic(self) -> gossip.Topic:
        """The topic of its payloads."""
        return gossip.Topic.LOAD

    @property
    def reports(self) -> Sequence[targets.LoadReport]:
        """The reports held, the oldest first."""
        return [held.report for held in self._held.values()]

    def latest_boot_id(
        self, target_id: identifiers.TargetId
    ) -> identifiers.BootId | None:
        """Returns the life of a target that was last heard."""
        held = self._held.get(target_id)
        return None if held is None else held.report.boot_id

    def observe(self, report: targets.LoadReport, now: float) -> bool:
        """Takes a report; False if a newer one of the target is held."""
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
        """Returns the youngest reports that fit, within a data centre."""
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
        """Takes a peer's reports."""
        del sender
        try:
            received = msgspec.msgpack.decode(payload, type=list[_PackedReport])
        except msgspec.DecodeError:
            self.unreadable += 1
            return
        for packed in received:
            self.observe(_unpack(packed, now), now)


def _is_newer(report: targets.LoadReport, held: targets.LoadReport) -> bool:
    """Tells whether a report is of a later life or clearly younger."""
    if report.boot_id != held.boot_id:
        return report.boot_id > held.boot_id
    return report.measured_at > held.measured_at + _MIN_AGE_DIFFERENCE_S


def _pack(report: targets.LoadReport, age_s: float) -> _PackedReport:
    """Returns a report's form on the wire; its age is rounded up."""
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
    """Reads a report; its time is on this instance's clock."""
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
