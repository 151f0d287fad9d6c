"""Runs timed code at the speed of the processor.

Time jumps to the next timer whenever nothing else is left to do, so hours
pass in moments and a run with one seed is the same on every machine.
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
    """The event loop's virtual time, and a wall clock that is off by a bit.

    Attributes:
        skew_s: Seconds that this wall clock is ahead.
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
        *arguments: What to call it with.
        seed: Decides the order of tasks that are ready at the same time.
    """
    # Installed for tests and measurements only.
    import trio
    import trio.testing

    # Trio offers no public way to repeat the order of its tasks.
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(
        function, *arguments, backend="trio", backend_options={"clock": clock}
    )
