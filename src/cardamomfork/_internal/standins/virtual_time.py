"""Runs timed code in virtual time.

When no task is ready, time jumps to the next timer, so hours of virtual time
take seconds. A run with a given seed is the same on every machine.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio
import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

EPOCH_S = 1_750_000_000.0
T = TypeVar("T")


@attrs.frozen
class VirtualClock:
    """Clock of the event loop's virtual time, with a skewed wall clock.

    Attributes:
        skew_s: Seconds by which the wall clock is ahead.
    """

    skew_s: float = 0.0

    def monotonic(self) -> float:
        """Returns the loop's time in seconds."""
        return anyio.current_time()

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return EPOCH_S + self.skew_s + anyio.current_time()


def run(
    function: Callable[..., Awaitable[T]], *arguments: Any, seed: int = 0
) -> T:
    """Runs a coroutine function to its end in virtual time.

    Args:
        function: The coroutine function.
        *arguments: Arguments of the function.
        seed: Seed for the order of tasks that are ready at the same time.
    """
    # trio is installed for tests and measurements only.
    import trio
    import trio.testing

    # Trio has no public API for a reproducible task order.
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(
        function, *arguments, backend="trio", backend_options={"clock": clock}
    )
