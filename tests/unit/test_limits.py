"""Shares follow demand; their sum never exceeds the limit by much."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamomfork._internal.accounts import limit_claims
from cardamomfork._internal.accounts import limits
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.data_centres import reach
from cardamomfork._internal.instances import records
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import instances
from cardamomfork._internal.models import outcomes
from tests.lib import seeds

ACCOUNT = configuration.ClientAccount(
    "depot",
    requests_per_s=100.0,
    prompt_tokens_per_s=1e6,
    max_concurrent=40,
    max_queued=10,
)
DATA_CENTRE_COUNT = 3


class FixedMembers:
    """Membership of a fleet whose data centres have one instance each."""

    def __init__(self, number):

        self.all = [
            records.Record(
                instances.Instance(f"i{n}", f"b{n}", f"dc{n}", "", n)
            )
            for n in range(DATA_CENTRE_COUNT)
        ]
        self.me = self.all[number]

    def known(self, data_centre=None):
        return [
            r for r in self.all if data_centre in (None, r.instance.data_centre)
        ]

    def live(self, data_centre):
        return [r.instance for r in self.known(data_centre)]


class FixedSummaries:
    def __init__(self, members):
        self.home = members.me.instance.data_centre
        self.is_delegate = True

    def get(self, data_centre):
        return None


class Node:
    def __init__(self, number):
        members = FixedMembers(number)
        self.name = members.me.instance.instance_id
        self.side = reach.Reach(members, FixedSummaries(members))
        self.table = limit_claims.ClaimTable(self.side)
        self.limiter = limits.FleetLimiter(self.side, self.table)
        self.limiter.apply_account(ACCOUNT)
        self.gossip_participant = limit_claims.LimitsGossip(
            self.name, self.limiter, self.table, self.side
        )

    def send_payload(self, other, now, budget=2000):
        payload = self.gossip_participant.collect(
            other.name, gossip.Scope.FLEET, budget, now
        )
        assert len(payload) <= budget
        other.gossip_participant.absorb(self.name, payload, now)


class SharesMachine(stateful.RuleBasedStateMachine):
    """Three data centres; load moves and links are cut at any time.

    Time advances in steps of one second. In each step, data centres that can
    reach each other exchange gossip in both directions.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.nodes = [Node(n) for n in range(DATA_CENTRE_COUNT)]
        self.isolated = None
        self.quiet_s = 0
        self.busy = set()
        self.step(20)

    def step(self, count):
        for _ in range(count):
            for part in range(10):
                self.now += 0.1
                for number in self.busy:
                    for _ in range(20):
                        self.offer(number)
                if part == 0:
                    self.gossip_all()
            self.check_sum_of_shares()

    def offer(self, number):
        limiter = self.nodes[number].limiter
        grant = limiter.admit("depot", 10, self.now)
        if grant.is_ok():
            limiter.release(grant.unwrap(), self.now)

    def gossip_all(self):
        for one in range(DATA_CENTRE_COUNT):
            for other in range(DATA_CENTRE_COUNT):
                if one != other and self.isolated not in (one, other):
                    self.nodes[one].send_payload(self.nodes[other], self.now)

    def check_sum_of_shares(self):
        total = sum(n.limiter.share("depot", self.now) for n in self.nodes)
        if self.isolated is not None and self.cut_s >= 3:
            assert total <= 1.2, total
        if self.isolated is not None:
            self.cut_s += 1

    @stateful.rule(number=strategies.integers(0, DATA_CENTRE_COUNT - 1))
    def toggle(self, number):
        self.busy ^= {number}

    @stateful.rule(number=strategies.integers(0, DATA_CENTRE_COUNT - 1))
    def cut(self, number):
        if self.isolated is None:
            self.isolated = number
            self.cut_s = 0

    @stateful.rule()
    def heal(self):
        self.isolated = None

    @stateful.rule(count=strategies.sampled_from([1, 2, 7, 25]))
    def wait(self, count):
        self.step(count)


class SharesMachineTest(SharesMachine.TestCase):
    settings = hypothesis.settings(
        seeds.STEADY, max_examples=200, stateful_step_count=15
    )


class LimiterTest(unittest.TestCase):
    def setUp(self):
        self.nodes = [Node(n) for n in range(DATA_CENTRE_COUNT)]

    def run_for(self, seconds, busy, start, cut=False):
        admitted = [0] * DATA_CENTRE_COUNT
        now = start
        for tenth in range(round(seconds * 10)):
            now = start + tenth / 10
            for number in busy:
                limiter = self.nodes[number].limiter
                for _ in range(20):
                    grant = limiter.admit("depot", 10, now)
                    if grant.is_ok():
                        admitted[number] += 1
                        limiter.release(grant.unwrap(), now)
            if tenth % 10 == 0 and not cut:
                for one in self.nodes:
                    for other in self.nodes:
                        if one is not other:
                            one.send_payload(other, now)
        return admitted, now

    def test_single_busy_instance_gets_nearly_the_whole_limit(self):
        _, now = self.run_for(3, {0}, 0.0)
        admitted, _ = self.run_for(10, {0}, now)
        self.assertGreaterEqual(admitted[0], 0.9 * 100 * 10)
        self.assertLessEqual(admitted[0], 1.05 * 100 * 10)

    def test_small_burst_of_an_idle_account_is_admitted_at_once(self):
        _, now = self.run_for(3, set(), 0.0)
        limiter = self.nodes[0].limiter
        admitted = [limiter.admit("depot", 1, now).is_ok() for _ in range(6)]
        self.assertTrue(all(admitted), admitted)
        # The early share is not used after 8 s without reports, because another
        # data centre may be cut off.
        other_limiter = self.nodes[1].limiter
        admitted = [
            other_limiter.admit("depot", 1, now + 8).is_ok() for _ in range(6)
        ]
        self.assertLessEqual(sum(admitted), 1)

    def test_new_demand_on_both_sides_of_a_partition_stays_within_the_limit(
        self,
    ):
        _, now = self.run_for(3, set(), 0.0)
        admitted, now = self.run_for(8, {0, 1}, now, cut=True)
        self.assertLessEqual(sum(admitted), 0.2 * 100 * 8)
        self.run_for(30, {0, 1}, now, cut=True)
        admitted, _ = self.run_for(10, {0, 1}, now + 30, cut=True)
        self.assertLessEqual(sum(admitted), 1.2 * 100 * 10)
        self.assertGreaterEqual(min(admitted[:2]), 0.3 * 100 * 10)

    def test_new_instance_that_is_cut_off_gets_a_small_share(self):
        _, now = self.run_for(5, {0}, 100.0, cut=True)
        self.assertLess(self.nodes[0].limiter.share("depot", now), 0.05)

    def test_held_grants_and_tokens_are_limited(self):
        _, now = self.run_for(3, {0}, 0.0)
        limiter = self.nodes[0].limiter
        held = []
        for step in range(100):
            grant = limiter.admit("depot", 1, now + step / 50)
            held += [grant.unwrap()] if grant.is_ok() else []
        self.assertIn(len(held), (49, 50))
        refusal = limiter.admit("depot", 1, now + 2).unwrap_err()
        self.assertIs(refusal.reason, outcomes.RefusalReason.OVER_LIMIT)
        for grant in held:
            limiter.release(grant, now + 3)
        self.assertTrue(limiter.admit("depot", 5_000_000, now + 3).is_ok())
        refusal = limiter.admit("depot", 1, now + 4).unwrap_err()
        self.assertGreater(refusal.retry_after_s, 2.0)

    def test_planned_stop_transfers_the_share(self):
        _, now = self.run_for(6, {0, 1}, 0.0)
        self.assertLess(self.nodes[1].limiter.share("depot", now), 0.6)
        self.nodes[0].limiter.hand_over()
        for step in (1, 2, 3):
            self.run_for(0.1, {1}, now + step)
        share = self.nodes[1].limiter.share("depot", now + 3.3)
        self.assertGreater(share, 0.9)

    def test_relayed_report_age_never_decreases(self):
        sides = [node.side for node in self.nodes]
        sides[0].hear({"dc2": 0.0}, 0.0)
        now = 0.0
        for step in range(100):
            now += 0.05
            self.nodes[step % 2].send_payload(self.nodes[1 - step % 2], now)
        # dc2 itself has sent no report since time 0.
        self.assertLessEqual(sides[0].spoke_at("dc2"), 0.0)

    def test_table_is_bounded_and_unreadable_payloads_are_counted(self):
        table = limit_claims.ClaimTable(self.nodes[0].side, max_claims=10)
        for number in range(50):
            table.hear("i1", f"a{number}", 0.5, 0.0, 1.0)
        self.assertEqual(len(table), 10)
        self.nodes[0].gossip_participant.absorb("i1", b"\xc1", 0.0)
        self.assertEqual(self.nodes[0].gossip_participant.unreadable, 1)
