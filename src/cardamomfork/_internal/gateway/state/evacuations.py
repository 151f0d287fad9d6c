"""Data centres whose targets get no new work, by order of the operators.

An order is a key in the platform's store. Instances also learn of orders from
their peers, so that one that the store turns away follows them too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

MAX_DATA_CENTRES = 64
"""Bound of the table and of the list in a digest. A deployment has a few data
centres; orders may also name data centres that don't exist."""
MAX_NAME_LENGTH = 64
"""A digest has to fit 64 names beside its requests in one datagram."""
MAX_REVISION = store.join_era(10**6, 0)
"""Bound of revisions; the store's client reads eras of up to six digits. A
higher revision could never be replaced by one of the store."""


@attrs.frozen
class Evacuation:
    """What is known of the orders for one data centre.

    Attributes:
        data_centre: Name of the data centre.
        revision: Store revision of the newest order or of its end, including
            the era of the store.
        is_active: Whether the evacuation is in force.
    """

    data_centre: str
    revision: int
    is_active: bool


@attrs.frozen
class Change:
    """A change of an order in the store.

    Attributes:
        data_centre: Name of the data centre.
        revision: Revision of the order; `store.ABSENT` if it was removed.
    """

    data_centre: str
    revision: int


class Evacuations:
    """Holds the newest known order for each data centre.

    An ended evacuation is kept, so that an older report of a peer doesn't
    restore it.
    """

    def __init__(
        self,
        *,
        is_enabled: bool = False,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes an empty table.

        Args:
            is_enabled: Whether evacuations are observed at all.
            on_change: Called after the data centres in evacuation have changed.
        """
        self._is_enabled = is_enabled
        self._on_change = on_change
        self._is_known = not is_enabled
        self._known: dict[str, Evacuation] = {}
        self._active: frozenset[str] = frozenset()
        # Revision of the newest scan. A report of a peer with a revision up to
        # it is older. Polls don't count: one from a revision that the store has
        # dropped hears nothing.
        self._scanned_revision = 0

    @property
    def is_enabled(self) -> bool:
        """Whether evacuations are observed at all."""
        return self._is_enabled

    @property
    def is_known(self) -> bool:
        """Whether the orders have been read, from the store or from a peer."""
        return self._is_known

    @property
    def active(self) -> frozenset[str]:
        """Data centres in evacuation."""
        return self._active

    @property
    def is_unrestricted(self) -> bool:
        """Whether all data centres may get new work."""
        return self._is_known and not self._active

    def excludes(self, data_centre: str) -> bool:
        """Returns whether a data centre must get no new work.

        That holds for all data centres before the orders are known.
        """
        return not self._is_known or data_centre in self._active

    def reports(self) -> tuple[Evacuation, ...]:
        """Returns all that is known, the newest first."""
        return tuple(
            sorted(
                self._known.values(),
                key=lambda one: one.revision,
                reverse=True,
            )
        )

    def apply_scan(self, orders: Iterable[Change], revision: int) -> None:
        """Replaces all that is known up to the revision of a full scan.

        Args:
            orders: All orders in the store.
            revision: Store revision of the scan.
        """
        if not self._is_enabled:
            return
        found = {order.data_centre: order.revision for order in orders}
        for data_centre, known in list(self._known.items()):
            if data_centre not in found and known.revision <= revision:
                # A removal has no revision of its own.
                self._put(
                    attrs.evolve(
                        known,
                        revision=revision
                        if known.is_active
                        else known.revision,
                        is_active=False,
                    )
                )
        for data_centre, order_revision in found.items():
            known_revision = self._revision(data_centre)
            if known_revision <= max(order_revision, revision):
                self._put(Evacuation(data_centre, order_revision, True))
        self._scanned_revision = max(self._scanned_revision, revision)
        self._finish_update("store")

    def apply_changes(self, changes: Iterable[Change], revision: int) -> None:
        """Applies the changes that one poll of the store returned.

        A removal has no revision of its own, so only the last change of each
        data centre counts, and one that ends with a removal gets the revision
        of the poll.

        Args:
            changes: The changes, in their order.
            revision: Store revision up to which the poll returned changes.
        """
        if not self._is_enabled:
            return
        last = {change.data_centre: change for change in changes}
        for change in last.values():
            is_active = change.revision != store.ABSENT
            self._merge(
                Evacuation(
                    change.data_centre,
                    change.revision if is_active else revision,
                    is_active,
                )
            )
        self._finish_update("store")

    def apply_reports(
        self, reports: Iterable[Evacuation], peer_id: str
    ) -> None:
        """Applies what a peer knows.

        Args:
            reports: The peer's evacuations.
            peer_id: Id of the peer, for the log.
        """
        if not self._is_enabled:
            return
        malformed = 0
        for report in reports:
            if not _is_valid(report):
                malformed += 1
            elif report.revision > self._scanned_revision:
                self._merge(report)
            else:
                self._refute(report)
        if malformed:
            logger.warning(
                "malformed evacuations dropped", peer=peer_id, count=malformed
            )
        self._finish_update(f"peer {peer_id}")

    def mark_known(self) -> None:
        """Records that a peer has sent all orders that it has read."""
        self._is_known = True

    def _merge(self, reported: Evacuation) -> None:
        """Stores an evacuation unless what is known is newer."""
        known = self._known.get(reported.data_centre)
        if (
            known is None
            or reported.revision > known.revision
            or (
                reported.revision == known.revision
                and reported.is_active
                and not known.is_active
            )
        ):
            self._put(reported)

    def _refute(self, reported: Evacuation) -> None:
        """Records the end of an evacuation that the newest scan lacked.

        The peer may not have heard of the end, and learns of it by the reports
        of this instance.
        """
        known = self._known.get(reported.data_centre)
        if reported.is_active and (
            known is None
            or (not known.is_active and known.revision < reported.revision)
        ):
            self._put(
                Evacuation(reported.data_centre, self._scanned_revision, False)
            )

    def _put(self, evacuation: Evacuation) -> None:
        """Stores an evacuation, and drops the least important one if need be.

        The oldest ended one goes first; without any, the oldest order.
        """
        self._known[evacuation.data_centre] = evacuation
        if len(self._known) > MAX_DATA_CENTRES:
            oldest = min(
                self._known.values(),
                key=lambda one: (one.is_active, one.revision),
            )
            del self._known[oldest.data_centre]

    def _revision(self, data_centre: str) -> int:
        """Returns the revision known of a data centre, or 0."""
        known = self._known.get(data_centre)
        return known.revision if known is not None else 0

    def _finish_update(self, origin: str) -> None:
        """Updates the data centres in evacuation, and logs what has changed."""
        if origin == "store":
            # Only scans and the polls that follow them come from the store.
            self._is_known = True
        active = frozenset(
            one.data_centre for one in self._known.values() if one.is_active
        )
        if active == self._active:
            return
        previous, self._active = self._active, active
        for data_centre in sorted(previous ^ active):
            logger.warning(
                "data centre evacuated"
                if data_centre in active
                else "evacuation ended",
                name=data_centre,
                revision=self._revision(data_centre),
                kind=origin,
            )
        self._on_change()


def _is_valid(report: Evacuation) -> bool:
    """Returns whether a report has a usable name and a possible revision."""
    return (
        0 < len(report.data_centre) <= MAX_NAME_LENGTH
        and report.data_centre.isascii()
        and report.data_centre.isprintable()
        and 0 < report.revision < MAX_REVISION
    )
