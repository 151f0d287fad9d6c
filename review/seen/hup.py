"""Sends SIGHUP to an entry process shortly after its start."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import site_standins as site  # noqa: E402

DELAYS_S = (0.1, 0.2, 0.3, 0.4, 0.5)


async def run(record: site.Record) -> int:
    """Returns 1 if a process was ended by SIGHUP."""
    store = site.Store()
    await store.start()
    store.put("op/config", site.make_config(1, [], []))
    is_broken = False
    for delay_s in DELAYS_S:
        entry = site.Entry("front-rosenheim-1", store, record)
        starting = asyncio.create_task(entry.start())
        await asyncio.sleep(delay_s)
        entry.send_signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        status = entry.process.returncode
        record(f"SIGHUP {delay_s} s after the start: status {status}")
        is_broken |= status is not None
        starting.cancel()
        await entry.stop()
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(site.main(run, HERE))
