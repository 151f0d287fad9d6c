"""Entries of another writer in the store end the entry processes.

Beside six sound engines, the store holds entries of a service that the
configuration doesn't name, with host names for addresses. An engine crashes
now and then and comes back. Processes that end are started again, as the
platform does.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import site_standins as site  # noqa: E402

FOREIGN_ENTRIES = 6
MACHINES = 2
ENGINES = 6
ROUNDS = 13
REQUESTS = 8
DOWN_S = 2.0
PAUSE_S = 0.5
MAX_ENDS = 2
"""Each of two machines may see fewer than three ends of processes."""
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def keep_running(entry: site.Entry, ends: dict[str, int]) -> None:
    """Starts a process again each time that it ends by itself."""
    while True:
        status = await entry.process.wait()
        ends[entry.name] += 1
        entry.record(f"{entry.name} ended by itself, status {status}")
        await asyncio.sleep(0.3)
        await entry.start()


async def send_round(
    entries: list[site.Entry], number: int, record: site.Record
) -> None:
    """Sends some requests at each entry process."""
    for index in range(REQUESTS):
        for entry in entries:
            name = f"{entry.name}-{number}-{index}"
            with contextlib.suppress(OSError):
                await site.call(
                    entry.front, name, f"/stock/{name}", 3000, record
                )


async def run(record: site.Record) -> int:
    """Runs the case; returns its exit status."""
    store = site.Store()
    await store.start()
    routes = [site.make_route("/stock/", "safe", "depot-desk", 3000)]
    service = site.make_service("depot-desk")
    store.put("op/config", site.make_config(1, routes, [service]))
    engines = [
        site.Engine(f"i-{number}", "depot-desk", 6, 0.09, record)
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start(store)
    if HAS_TROUBLE:
        for number in range(FOREIGN_ENTRIES):
            address = f"node-{number}..localhost:9100"
            store.put(
                f"servers/x-{number}", site.make_entry("metrics", address, 1)
            )
            record(f"another writer's entry names {address}")
    entries = [
        site.Entry(f"front-rosenheim-{number}", store, record)
        for number in range(1, MACHINES + 1)
    ]
    ends = {entry.name: 0 for entry in entries}
    try:
        for entry in entries:
            await entry.start()
        keepers = [
            asyncio.create_task(keep_running(entry, ends)) for entry in entries
        ]
        for number in range(ROUNDS):
            crashed = engines[number % len(engines)]
            await send_round(entries, 2 * number, record)
            crashed.crash()
            await send_round(entries, 2 * number + 1, record)
            await asyncio.sleep(DOWN_S)
            await crashed.start(store)
            await asyncio.sleep(PAUSE_S)
            if min(ends.values()) > MAX_ENDS:
                break
        for keeper in keepers:
            keeper.cancel()
        for name, count in ends.items():
            record(f"{name}: processes ended by themselves {count} times")
        return int(min(ends.values()) > MAX_ENDS)
    finally:
        for entry in entries:
            await entry.stop()


if __name__ == "__main__":
    sys.exit(site.main(run, HERE))
