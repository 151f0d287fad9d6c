"""Coordination primitives that can be used without the daemon.

Each module covers one topic. Import the module and use its names:

    from cardamomfork.coordination import leases

    holder = leases.LeaseHolder(store, clock, "/jobs/nightly", b"me", 10.0)

- `leases`: exclusive roles with fencing tokens.
- `claims`: at-most-once execution with idempotency keys.
- `membership`: failure detection and membership by probes and gossip.
- `configuration`: versioned objects that never revert, and their editor.
- `limits`: fleet-wide account limits, divided into shares that follow demand.
- `retries`: retry budgets that prevent retries from amplifying an outage.
- `stores`: the interface of the key-value store, and an in-memory store.
- `clocks`: injectable clocks.

All times are in seconds. I/O happens only through the store and the links that
are passed in. The primitives run under asyncio and trio. `examples/` contains
runnable examples.
"""
