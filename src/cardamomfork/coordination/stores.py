"""Interface of the key-value store, and an in-memory store for tests.

A store provides compare-and-swap on versions, leases and watches; see `Store`
for the calls. Expected errors are returned as `result.Err` with a `StoreFault`
or `CompareFailed` and never raised. For tests, create a `MemoryStore` and one
`StoreSession` per client. `StoreFaults` injects faults into the calls of a
session.
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
