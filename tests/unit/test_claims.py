"""Claims grant each key at most once, despite faults.

The faults are store outages, lost answers, dead and silent instances, clock
differences and cancelled calls.
"""

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


class SilentOwnerRoutes:
    """Routes to a shard owner that commits, but may then not answer."""

    def __init__(self):
        self.ledger = None
        self.answers = True

    def owner(self, shard):
        return "owner"

    async def forward(self, owner, payload, timeout_s):
        answer = await self.ledger.serve(payload)
        return answer if self.answers else None


class LedgerTest(unittest.TestCase):
    """Ledgers of several instances on one simulated store."""

    def run_simulation(self, scenario):
        async def main():
            self.clock = virtual_time.VirtualClock()
            self.store = store.MemoryStore(self.clock)
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                answer = await scenario()
                tasks.cancel_scope.cancel()
            return answer

        return virtual_time.run(main)

    async def start_instance(self, routes=None, skew_s=0.0):
        session = store.StoreSession(self.store)
        clock = virtual_time.VirtualClock(skew_s)
        policy = keys.ClaimPolicy()
        group_committer = committer.GroupCommitter(
            session, clock, random.Random(1), policy.retention_s
        )
        await self.tasks.start(group_committer.run)
        new_ledger = ledger.StoreClaimLedger(
            group_committer, clock, policy, routes
        )
        return new_ledger, session, group_committer

    def key(self, age_s=0.0):
        now_ms = int((self.clock.wall() - age_s) * 1000)
        return identifiers.new_time_ordered_id(now_ms)

    def test_repeat_gets_in_progress_then_stored_answer(self):
        async def scenario():
            claim_ledger, _, _ = await self.start_instance()
            other_ledger, _, _ = await self.start_instance()
            key = self.key()
            claim = (await claim_ledger.claim("a", key, b"f", 9.0)).unwrap()
            running = (
                await other_ledger.claim("a", key, b"f", 9.0)
            ).unwrap_err()
            reused = (
                await other_ledger.claim("a", key, b"g", 9.0)
            ).unwrap_err()
            settled = await claim_ledger.settle(claim, DONE, 9.0)
            stored = (await other_ledger.claim("a", key, b"f", 9.0)).unwrap()
            other = (await other_ledger.claim("b", key, b"f", 9.0)).unwrap()
            return running, reused, settled, stored, other

        running, reused, settled, stored, other = self.run_simulation(scenario)
        self.assertEqual(running.reason, REASONS.IN_PROGRESS)
        self.assertEqual(running.outcome, outcomes.Outcome.UNKNOWN)
        self.assertEqual(reused.reason, REASONS.KEY_REUSED)
        self.assertTrue(settled)
        self.assertEqual(stored, DONE)
        self.assertIsInstance(other, claiming.Claim)

    def test_concurrent_calls_get_one_claim(self):
        async def scenario():
            ledgers = [(await self.start_instance())[0] for _ in range(5)]
            key = self.key()
            answers = []

            async def call(claim_ledger):
                answers.append(await claim_ledger.claim("a", key, b"f", 9.0))

            async with anyio.create_task_group() as calls:
                for claim_ledger in ledgers:
                    calls.start_soon(call, claim_ledger)
            return answers

        answers = self.run_simulation(scenario)
        self.assertEqual(sum(a.is_ok() for a in answers), 1)
        refused = {a.unwrap_err().reason for a in answers if a.is_err()}
        self.assertEqual(refused, {REASONS.IN_PROGRESS})

    def test_lost_store_answer_is_resolved_by_claim_token(self):
        async def scenario():
            claim_ledger, session, _ = await self.start_instance()
            await claim_ledger.claim("a", self.key(), b"f", 9.0)
            session.faults.lose_answers = 1
            key = self.key()
            claim = await claim_ledger.claim("a", key, b"f", 9.0)
            repeat = await claim_ledger.claim("a", key, b"f", 9.0)
            return claim, repeat

        claim, repeat = self.run_simulation(scenario)
        self.assertIsInstance(claim.unwrap(), claiming.Claim)
        self.assertEqual(repeat.unwrap_err().reason, REASONS.IN_PROGRESS)

    def test_store_outage_refuses_as_not_run_and_frees_key_later(self):
        async def scenario():
            claim_ledger, session, group_committer = await self.start_instance()
            other_ledger, _, _ = await self.start_instance()
            key = self.key()
            await claim_ledger.claim("a", self.key(), b"f", 9.0)
            session.faults.lose_answers = 1
            session.faults.delay_s = 0.1
            started = self.clock.monotonic()

            async def take_store_down():
                await anyio.sleep(0.15)
                self.assertEqual(session.faults.lose_answers, 0)
                session.faults.down = True

            self.tasks.start_soon(take_store_down)
            refused = (
                await claim_ledger.claim("a", key, b"f", 9.0)
            ).unwrap_err()
            elapsed_s = self.clock.monotonic() - started
            held = (await other_ledger.claim("a", key, b"f", 9.0)).unwrap_err()
            self.assertEqual(held.reason, REASONS.IN_PROGRESS)
            session.faults.down = False
            with anyio.fail_after(30.0):
                await group_committer.drain()
            return (
                refused,
                elapsed_s,
                await other_ledger.claim("a", key, b"f", 9.0),
            )

        refused, elapsed_s, later = self.run_simulation(scenario)
        self.assertEqual(refused.reason, REASONS.STORE_UNAVAILABLE)
        self.assertEqual(refused.outcome, outcomes.Outcome.NOT_RUN)
        self.assertLess(elapsed_s, 9.0)
        self.assertIsInstance(later.unwrap(), claiming.Claim)

    def test_cancelled_call_frees_its_key(self):
        async def scenario():
            claim_ledger, session, group_committer = await self.start_instance()
            session.faults.delay_s = 1.0
            key = self.key()
            with anyio.move_on_after(1.5):
                await claim_ledger.claim("a", key, b"f", 9.0)
            session.faults.delay_s = 0.0
            with anyio.fail_after(30.0):
                await group_committer.drain()
            return await claim_ledger.claim("a", key, b"f", 9.0)

        self.assertIsInstance(
            self.run_simulation(scenario).unwrap(), claiming.Claim
        )

    def test_cancelling_instance_during_claim_raises_no_error(self):
        async def scenario():
            claim_ledger, session, _ = await self.start_instance()
            session.faults.delay_s = 1.0
            key = self.key()
            self.tasks.start_soon(claim_ledger.claim, "a", key, b"f", 9.0)
            await anyio.sleep(0.5)

        self.assertIsNone(self.run_simulation(scenario))

    def test_claim_of_dead_holder_stays_unknown(self):
        async def scenario():
            claim_ledger, _, _ = await self.start_instance()
            other_ledger, _, _ = await self.start_instance()
            key = self.key()
            await claim_ledger.claim("a", key, b"f", 9.0)
            await anyio.sleep(60.0)
            first = (await other_ledger.claim("a", key, b"f", 9.0)).unwrap()
            await anyio.sleep(600.0)
            return first, (
                await other_ledger.claim("a", key, b"f", 9.0)
            ).unwrap()

        unknown = claiming.StoredOutcome(outcomes.Outcome.UNKNOWN)
        self.assertEqual(self.run_simulation(scenario), (unknown, unknown))

    def test_outcome_is_stored_after_store_recovers(self):
        async def scenario():
            claim_ledger, session, _ = await self.start_instance()
            other_ledger, _, _ = await self.start_instance()
            key = self.key()
            claim = (await claim_ledger.claim("a", key, b"f", 9.0)).unwrap()
            session.faults.down = True
            settled = await claim_ledger.settle(claim, DONE, 2.0)
            await anyio.sleep(20.0)
            session.faults.down = False
            await anyio.sleep(5.0)
            return settled, (
                await other_ledger.claim("a", key, b"f", 9.0)
            ).unwrap()

        self.assertEqual(self.run_simulation(scenario), (False, DONE))

    def test_not_run_frees_the_key(self):
        async def scenario():
            claim_ledger, _, _ = await self.start_instance()
            key = self.key()
            claim = (await claim_ledger.claim("a", key, b"f", 9.0)).unwrap()
            ended = claiming.StoredOutcome(outcomes.Outcome.NOT_RUN)
            await claim_ledger.settle(claim, ended, 9.0)
            return (await claim_ledger.claim("a", key, b"g", 9.0)).unwrap()

        self.assertIsInstance(self.run_simulation(scenario), claiming.Claim)

    def test_expired_key_never_runs_again(self):
        async def scenario():
            claim_ledger, _, _ = await self.start_instance()
            slow_ledger, _, _ = await self.start_instance(skew_s=-30.0)
            key = self.key()
            claim = (await claim_ledger.claim("a", key, b"f", 9.0)).unwrap()
            await claim_ledger.settle(claim, DONE, 9.0)
            await anyio.sleep(3_615.0)
            expired = (
                await claim_ledger.claim("a", key, b"f", 9.0)
            ).unwrap_err()
            last = (await slow_ledger.claim("a", key, b"f", 9.0)).unwrap()
            await anyio.sleep(300.0)
            left = self.store.read_prefix("claims/").entries
            return expired, last, left

        expired, last, left = self.run_simulation(scenario)
        self.assertEqual(expired.reason, REASONS.KEY_EXPIRED)
        self.assertEqual(last, DONE)
        self.assertEqual(left, ())

    def test_wall_clock_step_back_does_not_renew_key(self):
        clock = unittest.mock.Mock()
        clock.monotonic.return_value = 0.0
        clock.wall.return_value = 5_000.0
        wall = keys.AdvancingWallClock(clock)
        clock.monotonic.return_value = 10.0
        clock.wall.return_value = 1_000.0
        self.assertEqual(wall.now(), 5_010.0)

    def test_keys_without_valid_time_are_refused(self):
        policy = keys.ClaimPolicy()
        now = virtual_time.EPOCH_S
        for key in ("abc", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "x" * 999):
            refused = keys.locate(policy, "a", key, now).unwrap_err()
            self.assertEqual(refused.reason, REASONS.INVALID)
        ahead = keys.locate(policy, "a", f"{now + 31:.0f}-x", now)
        self.assertTrue(ahead.is_err())
        self.assertTrue(keys.locate(policy, "a", f"{now:.0f}-x", now).is_ok())

    def test_owner_that_commits_without_answering_claims_once(self):
        async def scenario():
            routes = SilentOwnerRoutes()
            routes.ledger, _, _ = await self.start_instance()
            claim_ledger, _, _ = await self.start_instance(routes)
            other_ledger, _, _ = await self.start_instance()
            routes.answers = False
            key = self.key()
            claim = (await claim_ledger.claim("a", key, b"f", 9.0)).unwrap()
            repeat = (
                await other_ledger.claim("a", key, b"f", 9.0)
            ).unwrap_err()
            settled = await claim_ledger.settle(claim, DONE, 9.0)
            stored = (await claim_ledger.claim("a", key, b"f", 9.0)).unwrap()
            return repeat, settled, stored, claim_ledger.counters

        repeat, settled, stored, counters = self.run_simulation(scenario)
        self.assertEqual(repeat.reason, REASONS.IN_PROGRESS)
        self.assertEqual((settled, stored), (True, DONE))
        self.assertEqual(counters.fallbacks, 1)

    def test_settle_after_deadline_is_stored_and_owner_is_not_skipped(self):
        async def scenario():
            routes = SilentOwnerRoutes()
            routes.ledger, _, _ = await self.start_instance()
            claim_ledger, _, _ = await self.start_instance(routes)
            call_keys = [self.key(), self.key()]
            first = (
                await claim_ledger.claim("a", call_keys[0], b"f", 9.0)
            ).unwrap()
            settled = await claim_ledger.settle(first, DONE, 0.0)
            await anyio.sleep(1.0)
            forwarded = claim_ledger.counters.forwarded
            await claim_ledger.claim("a", call_keys[1], b"f", 9.0)
            stored = (
                await claim_ledger.claim("a", call_keys[0], b"f", 9.0)
            ).unwrap()
            return settled, stored, claim_ledger.counters.forwarded - forwarded

        self.assertEqual(self.run_simulation(scenario), (False, DONE, 2))

    def test_write_count_depends_on_time_not_claim_count(self):
        async def scenario():
            claim_ledger, session, _ = await self.start_instance()
            session.faults.delay_s = 0.003
            async with anyio.create_task_group() as calls:
                for _ in range(2_000):
                    calls.start_soon(
                        claim_ledger.claim, "a", self.key(), b"f", 9.0
                    )
                    await anyio.sleep(0.001)
            return self.store.counters.writes

        self.assertLess(self.run_simulation(scenario), 2.1 * 4 * 50 + 10)

    def test_vanished_record_grants_no_claim(self):
        async def scenario():
            claim_ledger, _, _ = await self.start_instance()
            key = self.key()
            await claim_ledger.claim("a", key, b"f", 9.0)
            for entry in self.store.read_prefix("claims/").entries:
                self.store.write(entry.key, None, entry.version, 0)
            return (await claim_ledger.claim("a", key, b"f", 9.0)).unwrap_err()

        refused = self.run_simulation(scenario)
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
    """Operations on a claim record."""

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
        decoded = records.decode(records.encode(two.entries)).unwrap()
        self.assertEqual(decoded, two.entries)

    def test_record_stays_under_store_value_limit(self):
        entries = {}
        verdicts = set()
        for start in range(0, 20_000, 1_000):
            operations = []
            for number in range(start, start + 1_000):
                digest_and_token = (number.to_bytes(16, "big"), "t" * 16)
                operations += [
                    records.ClaimOperation(*digest_and_token, b"f" * 16, 2**31),
                    records.SettleOperation(
                        *digest_and_token, "done", 200, b"x" * 4096, True
                    ),
                ]
            applied = records.apply(entries, operations)
            entries = applied.entries
            verdicts |= {r.verdict for r in applied.results}
        self.assertIn(records.Verdict.FULL, verdicts)
        self.assertLess(len(records.encode(entries)), 1_048_576)
