"""The one client for the platform's store; meets `PolledStore`."""

from __future__ import annotations

import socket
from typing import TypeVar
import urllib.parse

import anyio
import attrs
import httpcore
import msgspec
import result

from cardamomfork._internal.contracts import store
from cardamomfork._internal.platform import store_messages

CALL_TIMEOUT_S = 1.5
"""An answer takes milliseconds, and 60 times as long on a slow store."""
WATCH_MARGIN_S = 0.6
"""Time beyond the wait after which a watch counts as silent."""
USER_TIMEOUT_MS = 1500
"""Unacknowledged bytes end a connection after this."""
MAX_CONNECTIONS = 16
KEEP_ALIVE_S = 20.0

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_REFUSED = (429, 503, 403)

_T = TypeVar("_T")


@attrs.frozen
class _Answer:
    """Status and body of an answer."""

    status: int
    body: bytes


class PlatformStore:
    """Speaks to the store over a pool of connections."""

    def __init__(self, host: str, port: int) -> None:
        """Opens nothing yet."""
        self._origin = f"http://{host}:{port}"
        self._pool = self._make_pool()

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def scan(
        self, prefix: str
    ) -> result.Result[store.Scan, store.StoreFault]:
        """Reads all keys under a prefix; a watch may follow its revision."""
        entries: list[store.Entry] = []
        revision = 0
        after = ""
        while True:
            query = urllib.parse.urlencode(
                {"prefix": prefix, "after": after}
                if after
                else {"prefix": prefix}
            )
            called = await self._call("GET", f"/-/kv-range?{query}", prefix)
            if isinstance(called, result.Err):
                return called
            page = _decode(called.ok_value, store_messages.Items, prefix)
            if isinstance(page, result.Err):
                return page
            found = _to_entries(page.ok_value.items, prefix)
            if isinstance(found, result.Err):
                return found
            entries += found.ok_value
            # Later pages may be newer; a watch from the first misses nothing.
            revision = revision or page.ok_value.store_revision
            if not page.ok_value.more_pages or not page.ok_value.items:
                return result.Ok(store.Scan(tuple(entries), revision))
            after = page.ok_value.items[-1].key

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[store.Entry, store.CompareFailed | store.StoreFault]:
        """Writes a key if it is at the expected version."""
        written = await self._commit(
            store_messages.Transaction(
                expect=[store_messages.Comparison(key, expected)],
                puts=[
                    store_messages.Write(
                        key, store_messages.encode_value(value), lease
                    )
                ],
            ),
            key,
        )
        return written.map(
            lambda revision: store.Entry(key, value, revision, lease)
        )

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[store.Lease, store.StoreFault]:
        """Grants a new lease."""
        body = msgspec.json.encode(
            store_messages.LeaseRequest(round(ttl_s * 1000))
        )
        called = await self._call("POST", "/-/kv-lease", "lease", body)
        if isinstance(called, result.Err):
            return called
        return _decode(
            called.ok_value, store_messages.LeaseAnswer, "lease"
        ).map(lambda answer: store.Lease(answer.lease, answer.ttl_ms / 1000))

    async def renew_lease(
        self, lease_id: int
    ) -> result.Result[store.Lease, store.StoreFault]:
        """Renews a lease; `LEASE_GONE` once it has lapsed."""
        called = await self._call("POST", f"/-/kv-keep/{lease_id}", "lease")
        if isinstance(called, result.Err):
            return called
        if called.ok_value.status == _NOT_FOUND:
            return _fault(store.StoreFaultKind.LEASE_GONE, "lease")
        return _decode(
            called.ok_value, store_messages.LeaseAnswer, "lease"
        ).map(lambda answer: store.Lease(lease_id, answer.ttl_ms / 1000))

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[store.WatchBatch, store.StoreFault]:
        """Returns changes after a revision; waits for the first."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "waitMs": round(wait_s * 1000)}
        )
        called = await self._call(
            "GET",
            f"/-/kv-watch?{query}",
            prefix,
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        if isinstance(called, result.Err):
            return called
        return _to_batch(called.ok_value, prefix, after)

    async def _commit(
        self, transaction: store_messages.Transaction, key: str
    ) -> result.Result[int, store.CompareFailed | store.StoreFault]:
        """Carries out a transaction on one key; returns its revision."""
        called = await self._call(
            "POST", "/-/kv-txn", key, msgspec.json.encode(transaction)
        )
        if isinstance(called, result.Err):
            return called
        if called.ok_value.status == _NOT_FOUND:
            return _fault(store.StoreFaultKind.LEASE_GONE, key)
        if called.ok_value.status != _CONFLICT:
            return _decode(called.ok_value, store_messages.Committed, key).map(
                lambda committed: committed.revision
            )
        found = _decode(called.ok_value, store_messages.Items, key).and_then(
            lambda items: _to_entries(items.items, key)
        )
        if isinstance(found, result.Err):
            return found
        current = next(
            (
                entry
                for entry in found.ok_value
                if entry.key == key and entry.version != store.ABSENT
            ),
            None,
        )
        return result.Err(store.CompareFailed(key, current))

    async def _call(
        self,
        method: str,
        path: str,
        key: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[_Answer, store.StoreFault]:
        """Makes one call and sorts what can go wrong with any of them."""
        kinds = store.StoreFaultKind
        try:
            with anyio.fail_after(timeout_s):
                response = await self._pool.request(
                    method,
                    self._origin + path,
                    headers={"Content-Type": "application/json"},
                    content=body,
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return _fault(kinds.UNAVAILABLE, key, repr(error))
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            TimeoutError,
        ) as error:
            return _fault(kinds.INDETERMINATE, key, repr(error))
        status = response.status
        if status in _REFUSED:
            return _fault(kinds.UNAVAILABLE, key, f"status {status}")
        if status == _GONE:
            return _fault(kinds.COMPACTED, key)
        if status not in (_OK, _NOT_FOUND, _CONFLICT):
            return _fault(kinds.INDETERMINATE, key, f"status {status}")
        return result.Ok(_Answer(status, response.content))

    def _make_pool(self) -> httpcore.AsyncConnectionPool:
        """Makes the pool; a connection that timed out is not used again."""
        return httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE_S,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                (
                    socket.IPPROTO_TCP,
                    socket.TCP_USER_TIMEOUT,
                    USER_TIMEOUT_MS,
                ),
            ],
        )


def _fault(
    kind: store.StoreFaultKind, key: str, detail: str = ""
) -> result.Err[store.StoreFault]:
    """Returns a fault as an error."""
    return result.Err(store.StoreFault(kind, key, detail))


def _decode(
    answer: _Answer, kind: type[_T], key: str
) -> result.Result[_T, store.StoreFault]:
    """Decodes a body; a status without the expected body is a fault."""
    try:
        return result.Ok(msgspec.json.decode(answer.body, type=kind))
    except msgspec.DecodeError as error:
        return _fault(
            store.StoreFaultKind.INDETERMINATE,
            key,
            f"status {answer.status}: {error}",
        )


def _to_entries(
    items: list[store_messages.Item], key: str
) -> result.Result[list[store.Entry], store.StoreFault]:
    """Returns items as entries."""
    try:
        return result.Ok([item.to_entry() for item in items])
    except ValueError as error:
        return _fault(store.StoreFaultKind.INDETERMINATE, key, str(error))


def _to_batch(
    answer: _Answer, prefix: str, revision: int
) -> result.Result[store.WatchBatch, store.StoreFault]:
    """Returns the changes that a watch brought, never an older revision."""
    decoded = _decode(answer, store_messages.Events, prefix)
    if isinstance(decoded, result.Err):
        return decoded
    found = _to_entries(decoded.ok_value.events, prefix)
    if isinstance(found, result.Err):
        return found
    newest = max(revision, decoded.ok_value.store_revision)
    return result.Ok(store.WatchBatch(tuple(found.ok_value), newest))
