"""Writes a state dump to stderr when the process gets SIGUSR1."""

from __future__ import annotations

import signal
import sys
from typing import TextIO
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.telemetry import dump


async def dump_on_signal(
    table_registry: dump.TableRegistry,
    clock: clock_contract.Clock,
    stream: TextIO | None = None,
) -> None:
    """Dumps at each SIGUSR1, one line of JSON each, until cancelled.

    Args:
        state: The tables.
        clock: Its wall time is put into the dump.
        stream: Where to write; stderr if absent.
    """
    with anyio.open_signal_receiver(signal.SIGUSR1) as received:
        async for _ in received:
            captured = table_registry.take(clock.wall())
            output_stream = stream or sys.stderr
            output_stream.write(captured.to_json().decode() + "\n")
            output_stream.flush()
