"""Changes that one part of an entry instance reports to others."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


class Notification:
    """A change that is reported to all connected receivers, in order."""

    def __init__(self) -> None:
        """Initializes a notification without receivers."""
        self._receivers: list[Callable[..., object]] = []

    def connect(self, receiver: Callable[..., object]) -> None:
        """Adds a receiver."""
        self._receivers.append(receiver)

    def __call__(self, *arguments: Any) -> None:
        """Calls the receivers with the details of the change.

        All of them are called, also if one fails.

        Raises:
            Exception: The first failure of a receiver.
        """
        failure: Exception | None = None
        for receiver in self._receivers:
            try:
                receiver(*arguments)
            except Exception as error:  # noqa: BLE001  # Raised below.
                failure = failure or error
        if failure is not None:
            raise failure


@attrs.frozen
class Notifications:
    """All changes that concern several sides.

    Attributes:
        target_ended: A target's process has ended; called with its last entry.
        targets_changed: Entries of targets have changed.
        capacity_changed: A job of this instance has changed state, or targets
            have changed.
        reach_changed: This instance was cut off from all targets, or reaches
            some again.
        data_centre_changed: A data centre is out of reach, or no longer;
            called with it, and whether it was reached before.
        crash_confirmed: A target has crashed.
        rate_limit_changed: A target has changed its limit, or has stated
            that it is cold for another time.
        configuration_applied: A new configuration is in force.
        evacuations_changed: Other data centres than before are in evacuation.
        store_answered: A call to the store has ended; called with its fault,
            or None.
    """

    target_ended: Notification = attrs.field(factory=Notification)
    targets_changed: Notification = attrs.field(factory=Notification)
    capacity_changed: Notification = attrs.field(factory=Notification)
    reach_changed: Notification = attrs.field(factory=Notification)
    data_centre_changed: Notification = attrs.field(factory=Notification)
    crash_confirmed: Notification = attrs.field(factory=Notification)
    rate_limit_changed: Notification = attrs.field(factory=Notification)
    configuration_applied: Notification = attrs.field(factory=Notification)
    evacuations_changed: Notification = attrs.field(factory=Notification)
    store_answered: Notification = attrs.field(factory=Notification)
