"""Tests configurations that an instance misses on silent connections."""

import asyncio
import json
import signal
import time
import unittest

from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.platform import store_client
from tests.lib import small_site
from tests.soak import proxy

CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
"""Time after a disturbance after which an instance must be up to date."""
CHECK_S = 3.0
PERIOD_S = 0.05
WITHDRAWN = ["key-2"]
"""Keys of a configuration without the one that the requests bear."""


class SilentPollsTest(unittest.IsolatedAsyncioTestCase):
    """An instance's polls are silent as the delegate ends."""

    async def asyncSetUp(self):
        self.site = small_site.Site(instances=2)
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        await self.site.wait_until(self.all_serve)
        await self.site.wait_until(self.has_one_delegate)
        # The other instance has begun a short poll before it knew its peer.
        await asyncio.sleep(
            follower.DELEGATE_WAIT_S + store_client.WATCH_MARGIN_S + 0.4
        )

    async def all_serve(self):
        """Returns whether each instance serves requests."""
        served = [
            await small_site.serves(ports.callers)
            for ports in self.site.ports.values()
        ]
        return all(served)

    async def has_one_delegate(self):
        """Finds the delegate; returns whether there is exactly one."""
        found = {True: [], False: []}
        for name, ports in self.site.ports.items():
            _, text = await small_site.get(ports.metrics, "/dump")
            is_delegate = json.loads(text)["is_delegate"]
            found[is_delegate].append(name)
        self.delegates, self.others = found[True], found[False]
        return len(self.delegates) == 1

    def silence(self, name):
        """Silences the open connections of an instance to the store."""
        self.site.proxies[f"{name}-store"].set_fault(
            proxy.ConnectionFault.SILENCE
        )

    async def withdraw_key(self):
        """Takes the key of the requests away; returns the time."""
        self.site.keys = {"depot": WITHDRAWN}
        await self.site.write_configuration()
        return time.monotonic()

    async def check(self, acknowledged_at):
        """Checks that the remaining instance refuses the key in time."""
        port = self.site.ports[self.others[0]].callers
        await asyncio.sleep(acknowledged_at + CONFIG_APPLY_S - time.monotonic())
        statuses = []
        while time.monotonic() < acknowledged_at + CONFIG_APPLY_S + CHECK_S:
            status, _ = await small_site.get(port, "/safe/1", "POST")
            statuses.append(status)
            await asyncio.sleep(PERIOD_S)
        self.assertEqual(set(statuses), {401})

    async def test_configuration_is_applied_after_a_planned_stop(self):
        # Guards against a key that is served on for the rest of a long poll
        # whose connection is silent, after the delegate has left.
        self.silence(self.others[0])
        await asyncio.sleep(STABLE_WINDOW_S)
        leaving = self.site.entries[self.delegates[0]]
        leaving.signal(signal.SIGTERM)
        await leaving.wait()
        await self.check(await self.withdraw_key())

    async def test_configuration_is_applied_after_a_crash(self):
        # Guards against the same while nobody says that the delegate ended.
        self.silence(self.others[0])
        await asyncio.sleep(STABLE_WINDOW_S)
        await self.site.entries[self.delegates[0]].kill()
        await self.check(await self.withdraw_key())

    async def test_configuration_is_applied_beside_a_delegate_without_a_store(
        self,
    ):
        # Guards against the same while the delegate runs on, but the store
        # doesn't answer it.
        self.silence(self.others[0])
        lost = self.site.proxies[f"{self.delegates[0]}-store"]
        lost.set_fault(proxy.ConnectionFault.REFUSE)
        await asyncio.sleep(STABLE_WINDOW_S)
        await self.check(await self.withdraw_key())


if __name__ == "__main__":
    unittest.main()
