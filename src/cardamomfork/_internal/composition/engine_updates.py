"""Publishes updates of the observed engines to routing and to peers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from cardamomfork._internal.targets import leaving
from cardamomfork._internal.targets import load_gossip

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.instances import fleet_membership
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets

SILENT_AFTER_REPORTS = 3
"""Number of consecutive missed load reports that mark an engine silent."""


class EngineUpdatePublisher:
    """Publishes updates of the engines that the local instance observes.

    Load reports and leaving marks are gossiped to the other instances of the
    data centre. Cache events stay local, since each instance routes by the
    prompts that it sent itself.
    """

    def __init__(
        self,
        fleet: fleet_membership.FleetMembership,
        dispatcher: dispatching.Dispatcher,
    ) -> None:
        """Initializes the publisher.

        Args:
            fleet: Receives load reports and leaving marks.
            dispatcher: Receives cache events.
        """
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._missed_reports: collections.Counter[identifiers.TargetId] = (
            collections.Counter()
        )

    def observes_target(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether the local instance is an observer of a target."""
        members = self._fleet.members
        observers = load_gossip.watchers_of(target_id, members.staying())
        return members.me.instance.instance_id in observers

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Publishes a load report and the leaving state that it contains."""
        target_id = report.target_id
        self._missed_reports.pop(target_id, None)
        self._fleet.leaving.set_silent(target_id, False)
        self._fleet.leaving.observe_boot_id(target_id, report.boot_id)
        if report.leaving:
            self._fleet.leaving.mark(
                target_id, leaving.Cause.SAID, report.boot_id
            )
        self._fleet.loads.observe(report, now)

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Forwards a cache event; returns False to request a resync."""
        return self._dispatcher.observe_cache(event)

    def observe_fault(self, fault: targets.TargetFault) -> None:
        """Counts a missed report; marks the target silent after several."""
        self._missed_reports[fault.target_id] += 1
        if self._missed_reports[fault.target_id] >= SILENT_AFTER_REPORTS:
            self._fleet.leaving.set_silent(fault.target_id, True)
