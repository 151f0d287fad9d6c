"""Tests of the routing measurements and their simulation."""

import random
import unittest

from cardamomfork._internal.measure import dispatch_simulation
from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure import routing
from cardamomfork._internal.measure import slow_decline
from cardamomfork._internal.measure import workloads
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from cardamomfork._internal.standins import engine_model

PARAMETERS = engine_model.EngineParameters()


def _run_simulation(seed, count=800, load=0.9):
    deployment = workloads.CADEAUPOT
    trace = workloads.make_trace(deployment, PARAMETERS, load, count, seed)
    dispatcher = dispatcher_module.FleetDispatcher(random.Random(seed))
    dispatcher.apply_service(workloads.make_service(deployment, PARAMETERS))
    simulation = dispatch_simulation.DispatchSimulation(
        dispatcher, deployment, PARAMETERS, trace, seed
    )
    return simulation, simulation.run(), dispatcher


class TrialTest(unittest.TestCase):
    def test_every_request_ends_once_and_engines_are_empty(self):
        simulation, outcomes, dispatcher = _run_simulation(5)
        for one in outcomes:
            self.assertLessEqual(one.start_count, 1)
            ended = one.done_at is not None
            self.assertNotEqual(ended, bool(one.refused), one)
        self.assertEqual((dispatcher.queued, dispatcher.running), (0, 0))
        held = [
            engine.allocated_tokens for engine in simulation.engines.values()
        ]
        self.assertEqual(sum(held), 0)
        self.assertTrue(any(len(one.target_id) > 0 for one in outcomes))

    def test_same_seed_gives_the_same_run(self):
        first = [one.done_at for one in _run_simulation(2, 300)[1]]
        self.assertEqual(
            first, [one.done_at for one in _run_simulation(2, 300)[1]]
        )

    def test_long_prompts_are_one_in_fifty(self):
        trace = workloads.make_trace(
            workloads.PALETTENHILFE, PARAMETERS, 0.8, 5000, 1
        )
        share = sum(arrival.is_long for arrival in trace) / len(trace)
        self.assertAlmostEqual(share, 0.02, delta=0.006)
        longest = max(arrival.request.prompt_tokens for arrival in trace)
        self.assertGreater(longest, PARAMETERS.memory_tokens)

    def test_smallest_reports_print(self):
        options = reports.Options(smallest=True)
        text = str(routing.measure(options))
        self.assertIn("goodput", text)
        self.assertIn("shared queue", text)
        self.assertIn("weight", str(slow_decline.measure(options)))
