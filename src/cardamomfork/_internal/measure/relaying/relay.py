"""Runs a relay under measurement in its own process.

Run as `python -m cardamomfork._internal.measure.relaying.relay WAY PORT`;
prints its port, then answers each input line with its processor time in
seconds. WAY `daemon` is the data path of the daemon with all its components;
`plain` and `raw` are relays to compare it with.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import anyio
import httpcore
import httptools

from cardamomfork._internal import wiring
from cardamomfork._internal.accounts import embedded_keys as embedded_accounts
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import settings
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import local_dependencies

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_HOST = "127.0.0.1"
_READ_BYTES = 65536
_MAX_BATCH = 10_000


class PlainRelay:
    """An ASGI application for uvicorn that relays by httpcore's public API."""

    def __init__(self, port: int) -> None:
        """Initializes the relay.

        Args:
            port: Port of the engine.
        """
        self._url = f"http://{_HOST}:{port}/v1/chat/completions"
        self._pool = httpcore.AsyncConnectionPool(max_connections=None)

    async def __call__(
        self,
        scope: dict[str, Any],  # noqa: ARG002
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Relays one stream."""
        body = (await receive())["body"]
        headers: dict[bytes | str, bytes | str] = {
            "x-attempt-id": identifiers.new_attempt_id(),
            "content-length": str(len(body)),
        }
        async with self._pool.stream(
            "POST", self._url, headers=headers, content=body
        ) as response:
            await send(
                {"type": "http.response.start", "status": 200, "headers": []}
            )
            await self._relay(response, send)

    async def _relay(
        self,
        response: httpcore.Response,
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Relays each chunk as one ASGI message."""
        async for chunk in response.aiter_stream():
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )


class RawRelay(PlainRelay):
    """Bypasses httpcore after the head and parses with httptools."""

    async def _relay(
        self,
        response: httpcore.Response,
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Relays the content of each read as one ASGI message."""
        stream = response.extensions["network_stream"]
        parts: list[bytes] = []
        receiver = _BodyCollector(parts)
        parser = httptools.HttpResponseParser(receiver)
        parser.feed_data(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        while True:
            data = await stream.read(_READ_BYTES)
            parser.feed_data(data)
            body = b"".join(parts)
            parts.clear()
            await send(
                {"type": "http.response.body", "body": body, "more_body": True}
            )


class _BodyCollector:
    """Parser callbacks that collect the content of chunks."""

    def __init__(self, parts: list[bytes]) -> None:
        """Initializes the collector.

        Args:
            parts: List to which the content is appended.
        """
        self._parts = parts

    def on_body(self, body: bytes) -> None:
        """Collects a piece of content."""
        self._parts.append(body)


def _make_daemon_settings() -> settings.DaemonSettings:
    """Returns settings that serve callers on a free port."""
    return settings.DaemonSettings(callers=settings.CallerSettings(port=0))


def _configure(daemon: wiring.Daemon, port: int) -> None:
    """Applies a service with the engine, and an account."""
    target = targets.Target(
        target_id=identifiers.TargetId("engine"),
        kind=targets.TargetKind.ENGINE,
        host=_HOST,
        port=port,
        data_centre=identifiers.DataCentreId("local"),
        memory_tokens=1_000_000_000,
        max_batch=_MAX_BATCH,
    )
    daemon.apply_service(
        configuration.Service(
            name=identifiers.ServiceName("demo"),
            kind=configuration.ServiceKind.MODEL,
            models=("demo-model",),
            targets=(target,),
        )
    )
    daemon.apply_account(
        configuration.ClientAccount(
            name=identifiers.AccountName("demo"), max_concurrent=_MAX_BATCH
        )
    )


async def _answer_process_time() -> None:
    """Answers each input line with the processor time of the process."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        print(json.dumps({"cpu_s": time.process_time()}), flush=True)


async def _serve(way: str, port: int) -> None:
    """Serves until the standard input ends."""
    async with anyio.create_task_group() as tasks:
        application: Any = None
        if way == "daemon":
            daemon = wiring.wire(
                _make_daemon_settings(),
                None,
                local_dependencies.make_local_dependencies(),
            )
            _configure(daemon, port)
            keys = embedded_accounts.EmbeddedKeys(
                identifiers.AccountName("demo"), "demo-key", daemon.keys
            )
            application = wiring.make_application(daemon, keys)
            daemon.start(tasks)
        else:
            application = {"plain": PlainRelay, "raw": RawRelay}[way](port)
        server = http_server.HttpServer(
            application,
            http_server.open_listener(_HOST, 0),
            protocol.CallerProtocol,
        )
        async with server.running():
            print(json.dumps({"port": server.port}), flush=True)
            await _answer_process_time()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(
        _serve,
        sys.argv[1],
        int(sys.argv[2]),
        backend_options=(
            event_loop.BACKEND_OPTIONS
            if sys.argv[1] == "daemon"
            else {"use_uvloop": True}
        ),
    )
