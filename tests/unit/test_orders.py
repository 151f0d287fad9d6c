"""Orders: two holders, pauses, lost answers, turns at the weight store."""

import random
import unittest

import anyio
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import virtual_time
from cardamomfork._internal.targets import orders
from cardamomfork._internal.targets import orders_feed
from cardamomfork._internal.targets import orders_models as models
from cardamomfork._internal.targets import orders_runner
from tests.lib import order_engines as engines
from tests.lib import seeds

TTL_S = 10.0
STANDARD = models.WeightBudget()
LOAD = configuration.OrderAction.LOAD
ROLE = configuration.OrderAction.ROLE


def load(name, version="v1"):
    return configuration.Order(name, LOAD, "m", version)


def holding(fencing, acquired_at, lives_s=TTL_S):
    end = acquired_at + lives_s
    return models.Holding(fencing, acquired_at, TTL_S, end)


class Holder:
    """One instance: keeper, lease, links and runner."""

    def __init__(self, fakes, budget=STANDARD):
        self.keeper = orders.OrderKeeper("dc", budget=budget)
        self.lease = engines.Lease()
        self.links = {f.target.target_id: engines.OrderLink(f) for f in fakes}
        self.runner = orders_runner.OrderRunner(
            self.keeper,
            self.lease,
            engines.Links(self.links),
            clock.LoopClock(),
        )

    def order(self, *given):
        for _name, link in self.links.items():
            self.keeper.apply_target(link.target, 0.0)
        for order in given:
            self.keeper.apply_order(order, anyio.current_time())
        self.runner.wake()

    def hold(self, fencing, lives_s=TTL_S):
        self.lease.holding = holding(fencing, anyio.current_time(), lives_s)
        self.runner.wake()


def run(scenario):
    virtual_time.run(scenario)


class RunnerTest(unittest.TestCase):
    def test_paused_holder_wakes_after_another_took_over(self):
        run(self.paused_holder)

    async def paused_holder(self):
        fakes = [
            engines.OrderEngine(engines.make_target("checks", True)),
            engines.OrderEngine(engines.make_target("ignores", False)),
        ]
        old, new = Holder(fakes), Holder(fakes)
        gate = anyio.Event()
        for link in old.links.values():
            link.gate = gate
        async with anyio.create_task_group() as group:
            group.start_soon(old.runner.run)
            group.start_soon(new.runner.run)
            old.order(load("checks"), load("ignores"))
            old.hold(1)
            await anyio.sleep(TTL_S + 1)
            self.assertEqual([n.held for n in old.links.values()], [1, 1])
            new.order(load("checks", "v2"), load("ignores", "v2"))
            new.hold(2, lives_s=1000)
            await anyio.sleep(60)
            self.assertEqual([f.models["m"] for f in fakes], ["v2", "v2"])
            gate.set()
            await anyio.sleep(0.1)
            seen = [[n for _, _, n in f.log] for f in fakes]
            self.assertNotIn(1, seen[0])
            self.assertEqual(seen[1][-1], 1, "the old order got through")
            await anyio.sleep(60)
            self.assertEqual([f.models["m"] for f in fakes], ["v2", "v2"])
            self.assertEqual(new.keeper.unsettled, 0)
            self.assertEqual(new.keeper.counters.corrections, 1)
            self.assertEqual([n.held for n in old.links.values()], [1, 1])
            group.cancel_scope.cancel()

    def test_lost_answers_and_loads_in_turn(self):
        run(self.loads_in_turn)

    async def loads_in_turn(self):
        names = [f"e{number}" for number in range(9)]
        fakes = [
            engines.OrderEngine(engines.make_target(name, number % 2 == 0))
            for number, name in enumerate(names)
        ]
        holder = Holder(fakes, models.WeightBudget(2, 0.5))
        for link in list(holder.links.values())[:4]:
            link.lose = 1
        most = 0
        async with anyio.create_task_group() as group:
            group.start_soon(holder.runner.run)
            holder.order(*map(load, names))
            holder.hold(1, lives_s=1000)
            for _ in range(1200):
                await anyio.sleep(0.1)
                most = max(most, sum(f.loading for f in fakes))
            group.cancel_scope.cancel()
        self.assertEqual([f.models for f in fakes], [{"m": "v1"}] * 9)
        self.assertEqual(holder.keeper.unsettled, 0)
        self.assertEqual(most, 2)


class KeeperTest(unittest.TestCase):
    def setUp(self):
        self.keeper = orders.OrderKeeper("dc")
        self.target = engines.make_target("e", False)
        self.keeper.apply_target(self.target, 0.0)
        self.keeper.apply_order(load("e"), 0.0)

    def step(self, now, held):
        (step,) = self.keeper.decide(now, held).steps
        return step

    def test_waits_out_the_earlier_lease(self):
        held = holding(7, 100.0)
        read = self.step(100.0, held)
        self.assertEqual(read.kind, models.StepKind.READ)
        self.keeper.observe(read, models.Running({}), 100.0)
        decision = self.keeper.decide(100.0, held)
        self.assertEqual(decision.steps, ())
        self.assertAlmostEqual(decision.wake_at, 105.1)
        send = self.step(105.2, held)
        self.assertEqual((send.kind, send.fencing), ("send", 7))
        self.assertEqual(send.arguments, {"model": "m", "version": "v1"})

    def test_no_step_without_a_living_lease(self):
        self.assertEqual(self.keeper.decide(0.0, None).steps, ())
        self.assertEqual(self.keeper.decide(110.0, holding(7, 100.0)).steps, ())

    def test_refusals_back_off(self):
        held = holding(1, 0.0, 1e6)
        fault = targets.TargetFault(targets.FaultKind.REFUSED, "e", "no model")
        now = 10.0
        sends = []
        while now < 400:
            for step in self.keeper.decide(now, held).steps:
                if step.kind is models.StepKind.READ:
                    self.keeper.observe(step, models.Running({}), now)
                else:
                    sends.append(now)
                    self.keeper.failed(step, fault, now)
            now += 0.5
        self.assertLess(len(sends), 15)
        self.assertGreaterEqual(sends[-1] - sends[-2], 60.0)
        self.assertIn("no model", self.keeper.describe()[0]["fault"])

    def test_engine_that_tells_no_version_is_sent_each_order_once(self):
        held = holding(1, 0.0, 1e6)
        running = models.Running({"m": ""})
        sends = 0
        for second in range(10, 200):
            if second == 100:
                self.keeper.apply_order(load("e", "v2"), second)
            for step in self.keeper.decide(second, held).steps:
                if step.kind is models.StepKind.READ:
                    self.keeper.observe(step, running, second)
                else:
                    sends += 1
                    self.keeper.answered(step, second)
        self.assertEqual(sends, 2)

    def test_change_after_settling_is_corrected_at_once(self):
        held = holding(1, 0.0, 1e6)
        wrong = models.Running({"m": "v0"})
        sends = []
        for second in range(10, 100):
            running = models.Running({"m": "v1"} if sends else {})
            for step in self.keeper.decide(second, held).steps:
                if step.kind is models.StepKind.SEND:
                    sends.append(second)
                    self.keeper.answered(step, second)
                elif second >= 60 and len(sends) == 1:
                    self.keeper.observe(step, wrong, second)
                else:
                    self.keeper.observe(step, running, second)
        self.assertEqual(len(sends), 2)
        self.assertLessEqual(sends[1], 60 + 30 + 1)

    def test_answers_of_an_earlier_lease_are_ignored(self):
        old = self.step(0.0, holding(1, 0.0))
        new = self.step(20.0, holding(2, 20.0, 1e3))
        self.keeper.observe(old, models.Running({"m": "v1"}), 20.0)
        self.assertEqual(self.keeper.unsettled, 1)
        self.keeper.observe(new, models.Running({"m": "v1"}), 20.0)
        self.assertEqual(self.keeper.unsettled, 0)


class FeedTest(unittest.TestCase):
    def test_engines_come_and_go_with_services_and_orders(self):
        keeper = orders.OrderKeeper("dc")
        feed = orders_feed.OrderFeed(keeper, clock.ManualClock())
        kinds = configuration.ObjectKind

        def put(kind, name, value):
            feed.apply(configuration.Versioned(kind, name, 1, value))

        def service(name, *engine_names):
            kind = configuration.ServiceKind.MODEL
            listed = tuple(engines.make_target(n, True) for n in engine_names)
            value = configuration.Service(name, kind, ("m",), targets=listed)
            put(kinds.SERVICE, name, value)

        def names():
            return {row["target"] for row in keeper.describe()}

        for name in ("a", "b", "c"):
            put(kinds.ORDER, name, load(name))
        self.assertEqual(names(), set())
        service("one", "a", "b")
        service("two", "b", "c")
        self.assertEqual(names(), {"a", "b", "c"})
        service("one", "a")
        self.assertEqual(names(), {"a", "b", "c"})
        put(kinds.SERVICE, "two", None)
        self.assertEqual(names(), {"a"})
        put(kinds.ORDER, "a", None)
        self.assertEqual(names(), set())


class TwoHolders(RuleBasedStateMachine):
    """Steps of two holders that pause and lose messages at any point."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.keepers = [orders.OrderKeeper("dc") for _ in range(2)]
        self.fakes = {
            name: [engines.make_target(name, name == "c"), {}, 0]
            for name in ("c", "i")
        }
        self.held = [None, None]
        self.pending = [[], []]
        self.fencing = 0
        self.wanted = None
        for keeper in self.keepers:
            for target, _, _ in self.fakes.values():
                keeper.apply_target(target, 0.0)
        self.change("v1", 1, 1)

    @rule(
        version=st.sampled_from(["v1", "v2"]),
        first=st.booleans(),
        second=st.booleans(),
    )
    def change(self, version, first, second):
        self.wanted = version
        for keeper, told in zip(self.keepers, (first, second), strict=False):
            if told:
                self.tell(keeper)

    def tell(self, keeper):
        for name in self.fakes:
            keeper.apply_order(load(name, self.wanted), self.now)

    @rule(number=st.integers(0, 1))
    def take_over(self, number):
        other = self.held[1 - number]
        if other is not None and self.now < other.valid_until:
            return
        self.fencing += 1
        self.held[number] = holding(self.fencing, self.now)

    @rule(seconds=st.floats(0.1, 8))
    def wait(self, seconds):
        self.now += seconds

    @rule(number=st.integers(0, 1))
    def decide(self, number):
        held = self.held[number]
        for step in self.keepers[number].decide(self.now, held).steps:
            assert self.now < held.valid_until
            assert step.fencing == held.fencing
            checks = self.fakes[step.target_id][0].checks_fencing
            if step.kind is models.StepKind.SEND and not checks:
                assert self.now >= held.acquired_at + 5.0
            self.pending[number].append(step)

    @rule(number=st.integers(0, 1), lost=st.booleans(), at=st.integers(0, 3))
    def deliver(self, number, lost, at):
        if self.pending[number]:
            pending = self.pending[number]
            self.exchange(number, pending.pop(at % len(pending)), lost)

    def exchange(self, number, step, lost=False):
        keeper = self.keepers[number]
        fake = self.fakes[step.target_id]
        kind = targets.FaultKind.LOST
        if step.kind is models.StepKind.SEND:
            if fake[0].checks_fencing and step.fencing < fake[2]:
                kind, lost = targets.FaultKind.REFUSED, True
            else:
                fake[2] = max(fake[2], step.fencing)
                fake[1] = {"m": step.order.model_version}
        if lost:
            fault = targets.TargetFault(kind, step.target_id, "")
            keeper.failed(step, fault, self.now)
        elif step.kind is models.StepKind.READ:
            keeper.observe(step, models.Running(fake[1]), self.now)
        else:
            keeper.answered(step, self.now)

    @invariant()
    def loads_stay_within_budget(self):
        for keeper in self.keepers:
            assert keeper.loading <= 4

    def teardown(self):
        """All that was held back arrives; the last holder puts it right."""
        self.now += 100.0
        self.fencing += 1
        last = random.Random(self.fencing).randrange(2)
        self.tell(self.keepers[last])
        self.held = [None, None]
        self.held[last] = holding(self.fencing, self.now, 1e6)
        for step in self.pending[1 - last]:
            self.exchange(1 - last, step)
        self.pending[1 - last] = []
        late = [s for s in self.pending[last] if s.kind == "send"]
        for second in range(200):
            for step in (
                self.keepers[last].decide(self.now, self.held[last]).steps
            ):
                self.exchange(last, step)
            if second == 20:
                for step in late:
                    self.exchange(last, step)
            self.now += 1.0
        for name, (_, models_, _) in self.fakes.items():
            assert models_ == {"m": self.wanted}, (name, models_, self.wanted)
        assert self.keepers[last].unsettled == 0


TwoHoldersTest = TwoHolders.TestCase
TwoHoldersTest.settings = seeds.STEADY


if __name__ == "__main__":
    unittest.main()
