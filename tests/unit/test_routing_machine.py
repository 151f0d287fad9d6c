"""Random event sequences for the fleet dispatcher, which checks invariants."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamomfork._internal.models import targets
from cardamomfork._internal.routing import admission
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from tests.lib import routing
from tests.lib import seeds

ENGINES = 4
MEMORY = 100_000
TARGETS = [f"e{number}" for number in range(ENGINES)]
AVOIDED = [frozenset(), frozenset(), frozenset({"e0"}), frozenset({"e1", "e2"})]
LIMITS = admission.QueueLimits(total=12, per_account=8)


class DispatcherMachine(stateful.RuleBasedStateMachine):
    """Drives a dispatcher as the service, the engines and operators would."""

    def __init__(self):
        super().__init__()
        self.dispatcher = dispatcher_module.FleetDispatcher(
            random.Random(1), LIMITS
        )
        self.dispatcher.apply_service(routing.service(ENGINES, MEMORY))
        self.now = 0.0
        self.count = 0
        self.waiting = {}
        self.running = {}
        self.leaving = set()

    @stateful.rule(
        tokens=strategies.sampled_from([500, 20_000, 90_000, 180_000, 390_000]),
        urgency=strategies.sampled_from([1, 3, 6]),
        patience=strategies.sampled_from([60.0, 600.0, 3.0, 0.3]),
        account=strategies.sampled_from("xyz"),
        avoid=strategies.sampled_from(AVOIDED),
    )
    def submit(self, tokens, urgency, patience, account, avoid):
        self.count += 1
        request = routing.request(
            f"r{self.count}",
            prompt_tokens=tokens,
            deadline=self.now + patience,
            urgency=urgency,
            account=account,
            prefix_hashes=tuple(range(tokens // 5000)),
        )
        outcome = self.dispatcher.submit(request, self.now, avoid)
        if outcome.is_ok():
            self.waiting[request.request_id] = (request, avoid)
            assert len(self.waiting) <= LIMITS.total
            self.poll()
        else:
            assert outcome.unwrap_err().outcome == "not_run"

    @stateful.rule(seconds=strategies.sampled_from([0.001, 0.1, 1.0, 20.0]))
    def wait_and_poll(self, seconds):
        self.now += seconds
        self.poll()

    def poll(self):
        started, expired = self.dispatcher.poll(self.now)
        for expiry in expired:
            del self.waiting[expiry.request_id]
        for assignment in started:
            request, avoid = self.waiting.pop(assignment.request_id)
            hops = [hop.target_id for hop in assignment.hops]
            engines = [*hops, assignment.target_id]
            assert len(set(engines)) == len(engines)
            assert not self.leaving & set(engines)
            assert not avoid & set(engines)
            assert self.now < request.deadline
            self.running[request.request_id] = engines

    @stateful.rule(
        data=strategies.data(),
        ending=strategies.sampled_from(
            ["first", "first", None, *(kind for kind in targets.FaultKind)]
        ),
    )
    def end_one(self, data, ending):
        if not self.running:
            return
        name = data.draw(strategies.sampled_from(sorted(self.running)))
        if ending == "first":
            self.dispatcher.first_token(name, self.now)
            self.poll()
            return
        engines = self.running.pop(name)
        fault = None
        if ending is not None:
            fault = targets.TargetFault(ending, engines[-1], "")
        self.dispatcher.finished(name, self.now, 10, fault)
        self.dispatcher.finished(name, self.now, 10, fault)

    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        if self.waiting:
            name = data.draw(strategies.sampled_from(sorted(self.waiting)))
            self.dispatcher.withdraw(name)
            del self.waiting[name]

    @stateful.rule(
        engine=strategies.sampled_from(TARGETS),
        leaving=strategies.sampled_from([False, False, True]),
    )
    def set_leaving(self, engine, leaving):
        self.dispatcher.set_leaving(engine, leaving)
        (self.leaving.add if leaving else self.leaving.discard)(engine)

    @stateful.rule(
        engine=strategies.sampled_from(TARGETS),
        boot=strategies.sampled_from(["b1", "b2"]),
        lag=strategies.sampled_from([0.0, 0.5, 30.0]),
        queued=strategies.sampled_from([0, 0, 50_000]),
        free=strategies.sampled_from([MEMORY, 40_000, 0]),
        models=strategies.sampled_from([(), (), ("m",), ("other",)]),
    )
    def report(self, engine, boot, lag, queued, free, models):
        self.dispatcher.observe_load(
            targets.LoadReport(
                engine, boot, self.now - lag, queued, 1, free, models
            ),
            self.now,
        )

    @stateful.rule(
        engine=strategies.sampled_from(TARGETS),
        sequence=strategies.integers(1, 6),
        blocks=strategies.frozensets(strategies.integers(0, 20)),
        reset=strategies.booleans(),
    )
    def cache(self, engine, sequence, blocks, reset):
        stored = tuple(blocks)
        self.dispatcher.observe_cache(
            targets.CacheEvent(
                engine, "b1", sequence, stored, stored[:2], reset
            )
        )

    @stateful.rule(engines=strategies.integers(1, ENGINES))
    def configure(self, engines):
        self.dispatcher.apply_service(routing.service(engines, MEMORY))

    @stateful.invariant()
    def counts_agree(self):
        assert self.dispatcher.queued == len(self.waiting)
        assert self.dispatcher.running == len(self.running)
        held = sum(view.running for view in self.dispatcher.fleet.all_views)
        assert held == sum(len(e) for e in self.running.values())

    def teardown(self):
        for name in list(self.running):
            self.dispatcher.finished(name, self.now, 1)
        for view in self.dispatcher.fleet.all_views:
            assert (view.reserved, view.queued, view.running) == (0, 0, 0)
            assert not view.prefills
            assert not view.part_windows
        _, expired = self.dispatcher.poll(self.now + 1000.0)
        assert {e.request_id for e in expired} == set(self.waiting)


class DispatcherMachineTest(unittest.TestCase):
    def test_random_event_sequences(self):
        stateful.run_state_machine_as_test(
            DispatcherMachine,
            settings=hypothesis.settings(
                seeds.STEADY, max_examples=250, stateful_step_count=40
            ),
        )
