"""At most once, whatever the store and the instances do."""

import random
import unittest
import unittest.mock

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import keys
from cardamomfork._internal.requests.claims import ledger
from cardamomfork._internal.requests.claims import records
from cardamomfork._internal.standins import store
from cardamomfork._internal.standins import virtual_time
from tests.lib import seeds

REASONS = outcomes.RefusalReason
DONE = claiming.StoredOutcome(outcomes.Outcome.DONE, 200, b"booked", True)


class Silent:
    """The way to an owner that may commit and then not answer."""

    def __init__(self):
        self.ledger = None
        self.answers = True

    def owner(self, shard):
        return "owner"

    async def forward(self, owner, payload, timeout_s):
        answer = await self.ledger.serve(payload)
        return answer if self.answers else None


class LedgerTest(unittest.TestCase):
    def run_world(self, scenario):
        async def main():
            self.clock = virtual_time.VirtualClock()
            self.store = store.MemoryStore(self.clock)
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                answer = await scenario()
                tasks.cancel_scope.cancel()
            return answer

        return virtual_time.run(main)

    async def instance(self, routes=None, skew_s=0.0):
        session = store.StoreSession(self.store)
        clock = virtual_time.VirtualClock(skew_s)
        policy = keys.ClaimPolicy()
        writer = committer.GroupCommitter(
            session, clock, random.Random(1), policy.retention_s
        )
        await self.tasks.start(writer.run)
        made = ledger.StoreClaimLedger(writer, clock, policy, routes)
        return made, session, writer

    def key(self, age_s=0.0):
        now_ms = int((self.clock.wall() - age_s) * 1000)
        return identifiers.new_time_ordered_id(now_ms)

    def test_repeats_get_in_progress_then_the_stored_answer(self):
        async def scenario():
            one, _, _ = await self.instance()
            two, _, _ = await self.instance()
            key = self.key()
            claim = (await one.claim("a", key, b"f", 9.0)).unwrap()
            running = (await two.claim("a", key, b"f", 9.0)).unwrap_err()
            reused = (await two.claim("a", key, b"g", 9.0)).unwrap_err()
            settled = await one.settle(claim, DONE, 9.0)
            stored = (await two.claim("a", key, b"f", 9.0)).unwrap()
            other = (await two.claim("b", key, b"f", 9.0)).unwrap()
            return running, reused, settled, stored, other

        running, reused, settled, stored, other = self.run_world(scenario)
        self.assertEqual(running.reason, REASONS.IN_PROGRESS)
        self.assertEqual(running.outcome, outcomes.Outcome.UNKNOWN)
        self.assertEqual(reused.reason, REASONS.KEY_REUSED)
        self.assertTrue(settled)
        self.assertEqual(stored, DONE)
        self.assertIsInstance(other, claiming.Claim)

    def test_calls_at_the_same_time_get_one_claim(self):
        async def scenario():
            ledgers = [(await self.instance())[0] for _ in range(5)]
            key = self.key()
            answers = []

            async def call(one):
                answers.append(await one.claim("a", key, b"f", 9.0))

            async with anyio.create_task_group() as calls:
                for one in ledgers:
                    calls.start_soon(call, one)
            return answers

        answers = self.run_world(scenario)
        self.assertEqual(sum(a.is_ok() for a in answers), 1)
        refused = {a.unwrap_err().reason for a in answers if a.is_err()}
        self.assertEqual(refused, {REASONS.IN_PROGRESS})

    def test_lost_answer_is_settled_by_the_own_token(self):
        async def scenario():
            one, session, _ = await self.instance()
            await one.claim("a", self.key(), b"f", 9.0)
            session.faults.lose_answers = 1
            key = self.key()
            claim = await one.claim("a", key, b"f", 9.0)
            repeat = await one.claim("a", key, b"f", 9.0)
            return claim, repeat

        claim, repeat = self.run_world(scenario)
        self.assertIsInstance(claim.unwrap(), claiming.Claim)
        self.assertEqual(repeat.unwrap_err().reason, REASONS.IN_PROGRESS)

    def test_store_away_is_not_run_and_the_key_is_free_later(self):
        async def scenario():
            one, session, writer = await self.instance()
            two, _, _ = await self.instance()
            key = self.key()
            await one.claim("a", self.key(), b"f", 9.0)
            session.faults.lose_answers = 1
            session.faults.delay_s = 0.1
            started = self.clock.monotonic()

            async def take_store_down():
                await anyio.sleep(0.15)
                self.assertEqual(session.faults.lose_answers, 0)
                session.faults.down = True

            self.tasks.start_soon(take_store_down)
            refused = (await one.claim("a", key, b"f", 9.0)).unwrap_err()
            took_s = self.clock.monotonic() - started
            held = (await two.claim("a", key, b"f", 9.0)).unwrap_err()
            self.assertEqual(held.reason, REASONS.IN_PROGRESS)
            session.faults.down = False
            with anyio.fail_after(30.0):
                await writer.drain()
            return refused, took_s, await two.claim("a", key, b"f", 9.0)

        refused, took_s, later = self.run_world(scenario)
        self.assertEqual(refused.reason, REASONS.STORE_UNAVAILABLE)
        self.assertEqual(refused.outcome, outcomes.Outcome.NOT_RUN)
        self.assertLess(took_s, 9.0)
        self.assertIsInstance(later.unwrap(), claiming.Claim)

    def test_cancelled_call_frees_its_key(self):
        async def scenario():
            one, session, writer = await self.instance()
            session.faults.delay_s = 1.0
            key = self.key()
            with anyio.move_on_after(1.5):
                await one.claim("a", key, b"f", 9.0)
            session.faults.delay_s = 0.0
            with anyio.fail_after(30.0):
                await writer.drain()
            return await one.claim("a", key, b"f", 9.0)

        self.assertIsInstance(self.run_world(scenario).unwrap(), claiming.Claim)

    def test_call_that_ends_with_its_instance_raises_nothing_else(self):
        async def scenario():
            one, session, _ = await self.instance()
            session.faults.delay_s = 1.0
            key = self.key()
            self.tasks.start_soon(one.claim, "a", key, b"f", 9.0)
            await anyio.sleep(0.5)

        self.assertIsNone(self.run_world(scenario))

    def test_dead_holder_reads_as_unknown_for_every_later_call(self):
        async def scenario():
            one, _, _ = await self.instance()
            two, _, _ = await self.instance()
            key = self.key()
            await one.claim("a", key, b"f", 9.0)
            await anyio.sleep(60.0)
            first = (await two.claim("a", key, b"f", 9.0)).unwrap()
            await anyio.sleep(600.0)
            return first, (await two.claim("a", key, b"f", 9.0)).unwrap()

        unknown = claiming.StoredOutcome(outcomes.Outcome.UNKNOWN)
        self.assertEqual(self.run_world(scenario), (unknown, unknown))

    def test_outcome_is_stored_once_the_store_is_back(self):
        async def scenario():
            one, session, _ = await self.instance()
            two, _, _ = await self.instance()
            key = self.key()
            claim = (await one.claim("a", key, b"f", 9.0)).unwrap()
            session.faults.down = True
            settled = await one.settle(claim, DONE, 2.0)
            await anyio.sleep(20.0)
            session.faults.down = False
            await anyio.sleep(5.0)
            return settled, (await two.claim("a", key, b"f", 9.0)).unwrap()

        self.assertEqual(self.run_world(scenario), (False, DONE))

    def test_not_run_frees_the_key(self):
        async def scenario():
            one, _, _ = await self.instance()
            key = self.key()
            claim = (await one.claim("a", key, b"f", 9.0)).unwrap()
            ended = claiming.StoredOutcome(outcomes.Outcome.NOT_RUN)
            await one.settle(claim, ended, 9.0)
            return (await one.claim("a", key, b"g", 9.0)).unwrap()

        self.assertIsInstance(self.run_world(scenario), claiming.Claim)

    def test_key_past_its_window_never_runs_again(self):
        async def scenario():
            one, _, _ = await self.instance()
            slow, _, _ = await self.instance(skew_s=-30.0)
            key = self.key()
            claim = (await one.claim("a", key, b"f", 9.0)).unwrap()
            await one.settle(claim, DONE, 9.0)
            await anyio.sleep(3_615.0)
            expired = (await one.claim("a", key, b"f", 9.0)).unwrap_err()
            last = (await slow.claim("a", key, b"f", 9.0)).unwrap()
            await anyio.sleep(300.0)
            left = self.store.read_prefix("claims/").entries
            return expired, last, left

        expired, last, left = self.run_world(scenario)
        self.assertEqual(expired.reason, REASONS.KEY_EXPIRED)
        self.assertEqual(last, DONE)
        self.assertEqual(left, ())

    def test_clock_set_back_does_not_renew_a_key(self):
        clock = unittest.mock.Mock()
        clock.monotonic.return_value = 0.0
        clock.wall.return_value = 5_000.0
        wall = keys.AdvancingWallClock(clock)
        clock.monotonic.return_value = 10.0
        clock.wall.return_value = 1_000.0
        self.assertEqual(wall.now(), 5_010.0)

    def test_keys_without_a_provable_time_are_refused(self):
        policy = keys.ClaimPolicy()
        now = virtual_time.EPOCH_S
        for key in ("abc", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "x" * 999):
            refused = keys.locate(policy, "a", key, now).unwrap_err()
            self.assertEqual(refused.reason, REASONS.INVALID)
        ahead = keys.locate(policy, "a", f"{now + 31:.0f}-x", now)
        self.assertTrue(ahead.is_err())
        self.assertTrue(keys.locate(policy, "a", f"{now:.0f}-x", now).is_ok())

    def test_owner_that_commits_and_goes_silent_claims_once(self):
        async def scenario():
            routes = Silent()
            routes.ledger, _, _ = await self.instance()
            one, _, _ = await self.instance(routes)
            two, _, _ = await self.instance()
            routes.answers = False
            key = self.key()
            claim = (await one.claim("a", key, b"f", 9.0)).unwrap()
            repeat = (await two.claim("a", key, b"f", 9.0)).unwrap_err()
            settled = await one.settle(claim, DONE, 9.0)
            stored = (await one.claim("a", key, b"f", 9.0)).unwrap()
            return repeat, settled, stored, one.counters

        repeat, settled, stored, counters = self.run_world(scenario)
        self.assertEqual(repeat.reason, REASONS.IN_PROGRESS)
        self.assertEqual((settled, stored), (True, DONE))
        self.assertEqual(counters.fallbacks, 1)

    def test_settling_past_the_deadline_is_stored_and_blames_no_owner(self):
        async def scenario():
            routes = Silent()
            routes.ledger, _, _ = await self.instance()
            one, _, _ = await self.instance(routes)
            keys_of = [self.key(), self.key()]
            first = (await one.claim("a", keys_of[0], b"f", 9.0)).unwrap()
            settled = await one.settle(first, DONE, 0.0)
            await anyio.sleep(1.0)
            forwarded = one.counters.forwarded
            await one.claim("a", keys_of[1], b"f", 9.0)
            stored = (await one.claim("a", keys_of[0], b"f", 9.0)).unwrap()
            return settled, stored, one.counters.forwarded - forwarded

        self.assertEqual(self.run_world(scenario), (False, DONE, 2))

    def test_writes_grow_with_time_not_with_claims(self):
        async def scenario():
            one, session, _ = await self.instance()
            session.faults.delay_s = 0.003
            async with anyio.create_task_group() as calls:
                for _ in range(2_000):
                    calls.start_soon(one.claim, "a", self.key(), b"f", 9.0)
                    await anyio.sleep(0.001)
            return self.store.counters.writes

        self.assertLess(self.run_world(scenario), 2.1 * 4 * 50 + 10)

    def test_record_that_vanished_grants_nothing(self):
        async def scenario():
            one, _, _ = await self.instance()
            key = self.key()
            await one.claim("a", key, b"f", 9.0)
            for entry in self.store.read_prefix("claims/").entries:
                self.store.write(entry.key, None, entry.version, 0)
            return (await one.claim("a", key, b"f", 9.0)).unwrap_err()

        refused = self.run_world(scenario)
        self.assertEqual(refused.reason, REASONS.STORE_UNAVAILABLE)


OPERATIONS = st.lists(
    st.one_of(
        st.builds(
            records.ClaimOperation,
            st.sampled_from([b"k1", b"k2"]),
            st.sampled_from(["t1", "t2", "t3"]),
            st.sampled_from([b"f", b"g"]),
            st.just(1),
        ),
        st.builds(
            records.SettleOperation,
            st.sampled_from([b"k1", b"k2"]),
            st.sampled_from(["t1", "t2", "t3"]),
            st.sampled_from([o.value for o in outcomes.Outcome]),
        ),
    ),
    max_size=12,
)


class RecordsTest(unittest.TestCase):
    @settings(seeds.STEADY, max_examples=300)
    @given(OPERATIONS, OPERATIONS)
    def test_grouping_changes_nothing_and_ends_stay(self, first, second):
        together = records.apply({}, [*first, *second])
        one = records.apply({}, first)
        two = records.apply(one.entries, second)
        self.assertEqual(together.entries, two.entries)
        self.assertEqual(together.results, one.results + two.results)
        for digest, entry in one.entries.items():
            if entry.code not in (0, 2):
                self.assertEqual(two.entries[digest], entry)
        decoded = records.decode(records.encode(two.entries))
        self.assertEqual(decoded, two.entries)

    def test_record_stays_under_the_stores_limit(self):
        entries = {}
        verdicts = set()
        for start in range(0, 20_000, 1_000):
            operations = []
            for number in range(start, start + 1_000):
                place = (number.to_bytes(16, "big"), "t" * 16)
                operations += [
                    records.ClaimOperation(*place, b"f" * 16, 2**31),
                    records.SettleOperation(
                        *place, "done", 200, b"x" * 4096, True
                    ),
                ]
            applied = records.apply(entries, operations)
            entries = applied.entries
            verdicts |= {r.verdict for r in applied.results}
        self.assertIn(records.Verdict.FULL, verdicts)
        self.assertLess(len(records.encode(entries)), 1_048_576)
