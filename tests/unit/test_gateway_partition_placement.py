"""Tests of placement while a data centre is out of reach."""

import random
import unittest

import anyio

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import data_centre_reach
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import target_table
from tests.lib import gateway_parts

DATA_CENTRES = ("a", "b", "c")
MIN_FLEET = 13
FLEET = 69
ENGINES = 60
MANY_ENGINES = 120
SHORT_TOKENS = 5_000
MIDDLE_TOKENS = 45_000
LONG_TOKENS = 300_000
REQUESTS_PER_S = {SHORT_TOKENS: 44.9, MIDDLE_TOKENS: 4.13, LONG_TOKENS: 1.22}
OBJECTIVE_S = {SHORT_TOKENS: 0.32, MIDDLE_TOKENS: 1.53, LONG_TOKENS: 4.06}
PLAYED_S = 5.0


class PartitionPlacementTest(unittest.TestCase):
    def make(self, engines=ENGINES, **changes):
        """Creates engines in three data centres, seen from `a`."""
        self.now = 100.0
        self.rng = random.Random(1)
        self.table = target_table.TargetTable()
        self.load = load_view.LoadView()
        for number in range(engines):
            self.table.put(
                gateway_parts.make_record(
                    number,
                    data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                    **({"slots": 6} | changes),
                )
            )
        self.reach = data_centre_reach.DataCentreReach("a", MIN_FLEET)
        self.pass_time(1.0)
        self.placer = placement.Placer(
            self.table,
            self.load,
            "a",
            self.rng,
            lambda: FLEET,
            self.reach,
        )

    def pass_time(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            self.reach.tick(self.now, FLEET, FLEET)

    def cut_off(self, *names):
        for name in names:
            for target_id in ("one", "two"):
                self.reach.record_failure(name, target_id, self.now)
            self.assertTrue(self.reach.is_excluded(name, self.now))

    def choose(self, tokens=SHORT_TOKENS, **changes):
        fields = {
            "objective_left_s": OBJECTIVE_S.get(tokens, 4.0),
            "max_gap_s": 0.3 if tokens < LONG_TOKENS else 1.2,
        }
        return self.placer.choose(
            gateway_parts.make_demand(tokens, **(fields | changes)), self.now
        )

    def start(self, job_id, chosen, tokens, seconds=1.0):
        self.load.start(
            load_view.Job(
                job_id,
                chosen.target.record.target_id,
                tuple(
                    load_view.Part(
                        one.target.record.target_id, one.reserved_tokens
                    )
                    for one in chosen.helpers
                ),
                tokens,
                1500,
                0.3,
                1.0,
                self.now + chosen.prefill_s,
                ends_at=self.now + chosen.first_token_s + seconds,
            )
        )

    def fill(self, *names):
        """Fills all slots of the engines of some data centres."""
        for target in self.table.list_all():
            if target.record.data_centre in names:
                for slot in range(target.record.slots):
                    self.load.start(
                        load_view.Job(
                            f"{target.record.target_id} {slot}",
                            target.record.target_id,
                            (),
                            SHORT_TOKENS,
                            1000,
                            0.3,
                            1.0,
                            self.now - 1.0,
                            is_writing=True,
                            ends_at=self.now + 1.0,
                        )
                    )

    def play(self):
        """Plays a day's load; returns what was placed and how much was not."""
        placed, refused, running = [], 0, []
        end = self.now + PLAYED_S
        while self.now < end:
            self.pass_time(0.05)
            for ends_at, job_id in list(running):
                if ends_at <= self.now:
                    running.remove((ends_at, job_id))
                    self.load.end(job_id)
            for tokens, rate in REQUESTS_PER_S.items():
                if self.rng.random() >= rate * 0.05 / 3:
                    continue
                chosen = self.choose(tokens)
                if not isinstance(chosen, placement.Placement):
                    refused += 1
                    continue
                job_id = f"{self.now} {tokens}"
                self.start(job_id, chosen, tokens)
                running.append((self.now + chosen.first_token_s + 1.0, job_id))
                placed.append(chosen)
        return placed, refused

    def centres(self, chosen):
        return {chosen.target.record.data_centre} | {
            one.target.record.data_centre for one in chosen.helpers
        }

    def test_load_of_a_partition_stays_on_this_side(self):
        # 22 of 29 lost attempts of long prompts were sent across a partition.
        for engines in (ENGINES, MANY_ENGINES):
            self.make(engines)
            used = set()
            placed, refused = self.play()
            self.assertEqual(refused, 0)
            for chosen in placed:
                used |= self.centres(chosen)
            self.assertEqual(used, set(DATA_CENTRES))
            self.cut_off("c")
            placed, refused = self.play()
            self.assertEqual(refused, 0)
            self.assertTrue(any(one.helpers for one in placed))
            for chosen in placed:
                self.assertNotIn("c", self.centres(chosen))

    def test_memory_is_reserved_on_this_side_only(self):
        # Requests were refused for failed reservations across a partition.
        self.make()
        self.cut_off("c")
        for number in range(8):
            chosen = self.choose(gateway_parts.LAW.memory_tokens + 50_000)
            self.assertTrue(any(one.reserved_tokens for one in chosen.helpers))
            self.assertNotIn("c", self.centres(chosen))
            self.start(f"j{number}", chosen, SHORT_TOKENS)

    def test_idle_engines_out_of_reach_get_nothing_while_others_are_full(self):
        # A request that waits for this side is served; one sent across fails.
        for engines in (ENGINES, MANY_ENGINES):
            self.make(engines)
            self.cut_off("c")
            self.fill("a", "b")
            for tokens in (SHORT_TOKENS, LONG_TOKENS):
                chosen = self.choose(tokens)
                self.assertIsInstance(chosen, placement.NoCapacity)
                self.assertTrue(chosen.may_wait)
                self.assertLessEqual(chosen.capacity_in_s, 1.0)

    def test_targets_tried_on_this_side_go_before_those_out_of_reach(self):
        # One request tried nine targets out of reach, one after the other.
        self.make()
        self.cut_off("c")
        tried = frozenset(
            target.record.target_id
            for target in self.table.list_all()
            if target.record.data_centre != "c"
        )
        chosen = self.choose(excluded=tried)
        self.assertNotIn("c", self.centres(chosen))

    def test_service_without_other_targets_is_still_served(self):
        # The exclusion alone must not leave a service without any target.
        for engines in (ENGINES, MANY_ENGINES):
            self.make(engines)
            self.cut_off("b", "c")
            for target in self.table.list_all():
                if target.record.data_centre == "a":
                    self.table.mark_leaving(target.record)
            for tokens in (SHORT_TOKENS, LONG_TOKENS):
                self.assertIsInstance(self.choose(tokens), placement.Placement)
            for target in self.table.list_all():
                self.table.mark_leaving(target.record)
            self.assertIsInstance(self.choose(), placement.NoCapacity)

    def test_helpers_of_a_refused_pair_are_kept_apart(self):
        # Prompts got helpers that their primary target could not reach.
        self.make()
        self.reach.record_helper_refusal("b", "c", "t2", self.now)
        for number in range(12):
            chosen = self.choose(LONG_TOKENS)
            self.assertTrue(chosen.helpers)
            primary = chosen.target.record.data_centre
            if primary in "bc":
                self.assertLessEqual(self.centres(chosen), {primary, "a"})
            self.start(f"j{number}", chosen, LONG_TOKENS)

    def test_prompt_that_needs_a_refused_pair_waits_until_it_ends(self):
        # Sent at once, it would be refused again by the same target.
        self.make(engines=0)
        for number, name in enumerate("bc"):
            self.table.put(
                gateway_parts.make_record(number, data_centre=name, slots=6)
            )
        tokens = int(gateway_parts.LAW.memory_tokens * 1.5)
        self.assertIsInstance(self.choose(tokens), placement.Placement)
        self.reach.record_helper_refusal("b", "c", "t1", self.now)
        chosen = self.choose(tokens)
        self.assertIsInstance(chosen, placement.NoCapacity)
        self.assertTrue(chosen.may_wait)
        self.assertLessEqual(
            chosen.capacity_in_s, data_centre_reach.PAIR_APART_S
        )
        self.pass_time(data_centre_reach.PAIR_APART_S)
        self.assertIsInstance(self.choose(tokens), placement.Placement)

    def test_waiting_request_is_placed_when_a_data_centre_returns(self):
        # Its engines are idle, while the request waits for full ones.
        self.make()
        self.cut_off("c")
        self.fill("a", "b")
        scheduler = scheduling.Scheduler(
            self.placer,
            lambda *_: None,
            lambda _: None,
            lambda: self.now,
            self.rng,
        )
        answers = []

        async def main():
            async with anyio.create_task_group() as tasks:

                async def wait():
                    answers.append(
                        await scheduler.acquire(gateway_parts.make_demand(), 1)
                    )

                tasks.start_soon(wait)
                await anyio.sleep(0.01)
                self.assertEqual(answers, [])
                self.assertEqual(scheduler.waiting, 1)
                self.reach.record_digest("c", "c1", self.now, leaves=False)
                # `wiring` connects this to the change of the data centre.
                scheduler.dispatch_waiting()
                self.assertEqual(scheduler.waiting, 0)

        anyio.run(main)
        self.assertEqual(answers[0].target.record.data_centre, "c")


if __name__ == "__main__":
    unittest.main()
