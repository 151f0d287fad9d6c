"""The state of a stopping process.

After the stop signal it reports unready at once, and exits within its grace
time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet

BALANCER_REMOVAL_DELAY_S = 2.3
"""Time in which the load balancer still sends new connections: it checks
readiness once a second and removes the instance after two failed checks."""
EXIT_MARGIN_S = 0.4
"""Time before the end of the grace time at which the process exits."""


@attrs.define
class StopState:
    """Whether and since when the process is stopping.

    Attributes:
        stopping_since: Monotonic time of the stop signal, or None.
        grace_s: Time from the stop signal to the kill.
    """

    stopping_since: float | None = None
    grace_s: float = 8.0

    @property
    def is_stopping(self) -> bool:
        """Whether the stop signal was received."""
        return self.stopping_since is not None

    def begin(self, now: float, settings: fleet.EntrySettings) -> None:
        """Records the stop signal; later signals change nothing."""
        if self.stopping_since is None:
            self.stopping_since = now
            self.grace_s = settings.stop_grace_s

    def left_s(self, now: float) -> float:
        """Returns the time until the process exits.

        It is infinite before the stop signal.
        """
        if self.stopping_since is None:
            return float("inf")
        return self.stopping_since + self.grace_s - EXIT_MARGIN_S - now

    def removal_left_s(self, now: float) -> float:
        """Returns the time until the load balancer sends nothing new.

        It is infinite before the stop signal.
        """
        if self.stopping_since is None:
            return float("inf")
        return self.stopping_since + BALANCER_REMOVAL_DELAY_S - now
