"""Instances built from settings join the fleet through one seed."""

import random
import unittest

import anyio
import attrs
import capnp

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.contracts import listing
from cardamomfork._internal.instances import fleet_membership
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances
from cardamomfork._internal.models import settings
from cardamomfork._internal.standins import instance_list
from cardamomfork._internal.standins import store
from cardamomfork._internal.targets import leaving

TEST_TIMEOUT_S = 20
ACCOUNT = configuration.ClientAccount("depot", requests_per_s=50.0)


class JoiningTest(unittest.TestCase):
    async def wait_for(self, condition):
        for _ in range(TEST_TIMEOUT_S * 20):
            if condition():
                return
            await anyio.sleep(0.05)
        self.fail("condition not met before the deadline")

    def make(self, name, centre="rosenheim", seeds=()):
        chosen = settings.DaemonSettings(
            instance=settings.InstanceSettings(name, centre),
            peers=settings.PeerSettings(port=0, seeds=seeds),
        )
        member = fleet_membership.make_fleet_membership(
            chosen,
            identifiers.new_boot_id(),
            self.clock,
            random.Random(name),
            lambda: store.StoreSession(self.store),
            instance_list=self.platform_list,
        )
        member.replica.subscribe(
            lambda change: member.limiter.apply_account(change.value)
        )
        return member

    def test_join_by_seed_then_configure_limit_mark_and_leave(self):
        async def main():
            self.clock = clock_contract.LoopClock()
            self.store = store.MemoryStore(self.clock)
            self.platform_list = instance_list.LaggingInstanceList(
                self.clock, 0.0
            )
            key = codec.key_of(configuration.ObjectKind.ACCOUNT, "depot")
            self.store.write(key, codec.encode(ACCOUNT), 0, 0).unwrap()
            async with capnp.kj_loop(), anyio.create_task_group() as group:
                first = self.make("one")
                await group.start(first.run)
                seeds = (f"127.0.0.1:{first.server.port}",)
                joined_members = [
                    self.make("two", seeds=seeds),
                    self.make("three", "weilheim", seeds=seeds),
                ]
                for member in joined_members:
                    await group.start(member.run)
                members = [first, *joined_members]
                await self.wait_for(
                    lambda: all(
                        len(member.members.live()) == 3
                        and member.replica.account("depot")
                        and member.others.reachable(self.clock.monotonic())
                        for member in members
                    )
                )
                now = self.clock.monotonic()
                grant = joined_members[0].limiter.admit("depot", 10, now)
                self.assertTrue(grant.is_ok())
                first.leaving.mark("t", leaving.Cause.SAID, "b1")
                await self.wait_for(
                    lambda: all(m.leaving.is_leaving("t") for m in members)
                )
                await joined_members[0].leave()
                await self.wait_for(
                    lambda: "two" not in first.members.staying()
                )
                self.assertLess(
                    max(m.peering.budget.spent for m in members), 200_000
                )
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_platform_list_marks_leaving_targets(self):
        async def main():
            self.clock = clock_contract.ManualClock()
            self.store = store.MemoryStore(self.clock)
            self.platform_list = instance_list.LaggingInstanceList(
                self.clock, 10.0
            )
            member = self.make("one")
            target = listing.ListedTarget("t", "b1", leaving=True)
            other = instances.Instance("two", "b", "rosenheim", "h", 1)
            self.platform_list.publish(
                listing.Listing((listing.ListedInstance(other),), (target,))
            )
            member._apply_listing((await self.platform_list.fetch()).unwrap())
            self.assertFalse(member.leaving.is_leaving("t"))
            self.clock.advance(11.0)
            member._apply_listing((await self.platform_list.fetch()).unwrap())
            self.assertTrue(member.leaving.is_leaving("t"))
            self.assertEqual(len(member.members.live()), 2)
            later = attrs.evolve(target, boot_id="b2", leaving=False)
            self.platform_list.publish(listing.Listing((), (later,)))
            self.clock.advance(11.0)
            member._apply_listing((await self.platform_list.fetch()).unwrap())
            self.assertFalse(member.leaving.is_leaving("t"))

        anyio.run(main)
