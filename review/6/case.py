# ruff: noqa
"""A key is taken away; a machine whose channel to the store went silent serves it on.

Two machines of one zone. The channels of one of them to the store that are open
go silent for good; new ones work. Some seconds later the other machine is stopped
as planned and leaves. Then the operator writes a config without a key.
"""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import site2

APPLY_S = 2.0  # configApplyMs
STABLE_S = 3.0  # stableWindowMs
SETTLE_S = 3.0
PREFIX = "op/config"


def config(version, keys, service):
    return site2.configuration(
        version,
        [site2.route("order", "/order/", "unsafe", service)],
        ["desk", "desk-new"],
        {"depot": keys},
    )


async def case(record, entries, folder):
    store = site2.Store(record)
    await store.start()
    engines = [
        site2.Engine(store, record, s) for s in ("desk", "desk", "desk-new")
    ]
    for engine in engines:
        await engine.start()
    store.put("op/config", config(1, ["key-old", "key-kept"], "desk"))
    for number in range(2):
        port = await store.listen(f"front-{number}")
        entries.append(site2.Entry(f"front-{number}", "a", port, folder))
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.until_ready()
    await asyncio.sleep(SETTLE_S)
    store.put("op/config", config(2, ["key-old", "key-kept"], "desk"))
    await asyncio.sleep(SETTLE_S)
    for entry in entries:
        record(
            f"{entry.name} waits at the store for {store.polls.get((entry.name, PREFIX), [])[-1:]} ms"
        )
    # The machine that leaves is the one that asks the store most often.
    leaving, staying = sorted(
        entries, key=lambda e: store.polls.get((e.name, PREFIX), [0])[-1]
    )
    for key in ("key-old", "key-kept"):
        if (await site2.send(record, staying, "/order/a", key)).status != 200:
            raise site2.CannotRun(
                "requests are not served before the disruption"
            )
    if site2.TROUBLE:
        store.silence(staying.name)
    await asyncio.sleep(STABLE_S + 2.0)
    record(f"SIGTERM to {leaving.name}, which leaves")
    leaving.signal(signal.SIGTERM)
    await leaving.wait()
    record(f"{leaving.name} has ended with {leaving.process.returncode}")
    await asyncio.sleep(STABLE_S)
    store.put("op/config", config(3, ["key-kept"], "desk-new"))
    acked = time.monotonic()
    record(
        "operator: config 3 takes key-old away and moves the route to desk-new; acknowledged"
    )
    await asyncio.sleep(APPLY_S + 0.3)
    late, calls = [], 0
    while time.monotonic() < acked + APPLY_S + 6.0:
        for key in ("key-old", "key-kept"):
            call = await site2.send(record, staying, "/order/b", key)
            calls += 1
            runs = [
                e.service
                for e in engines
                for _, rid, _, _ in e.arrivals
                if rid == call.id
            ]
            if "desk" in runs:
                late.append((call.sent_at - acked, key, runs))
        await asyncio.sleep(0.4)
    record.say(
        f"{len(late)} of {calls} requests, sent 2.3 s and later after the ack,"
        f" were run as only config 2 allows"
        + (
            f"; the last one sent {late[-1][0]:.1f} s after the ack"
            if late
            else ""
        )
    )
    return site2.BROKEN if late else site2.HELD


site2.play(HERE, case)
