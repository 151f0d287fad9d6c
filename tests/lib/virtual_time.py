"""Runs async tests under a clock that jumps over waiting."""

import anyio
import trio.testing


def run(function, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(
        function, *arguments, backend="trio", backend_options={"clock": clock}
    )
