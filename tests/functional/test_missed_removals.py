"""Tests removals of targets that instances miss on silent connections."""

import asyncio
import contextlib
import json
import time
import unittest

import msgspec

from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.standins import platform_site
from tests.lib import scripted_target
from tests.lib import small_site
from tests.soak import processes
from tests.soak import proxy

INSTANCES = 3
DRAIN_TIMEOUT_S = 2.0
STABLE_WINDOW_S = 3.0
"""Time after a disturbance after which an instance must be up to date."""
PERIOD_S = 0.02


class MissedRemovalsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = small_site.Site(INSTANCES)
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        self.client = platform_site.make_client(
            f"{processes.HOST}:{self.site.store_port}"
        )
        self.addAsyncCleanup(self.client.close)
        self.arrivals = []
        await self.site.wait_until(self.all_serve)
        exits = contextlib.AsyncExitStack()
        self.addAsyncCleanup(exits.aclose)
        self.targets = {}
        for name in ("drained", "removed"):
            self.targets[name] = await exits.enter_async_context(
                scripted_target.ScriptedTarget(self.answer)
            )
            await self.write(name, "ready", 0)

        await self.site.wait_until(self.all_know)

    def answer(self, request):
        if request.header("x-cardamomfork-target-instance") == "removed":
            self.arrivals.append(time.monotonic())
        return (scripted_target.answer(request),)

    async def all_serve(self):
        """Returns whether each instance serves requests."""
        served = [
            await small_site.serves(ports.callers)
            for ports in self.site.ports.values()
        ]
        return all(served)

    async def all_know(self):
        """Returns whether each instance knows the target to be removed."""
        dumps = [
            await small_site.get(ports.metrics, "/dump", "GET")
            for ports in self.site.ports.values()
        ]
        return all('"removed"' in text for _, text in dumps)

    async def write(self, name, state, expected):
        entry = platform_site.make_entry(
            "ledger", self.targets[name].port, 6
        ) | {"state": state}
        written = await self.client.put(
            f"servers/{name}", msgspec.json.encode(entry), expected=expected
        )
        written.unwrap()

    async def remove(self):
        """Removes a target without a report that it leaves."""
        found = (await self.client.get("servers/removed")).unwrap()
        deleted = await self.client.delete(
            "servers/removed", expected=found.version
        )
        deleted.unwrap()
        return time.monotonic()

    def silence(self):
        """Silences the open connections of all instances to the store."""
        for name in self.site.entries:
            self.site.proxies[f"{name}-store"].set_fault(
                proxy.ConnectionFault.SILENCE
            )
        return time.monotonic()

    async def send_to_all(self):
        """Sends a request at each instance."""
        await asyncio.gather(
            *(
                small_site.get(ports.callers, "/safe/1", "POST")
                for ports in self.site.ports.values()
            )
        )

    async def check(self, removed_at, silent_at):
        """Checks that the removed target gets nothing late."""
        last = max(removed_at + DRAIN_TIMEOUT_S, silent_at + STABLE_WINDOW_S)
        while time.monotonic() < last + 2.0:
            await self.send_to_all()
            await asyncio.sleep(PERIOD_S)
        late = [at - last for at in self.arrivals if at > last]
        self.assertEqual(len(late), 0, late[-1:])

    async def wait_for_poll(self):
        """Waits until the middle of a poll of the delegate."""
        seen = len(self.find_short_polls())

        async def has_polled():
            return len(self.find_short_polls()) > seen

        await self.site.wait_until(has_polled)
        await asyncio.sleep(follower.DELEGATE_WAIT_S / 2)

    def find_short_polls(self):
        """Returns the log lines of polls that only the delegate makes."""
        lines = self.site.entry_lines('"store followed"')
        records = [json.loads(line) for line in lines]
        return [
            one
            for one in records
            if one["name"] == "servers/"
            and one["outcome"] == "polled"
            and not one["count"]
            and one["seconds"] < 2 * follower.DELEGATE_WAIT_S
        ]

    async def test_removal_in_the_pause_after_a_change_is_not_missed(self):
        found = (await self.client.get("servers/drained")).unwrap()
        await self.write("drained", "draining", found.version)
        await asyncio.sleep(0.3)
        removed_at = await self.remove()
        await asyncio.sleep(0.1)
        await self.check(removed_at, self.silence())

    async def test_removal_that_one_instance_finds_reaches_the_others(self):
        await self.wait_for_poll()
        silent_at = self.silence()
        await asyncio.sleep(0.2)
        await self.check(await self.remove(), silent_at)


if __name__ == "__main__":
    unittest.main()
