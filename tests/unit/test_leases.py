"""A lease holder detects that its lease has expired."""

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
        lease_holder = leases.LeaseHolder(
            session, self.clock, "role", value, 10.0
        )
        return lease_holder, session

    def test_paused_holder_has_no_effect_after_expiry(self):
        async def scenario():
            first_fencing = (await self.first.acquire()).unwrap()
            effects = []

            async def paused_step():
                self.clock.advance(11.0)

            async def effect():
                effects.append(1)

            paused = await self.first.perform(paused_step)
            second_fencing = (await self.second.acquire()).unwrap()
            rejected = await self.first.perform(effect)
            return first_fencing, second_fencing, paused, rejected, effects

        first_fencing, second_fencing, paused, rejected, effects = anyio.run(
            scenario
        )
        self.assertGreater(second_fencing, first_fencing)
        self.assertTrue(paused.is_err() and rejected.is_err())
        self.assertEqual(effects, [])
        self.assertEqual(self.first.fencing, 0)

    def test_slow_renewal_extends_from_the_start_of_the_call(self):
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

    def test_lost_answers_neither_extend_nor_end_the_lease(self):
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

    def test_one_holder_at_a_time_and_release_frees_the_key(self):
        async def scenario():
            await self.first.acquire()
            refused = await self.second.acquire()
            await self.first.release()
            return refused, await self.second.acquire()

        refused, acquired = anyio.run(scenario)
        self.assertEqual(refused.unwrap_err().holder, b"first")
        self.assertTrue(acquired.is_ok())
        self.assertFalse(self.first.held)
