"""What callers get under the heaviest loads, against a plain policy.

The loads are those of the sites' days of high load: short prompts at 2.5 times
their usual rate, and long ones at 2.8 times theirs.
"""

import unittest

from cardamomfork._internal.measure import engine_play
from cardamomfork._internal.measure import placing
from cardamomfork._internal.measure import reports

ENGINES = 23
SECONDS = 15.0
LOADS = {load.name: load for load in placing.LOADS}
SHORT_BURST = LOADS["short burst"].factors
LONG_BURST = LOADS["long burst"].factors
BOTH = LOADS["both"].factors
MANY_SECONDS = 6.0
GROWTH = 2.7
"""Load of the grown deployments over that of today."""
OLD_VIEW_S = 0.03
"""Age at which many instances see each other's placements."""
MANY = placing.Size(86, 78, GROWTH, OLD_VIEW_S)
"""Size of the grown deployments."""
STATED_SHARE = 0.95
"""The users want the first token in time for 95 in 100."""


def play(place, factors, seed=1):
    """Plays a load; returns its requests."""
    made = engine_play.Play(placing.LAW, ENGINES, place, seed)
    return made.run(SECONDS, factors)


def make_play(size, place):
    """Returns a play of many instances, which see each other late."""
    return engine_play.Play(
        placing.LAW,
        size.engines,
        place,
        1,
        instances=size.instances,
        view_s=size.view_s,
    )


class HeavyLoadTest(unittest.TestCase):
    def check(self, factors, kinds):
        ours = play(placing.place_by_cost, factors)
        plain = play(placing.place_by_least_load, factors)
        for name in kinds:
            with self.subTest(kind=name):
                self.assertGreaterEqual(
                    engine_play.worth_on_time(ours, name), STATED_SHARE
                )
        self.assertGreater(
            engine_play.worth_on_time(ours),
            engine_play.worth_on_time(plain),
        )

    def test_short_prompts_stay_on_time_in_their_burst(self):
        self.check(SHORT_BURST, ("short",))

    def test_long_prompts_are_on_time_in_their_burst(self):
        self.check(LONG_BURST, ("short", "long"))

    def test_both_at_once_earn_more_than_by_least_load(self):
        self.check(BOTH, ())

    def test_many_instances_with_an_old_view_do_not_gather(self):
        # 86 instances that all filled the same engines first served 0.45 of
        # this load's short prompts on time.
        grown = {kind: GROWTH * by for kind, by in SHORT_BURST.items()}
        served = {}
        for place in (
            placing.place_by_cost,
            placing.place_by_least_load,
        ):
            played = make_play(MANY, place)
            done = played.run(MANY_SECONDS, grown)
            served[place] = engine_play.worth_on_time(done, "short")
        ours, plain = served.values()
        self.assertGreaterEqual(ours, STATED_SHARE)
        self.assertGreater(ours, plain)

    def test_half_as_many_instances_do_not_gather_either(self):
        # With less noise and a cost of engines that fill up, 30 instances
        # served 0.873 of this load, and taking the engines in turn 0.882.
        size = next(one for one in placing.SIZES if one.instances == 30)
        factors = {kind: size.load * by for kind, by in SHORT_BURST.items()}
        served = []
        for place in (placing.place_by_cost, placing.make_round_robin()):
            played = make_play(size, place)
            done = played.run(MANY_SECONDS, factors)
            served.append(engine_play.worth_on_time(done, "short"))
        ours, in_turn = served
        self.assertGreaterEqual(ours, STATED_SHARE)
        self.assertGreater(ours, in_turn)

    def test_engines_that_stand_still_get_little_more(self):
        # A tenth of the engines stand still by turns, as after the loss of an
        # engine that reads with others.
        served = {}
        for place in (placing.place_by_cost, placing.place_by_least_load):
            played = make_play(MANY, place)
            placing.add_stalls(played, MANY.engines, MANY_SECONDS)
            usual = dict.fromkeys(SHORT_BURST, GROWTH)
            served[place] = engine_play.worth_on_time(
                played.run(MANY_SECONDS, usual)
            )
        ours, plain = served.values()
        self.assertGreater(ours, plain)


class PlacingReportTest(unittest.TestCase):
    def test_smallest_report_names_each_policy_and_its_bound(self):
        text = str(placing.measure(reports.Options(smallest=True)))
        for name in ("cardamomfork", "all-seeing", "round robin", "bound"):
            self.assertIn(name, text)

    def test_no_policy_serves_more_than_the_bound(self):
        report = placing.measure(reports.Options(smallest=True))
        (table,) = report.parts
        for load in {row[0] for row in table.rows}:
            shares = {
                row[1]: float(row[2]) for row in table.rows if row[0] == load
            }
            self.assertEqual(max(shares.values()), shares["bound"])


if __name__ == "__main__":
    unittest.main()
