"""Requests that wait for a place when their entry process gets SIGTERM.

Sixteen long answers take all places of two engines. Two short requests wait
for one, within their time limit. The process then gets SIGTERM.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import site_standins as site  # noqa: E402

ENGINES = 2
SLOTS = 8
WAITING = 2
EVENT_S = 0.045
LONG_TOKENS = 9_690
SHORT_TOKENS = 255
TIME_LIMIT_MS = 15_000
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COST_MODEL = {
    "slots": SLOTS,
    "kvCapacity": 315_000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.00425,
    "context_per_k": 0.00285,
    "read_per_s": 177_000,
    "pairs_per_m": 0.184,
    "chunk": 2048,
    "usual": {"prompt": 5000, "answer": 1683},
    "hopMs": 0.05,
}


def make_config() -> dict:
    """Returns a configuration of one route to the model engines."""
    route = site.make_route(
        "/audit/",
        "streaming",
        "assistant-pool",
        TIME_LIMIT_MS,
        streamResume=True,
        targetGapMs=1000,
    )
    service = site.make_service("assistant-pool", engine=COST_MODEL)
    return site.make_config(1, [route], [service])


async def send_all(
    entry: site.Entry, record: site.Record
) -> dict[str, asyncio.Task[site.Outcome]]:
    """Sends the long requests, then the short ones, each on its channel."""
    calls = {}
    kinds = [("long", LONG_TOKENS)] * (ENGINES * SLOTS)
    kinds += [("short", SHORT_TOKENS)] * WAITING
    for number, (kind, tokens) in enumerate(kinds):
        name = f"{kind}{number}"
        headers = {
            "X-Cardamomfork-Model": "m",
            "X-Cardamomfork-Token-Usage": f"1000,{tokens}",
            "X-Cardamomfork-Prefix-Hash": f"5c1e:40,{number + 1:x}:960",
        }
        call = site.call(
            entry.front,
            name,
            f"/audit/{name}",
            TIME_LIMIT_MS,
            record,
            headers=headers,
        )
        calls[name] = asyncio.create_task(call)
        await asyncio.sleep(0.02)
    return calls


async def stop(entry: site.Entry, record: site.Record) -> None:
    """Stops a process as the platform does."""
    stopped_at = site.now()
    entry.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(entry.process.wait(), GRACE_S)
        record(f"exited {site.now() - stopped_at:.2f} s after SIGTERM")
    except TimeoutError:
        entry.send_signal(signal.SIGKILL)


async def run(record: site.Record) -> int:
    """Runs the case; returns its exit status."""
    store = site.Store()
    await store.start()
    store.put("op/config", make_config())
    engines = [
        site.StreamEngine(
            f"i-{number}", "assistant-pool", SLOTS, EVENT_S, record
        )
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start(store)
    entry = site.Entry("front-rosenheim-1", store, record)
    try:
        await entry.start()
        calls = await send_all(entry, record)
        await asyncio.sleep(0.2)
        if HAS_TROUBLE:
            await stop(entry, record)
        outcomes = dict(
            zip(calls, await asyncio.gather(*calls.values()), strict=True)
        )
    finally:
        await entry.stop()
    ran = {name for engine in engines for name in engine.runs}
    is_broken = False
    for name, outcome in outcomes.items():
        waited_s = outcome.ended_at - outcome.sent_at
        if outcome.is_complete or waited_s >= TIME_LIMIT_MS / 1000:
            continue
        if name in ran:
            record(f"{name}: its engine was still at work; not counted")
        elif waited_s > LOSS_SLACK_S:
            record(f"LOST: {name} was read and never answered")
            is_broken = True
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(site.main(run, HERE))
