"""The key-value store that the parts stand on, and one in memory.

A store offers compare-and-swap on versions, leases and watches; see `Store`
for the calls. Expected faults come as `result.Err` with a `StoreFault` or
`CompareFailed`, never as exceptions. `MemoryStore` with a `StoreSession` for
each user serves tests; `StoreFaults` makes a session's calls fail.
"""

from __future__ import annotations

from cardamomfork._internal.contracts import store
from cardamomfork._internal.standins import store as standin

__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "CompareFailed",
    "Entry",
    "Lease",
    "MemoryStore",
    "Scan",
    "Store",
    "StoreFault",
    "StoreFaultKind",
    "StoreFaults",
    "StoreSession",
    "WatchBatch",
]

ABSENT = store.ABSENT
MAX_VALUE_BYTES = store.MAX_VALUE_BYTES
CompareFailed = store.CompareFailed
Entry = store.Entry
Lease = store.Lease
Scan = store.Scan
Store = store.Store
StoreFault = store.StoreFault
StoreFaultKind = store.StoreFaultKind
WatchBatch = store.WatchBatch
MemoryStore = standin.MemoryStore
StoreFaults = standin.StoreFaults
StoreSession = standin.StoreSession
