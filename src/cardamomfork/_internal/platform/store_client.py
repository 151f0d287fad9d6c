"""Client of the platform's store."""

from __future__ import annotations

from collections import OrderedDict
import contextlib
from typing import TYPE_CHECKING
from typing import TypeVar
import urllib.parse

import attrs
import msgspec
import result

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.contracts import store
from cardamomfork._internal.links import store_eras
from cardamomfork._internal.platform import store_calls
from cardamomfork._internal.platform import store_messages

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from cardamomfork._internal.models import settings

WATCH_WAIT_S = 2.0
"""Long-poll duration of a watch; an empty batch is yielded after it."""
WATCH_MARGIN_S = 0.6
"""Time beyond `WATCH_WAIT_S` after which a watch call times out."""
MAX_LEASES = 1024
"""Leases of one client whose era is kept."""

MAX_SCAN_BYTES = 48_000_000
"""Values that a scan holds; further ones only up to `MAX_SMALL_VALUE_BYTES`."""
MAX_SMALL_VALUE_BYTES = 2048
"""A sound entry of a target or an instance has some hundred bytes."""

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412

_T = TypeVar("_T")


class PlatformStore:
    """Client of the platform's store; implements `Store` and `PolledStore`."""

    def __init__(
        self,
        store_settings: settings.StoreSettings,
        transport: store_calls.Transport | None = None,
    ) -> None:
        """Initializes the client; connections open on first use.

        Args:
            store_settings: Servers, time limit and key prefix.
            transport: Sends the calls; None for HTTP.
        """
        self._prefix = store_settings.prefix
        self._eras = store_eras.EraTracker()
        self._lease_eras: OrderedDict[int, int] = OrderedDict()
        self._client = store_calls.StoreCalls(
            store_settings.endpoints,
            store_settings.timeout_s,
            transport or store_calls.HttpTransport(),
            self._eras,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def get(
        self, key: str
    ) -> result.Result[store.Entry | None, store.StoreFault]:
        """Reads one key."""
        query = urllib.parse.urlencode({"key": self._prefix + key})
        response = await self._read(f"/-/kv-key?{query}", key)
        if isinstance(response, result.Err):
            return response
        if response.ok_value.status == _NOT_FOUND:
            return result.Ok(None)
        era = response.ok_value.era
        return _decode(
            response.ok_value, store_messages.decode_item, key
        ).and_then(
            lambda item: self._to_entries([item], key, era).map(
                lambda entries: entries[0]
            )
        )

    async def scan(
        self, prefix: str
    ) -> result.Result[store.Scan, store.StoreFault]:
        """Reads all keys under a prefix.

        A watch can start from the returned revision without missing changes.
        """
        entries: list[store.Entry] = []
        held_bytes = 0
        revision = 0
        after = ""
        page_ends: set[str] = set()
        era: int | None = None
        while True:
            query = {"prefix": self._prefix + prefix}
            if after:
                query["after"] = after
            response = await self._read(
                f"/-/kv-range?{urllib.parse.urlencode(query)}", prefix
            )
            if isinstance(response, result.Err):
                return response
            if era not in (None, response.ok_value.era):
                return _fault_result(
                    store.StoreFaultKind.UNAVAILABLE,
                    prefix,
                    "The store was restored during the scan.",
                )
            era = response.ok_value.era
            page = _decode(
                response.ok_value, store_messages.decode_items, prefix
            )
            if isinstance(page, result.Err):
                return page
            last_key = (
                page.ok_value.items[-1].key if page.ok_value.items else ""
            )
            found = self._to_entries(page.ok_value.items, prefix, era)
            if isinstance(found, result.Err):
                return found
            held_bytes += sum(len(entry.value) for entry in found.ok_value)
            entries += (
                found.ok_value
                if held_bytes <= MAX_SCAN_BYTES
                else map(_without_large_value, found.ok_value)
            )
            # Later pages may be newer. A watch from the first page's
            # revision misses no change.
            revision = revision or store.join_era(
                era, page.ok_value.store_revision
            )
            if not page.ok_value.more_pages or not found.ok_value:
                return result.Ok(store.Scan(tuple(entries), revision))
            if last_key in page_ends:
                return _fault_result(
                    store.StoreFaultKind.INDETERMINATE,
                    prefix,
                    "A page ends where an earlier one ended.",
                )
            page_ends.add(last_key)
            after = last_key

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[store.WatchBatch, store.StoreFault]:
        """Returns changes after a revision; waits until there is one.

        Ends as `COMPACTED` when the store is restored from a copy.
        """
        restored = _fault_result(
            store.StoreFaultKind.COMPACTED, prefix, "The store was restored."
        )
        if self._is_outdated(after):
            return restored
        query = urllib.parse.urlencode(
            {
                "prefix": self._prefix + prefix,
                "after": store.split_era(after)[1],
                "waitMs": round(wait_s * 1000),
            }
        )
        with self._eras.cancelled_when_restored() as scope:
            response = await self._client.wait(
                f"/-/kv-watch?{query}", prefix, wait_s + WATCH_MARGIN_S
            )
        if scope.cancelled_caught:
            return restored
        if isinstance(response, result.Err):
            return response
        if self._is_outdated(after):
            return restored
        if response.ok_value.status == _GONE:
            return _fault_result(store.StoreFaultKind.COMPACTED, prefix)
        decoded = _decode(
            response.ok_value, store_messages.decode_events, prefix
        )
        if isinstance(decoded, result.Err):
            return decoded
        era = response.ok_value.era
        revision = decoded.ok_value.store_revision
        newest = max(after, store.join_era(era, revision))
        if 0 < revision < store.split_era(after)[1]:
            # The store gave a wrong revision earlier. It sends no changes until
            # it has reached that one.
            return _fault_result(
                store.StoreFaultKind.COMPACTED,
                prefix,
                "The store's revision is below that of an earlier answer.",
            )
        return self._to_entries(decoded.ok_value.events, prefix, era).map(
            lambda entries: store.WatchBatch(tuple(entries), newest)
        )

    async def wait_until_restored(self, since: int = 0) -> None:
        """Waits until an answer shows that the store was restored."""
        if self._is_outdated(since):
            return
        await self._eras.wait_until_restored()

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[store.Entry, store.CompareFailed | store.StoreFault]:
        """Writes a key by compare-and-swap."""
        if len(value) > store.MAX_VALUE_BYTES:
            return _fault_result(
                store.StoreFaultKind.UNAVAILABLE,
                key,
                f"The value has {len(value)} bytes, more than the store's"
                f" {store.MAX_VALUE_BYTES}.",
            )
        if self._is_lease_gone(lease):
            return _fault_result(store.StoreFaultKind.LEASE_GONE, key)
        write = store_messages.Write(
            self._prefix + key, store_messages.encode_value(value), lease
        )
        written = await self._commit(key, expected, puts=[write])
        return written.map(
            lambda revision: store.Entry(key, value, revision, lease)
        )

    async def delete(
        self, key: str, *, expected: int
    ) -> result.Result[None, store.CompareFailed | store.StoreFault]:
        """Deletes a key by compare-and-swap."""
        deleted = await self._commit(
            key, expected, deletes=[self._prefix + key]
        )
        return deleted.map(lambda _: None)

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[store.Lease, store.StoreFault]:
        """Grants a new lease."""
        body = msgspec.json.encode(
            store_messages.LeaseRequest(round(ttl_s * 1000))
        )
        response = await self._write("POST", "/-/kv-lease", body, "lease")
        if isinstance(response, result.Err):
            return response
        granted = _decode(
            response.ok_value, store_messages.decode_lease, "lease"
        )
        if isinstance(granted, result.Err):
            return granted
        lease_id = granted.ok_value.lease
        bounded_tables.put_newest(
            self._lease_eras, lease_id, response.ok_value.era, MAX_LEASES
        )
        return result.Ok(store.Lease(lease_id, granted.ok_value.ttl_ms / 1000))

    async def renew_lease(
        self, lease_id: int
    ) -> result.Result[store.Lease, store.StoreFault]:
        """Renews a lease; returns `LEASE_GONE` if it has expired."""
        gone = _fault_result(store.StoreFaultKind.LEASE_GONE, "lease")
        if self._is_lease_gone(lease_id):
            return gone
        response = await self._write(
            "POST", f"/-/kv-keep/{lease_id}", b"", "lease"
        )
        if isinstance(response, result.Err):
            return response
        is_missing = response.ok_value.status == _NOT_FOUND
        if is_missing or self._is_lease_gone(lease_id):
            return gone
        return _decode(
            response.ok_value, store_messages.decode_lease, "lease"
        ).map(lambda answer: store.Lease(lease_id, answer.ttl_ms / 1000))

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreFault]:
        """Revokes a lease and deletes the keys attached to it."""
        if self._is_lease_gone(lease_id):
            return result.Ok(None)
        response = await self._write(
            "DELETE", f"/-/kv-lease-end/{lease_id}", b"", "lease"
        )
        return response.map(lambda _: None)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[
        AsyncIterator[result.Result[store.WatchBatch, store.StoreFault]]
    ]:
        """Watches changes under a prefix; ends after the first fault."""
        async with contextlib.aclosing(
            self._follow(prefix, from_revision)
        ) as batches:
            yield batches

    async def _follow(
        self, prefix: str, revision: int
    ) -> AsyncGenerator[
        result.Result[store.WatchBatch, store.StoreFault], None
    ]:
        """Long-polls for changes until the first fault."""
        while True:
            batch = await self.changes(prefix, revision, WATCH_WAIT_S)
            yield batch
            if isinstance(batch, result.Err):
                return
            revision = batch.ok_value.revision

    async def _commit(
        self,
        key: str,
        expected: int,
        *,
        puts: list[store_messages.Write] | None = None,
        deletes: list[str] | None = None,
    ) -> result.Result[int, store.CompareFailed | store.StoreFault]:
        """Commits a conditional change of one key; returns its version."""
        is_era_known = self._eras.is_known or expected == store.ABSENT
        if not is_era_known or self._is_outdated(expected):
            # In another era, the same revision may belong to another value.
            read = await self.get(key)
            if isinstance(read, result.Err):
                return read
            if self._is_outdated(expected):
                return result.Err(store.CompareFailed(key, read.ok_value))
        revision = store.split_era(expected)[1]
        transaction = store_messages.Transaction(
            expect=[store_messages.Comparison(self._prefix + key, revision)],
            puts=puts or [],
            deletes=deletes or [],
        )
        response = await self._write(
            "POST", "/-/kv-txn", msgspec.json.encode(transaction), key
        )
        if isinstance(response, result.Err):
            return response
        if self._is_outdated(expected):
            return _fault_result(
                store.StoreFaultKind.INDETERMINATE,
                key,
                "The store was restored during the write.",
            )
        if response.ok_value.status == _NOT_FOUND:
            return _fault_result(store.StoreFaultKind.LEASE_GONE, key)
        era = response.ok_value.era
        if response.ok_value.status != _CONFLICT:
            return _decode(
                response.ok_value, store_messages.decode_committed, key
            ).map(lambda committed: store.join_era(era, committed.revision))
        found = _decode(
            response.ok_value, store_messages.decode_items, key
        ).and_then(lambda items: self._to_entries(items.items, key, era))
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

    async def _read(
        self, path: str, key: str
    ) -> result.Result[store_calls.Answer, store.StoreFault]:
        """Sends a read-only call."""
        return await self._client.call("GET", path, b"", key, writes=False)

    async def _write(
        self, method: str, path: str, body: bytes, key: str
    ) -> result.Result[store_calls.Answer, store.StoreFault]:
        """Sends a call that may change data."""
        return await self._client.call(method, path, body, key, writes=True)

    def _is_lease_gone(self, lease_id: int) -> bool:
        """Returns whether a lease of this client is from another era."""
        era = self._lease_eras.get(lease_id, self._eras.current)
        return era != self._eras.current

    def _is_outdated(self, version: int) -> bool:
        """Returns whether a version is from another era; 0 isn't.

        Before the first answer the store's era is not known, and no version is
        outdated.
        """
        if version == 0 or not self._eras.is_known:
            return False
        return store.split_era(version)[0] != self._eras.current

    def _to_entries(
        self, items: list[store_messages.Item], key: str, era: int
    ) -> result.Result[list[store.Entry], store.StoreFault]:
        """Converts items to entries and strips the key prefix.

        The items are consumed, so that a page's text and its values are not
        held at the same time.
        """
        entries = []
        items.reverse()
        while items:
            converted = items.pop().to_entry(self._prefix, era)
            if isinstance(converted, result.Err):
                return _fault_result(
                    store.StoreFaultKind.INDETERMINATE,
                    key,
                    converted.err_value,
                )
            entries.append(converted.ok_value)
        return result.Ok(entries)


def _without_large_value(entry: store.Entry) -> store.Entry:
    """Drops the value of an entry unless it is small."""
    if len(entry.value) <= MAX_SMALL_VALUE_BYTES:
        return entry
    return attrs.evolve(entry, value=b"")


def _fault_result(
    kind: store.StoreFaultKind, key: str, detail: str = ""
) -> result.Err[store.StoreFault]:
    """Wraps a store fault in an error result."""
    return result.Err(store.StoreFault(kind, key, detail))


def _decode(
    answer: store_calls.Answer,
    decode: Callable[[bytes], result.Result[_T, str]],
    key: str,
) -> result.Result[_T, store.StoreFault]:
    """Decodes an answer's body; an unexpected status is a fault."""
    decoded: result.Result[_T, str] = result.Err("unexpected status")
    if answer.status in (_OK, _CONFLICT):
        decoded = decode(answer.body)
    return decoded.map_err(
        lambda reason: store.StoreFault(
            store.StoreFaultKind.INDETERMINATE,
            key,
            f"status {answer.status}: {reason}",
        )
    )
