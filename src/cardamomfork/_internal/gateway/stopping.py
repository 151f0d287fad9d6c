"""The end of a process: unready at once, then gone within its grace time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet

BALANCER_REMOVAL_DELAY_S = 2.3
"""Time in which the balancer still sends new connections: it asks once a
second and believes the second no."""
EXIT_MARGIN_S = 0.4
"""Time before the end of the grace at which the process exits."""


@attrs.define
class StopState:
    """Whether the process is stopping.

    Attributes:
        stopping_since: Monotonic time of the signal, or None.
        grace_s: Time from the signal to the kill.
    """

    stopping_since: float | None = None
    grace_s: float = 8.0

    @property
    def is_stopping(self) -> bool:
        """Whether the signal has come."""
        return self.stopping_since is not None

    def begin(self, now: float, settings: fleet.EntrySettings) -> None:
        """Takes the signal."""
        if self.stopping_since is None:
            self.stopping_since = now
            self.grace_s = settings.stop_grace_s

    def left_s(self, now: float) -> float:
        """Returns the time until the process exits."""
        if self.stopping_since is None:
            return float("inf")
        return self.stopping_since + self.grace_s - EXIT_MARGIN_S - now
