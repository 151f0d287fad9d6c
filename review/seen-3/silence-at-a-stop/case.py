"""Instances stop while engines read long prompts beside their streams."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time

import site3

FOLDER = pathlib.Path(__file__).resolve().parent
GRACE_S = 8.0
INSTANCES = 3
ENGINES = 3
SLOTS = 8
CALM_S = 4.0
BATCH = "45000,1326"
AUDIT = "250000,816"
STREAMS = 3
BEGIN_S = 1.5
"""Time in which engines read these prompts and begin to answer."""
STOPS_AFTER_S = 1.6
PATIENCE_S = 6.0
"""A client abandons such a stream after a gap of four times the objective."""


async def stream(
    site: site3.Site, instance: site3.Instance, path: str, tokens: str
) -> tuple[int, str, str, float]:
    """Sends a request; returns its status, id, end and the time of that."""
    status, _, content, request_id = await site.client.request(
        instance,
        path,
        "POST",
        b"prompt " + site.client.make_id().encode(),
        15_000,
        (
            ("X-Cardamomfork-Model", "m"),
            ("X-Cardamomfork-Token-Usage", tokens),
            ("X-Cardamomfork-Prefix-Hash", f"5c1e07a2:{tokens.split(',')[0]}"),
        ),
    )
    end = "none"
    if status == 200:
        total = -(-int(tokens.split(",")[1]) // 51)
        end = "whole" if content.count(b"\n\n") == total else "wrong"
    elif status:
        end = "own answer"
    site.record("stream-ended", id=request_id, status=status, end=end)
    return status, request_id, end, time.monotonic()


async def play_round(site: site3.Site, stopping: site3.Instance) -> int:
    """Stops an instance that serves streams; returns how many were lost."""
    others = [one for one in site.instances if one is not stopping]
    batches = []
    for _ in range(STREAMS):
        batches.append(
            asyncio.create_task(stream(site, stopping, "/batch/x", BATCH))
        )
        await asyncio.sleep(0.05)
    await asyncio.sleep(BEGIN_S)
    audits = []
    for number in range(ENGINES):
        one = others[number % len(others)]
        audits.append(asyncio.create_task(stream(site, one, "/audit/x", AUDIT)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(STOPS_AFTER_S)
    stopped_at = time.monotonic()
    if site3.TROUBLE:
        site.record("SIGTERM", to=stopping.name)
        stopping.signal(signal.SIGTERM)
    lost = 0
    for status, request_id, end, ended_at in await asyncio.gather(*batches):
        after_s = ended_at - stopped_at
        site3.say(
            f"{stopping.name}: stream {request_id} ended {end}, status"
            f" {status}, {after_s:.2f} s after the signal"
        )
        # An engine that is at work in the last sixth of the grace excuses it.
        if site3.TROUBLE and end == "none" and after_s < GRACE_S * 5 / 6:
            lost += 1
            site.record("LOST", id=request_id, after_s=f"{after_s:.3f}")
    if site3.TROUBLE:
        await stopping.process.wait()
        await stopping.start()
    ends = [end for _, _, end, _ in await asyncio.gather(*audits)]
    site3.say(f"audits by other instances: {ends}")
    return lost


async def play(site: site3.Site) -> bool:
    """Returns whether the rule was broken."""
    config = site3.configuration(
        17,
        [
            site3.route(
                "/audit/",
                "streaming",
                "llm",
                15_000,
                2,
                streamResume=True,
                targetLatencyMs=3000,
                targetGapMs=1000,
                sessionAffinity=True,
            ),
            site3.route(
                "/batch/",
                "streaming",
                "llm",
                10_000,
                2,
                streamResume=True,
                targetLatencyMs=1500,
                targetGapMs=600,
                sessionAffinity=True,
            ),
        ],
        [
            {
                "name": "llm",
                "maxConnections": 354,
                "engine": site3.make_engine(SLOTS),
            }
        ],
    )

    def make_servers(store: site3.Store) -> list[site3.Server]:
        return [
            site3.Engine(store, n, "llm", site3.ZONES[n % 3], SLOTS)
            for n in range(1, ENGINES + 1)
        ]

    await site.start(INSTANCES, make_servers, config)
    lost = 0
    for instance in site.instances:
        await asyncio.sleep(CALM_S)
        lost += await play_round(site, instance)
    site3.say(f"{lost} streams were cut that the engines had not broken off")
    site.record("RESULT", lost=lost)
    return lost > 0


if __name__ == "__main__":
    site3.main(FOLDER, play)
