# ruff: noqa
"""A request that crashes each engine that runs it comes again and again.

Two engines, two machines. The client honours Retry-After and sends the request
again, at the machines in turn. A crashed engine is back after 3 s, under the id that it had and with a new `born`.
"""

import asyncio
import collections
import itertools
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import site2

AWAY_S = 3.0
STABLE_S = 3.0  # stableWindowMs
PAUSE_S = 0.5
RUN_S = 40.0
HONOURED_S = 1.0  # clients honour Retry-After up to a third of their 3 s
MAX_LATE = 3
BAD = b'{"board": "splintered"}'


class CrashingEngine(site2.Engine):
    """Crashes when it begins to run the bad request, and is back after some seconds."""

    crashes = []

    async def run(self, path, headers, body, writer, rid):
        if body != BAD or not site2.TROUBLE:
            return await super().run(path, headers, body, writer, rid)
        now = time.monotonic()
        self.crashes.append(now)
        self.record(f"engine {self.id} crashes on {rid}")
        loop = asyncio.get_running_loop()
        self.stop()
        loop.call_later(AWAY_S, lambda: loop.create_task(self._restart()))
        raise ConnectionResetError

    async def _restart(self):
        self.born = time.time_ns() // 1_000_000
        await self.start()
        self.record(f"engine {self.id} is back")


async def case(record, entries, folder):
    store = site2.Store(record)
    await store.start()
    engines = [CrashingEngine(store, record, "desk") for _ in range(2)]
    for engine in engines:
        await engine.start()
    routes = [
        site2.route("lookup", "/lookup/", "safe", "desk", 1500, attempts=1)
    ]
    store.put(
        "op/config",
        site2.configuration(1, routes, ["desk"], {"depot": ["key"]}),
    )
    for number in range(2):
        port = await store.listen(f"front-{number}")
        entries.append(site2.Entry(f"front-{number}", "a", port, folder))
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.until_ready()
    await asyncio.sleep(2.0)
    for entry in entries:
        if (
            await site2.send(record, entry, "/lookup/b", "key", body=b"{}")
        ).status != 200:
            raise site2.CannotRun(
                "requests are not served before the disruption"
            )
    sound = collections.Counter()

    async def send_sound(entry):
        """Sends requests of another caller, to see what becomes of them."""
        while time.monotonic() < ends_at:
            call = await site2.send(
                record, entry, "/lookup/c", "key", body=b"{}", limit_s=1.5
            )
            sound[call.status] += 1
            await asyncio.sleep(0.5)

    ends_at = time.monotonic() + RUN_S
    others = [asyncio.create_task(send_sound(entry)) for entry in entries]
    statuses = collections.Counter()
    for entry in itertools.cycle(entries):
        if time.monotonic() > ends_at:
            break
        call = await site2.send(record, entry, "/lookup/a", "key", body=BAD)
        statuses[call.status] += 1
        await asyncio.sleep(
            max(
                PAUSE_S,
                min(HONOURED_S, float(call.headers.get("retry-after", 0))),
            )
        )
    await asyncio.gather(*others)
    record.say(f"sound requests of another caller meanwhile: {dict(sound)}")
    crashes = CrashingEngine.crashes
    late = (
        [at for at in crashes if at > crashes[2] + STABLE_S]
        if len(crashes) > 2
        else []
    )
    record.say(
        f"{sum(statuses.values())} requests sent, answers {dict(statuses)}; it crashed engines"
        f" {len(crashes)} times, {len(late)} of them later than 3 s after the third crash"
    )
    return site2.BROKEN if len(late) > MAX_LATE else site2.HELD


site2.play(HERE, case)
