"""Runs the stand-ins as separate processes.

    python -m cardamomfork._internal.standins.programs engine --port 0

Each prints `{"port": N}` once it listens. The service then prints a line
`{"run": N, "body": "..."}` for each execution.
"""

from __future__ import annotations

import sys
from typing import Any

import anyio
import cyclopts
import msgspec

from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.standins import engine
from cardamomfork._internal.standins import engine_runs
from cardamomfork._internal.standins import plain_service

HOST = "127.0.0.1"

_program = cyclopts.App(name="cardamomfork-standins")


def print_line(fields: dict[str, Any]) -> None:
    """Prints one JSON line and flushes the output."""
    sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
    sys.stdout.flush()


def _print_execution(run: int, body: bytes) -> None:
    """Reports an execution of the service."""
    print_line({"run": run, "body": body.decode(errors="replace")})


async def _serve(application: Any, port: int) -> None:
    """Serves until the process is stopped."""
    server = http_server.HttpServer(
        application,
        http_server.open_listener(HOST, port),
        protocol.CallerProtocol,
    )
    print_line({"port": server.port})
    await server.serve()


async def _serve_engine(application: engine.StandinEngine, port: int) -> None:
    """Serves an engine and runs its scheduler."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(application.run)
        await _serve(application, port)


@_program.command(name="engine")
def run_engine(
    *, model: str = "demo-model", port: int = 0, decode_ms: float = 5.0
) -> None:
    """Runs a model engine.

    Args:
        model: The model it serves.
        port: TCP port; 0 picks one.
        decode_ms: Time between two tokens of a sequence, in milliseconds.
    """
    profile = engine_runs.EngineProfile(decode_s=decode_ms / 1000.0)
    anyio.run(_serve_engine, engine.StandinEngine((model,), profile), port)


@_program.command(name="service")
def run_service(*, port: int = 0, delay_ms: float = 0.0) -> None:
    """Runs a plain service.

    Args:
        port: TCP port; 0 picks one.
        delay_ms: Time a call takes, in milliseconds.
    """
    service = plain_service.StandinService(_print_execution)
    service.faults.delay_s = delay_ms / 1000.0
    anyio.run(_serve, service, port)


if __name__ == "__main__":
    _program()
