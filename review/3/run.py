"""An engine is removed shortly before open channels to the store go silent.

Two of three engines are taken away, as when a service is made smaller. One
reports `draining`. The other one never does: its entry is removed 0.3 s later,
and it goes on serving for many seconds. Then all open channels of the entry
processes to the store go silent, while new ones work at once. From three
seconds after that on, the entry processes are in touch again, and the removed
engine must get no more requests.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import site_standins as site  # noqa: E402

MACHINES = 6
STABLE_WINDOW_S = 3.0
DRAIN_TIMEOUT_S = 2.0
REMOVAL_AFTER_S = 0.3
SILENCE_AFTER_S = 0.1
SERVES_S = 8.0
"""Time for which the engine serves after its removal."""
PERIOD_S = 0.04
"""Between two requests at each entry process."""
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class TimedEngine(site.Engine):
    """Keeps the times at which requests have reached it."""

    def __init__(self, *arguments: object) -> None:
        """Creates an engine; see `Engine`."""
        super().__init__(*arguments)
        self.reached: list[tuple[float, str]] = []

    async def answer(
        self,
        request: site.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request and keeps its time."""
        request_id = request.headers.get("x-cardamomfork-request-id", "")
        if request_id:
            self.reached.append((site.now(), request_id))
        return await super().answer(request, reader, writer)


async def send_all(entry: site.Entry, record: site.Record) -> None:
    """Sends requests at an entry process until cancelled."""
    number = 0
    async with asyncio.TaskGroup() as tasks:
        while True:
            name = f"{entry.name}-{number}"
            tasks.create_task(
                site.call(entry.front, name, f"/stock/{name}", 3000, record)
            )
            number += 1
            await asyncio.sleep(PERIOD_S)


async def run(record: site.Record) -> int:
    """Runs the case; returns its exit status."""
    store = site.Store()
    await store.start()
    routes = [site.make_route("/stock/", "safe", "depot-desk", 3000)]
    service = site.make_service("depot-desk")
    store.put("op/config", site.make_config(1, routes, [service]))
    engines = [
        TimedEngine(f"i-{number}", "depot-desk", 6, 0.02, record)
        for number in range(3)
    ]
    for engine in engines:
        await engine.start(store)
    entries = [
        site.Entry(f"front-rosenheim-{number}", store, record)
        for number in range(1, MACHINES + 1)
    ]
    try:
        await asyncio.gather(*(entry.start() for entry in entries))
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        clients = [
            asyncio.create_task(send_all(entry, record)) for entry in entries
        ]
        await asyncio.sleep(1.0)
        engines[1].report_draining(store)
        record("i-1 reports draining")
        await asyncio.sleep(REMOVAL_AFTER_S)
        store.delete("servers/i-2")
        removed_at = site.now()
        record("the entry of i-2 is removed; i-2 goes on serving")
        await asyncio.sleep(SILENCE_AFTER_S)
        silent_at = site.now()
        if HAS_TROUBLE:
            record("the open channels to the store go silent")
            store.silence_channels()
        await asyncio.sleep(SERVES_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        from_s = max(removed_at + DRAIN_TIMEOUT_S, silent_at + STABLE_WINDOW_S)
        late = [
            (reached_at, name)
            for reached_at, name in engines[2].reached
            if reached_at > from_s
        ]
        for reached_at, name in late:
            record(
                f"DRAIN: {name} has reached i-2"
                f" {reached_at - removed_at:.2f} s after its removal,"
                f" {reached_at - silent_at:.2f} s after the silence"
            )
        return int(bool(late))
    finally:
        for entry in entries:
            await entry.stop()


if __name__ == "__main__":
    sys.exit(site.main(run, HERE))
