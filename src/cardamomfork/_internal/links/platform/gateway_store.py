"""The platform's store over the JSON gateway of the etcd v3 interface."""

from __future__ import annotations

import contextlib
import math
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import result

from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.links.platform import gateway_calls
from cardamomfork._internal.links.platform import gateway_messages

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator

    import httpcore

    from cardamomfork._internal.models import settings

WATCH_IDLE_S = 10.0
MAX_WATCH_LINE_BYTES = 64 * 1024 * 1024

T = TypeVar("T")


class GatewayStore:
    """Meets the `Store` contract."""

    def __init__(self, store_settings: settings.StoreSettings) -> None:
        """Opens nothing yet.

        Args:
            store_settings: Servers, time limit and key prefix.
        """
        self._prefix = store_settings.prefix
        self._calls = gateway_calls.GatewayCaller(
            store_settings.endpoints, store_settings.timeout_s
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._calls.close()

    async def get(
        self, key: str
    ) -> result.Result[store_contract.Entry | None, store_contract.StoreFault]:
        """Reads one key."""
        body = gateway_messages.range_request(self._prefix + key, prefix=False)
        answered = await self._call(
            "/v3/kv/range", body, key, gateway_messages.RangeAnswer, False
        )
        return answered.map(
            lambda found: self._entries(found)[0] if found.kvs else None
        )

    async def scan(
        self, prefix: str
    ) -> result.Result[store_contract.Scan, store_contract.StoreFault]:
        """Reads all keys under a prefix."""
        body = gateway_messages.range_request(
            self._prefix + prefix, prefix=True
        )
        answered = await self._call(
            "/v3/kv/range", body, prefix, gateway_messages.RangeAnswer, False
        )
        return answered.map(
            lambda found: store_contract.Scan(
                self._entries(found), int(found.header.revision)
            )
        )

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[
        store_contract.Entry,
        store_contract.CompareFailed | store_contract.StoreFault,
    ]:
        """Writes a key if it is at the expected version."""
        if len(value) > store_contract.MAX_VALUE_BYTES:
            return result.Err(
                store_contract.StoreFault(
                    store_contract.StoreFaultKind.UNAVAILABLE,
                    key,
                    f"The value has {len(value)} bytes, more than the store's"
                    f" {store_contract.MAX_VALUE_BYTES}.",
                )
            )
        written = await self._write(key, value, expected, lease)
        return written.map(
            lambda version: store_contract.Entry(key, value, version, lease)
        )

    async def delete(
        self, key: str, *, expected: int
    ) -> result.Result[
        None, store_contract.CompareFailed | store_contract.StoreFault
    ]:
        """Deletes a key if it is at the expected version."""
        deleted = await self._write(key, None, expected, 0)
        return deleted.map(lambda _: None)

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[store_contract.Lease, store_contract.StoreFault]:
        """Grants a new lease; the store counts in whole seconds."""
        body = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        answered = await self._call(
            "/v3/lease/grant", body, "lease", gateway_messages.LeaseAnswer
        )
        return answered.map(_lease)

    async def renew_lease(
        self, lease_id: int
    ) -> result.Result[store_contract.Lease, store_contract.StoreFault]:
        """Renews a lease."""
        answered = await self._call(
            "/v3/lease/keepalive",
            {"ID": str(lease_id)},
            "lease",
            gateway_messages.KeepAliveAnswer,
        )
        if isinstance(answered, result.Err):
            return answered
        renewed = _lease(answered.ok_value.result)
        if renewed.ttl_s > 0:
            return result.Ok(renewed)
        return result.Err(
            store_contract.StoreFault(
                store_contract.StoreFaultKind.LEASE_GONE, "lease"
            )
        )

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store_contract.StoreFault]:
        """Ends a lease and deletes the keys tied to it."""
        answered = await self._call(
            "/v3/lease/revoke", {"ID": str(lease_id)}, "lease", msgspec.Raw
        )
        if isinstance(answered, result.Ok):
            return result.Ok(None)
        gone = store_contract.StoreFaultKind.LEASE_GONE
        if answered.err_value.kind is gone:
            return result.Ok(None)
        return answered

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[
        AsyncIterator[
            result.Result[store_contract.WatchBatch, store_contract.StoreFault]
        ]
    ]:
        """Follows changes under a prefix after a revision.

        A watch that is silent for `WATCH_IDLE_S` ends with a fault: have the
        servers notify of progress more often than that.
        """
        batches = self._follow(prefix, from_revision)
        async with contextlib.aclosing(batches):
            yield batches

    async def _follow(
        self, prefix: str, from_revision: int
    ) -> AsyncGenerator[
        result.Result[store_contract.WatchBatch, store_contract.StoreFault],
        None,
    ]:
        """Yields batches until the first fault."""
        body = gateway_messages.watch_request(
            self._prefix + prefix, from_revision
        )
        detail = "The store ended the watch."
        try:
            async with self._calls.stream(
                "/v3/watch", body, WATCH_IDLE_S
            ) as response:
                async for line in _lines(response):
                    batch = self._batch(line, prefix)
                    yield batch
                    if isinstance(batch, result.Err):
                        return
        except (*gateway_calls.FAULTS, msgspec.DecodeError) as error:
            detail = f"The watch failed: {error!r}"
        self._calls.prefer_next()
        yield result.Err(
            store_contract.StoreFault(
                store_contract.StoreFaultKind.UNAVAILABLE, prefix, detail
            )
        )

    def _batch(
        self, line: bytes, prefix: str
    ) -> result.Result[store_contract.WatchBatch, store_contract.StoreFault]:
        """Reads one message of a watch."""
        message = msgspec.json.decode(
            line, type=gateway_messages.WatchMessage
        ).result
        if not message.canceled:
            entries = tuple(
                gateway_messages.changed_entry(event, self._prefix)
                for event in message.events
            )
            return result.Ok(
                store_contract.WatchBatch(entries, int(message.header.revision))
            )
        kind = store_contract.StoreFaultKind.UNAVAILABLE
        if int(message.compact_revision):
            kind = store_contract.StoreFaultKind.COMPACTED
        return result.Err(store_contract.StoreFault(kind, prefix))

    async def _write(
        self, key: str, value: bytes | None, expected: int, lease: int
    ) -> result.Result[
        int, store_contract.CompareFailed | store_contract.StoreFault
    ]:
        """Runs a compare-and-swap; returns the store's new revision."""
        body = gateway_messages.write_request(
            self._prefix + key, value, expected, lease
        )
        answered = await self._call(
            "/v3/kv/txn", body, key, gateway_messages.TxnAnswer
        )
        if isinstance(answered, result.Err):
            return answered
        answer = answered.ok_value
        if answer.succeeded:
            return result.Ok(int(answer.header.revision))
        found = answer.responses[0].response_range if answer.responses else None
        entries = self._entries(found) if found else ()
        return result.Err(
            store_contract.CompareFailed(key, entries[0] if entries else None)
        )

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        key: str,
        answer_type: type[T],
        writes: bool = True,
    ) -> result.Result[T, store_contract.StoreFault]:
        """Makes a call and decodes its answer."""
        answered = await self._calls.post(path, body, key, writes)
        if isinstance(answered, result.Err):
            return answered
        try:
            decoded = msgspec.json.decode(answered.ok_value, type=answer_type)
        except msgspec.DecodeError as error:
            unknown = store_contract.StoreFaultKind.INDETERMINATE
            nothing = store_contract.StoreFaultKind.UNAVAILABLE
            kind = unknown if writes else nothing
            return result.Err(
                store_contract.StoreFault(kind, key, f"Unreadable: {error}")
            )
        return result.Ok(decoded)

    def _entries(
        self, found: gateway_messages.RangeAnswer
    ) -> tuple[store_contract.Entry, ...]:
        """Returns the entries of an answer."""
        return tuple(
            gateway_messages.entry_of(kv, self._prefix) for kv in found.kvs
        )


def _lease(answer: gateway_messages.LeaseAnswer) -> store_contract.Lease:
    """Returns the lease that an answer names."""
    return store_contract.Lease(int(answer.lease_id), float(answer.ttl))


async def _lines(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yields the lines of a streamed answer."""
    pending = bytearray()
    async for part in response.aiter_stream():
        pending += part
        if len(pending) > MAX_WATCH_LINE_BYTES:
            raise msgspec.DecodeError("a watch message is too large")
        *whole, rest = pending.split(b"\n")
        for line in whole:
            if line.strip():
                yield bytes(line)
        pending = bytearray(rest)
