"""Malformed payloads of peers never raise an error in an instance."""

import random
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from cardamomfork._internal.accounts import limit_claims
from cardamomfork._internal.accounts import limits
from cardamomfork._internal.configuration import distribution
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.data_centres import reach
from cardamomfork._internal.data_centres import summaries
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import membership_gossip
from cardamomfork._internal.models import instances
from cardamomfork._internal.targets import leaving
from cardamomfork._internal.targets import load_gossip
from tests.lib import seeds

SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 2**63)
    | strategies.floats()
    | strategies.text(max_size=4)
    | strategies.binary(max_size=6)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=9)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=25,
)
PAYLOADS = strategies.binary(max_size=40) | VALUES.map(msgspec.msgpack.encode)


def participants():
    me = instances.Instance("me", "b1", "kempten", "h", 1)
    manual_clock = clock.ManualClock()
    members = membership.Membership(me, random.Random(1))
    others = summaries.DataCentreSummaries(
        members, manual_clock, random.Random(1)
    )
    fleet_reach = reach.Reach(members, others)
    table = limit_claims.ClaimTable(fleet_reach)
    limiter = limits.FleetLimiter(fleet_reach, table)
    return [
        membership_gossip.MembershipGossip(members, others),
        distribution.ConfigurationGossip(replica.ConfigurationReplica()),
        limit_claims.LimitsGossip("me", limiter, table, fleet_reach),
        leaving.LeavingTargets(),
        load_gossip.LoadGossip(lambda report, now: None),
    ]


class PayloadsTest(unittest.TestCase):
    @hypothesis.settings(seeds.STEADY, max_examples=600)
    @hypothesis.given(payloads=strategies.lists(PAYLOADS, max_size=4))
    def test_any_bytes_are_taken_or_dropped(self, payloads):
        for participant in participants():
            for payload in payloads:
                participant.absorb("peer", payload, 1.0)
            for budget in (0, 20, 60, 300):
                told = participant.collect(
                    "peer", gossip.Scope.DATA_CENTRE, budget, 2.0
                )
                self.assertLessEqual(len(told), budget)

    @hypothesis.settings(seeds.STEADY, max_examples=300)
    @hypothesis.given(payload=PAYLOADS)
    def test_any_page_is_taken_or_dropped(self, payload):
        told = distribution.ConfigurationGossip(replica.ConfigurationReplica())
        told.answer_page(payload)
        distribution.SnapshotReader().take(payload)
