"""Tests of rests that targets ask for, and of their statements to leave."""

import random
import unittest

import attrs

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.models import forwarding
from tests.lib import gateway_parts


class StatementsFixture:
    """The statements of some engines, and a scheduler that heeds them."""

    def __init__(self, engines=3):
        self.clock = gateway_parts.Clock()
        self.fleet = gateway_parts.Fleet(engines)
        self.table = self.fleet.table
        self.statements = target_statements.TargetStatements(
            self.table, self.clock
        )
        self.records = [target.record for target in self.table.list_all()]
        self.scheduler = scheduling.Scheduler(
            self.fleet.placer,
            lambda *_: None,
            self.fleet.load.end,
            self.clock,
            random.Random(1),
        )

    def answer(self, record, status=503, **fields):
        """Receives an answer of a target."""
        self.statements.record_answer(
            record, forwarding.ResponseHead(status, (), **fields)
        )

    def rest_s(self, record):
        return self.statements.rest_left_s(record)

    def choose(self, **changes):
        """Places a request."""
        return self.fleet.placer.choose(
            gateway_parts.make_demand(**changes), self.clock()
        )

    def refuse(self):
        """Returns the refusal of a request that can't be placed."""
        waiter = scheduling._Waiter(
            gateway_parts.make_demand(), 1, self.clock()
        )
        self.scheduler._try_decide(waiter, self.clock(), {})
        return waiter.decision


class RestTest(unittest.TestCase):
    def test_rest_lasts_as_long_as_the_target_has_asked(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, retry_after_s=3.0)
        fixture.clock.now += 2.9
        self.assertGreater(fixture.rest_s(record), 0)
        fixture.clock.now += 0.2
        self.assertEqual(fixture.rest_s(record), 0)

    def test_shorter_rest_or_later_success_does_not_end_a_rest(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, retry_after_s=3.0)
        fixture.answer(record, retry_after_s=0.5)
        fixture.answer(record, 200, is_signed=True)
        self.assertAlmostEqual(fixture.rest_s(record), 3.0)

    def test_restarted_process_is_not_at_rest(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, retry_after_s=3.0)
        restarted = attrs.evolve(record, started_at_ms=record.started_at_ms + 1)
        self.assertEqual(fixture.rest_s(restarted), 0)

    def test_rest_outlasts_an_entry_that_lapses_and_returns(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, retry_after_s=3.0)
        fixture.table.remove(record.target_id, 1.0, may_return=False)
        fixture.table.put(record)
        self.assertGreater(fixture.rest_s(record), 0)

    def test_only_the_target_that_turned_a_request_away_rests(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, 421, retry_after_s=3.0)
        fixture.answer(record, 200, retry_after_s=3.0)
        fixture.answer(record, retry_after_s=None)
        self.assertEqual(fixture.rest_s(record), 0)

    def test_huge_rest_is_bounded(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, retry_after_s=1e18)
        self.assertLess(fixture.rest_s(record), 1000)

    def test_no_request_or_part_of_a_prompt_is_placed_on_resting_targets(self):
        fixture = StatementsFixture(engines=4)
        resting = fixture.records[:2]
        for record in resting:
            fixture.answer(record, retry_after_s=3.0)
        ids = {record.target_id for record in resting}
        for tokens in (500, 150_000, 500_000):
            chosen = fixture.choose(tokens=tokens)
            used = {chosen.target.record.target_id} | {
                helper.target.record.target_id for helper in chosen.helpers
            }
            self.assertFalse(used & ids, tokens)

    def test_request_is_refused_at_once_if_all_targets_rest(self):
        fixture = StatementsFixture()
        for number, record in enumerate(fixture.records):
            fixture.answer(record, retry_after_s=4.0 + number)
        refusals = [fixture.refuse() for _ in range(20)]
        times = {refusal.retry_after_s for refusal in refusals}
        self.assertGreaterEqual(min(times), 4.0)
        self.assertLessEqual(max(times), 6.0)
        self.assertGreater(len(times), 10)

    def test_request_waits_for_a_rest_that_ends_before_it_is_late(self):
        fixture = StatementsFixture()
        for record in fixture.records:
            fixture.answer(record, retry_after_s=0.1)
        self.assertIsNone(fixture.refuse())
        fixture.clock.now += 0.11
        self.assertIsInstance(fixture.choose(), placement.Placement)


class LeavingTest(unittest.TestCase):
    def test_target_that_says_it_leaves_in_any_answer_gets_no_request(self):
        for status in (200, 404, 500, 503):
            fixture = StatementsFixture(engines=2)
            record = fixture.records[0]
            fixture.answer(record, status, is_leaving=True)
            self.assertFalse(fixture.statements.wants_requests(record))
            for tokens in (500, 150_000):
                chosen = fixture.choose(tokens=tokens)
                self.assertIsInstance(chosen, placement.Placement)
                self.assertNotEqual(chosen.target.record, record)
                self.assertEqual(chosen.helpers, ())

    def test_answer_of_another_target_at_the_address_changes_nothing(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, 421, is_leaving=True)
        self.assertTrue(fixture.statements.wants_requests(record))

    def test_entry_that_says_ready_does_not_undo_the_statement(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, 200, is_leaving=True)
        fixture.table.put(record)
        self.assertFalse(fixture.statements.wants_requests(record))
        fixture.table.replace_all([record], 1.0, may_return=True)
        self.assertFalse(fixture.statements.wants_requests(record))
        fixture.table.remove(record.target_id, 1.0, may_return=False)
        fixture.table.put(record)
        self.assertFalse(fixture.statements.wants_requests(record))

    def test_statement_that_arrives_after_the_entry_has_gone_counts(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.table.remove(record.target_id, 1.0, may_return=False)
        fixture.answer(record, 200, is_leaving=True)
        fixture.table.put(record)
        self.assertFalse(fixture.statements.wants_requests(record))

    def test_restarted_process_gets_requests_again(self):
        fixture = StatementsFixture()
        record = fixture.records[0]
        fixture.answer(record, 200, is_leaving=True)
        restarted = attrs.evolve(record, started_at_ms=record.started_at_ms + 1)
        fixture.table.put(restarted)
        self.assertTrue(fixture.statements.wants_requests(restarted))
        fixture.answer(record, 200, is_leaving=True)
        self.assertTrue(fixture.statements.wants_requests(restarted))

    def test_statement_is_reported_once(self):
        fixture = StatementsFixture()
        leaving = []
        statements = target_statements.TargetStatements(
            fixture.table, fixture.clock, leaving.append
        )
        head = forwarding.ResponseHead(200, (), is_leaving=True)
        for _ in range(3):
            statements.record_answer(fixture.records[0], head)
        self.assertEqual(leaving, fixture.records[:1])

    def test_end_of_a_target_that_said_it_leaves_is_no_crash(self):
        ended = []
        table = target_table.TargetTable(ended.append)
        record = gateway_parts.make_record(1)
        table.put(record)
        table.mark_leaving(record)
        table.remove(record.target_id, 1.0, may_return=False)
        self.assertTrue(ended[0].is_leaving)


if __name__ == "__main__":
    unittest.main()
