"""Writes a state dump to stderr, as operators request it by SIGUSR1."""

from __future__ import annotations

import sys
from typing import TextIO
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.telemetry import dump


def write_dump(
    table_registry: dump.TableRegistry,
    clock: clock_contract.Clock,
    stream: TextIO | None = None,
) -> None:
    """Writes a dump as a line of JSON.

    Args:
        table_registry: Tables to dump.
        clock: Clock for the time of the dump.
        stream: Stream to write to; stderr if None.
    """
    captured = table_registry.take(clock.wall())
    output_stream = stream or sys.stderr
    output_stream.write(captured.to_json().decode() + "\n")
    output_stream.flush()
