"""Serves a `MemoryStore` over the subset of the etcd v3 JSON gateway in use.

Run it with `python -m cardamomfork._internal.standins.store_server PORT`. The
faults are those of the `StoreSession` behind it: `down` answers 503, a lost
answer closes the connection in mid-answer after the write took effect.
"""

from __future__ import annotations

import contextlib
import socket
import sys
from typing import Any
from typing import TYPE_CHECKING

import anyio
import msgspec
import result
import uvicorn

from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.links.platform import gateway_messages
from cardamomfork._internal.standins import store as store_standin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

STATUS_OF_FAULT = {
    store_contract.StoreFaultKind.UNAVAILABLE: 503,
    store_contract.StoreFaultKind.LEASE_GONE: 404,
}


class StoreApp:
    """ASGI application over one `StoreSession`."""

    def __init__(self, store: store_standin.MemoryStore) -> None:
        """Keeps the store; `faults` are the switches."""
        self._store = store
        self._session = store_standin.StoreSession(store)

    @property
    def faults(self) -> store_standin.StoreFaults:
        """Switches for the faults of all calls."""
        return self._session.faults

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one HTTP call."""
        body = msgspec.json.decode(await _body(receive))
        if scope["path"] == "/v3/watch":
            await self._watch(body["create_request"], receive, send)
            return
        handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keepalive,
            "/v3/lease/revoke": self._revoke,
        }
        await _answer(send, await handlers[scope["path"]](body))

    async def _range(self, body: dict[str, Any]) -> Any:
        """Serves /v3/kv/range for a key or a prefix."""
        key = gateway_messages.decode_bytes(body["key"]).decode()
        if "range_end" in body:
            scanned = await self._session.scan(key)
            return scanned.map(lambda s: self._found(s.entries))
        found = await self._session.get(key)
        return found.map(lambda entry: self._found((entry,) if entry else ()))

    async def _txn(self, body: dict[str, Any]) -> Any:
        """Serves a transaction of one comparison and one write."""
        (compare,) = body["compare"]
        (operation,) = body["success"]
        key = gateway_messages.decode_bytes(compare["key"]).decode()
        expected = int(compare["mod_revision"])
        written: Any
        if put := operation.get("request_put"):
            written = await self._session.put(
                key,
                gateway_messages.decode_bytes(put["value"]),
                expected=expected,
                lease=int(put.get("lease", "0")),
            )
        else:
            written = await self._session.delete(key, expected=expected)
        error = written.err()
        if isinstance(error, store_contract.CompareFailed):
            entries = (error.current,) if error.current else ()
            failed = {"response_range": self._found(entries)}
            return result.Ok({**self._header(), "responses": [failed]})
        return written.map(lambda _: {**self._header(), "succeeded": True})

    async def _grant(self, body: dict[str, Any]) -> Any:
        """Serves /v3/lease/grant."""
        granted = await self._session.grant_lease(float(body["TTL"]))
        return granted.map(_lease)

    async def _keepalive(self, body: dict[str, Any]) -> Any:
        """Serves /v3/lease/keepalive; a lapsed lease has no TTL."""
        renewed = await self._session.renew_lease(int(body["ID"]))
        gone = store_contract.StoreFaultKind.LEASE_GONE
        if renewed.is_err() and renewed.unwrap_err().kind is gone:
            return result.Ok({"result": {"ID": body["ID"]}})
        return renewed.map(lambda lease: {"result": _lease(lease)})

    async def _revoke(self, body: dict[str, Any]) -> Any:
        """Serves /v3/lease/revoke."""
        revoked = await self._session.revoke_lease(int(body["ID"]))
        return revoked.map(lambda _: self._header())

    async def _watch(
        self, create: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Serves a watch until the client leaves or a fault ends it."""
        prefix = gateway_messages.decode_bytes(create["key"]).decode()
        after = int(create.get("start_revision", "1")) - 1
        await _start(send, 200)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_at_disconnect, receive, tasks.cancel_scope)
            async with self._session.watch(prefix, after) as batches:
                async for batch in batches:
                    line = msgspec.json.encode(self._watch_message(batch))
                    await _send(send, line + b"\n", more=True)
            tasks.cancel_scope.cancel()
        await _send(send, b"", more=False)

    def _watch_message(self, batch: Any) -> dict[str, Any]:
        """Returns the message of a batch or of the fault that ends it."""
        if batch.is_err():
            compacted = store_contract.StoreFaultKind.COMPACTED
            revision = self._store.revision
            ended: dict[str, Any] = {"canceled": True}
            if batch.unwrap_err().kind is compacted:
                ended["compact_revision"] = str(revision)
            return {"result": ended}
        changes = batch.unwrap()
        return {
            "result": {
                "header": {"revision": str(changes.revision)},
                "events": [_event(entry) for entry in changes.entries],
            }
        }

    def _found(
        self, entries: tuple[store_contract.Entry, ...]
    ) -> dict[str, Any]:
        """Returns the answer that lists entries."""
        return {**self._header(), "kvs": [_key_value(e) for e in entries]}

    def _header(self) -> dict[str, Any]:
        """Returns the head of an answer."""
        return {"header": {"revision": str(self._store.revision)}}


class _Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


@contextlib.asynccontextmanager
async def serve(app: StoreApp, port: int = 0) -> AsyncIterator[str]:
    """Serves an application on the loopback address; yields `host:port`."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    server = _Server(
        uvicorn.Config(app, log_level="critical", lifespan="off", ws="none")
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        try:
            yield f"127.0.0.1:{listener.getsockname()[1]}"
        finally:
            server.should_exit = True
            server.force_exit = True


def _lease(lease: store_contract.Lease) -> dict[str, str]:
    """Returns a lease's message."""
    return {"ID": str(lease.lease_id), "TTL": str(int(lease.ttl_s))}


def _key_value(entry: store_contract.Entry) -> dict[str, str]:
    """Returns a key's message."""
    return {
        "key": gateway_messages.encode_bytes(entry.key.encode()),
        "value": gateway_messages.encode_bytes(entry.value),
        "mod_revision": str(entry.version),
        "lease": str(entry.lease),
    }


def _event(entry: store_contract.Entry) -> dict[str, Any]:
    """Returns a change's message."""
    if entry.version == store_contract.ABSENT:
        return {"type": "DELETE", "kv": _key_value(entry)}
    return {"kv": _key_value(entry)}


async def _body(receive: Any) -> bytes:
    """Reads the body of a call."""
    parts = bytearray()
    more = True
    while more:
        message = await receive()
        parts += message.get("body", b"")
        more = message.get("more_body", False)
    return bytes(parts)


async def _answer(send: Any, answered: Any) -> None:
    """Sends an answer; cuts the connection for one that is lost."""
    if answered.is_ok():
        await _start(send, 200)
        await _send(send, msgspec.json.encode(answered.unwrap()), more=False)
        return
    fault = answered.unwrap_err()
    if fault.kind is store_contract.StoreFaultKind.INDETERMINATE:
        await _start(send, 200)
        await _send(send, b"{", more=True)
        return
    message = f"etcdserver: {fault.kind}"
    if fault.kind is store_contract.StoreFaultKind.LEASE_GONE:
        message = "etcdserver: requested lease not found"
    await _start(send, STATUS_OF_FAULT[fault.kind])
    await _send(send, msgspec.json.encode({"message": message}), more=False)


async def _start(send: Any, status: int) -> None:
    """Sends the head of an answer."""
    headers = [(b"content-type", b"application/json")]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )


async def _send(send: Any, data: bytes, more: bool) -> None:
    """Sends a part of an answer's body."""
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def _cancel_at_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    """Waits until the client has left, then cancels the scope."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _run(port: int) -> None:
    """Serves an empty store until the process is ended."""
    store = store_standin.MemoryStore(clock_contract.LoopClock())
    async with serve(StoreApp(store), port) as endpoint:
        sys.stdout.write(f"{endpoint}\n")
        sys.stdout.flush()
        await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(_run, int(sys.argv[1]) if len(sys.argv) > 1 else 0)
