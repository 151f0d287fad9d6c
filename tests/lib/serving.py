"""Runs the daemon's components and stand-in targets on one event loop.

They communicate over real sockets.
"""

import contextlib
import json
import socket

import anyio
import attrs
import httpcore

from cardamomfork._internal import wiring
from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import settings
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import engine
from cardamomfork._internal.standins import engine_runs
from cardamomfork._internal.standins import local_dependencies
from cardamomfork._internal.standins import plain_service
from cardamomfork._internal.standins import store as store_standin

HOST = "127.0.0.1"
MODEL = "test-model"
FAST = engine_runs.EngineProfile(prefill_tokens_per_s=1e7, decode_s=0.0002)
TEST_TIMEOUT_S = 60


def run(function):
    """Runs an async test on the event loop type that the daemon uses."""

    async def bounded():
        with anyio.fail_after(TEST_TIMEOUT_S):
            await function()

    anyio.run(bounded, backend_options=event_loop.BACKEND_OPTIONS)


@attrs.define(slots=False)
class Answer:
    """A response as received by a caller."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def text(self):
        """The concatenated text of a stream's completion events."""
        events = self.body.decode().split("\n\n")
        data = [e.removeprefix("data: ") for e in events if e[:6] == "data: "]
        pieces = [json.loads(d) for d in data if d != "[DONE]"]
        return "".join(p["choices"][0]["text"] for p in pieces)


@attrs.define(slots=False)
class Site:
    """A running daemon with its stand-in targets."""

    daemon: wiring.Daemon
    engines: list
    ledger: plain_service.StandinService
    keys: dict
    port: int
    pool: httpcore.AsyncConnectionPool
    store: store_standin.StoreSession

    @property
    def streams(self):
        """The open streams from targets."""
        return list(self.daemon.idle_watch._streams)

    def url(self, path):
        return f"http://{HOST}:{self.port}{path}"

    def headers(self, account="first", **extra):
        extra_headers = [(k.replace("_", "-"), v) for k, v in extra.items()]
        return [
            ("Authorization", f"Bearer {self.keys[account]}"),
            *extra_headers,
        ]

    async def post(self, path, body, account="first", **headers):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        response = await self.pool.request(
            "POST",
            self.url(path),
            headers=self.headers(account, **headers),
            content=content,
        )
        response_headers = {
            k.lower().decode(): v.decode() for k, v in response.headers
        }
        return Answer(response.status, response_headers, response.content)

    async def get(self, path, account="first"):
        response = await self.pool.request(
            "GET", self.url(path), headers=self.headers(account)
        )
        return Answer(response.status, {}, response.content)

    async def complete(self, max_tokens=20, stream=True, **headers):
        """Sends one short completion."""
        return await self.post(
            "/v1/completions", prompt(max_tokens, stream), **headers
        )

    async def open_raw(self, max_tokens, receive_buffer=None):
        """Opens a stream on a raw socket, so that the test controls reading."""
        client_socket = socket.socket()
        if receive_buffer:
            client_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        client_socket.setblocking(False)
        await anyio.to_thread.run_sync(
            client_socket.connect_ex, (HOST, self.port)
        )
        body = json.dumps(prompt(max_tokens, True)).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            f"authorization: Bearer {self.keys['first']}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        await anyio.wait_writable(client_socket)
        client_socket.send(head.encode() + body)
        return client_socket


def prompt(max_tokens=20, stream=True):
    return {
        "model": MODEL,
        "prompt": "Which board is cracked?",
        "max_tokens": max_tokens,
        "stream": stream,
    }


@contextlib.asynccontextmanager
async def site(engines=1, speed=FAST, callers=None, account=None):
    """Runs a daemon with stand-in engines and a stand-in ledger service."""
    daemon_settings = settings.DaemonSettings(
        callers=callers or settings.CallerSettings(port=0)
    )
    memory = store_standin.MemoryStore(clock.LoopClock())
    store = store_standin.StoreSession(memory)
    daemon = wiring.wire(
        daemon_settings, store, local_dependencies.make_local_dependencies()
    )
    ledger = plain_service.StandinService()
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        all_engines = [
            engine.StandinEngine((MODEL,), speed) for _ in range(engines)
        ]
        ports = [
            await _serve(stack, stand_in) for stand_in in [*all_engines, ledger]
        ]
        for stand_in in all_engines:
            tasks.start_soon(stand_in.run)
        daemon.apply_service(_engines(ports[:-1], speed))
        daemon.apply_service(_ledger(ports[-1]))
        keys = {}
        for name in ("first", "second"):
            generated_key = key_hashes.generate()
            keys[name] = generated_key.text
            daemon.apply_account(
                attrs.evolve(
                    account or configuration.ClientAccount(""),
                    name=identifiers.AccountName(name),
                    keys=(generated_key.hashed,),
                )
            )
        daemon.start(tasks)
        port = await _serve(stack, wiring.make_application(daemon, daemon.keys))
        pool = httpcore.AsyncConnectionPool()
        await stack.enter_async_context(pool)
        yield Site(daemon, all_engines, ledger, keys, port, pool, store)


async def _serve(stack, application):
    server = http_server.HttpServer(
        application, http_server.open_listener(HOST, 0), protocol.CallerProtocol
    )
    await stack.enter_async_context(server.running())
    return server.port


def _engines(ports, speed):
    return configuration.Service(
        name=identifiers.ServiceName("test-pool"),
        kind=configuration.ServiceKind.MODEL,
        models=(MODEL,),
        targets=tuple(
            targets.Target(
                target_id=identifiers.TargetId(f"engine-{index}"),
                kind=targets.TargetKind.ENGINE,
                host=HOST,
                port=port,
                data_centre=identifiers.DataCentreId("local"),
                memory_tokens=speed.memory_tokens,
                exports_kv=True,
            )
            for index, port in enumerate(ports)
        ),
    )


def _ledger(port):
    return configuration.Service(
        name=identifiers.ServiceName("ledger"),
        kind=configuration.ServiceKind.PLAIN,
        idempotent=False,
        targets=(
            targets.Target(
                target_id=identifiers.TargetId("ledger-0"),
                kind=targets.TargetKind.PLAIN,
                host=HOST,
                port=port,
                data_centre=identifiers.DataCentreId("local"),
            ),
        ),
    )


async def until(condition):
    """Polls until a condition holds; the test's timeout bounds the wait."""
    while not condition():  # noqa: ASYNC110
        await anyio.sleep(0.005)
