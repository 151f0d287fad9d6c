"""A lease's holder knows when it no longer holds it."""

import unittest

import anyio
import result

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.instances import leases
from cardamomfork._internal.standins import store


class LeaseHolderTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.store = store.MemoryStore(self.clock)
        self.first, self.first_session = self.holder(b"first")
        self.second, _ = self.holder(b"second")

    def holder(self, value):
        session = store.StoreSession(self.store)
        made = leases.LeaseHolder(session, self.clock, "role", value, 10.0)
        return made, session

    def test_paused_holder_finds_out_before_its_next_effect(self):
        async def scenario():
            first_fencing = (await self.first.acquire()).unwrap()
            effects = []

            async def paused_step():
                self.clock.advance(11.0)

            async def effect():
                effects.append(1)

            paused = await self.first.perform(paused_step)
            second_fencing = (await self.second.acquire()).unwrap()
            barred = await self.first.perform(effect)
            return first_fencing, second_fencing, paused, barred, effects

        first_fencing, second_fencing, paused, barred, effects = anyio.run(
            scenario
        )
        self.assertGreater(second_fencing, first_fencing)
        self.assertTrue(paused.is_err() and barred.is_err())
        self.assertEqual(effects, [])
        self.assertEqual(self.first.fencing, 0)

    def test_slow_renewal_counts_from_before_the_call(self):
        async def scenario():
            await self.first.acquire()
            self.clock.advance(8.0)
            renew = self.first_session.renew_lease

            async def slow(lease_id):
                answer = await renew(lease_id)
                self.clock.advance(0.5)
                return answer

            self.first_session.renew_lease = slow
            return await self.first.renew()

        self.assertTrue(anyio.run(scenario))
        self.assertAlmostEqual(self.first.time_left_s, 8.5)

    def test_lost_answers_neither_extend_nor_lose_the_role(self):
        async def scenario():
            grant = self.first_session.grant_lease

            async def grant_then_lose(ttl_s):
                answer = await grant(ttl_s)
                self.first_session.faults.lose_answers = 1
                return answer

            self.first_session.grant_lease = grant_then_lose
            acquired = await self.first.acquire()
            self.clock.advance(5.0)
            self.first_session.faults.lose_answers = 1
            return acquired, await self.first.renew()

        acquired, held = anyio.run(scenario)
        self.assertIsInstance(acquired, result.Ok)
        self.assertTrue(held)
        self.assertAlmostEqual(self.first.time_left_s, 4.0)

    def test_never_two_holders_and_release_frees_at_once(self):
        async def scenario():
            await self.first.acquire()
            refused = await self.second.acquire()
            await self.first.release()
            return refused, await self.second.acquire()

        refused, taken = anyio.run(scenario)
        self.assertEqual(refused.unwrap_err().holder, b"first")
        self.assertTrue(taken.is_ok())
        self.assertFalse(self.first.held)
