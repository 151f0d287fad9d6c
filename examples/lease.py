"""Two processes compete for a role; the second takes over from the first."""

from __future__ import annotations

import anyio

from cardamomfork.coordination import clocks
from cardamomfork.coordination import leases
from cardamomfork.coordination import stores

TTL_S = 0.5


async def main() -> None:
    """Acquires the lease, cuts off the store and waits for the takeover."""
    clock = clocks.LoopClock()
    store = stores.MemoryStore(clock)
    session = stores.StoreSession(store)
    first = leases.LeaseHolder(session, clock, "/nightly", b"first", TTL_S)
    second = leases.LeaseHolder(
        stores.StoreSession(store), clock, "/nightly", b"second", TTL_S
    )
    fencing_number = (await first.acquire()).unwrap()
    print("first holds the role:", first.held)
    print("second is refused:", (await second.acquire()).is_err())

    session.faults.down = True
    while (await second.acquire()).is_err():
        await anyio.sleep(TTL_S / 10)
    print("first still believes to hold it:", first.held)
    print("the number has grown:", second.fencing > fencing_number)


if __name__ == "__main__":
    anyio.run(main)
