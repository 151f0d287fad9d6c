"""Runs background tasks and restarts those that fail.

A failure that no one expected ends its own task only, for a time that is
short at first. It is logged and counted, so that it doesn't stay unseen. No
failure of a task ends the process: a new process would meet the same cause,
and the requests in progress would be lost.
"""

from __future__ import annotations

import math
import random
import time
import types
from typing import Any
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

MIN_BACKOFF_S = 0.1
"""Longest delay before the first restart."""
MAX_BACKOFF_S = 10.0
"""Longest delay before a restart of a task that may be late."""
PROMPT_MAX_BACKOFF_S = 1.0
"""The same for a task whose results are needed within some seconds."""
STABLE_RUN_S = 30.0
"""Time after which a task counts as running well, so that the next failure is
followed by a short delay again."""
LOG_BURST = 5
LOG_INTERVAL_S = 60.0
"""Of each task, `LOG_BURST` failures in succession are logged, then one per
interval."""


@attrs.define
class _LogLimit:
    """Limit on the log lines of one task.

    Attributes:
        left: Lines that may be logged now, with a fraction.
        updated_at: Monotonic time at which `left` was computed.
    """

    left: float = float(LOG_BURST)
    updated_at: float = -math.inf

    def allows(self, now: float) -> bool:
        """Returns whether a line may be logged, and counts it."""
        earned = (now - self.updated_at) / LOG_INTERVAL_S
        self.left = min(self.left + earned, float(LOG_BURST))
        self.updated_at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class Supervisor:
    """Restarts, logs and counts background tasks that fail."""

    def __init__(
        self,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the supervisor without tasks.

        Args:
            rng: Random generator for the delay of restarts; None for one of
                its own.
            clock: Monotonic time.
        """
        self._rng = rng or random.Random()
        self._clock = clock
        self._failures: dict[str, int] = {}
        self._log_limits: dict[str, _LogLimit] = {}

    @property
    def failures(self) -> Mapping[str, int]:
        """Number of failures by the name of the task."""
        return types.MappingProxyType(self._failures)

    def register(self, name: str) -> None:
        """Adds a name whose failures are counted."""
        self._failures.setdefault(name, 0)

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        name: str,
        function: Callable[..., Awaitable[object]],
        *arguments: Any,
        max_backoff_s: float = MAX_BACKOFF_S,
        may_return: Callable[[], bool] = lambda: False,
    ) -> None:
        """Starts a task that is restarted when it fails, until cancelled.

        Args:
            tasks: Task group in which it runs.
            name: Name in logs and metrics.
            function: The task. It is called again for each restart.
            *arguments: Arguments of the function.
            max_backoff_s: Longest delay of a restart, in seconds.
            may_return: Returns whether the task is complete once it has
                returned. Otherwise that counts as a failure.
        """
        self.register(name)
        tasks.start_soon(
            self._supervise,
            name,
            function,
            arguments,
            max_backoff_s,
            may_return,
        )

    async def run_once(
        self,
        name: str,
        function: Callable[..., Awaitable[object]],
        *arguments: Any,
    ) -> bool:
        """Runs a part of a task whose failure must not end the other parts.

        Args:
            name: Name in logs and metrics.
            function: The part.
            *arguments: Arguments of the function.

        Returns:
            Whether it ended without an exception.
        """
        error = await _capture(function, arguments)
        if error is not None:
            self.record_failure(name, error)
        return error is None

    def call(
        self, name: str, function: Callable[..., object], *arguments: Any
    ) -> bool:
        """Does the same as `run_once` for a function that doesn't wait."""
        try:
            function(*arguments)
        except Exception as error:  # noqa: BLE001  # Any failure is contained.
            self.record_failure(name, error)
            return False
        return True

    def record_failure(
        self,
        name: str,
        error: BaseException | None,
        *,
        reason: str = "",
        restart_s: float | None = None,
    ) -> None:
        """Counts a failure and logs it.

        Args:
            name: Name in logs and metrics.
            error: The exception, or None.
            reason: What happened, if there is no exception.
            restart_s: Time until the task is restarted, in seconds, or None.
        """
        count = self._failures.get(name, 0) + 1
        self._failures[name] = count
        limit = self._log_limits.setdefault(name, _LogLimit())
        if limit.allows(self._clock()):
            logger.opt(exception=error).error(
                "background task failed",
                name=name,
                reason=reason,
                count=count,
                seconds=None if restart_s is None else round(restart_s, 3),
            )

    async def _supervise(
        self,
        name: str,
        function: Callable[..., Awaitable[object]],
        arguments: tuple[Any, ...],
        max_backoff_s: float,
        may_return: Callable[[], bool],
    ) -> None:
        """Runs a task again and again until it is complete or cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            started_at = self._clock()
            error = await _capture(function, arguments)
            if error is None and may_return():
                return
            if self._clock() - started_at >= STABLE_RUN_S:
                backoff_s = MIN_BACKOFF_S
            delay_s = backoff_s * (0.5 + 0.5 * self._rng.random())
            self.record_failure(
                name,
                error,
                reason="returned" if error is None else "",
                restart_s=delay_s,
            )
            del error  # Its frames would be kept during the delay.
            await anyio.sleep(delay_s)
            backoff_s = min(backoff_s * 2, max_backoff_s)


async def _capture(
    function: Callable[..., Awaitable[object]], arguments: tuple[Any, ...]
) -> BaseException | None:
    """Runs a function; returns its exception, or None.

    A cancellation passes through. Under asyncio, waiting for a future that
    someone else has cancelled raises the same exception; that is a failure.
    """
    try:
        await function(*arguments)
    except anyio.get_cancelled_exc_class() as error:
        if anyio.current_effective_deadline() == -math.inf:
            raise
        return error
    except Exception as error:  # noqa: BLE001  # Any failure is contained.
        return error
    return None
