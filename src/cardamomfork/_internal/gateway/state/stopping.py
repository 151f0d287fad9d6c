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
MIN_CALL_TIME_LEFT_S = 1.5
"""Time before the exit within which a request of unknown duration is not sent
any more."""
SERVICE_TIME_MARGIN = 2.0
"""Factor between the time left and the predicted time of a request, since
targets may be slower than predicted."""
REFUSAL_REASON = "stopping"
RETRY_AFTER_S = 0.05
"""Sent by a stopping instance; short, since other instances have capacity."""


@attrs.frozen
class RequestTimes:
    """What a stopping process has to know of a request to send it.

    Attributes:
        time_left_s: Time left until its time limit.
        service_s: Predicted time at a target; None if it isn't known.
        may_have_run: Whether it can't be refused any more, since an earlier
            attempt may have run it.
    """

    time_left_s: float
    service_s: float | None
    may_have_run: bool = False


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

    def may_send(self, times: RequestTimes, now: float) -> bool:
        """Returns whether a request that is sent to a target is likely to end.

        A request that is cut off at the exit leaves its caller in doubt, while
        one that is refused can go to another instance. So it is sent only if
        its time limit ends before the exit, or while the load balancer may
        still send the caller's next attempt here.

        Args:
            times: Times of the request.
            now: Monotonic time at which it would be sent.
        """
        left_s = self.left_s(now)
        if times.time_left_s <= left_s:
            return True
        if times.may_have_run:
            return (times.service_s or MIN_CALL_TIME_LEFT_S) <= left_s
        if self.removal_left_s(now) <= 0.0:
            return False
        if times.service_s is None:
            return left_s >= MIN_CALL_TIME_LEFT_S
        return times.service_s * SERVICE_TIME_MARGIN <= left_s
