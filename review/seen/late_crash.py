"""A part of a prompt crashes engines 0.9 s after their first event."""

from __future__ import annotations

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import site_standins as site  # noqa: E402

MACHINES = 3
ENGINES = 12
REQUESTS = 25
EVENTS_BEFORE = 3
DOWN_S = 3.0
STABLE_WINDOW_S = 3.0
MAX_LATE = 3
COUNTED_CRASHES = 5


class CrashingEngine(site.StreamEngine):
    """Crashes after some events of a prompt with the part `dead`."""

    def __init__(self, store: site.Store, *arguments: object) -> None:
        """Creates an engine; see `Engine`."""
        super().__init__(*arguments)
        self._store = store
        self._backs: list[asyncio.Task[None]] = []
        self.crashed_at: list[float] = []

    async def work(
        self,
        request: site.Message,
        head: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Writes some events, then crashes and is back later."""
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, first + EVENTS_BEFORE):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.3)
        self.crashed_at.append(site.now())
        self.crash()
        self._backs.append(asyncio.create_task(self._come_back()))

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        await self.start(self._store)


async def run(record: site.Record) -> int:
    """Returns 1 if more than three engines crash too late."""
    store = site.Store()
    await store.start()
    route = site.make_route(
        "/bench/", "streaming", "pool", 3000, streamResume=True, targetGapMs=250
    )
    service = site.make_service("pool")
    store.put("op/config", site.make_config(1, [route], [service]))
    engines = [
        CrashingEngine(store, f"i-{number}", "pool", 6, 0.05, record)
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start(store)
    entries = [
        site.Entry(f"front-{number}", store, record)
        for number in range(MACHINES)
    ]
    try:
        await asyncio.gather(*(entry.start() for entry in entries))
        await asyncio.sleep(2.0)
        for number in range(REQUESTS):
            await site.call(
                entries[number % MACHINES].front,
                f"r{number}",
                f"/bench/{number}",
                3000,
                record,
                headers={
                    "X-Cardamomfork-Model": "m",
                    "X-Cardamomfork-Token-Usage": "1000,500",
                    "X-Cardamomfork-Prefix-Hash": (
                        f"5c1e:40,dead:300,{number + 77:x}:660"
                    ),
                },
            )
            await asyncio.sleep(0.3)
    finally:
        for entry in entries:
            await entry.stop()
    crashes = sorted(at for engine in engines for at in engine.crashed_at)
    limit = sys.float_info.max
    if len(crashes) >= COUNTED_CRASHES:
        limit = crashes[COUNTED_CRASHES - 1] + STABLE_WINDOW_S
    late = sum(at > limit for at in crashes)
    record(f"{len(crashes)} crashes, {late} of them too late")
    return int(late > MAX_LATE)


if __name__ == "__main__":
    sys.exit(site.main(run, HERE))
