# ruff: noqa
"""An engine that names its limit gets the requests of two schedules of permits.

Three machines, one a zone. The store turns one of them away and serves the
others. Meanwhile an engine starts again under its id; then it names a limit in
its answers. Callers ask all machines.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import site2

LIMIT_PER_S = 10.0
WINDOW_S = 4.0
BOUND = 1.5 * LIMIT_PER_S * WINDOW_S + 5
STABLE_S = 3.0  # stableWindowMs
KNOWN_S = 0.5  # a machine counts from then on after it has passed the limit on
REFUSED_S = 9.0  # platform_down nodes, for_s
ENGINE_AWAY_S = 2.0
REQUESTS_PER_S = 30  # at each machine
ZONES = "abc"


class PickyStore(site2.Store):
    """A store that turns some machines away."""

    refused = frozenset()

    async def _call(self, owner, method, target, body):
        if owner in self.refused:
            return 429, {}
        return await super()._call(owner, method, target, body)

    def refuse(self, owner):
        self.refused = self.refused | {owner}
        for writer, channel in list(self._channels.items()):
            if channel[0] == owner:  # a watch that waits is cut
                writer.close()


class LimitedEngine(site2.Engine):
    """An engine in need, which names its limit in each answer."""

    named_at = None

    def answer(self, writer, status, rid, body, executed=True, extra=""):
        if self.named_at is not None:
            extra += f"Server-Limit: {LIMIT_PER_S}\r\n"
        super().answer(writer, status, rid, body, executed, extra)


def most_in_a_window(times):
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


async def case(record, entries, folder):
    store = PickyStore(record)
    await store.start()
    desk = LimitedEngine(store, record, "desk", slots=16)
    others = [site2.Engine(store, record, "aux") for _ in range(6)]
    for engine in (desk, *others):
        await engine.start()
    routes = [
        site2.route("lookup", "/lookup/", "safe", "desk", 3000),
        site2.route("aux", "/aux/", "safe", "aux", 3000),
    ]
    store.put(
        "op/config",
        site2.configuration(1, routes, ["desk", "aux"], {"depot": ["key"]}),
    )
    for number, zone in enumerate(ZONES):
        name = f"front-{number}"
        entries.append(
            site2.Entry(
                name, zone, await store.listen(name), folder, zones=ZONES
            )
        )
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.until_ready()
    await asyncio.sleep(5.0)
    for entry in entries:
        if (await site2.send(record, entry, "/lookup/a", "key")).status != 200:
            raise site2.CannotRun("not served before the disruption")

    refused_at = time.monotonic()
    if site2.TROUBLE:
        record("the store turns front-0 away")
        store.refuse("front-0")
    desk.stop()
    record("the engine goes down")
    await asyncio.sleep(ENGINE_AWAY_S)
    desk.born = time.time_ns() // 1_000_000
    desk.running = 0
    desk.named_at = time.monotonic()
    await desk.start()
    record(f"the engine is back under its id and names {LIMIT_PER_S} a second")
    stop = refused_at + REFUSED_S
    tasks, sender, told_at = [], {}, {}

    async def send(entry):
        call = await site2.send(record, entry, "/lookup/a", "key")
        sender[call.id] = entry.name
        if "server-limit" in call.headers:
            told_at.setdefault(entry.name, call.ended_at)

    async def press(entry):
        while time.monotonic() < stop:
            tasks.append(asyncio.create_task(send(entry)))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    await asyncio.sleep(0.2)
    await asyncio.gather(*(press(entry) for entry in entries))
    store.refused = frozenset()
    await asyncio.gather(*tasks)
    counted = [
        at
        for at, rid, *_ in desk.arrivals
        if at >= desk.named_at + STABLE_S
        and at <= stop
        and at >= told_at.get(sender.get(rid), at + 1) + KNOWN_S
    ]
    most = most_in_a_window(counted)
    record.say(
        f"{len(counted)} requests counted, at most {most} in {WINDOW_S} s; {BOUND} are allowed"
    )
    return site2.BROKEN if most > BOUND else site2.HELD


site2.play(HERE, case)
