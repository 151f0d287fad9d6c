"""Serves a `MemoryStore` over the HTTP protocol of the platform's store.

Run it with `python -m cardamomfork._internal.standins.store_server PORT`. The
faults of its `StoreSession` apply: with `down`, calls are answered with 503;
for a lost answer, the connection closes during the answer, after the write took
effect.
"""

from __future__ import annotations

import contextlib
import socket
import sys
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import anyio
import msgspec
import result
import uvicorn

from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.platform import store_messages
from cardamomfork._internal.standins import store as store_standin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

PAGE_ITEMS = 500
MS_PER_S = 1000

OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
STATUS_BY_FAULT = {
    store_contract.StoreFaultKind.UNAVAILABLE: 503,
    store_contract.StoreFaultKind.LEASE_GONE: NOT_FOUND,
    store_contract.StoreFaultKind.COMPACTED: GONE,
}

_Answer = tuple[int, Any]
_CallOutcome = result.Result[_Answer, store_contract.StoreFault]


class StoreApp:
    """ASGI application over one `StoreSession`."""

    def __init__(self, store: store_standin.MemoryStore) -> None:
        """Initializes the application with one session on the store."""
        self._store = store
        self._session = store_standin.StoreSession(store)

    @property
    def faults(self) -> store_standin.StoreFaults:
        """Fault injection switches for all calls."""
        return self._session.faults

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one HTTP call."""
        body = await _read_body(receive)
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        _, _, name = scope["path"].partition("/-/")
        name, _, argument = name.partition("/")
        match name:
            case "kv-key":
                outcome = await self._read_key(query["key"])
            case "kv-range":
                outcome = await self._read_page(
                    query["prefix"], query.get("after", "")
                )
            case "kv-watch":
                outcome = await self._watch(
                    query["prefix"],
                    int(query["after"]),
                    int(query["waitMs"]) / MS_PER_S,
                )
            case "kv-txn":
                outcome = await self._commit(body)
            case "kv-lease":
                outcome = await self._grant_lease(body)
            case "kv-keep":
                outcome = await self._renew_lease(int(argument))
            case "kv-lease-end":
                outcome = await self._revoke_lease(int(argument))
            case _:
                outcome = result.Ok((NOT_FOUND, {}))
        await _send_answer(send, outcome, self._store.era)

    async def _read_key(self, key: str) -> _CallOutcome:
        """Returns one key."""
        found = await self._session.get(key)
        return found.map(
            lambda entry: (
                (OK, _to_item(entry))
                if entry is not None
                else (NOT_FOUND, store_messages.Items())
            )
        )

    async def _read_page(self, prefix: str, after: str) -> _CallOutcome:
        """Returns a page of the keys under a prefix."""
        scanned = await self._session.scan(prefix)
        if isinstance(scanned, result.Err):
            return scanned
        entries = [e for e in scanned.ok_value.entries if e.key > after]
        page = store_messages.Items(
            [_to_item(entry) for entry in entries[:PAGE_ITEMS]],
            len(entries) > PAGE_ITEMS,
            scanned.ok_value.revision,
        )
        return result.Ok((OK, page))

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> _CallOutcome:
        """Waits for changes and returns them; none after `wait_s`."""
        async with self._session.watch(prefix, after) as batches:
            with anyio.move_on_after(wait_s):
                async for batch in batches:
                    if isinstance(batch, result.Err):
                        return batch
                    if batch.ok_value.entries:
                        return result.Ok((OK, _to_events(batch.ok_value)))
        return result.Ok((OK, store_messages.Events([], self._store.revision)))

    async def _commit(self, body: bytes) -> _CallOutcome:
        """Commits a transaction of one comparison and one write."""
        request = msgspec.json.decode(body, type=store_messages.Transaction)
        (comparison,) = request.expect
        written: result.Result[
            store_contract.Entry | None,
            store_contract.CompareFailed | store_contract.StoreFault,
        ]
        if request.puts:
            (put,) = request.puts
            written = await self._session.put(
                put.key,
                store_messages.decode_value(put.value).unwrap(),
                expected=comparison.revision,
                lease=put.lease,
            )
        else:
            written = await self._session.delete(
                comparison.key, expected=comparison.revision
            )
        if isinstance(written, result.Ok):
            committed = store_messages.Committed(self._store.revision)
            return result.Ok((OK, committed))
        error = written.err_value
        if isinstance(error, store_contract.StoreFault):
            return result.Err(error)
        current = [_to_item(error.current)] if error.current else []
        return result.Ok((CONFLICT, store_messages.Items(current)))

    async def _grant_lease(self, body: bytes) -> _CallOutcome:
        """Grants a lease."""
        request = msgspec.json.decode(body, type=store_messages.LeaseRequest)
        granted = await self._session.grant_lease(request.ttl_ms / MS_PER_S)
        return granted.map(lambda lease: (OK, _to_lease(lease)))

    async def _renew_lease(self, lease_id: int) -> _CallOutcome:
        """Renews a lease."""
        renewed = await self._session.renew_lease(lease_id)
        return renewed.map(lambda lease: (OK, _to_lease(lease)))

    async def _revoke_lease(self, lease_id: int) -> _CallOutcome:
        """Revokes a lease."""
        ended = await self._session.revoke_lease(lease_id)
        return ended.map(lambda _: (OK, {}))


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

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


def _to_lease(lease: store_contract.Lease) -> store_messages.LeaseAnswer:
    """Converts a lease to its message."""
    ttl_ms = round(lease.ttl_s * MS_PER_S)
    return store_messages.LeaseAnswer(ttl_ms, lease.lease_id)


def _to_item(entry: store_contract.Entry) -> store_messages.Item:
    """Converts an entry to its message."""
    return store_messages.Item(
        entry.key,
        store_messages.encode_value(entry.value),
        entry.version,
        entry.lease,
        entry.version == store_contract.ABSENT,
    )


def _to_events(batch: store_contract.WatchBatch) -> store_messages.Events:
    """Converts a batch of changes to its message."""
    return store_messages.Events(
        [_to_item(entry) for entry in batch.entries], batch.revision
    )


async def _read_body(receive: Any) -> bytes:
    """Reads the body of a call."""
    parts = bytearray()
    more = True
    while more:
        message = await receive()
        parts += message.get("body", b"")
        more = message.get("more_body", False)
    return bytes(parts)


async def _send_answer(send: Any, outcome: _CallOutcome, era: int) -> None:
    """Sends an answer; sends an incomplete one to simulate its loss."""
    if isinstance(outcome, result.Ok):
        status, message = outcome.ok_value
        await _send_head(send, status, era)
        await _send_body(send, msgspec.json.encode(message), more=False)
        return
    fault = outcome.err_value
    if fault.kind is store_contract.StoreFaultKind.INDETERMINATE:
        await _send_head(send, OK, era)
        await _send_body(send, b"{", more=True)
        return
    await _send_head(send, STATUS_BY_FAULT[fault.kind], era)
    await _send_body(send, b"{}", more=False)


async def _send_head(send: Any, status: int, era: int) -> None:
    """Sends the head of an answer."""
    headers = [
        (b"content-type", b"application/json"),
        (b"store-era", b"%d" % era),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )


async def _send_body(send: Any, data: bytes, more: bool) -> None:
    """Sends a part of an answer's body."""
    await send({"type": "http.response.body", "body": data, "more_body": more})


async def _run(port: int) -> None:
    """Serves an empty store until the process is stopped."""
    store = store_standin.MemoryStore(clock_contract.LoopClock())
    async with serve(StoreApp(store), port) as endpoint:
        sys.stdout.write(f"{endpoint}\n")
        sys.stdout.flush()
        await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(_run, int(sys.argv[1]) if len(sys.argv) > 1 else 0)
