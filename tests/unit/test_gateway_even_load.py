"""Tests of the load's spread, and of how soon peers know of placements."""

import asyncio
import random
import statistics
import unittest
from unittest import mock

import attrs

from cardamomfork._internal.gateway.choice import load_spread
from cardamomfork._internal.gateway.choice import placement_news
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.measure import even_load
from cardamomfork._internal.measure import instance_views
from tests.lib import gateway_parts
from tests.unit import test_gateway_digests

SEEDS = range(1, 13)
"""Four seeds are too few: the difference changes its sign with the draws."""
MIN_WORTH = 0.60
"""Mean worth that is required on days with faults."""


def make_job(job_id="j", target_id="t0", helpers=()):
    """Returns a job in prefill."""
    return load_view.Job(
        job_id,
        target_id,
        tuple(load_view.Part(helper) for helper in helpers),
        5000,
        100,
        0.3,
        1.0,
        0.0,
    )


class UrgencyTest(unittest.TestCase):
    def test_only_news_of_split_prompts_is_sent_before_others(self):
        split = make_job(helpers=("t1", "t2"))
        whole = make_job()
        urgency = placement_news.Urgency
        self.assertEqual(
            placement_news.urgency_of_start(split), urgency.IMMEDIATE
        )
        self.assertEqual(placement_news.urgency_of_start(whole), urgency.URGENT)
        self.assertEqual(
            placement_news.urgency_of_release(split), urgency.URGENT
        )
        self.assertEqual(
            placement_news.urgency_of_release(whole), urgency.RELAXED
        )

    def test_release_of_an_unknown_job_is_relaxed(self):
        self.assertEqual(
            placement_news.urgency_of_release(None),
            placement_news.Urgency.RELAXED,
        )


class TimingLoop(test_gateway_digests.LateLoop):
    """Records when digests are due, at time 1."""

    def call_at(self, when, callback):
        self.scheduled.append(when - self.time())
        return asyncio.Handle(callback, (), self)


class DigestDelayTest(unittest.TestCase):
    def delays(self, sizes, *urgencies):
        """Returns the delays of digests scheduled one after the other."""
        links = test_gateway_digests.Network(sizes).all[0].links
        loop = TimingLoop()
        with mock.patch.object(asyncio, "get_running_loop", return_value=loop):
            for urgency in urgencies:
                links.notify_job(urgency)
        return loop.scheduled

    def test_large_fleet_hears_of_split_prompts_at_once(self):
        urgency = placement_news.Urgency
        delays = self.delays(
            test_gateway_digests.LARGE_FLEET,
            urgency.RELAXED,
            urgency.URGENT,
            urgency.IMMEDIATE,
        )
        for found, expected in zip(
            delays,
            (
                peer_links.LARGE_FLEET_RELEASE_DELAY_S,
                peer_links.LARGE_FLEET_COALESCE_S,
                0.0,
            ),
            strict=True,
        ):
            self.assertAlmostEqual(found, expected)

    def test_immediate_digest_is_not_replaced_by_a_later_one(self):
        urgency = placement_news.Urgency
        delays = self.delays(
            test_gateway_digests.LARGE_FLEET,
            urgency.IMMEDIATE,
            urgency.URGENT,
            urgency.RELAXED,
        )
        self.assertEqual(len(delays), 1)

    def test_small_fleet_gathers_all_news_for_the_same_time(self):
        for urgency in placement_news.Urgency:
            (delay_s,) = self.delays(test_gateway_digests.SMALL_FLEET, urgency)
            self.assertAlmostEqual(delay_s, peer_links.COALESCE_S)


class SpreadTest(unittest.TestCase):
    def setUp(self):
        self.table = target_table.TargetTable()
        self.load = load_view.LoadView()
        for number in range(4):
            self.table.put(gateway_parts.make_record(number))

    def spread(self):
        return load_spread.highest_over_mean(self.table, self.load)

    def test_idle_or_unknown_targets_have_no_spread(self):
        self.assertEqual(self.spread(), 0.0)
        self.assertEqual(
            load_spread.highest_over_mean(
                target_table.TargetTable(), self.load
            ),
            0.0,
        )

    def test_even_load_has_spread_one(self):
        for number in range(4):
            self.load.start(make_job(f"j{number}", f"t{number}"))
        self.assertEqual(self.spread(), 1.0)

    def test_one_busy_target_has_the_spread_of_its_service(self):
        for number in range(3):
            self.load.start(make_job(f"j{number}", "t2"))
        self.assertEqual(self.spread(), 4.0)

    def test_helpers_and_jobs_of_unknown_targets_are_not_counted(self):
        self.load.start(make_job("j", "t0", helpers=("t1",)))
        self.load.start(make_job("k", "gone"))
        self.assertEqual(self.spread(), 4.0)


class DigestSimulationTest(unittest.TestCase):
    def test_news_of_a_lost_digest_arrives_with_the_next(self):
        scheduled = []
        load = load_view.LoadView()
        views = instance_views.InstanceViews(
            load,
            instance_views.DigestTiming(lost_fraction=0.5),
            random.Random(1),
            lambda *event: scheduled.append(event),
        )
        views.start(0, make_job(), 0.0)
        with views.seen_by(0, 0.0):
            self.assertEqual(load.count_jobs("t0"), 1)
        self.assertEqual(load.count_jobs("t0"), 0)
        for _ in range(40):
            scheduled.sort(key=lambda event: event[0])
            at, call, argument = scheduled.pop(0)
            call(at, argument)
        self.assertEqual(load.count_jobs("t0"), 1)


class TurningLoadTest(unittest.TestCase):
    """Short and long prompts in turns on 69 instances and 60 engines."""

    def play(self, digests):
        """Returns the mean figures of some seeds."""
        way = even_load.Way("", even_load.place_by_cost, digests)
        runs = [
            even_load.figures(
                even_load.simulate(even_load.LARGE_MEMORY, way, seed)
            )
            for seed in SEEDS
        ]
        return {
            name: statistics.fmean(one[name] for one in runs)
            for name in runs[0]
        }

    def test_callers_get_more_if_news_of_split_prompts_is_not_gathered(self):
        # Instances that hadn't heard of each other's long prompts had them
        # read by the same idle engines, and both were late.
        gathered = self.play(even_load.GATHERING)
        at_once = self.play(even_load.SPLIT_AT_ONCE)
        for name in ("worth on time", "worst seconds", "long"):
            with self.subTest(figure=name):
                self.assertGreater(at_once[name], gathered[name])

    def test_worth_stays_with_lost_and_late_digests(self):
        worse = attrs.evolve(
            even_load.SPLIT_AT_ONCE, lost_fraction=0.1, max_way_s=0.05
        )
        self.assertGreaterEqual(self.play(worse)["worth on time"], MIN_WORTH)


if __name__ == "__main__":
    unittest.main()
