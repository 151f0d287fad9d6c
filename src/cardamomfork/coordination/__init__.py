"""Coordination parts that work without the daemon.

Each module is one matter; import the module and use its names:

    from cardamomfork.coordination import leases

    holder = leases.LeaseHolder(store, clock, "/jobs/nightly", b"me", 10.0)

- `leases`: a role that one process holds at a time, with a fencing number.
- `claims`: at-most-once execution by idempotency keys.
- `membership`: which instances live, by probes and gossip.
- `configuration`: objects that only ever move forward, and their editor.
- `limits`: fleet-wide limits of accounts, as shares that follow demand.
- `retries`: a budget that keeps retries from amplifying an outage.
- `stores`: the key-value store that the parts stand on, and one in memory.
- `clocks`: time, passed in.

All times are in seconds. The parts do no I/O of their own but through the
store and the links that are passed in; run them under asyncio or trio.
`examples/` has a runnable example of each.
"""
