"""Orders: two lease holders, pauses, lost answers, load slots."""

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
from cardamomfork._internal.targets import orders_feed
from cardamomfork._internal.targets import orders_models as models
from cardamomfork._internal.targets import orders_reconciler
from cardamomfork._internal.targets import orders_runner
from tests.lib import order_engines as engines
from tests.lib import seeds

TTL_S = 10.0
DEFAULT_BUDGET = models.WeightStoreBudget()
LOAD = configuration.OrderAction.LOAD
ROLE = configuration.OrderAction.ROLE


def load_order(name, version="v1"):
    return configuration.Order(name, LOAD, "m", version)


def held_lease(fencing, acquired_at, valid_for_s=TTL_S):
    end = acquired_at + valid_for_s
    return models.HeldLease(fencing, acquired_at, TTL_S, end)


class OrderInstance:
    """One instance with its reconciler, lease, links and runner."""

    def __init__(self, fake_engines, budget=DEFAULT_BUDGET):
        self.reconciler = orders_reconciler.OrderReconciler("dc", budget=budget)
        self.lease = engines.Lease()
        self.links = {
            f.target.target_id: engines.OrderLink(f) for f in fake_engines
        }
        self.runner = orders_runner.OrderRunner(
            self.reconciler,
            self.lease,
            engines.Links(self.links),
            clock.LoopClock(),
        )

    def order(self, *order_list):
        for _name, link in self.links.items():
            self.reconciler.apply_target(link.target, 0.0)
        for order in order_list:
            self.reconciler.apply_order(order, anyio.current_time())
        self.runner.wake()

    def grant_lease(self, fencing, valid_for_s=TTL_S):
        self.lease.held_lease = held_lease(
            fencing, anyio.current_time(), valid_for_s
        )
        self.runner.wake()


def run(scenario):
    virtual_time.run(scenario)


class RunnerTest(unittest.TestCase):
    def test_order_of_paused_holder_is_rejected_or_corrected(self):
        run(self.paused_holder)

    async def paused_holder(self):
        fake_engines = [
            engines.OrderEngine(engines.make_target("checks", True)),
            engines.OrderEngine(engines.make_target("ignores", False)),
        ]
        old, new = OrderInstance(fake_engines), OrderInstance(fake_engines)
        gate = anyio.Event()
        for link in old.links.values():
            link.gate = gate
        async with anyio.create_task_group() as group:
            group.start_soon(old.runner.run)
            group.start_soon(new.runner.run)
            old.order(load_order("checks"), load_order("ignores"))
            old.grant_lease(1)
            await anyio.sleep(TTL_S + 1)
            self.assertEqual(
                [n.blocked_count for n in old.links.values()], [1, 1]
            )
            new.order(load_order("checks", "v2"), load_order("ignores", "v2"))
            new.grant_lease(2, valid_for_s=1000)
            await anyio.sleep(60)
            self.assertEqual(
                [f.models["m"] for f in fake_engines], ["v2", "v2"]
            )
            gate.set()
            await anyio.sleep(0.1)
            seen = [[n for _, _, n in f.log] for f in fake_engines]
            self.assertNotIn(1, seen[0])
            self.assertEqual(
                seen[1][-1], 1, "the engine accepted the old order"
            )
            await anyio.sleep(60)
            self.assertEqual(
                [f.models["m"] for f in fake_engines], ["v2", "v2"]
            )
            self.assertEqual(new.reconciler.unsettled, 0)
            self.assertEqual(new.reconciler.counters.corrections, 1)
            self.assertEqual(
                [n.blocked_count for n in old.links.values()], [1, 1]
            )
            group.cancel_scope.cancel()

    def test_loads_stay_within_budget_despite_lost_answers(self):
        run(self.loads_with_lost_answers)

    async def loads_with_lost_answers(self):
        names = [f"e{number}" for number in range(9)]
        fake_engines = [
            engines.OrderEngine(engines.make_target(name, number % 2 == 0))
            for number, name in enumerate(names)
        ]
        holder = OrderInstance(fake_engines, models.WeightStoreBudget(2, 0.5))
        for link in list(holder.links.values())[:4]:
            link.answers_to_lose = 1
        max_loading = 0
        async with anyio.create_task_group() as group:
            group.start_soon(holder.runner.run)
            holder.order(*map(load_order, names))
            holder.grant_lease(1, valid_for_s=1000)
            for _ in range(1200):
                await anyio.sleep(0.1)
                max_loading = max(
                    max_loading, sum(f.loading for f in fake_engines)
                )
            group.cancel_scope.cancel()
        self.assertEqual([f.models for f in fake_engines], [{"m": "v1"}] * 9)
        self.assertEqual(holder.reconciler.unsettled, 0)
        self.assertEqual(max_loading, 2)


class ReconcilerTest(unittest.TestCase):
    def setUp(self):
        self.reconciler = orders_reconciler.OrderReconciler("dc")
        self.target = engines.make_target("e", False)
        self.reconciler.apply_target(self.target, 0.0)
        self.reconciler.apply_order(load_order("e"), 0.0)

    def step(self, now, lease):
        (step,) = self.reconciler.decide(now, lease).steps
        return step

    def test_send_waits_for_the_message_delay_after_acquisition(self):
        lease = held_lease(7, 100.0)
        read = self.step(100.0, lease)
        self.assertEqual(read.kind, models.StepKind.READ)
        self.reconciler.on_state_read(read, models.ObservedState({}), 100.0)
        decision = self.reconciler.decide(100.0, lease)
        self.assertEqual(decision.steps, ())
        self.assertAlmostEqual(decision.wake_at, 105.1)
        send = self.step(105.2, lease)
        self.assertEqual((send.kind, send.fencing), ("send", 7))
        self.assertEqual(send.arguments, {"model": "m", "version": "v1"})

    def test_no_step_without_a_valid_lease(self):
        self.assertEqual(self.reconciler.decide(0.0, None).steps, ())
        self.assertEqual(
            self.reconciler.decide(110.0, held_lease(7, 100.0)).steps, ()
        )

    def test_refusals_back_off(self):
        lease = held_lease(1, 0.0, 1e6)
        fault = targets.TargetFault(targets.FaultKind.REFUSED, "e", "no model")
        now = 10.0
        sends = []
        while now < 400:
            for step in self.reconciler.decide(now, lease).steps:
                if step.kind is models.StepKind.READ:
                    self.reconciler.on_state_read(
                        step, models.ObservedState({}), now
                    )
                else:
                    sends.append(now)
                    self.reconciler.on_failed(step, fault, now)
            now += 0.5
        self.assertLess(len(sends), 15)
        self.assertGreaterEqual(sends[-1] - sends[-2], 60.0)
        self.assertIn("no model", self.reconciler.describe()[0]["fault"])

    def test_engine_without_version_report_is_sent_each_order_once(self):
        lease = held_lease(1, 0.0, 1e6)
        observed = models.ObservedState({"m": ""})
        sends = 0
        for second in range(10, 200):
            if second == 100:
                self.reconciler.apply_order(load_order("e", "v2"), second)
            for step in self.reconciler.decide(second, lease).steps:
                if step.kind is models.StepKind.READ:
                    self.reconciler.on_state_read(step, observed, second)
                else:
                    sends += 1
                    self.reconciler.on_accepted(step, second)
        self.assertEqual(sends, 2)

    def test_state_change_after_settling_is_corrected_by_one_send(self):
        lease = held_lease(1, 0.0, 1e6)
        changed = models.ObservedState({"m": "v0"})
        sends = []
        for second in range(10, 100):
            observed = models.ObservedState({"m": "v1"} if sends else {})
            for step in self.reconciler.decide(second, lease).steps:
                if step.kind is models.StepKind.SEND:
                    sends.append(second)
                    self.reconciler.on_accepted(step, second)
                elif second >= 60 and len(sends) == 1:
                    self.reconciler.on_state_read(step, changed, second)
                else:
                    self.reconciler.on_state_read(step, observed, second)
        self.assertEqual(len(sends), 2)
        self.assertLessEqual(sends[1], 60 + 30 + 1)

    def test_answers_under_an_earlier_lease_are_ignored(self):
        old = self.step(0.0, held_lease(1, 0.0))
        new = self.step(20.0, held_lease(2, 20.0, 1e3))
        self.reconciler.on_state_read(
            old, models.ObservedState({"m": "v1"}), 20.0
        )
        self.assertEqual(self.reconciler.unsettled, 1)
        self.reconciler.on_state_read(
            new, models.ObservedState({"m": "v1"}), 20.0
        )
        self.assertEqual(self.reconciler.unsettled, 0)


class FeedTest(unittest.TestCase):
    def test_engines_follow_services_and_orders(self):
        reconciler = orders_reconciler.OrderReconciler("dc")
        feed = orders_feed.OrderFeed(reconciler, clock.ManualClock())
        kinds = configuration.ObjectKind

        def put(kind, name, value):
            feed.apply(configuration.Versioned(kind, name, 1, value))

        def service(name, *engine_names):
            kind = configuration.ServiceKind.MODEL
            listed = tuple(engines.make_target(n, True) for n in engine_names)
            value = configuration.Service(name, kind, ("m",), targets=listed)
            put(kinds.SERVICE, name, value)

        def names():
            return {row["target"] for row in reconciler.describe()}

        for name in ("a", "b", "c"):
            put(kinds.ORDER, name, load_order(name))
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
    """Two lease holders that pause and lose messages at any point."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.reconcilers = [
            orders_reconciler.OrderReconciler("dc") for _ in range(2)
        ]
        self.fake_engines = {
            name: [engines.make_target(name, name == "c"), {}, 0]
            for name in ("c", "i")
        }
        self.leases = [None, None]
        self.pending = [[], []]
        self.fencing = 0
        self.desired_version = None
        for reconciler in self.reconcilers:
            for target, _, _ in self.fake_engines.values():
                reconciler.apply_target(target, 0.0)
        self.change("v1", 1, 1)

    @rule(
        version=st.sampled_from(["v1", "v2"]),
        first=st.booleans(),
        second=st.booleans(),
    )
    def change(self, version, first, second):
        self.desired_version = version
        for reconciler, is_notified in zip(
            self.reconcilers, (first, second), strict=False
        ):
            if is_notified:
                self.notify(reconciler)

    def notify(self, reconciler):
        for name in self.fake_engines:
            reconciler.apply_order(
                load_order(name, self.desired_version), self.now
            )

    @rule(number=st.integers(0, 1))
    def take_over(self, number):
        other = self.leases[1 - number]
        if other is not None and self.now < other.valid_until:
            return
        self.fencing += 1
        self.leases[number] = held_lease(self.fencing, self.now)

    @rule(seconds=st.floats(0.1, 8))
    def wait(self, seconds):
        self.now += seconds

    @rule(number=st.integers(0, 1))
    def decide(self, number):
        lease = self.leases[number]
        for step in self.reconcilers[number].decide(self.now, lease).steps:
            assert self.now < lease.valid_until
            assert step.fencing == lease.fencing
            checks = self.fake_engines[step.target_id][0].checks_fencing
            if step.kind is models.StepKind.SEND and not checks:
                assert self.now >= lease.acquired_at + 5.0
            self.pending[number].append(step)

    @rule(number=st.integers(0, 1), lost=st.booleans(), index=st.integers(0, 3))
    def deliver(self, number, lost, index):
        if self.pending[number]:
            pending = self.pending[number]
            self.exchange(number, pending.pop(index % len(pending)), lost)

    def exchange(self, number, step, lost=False):
        reconciler = self.reconcilers[number]
        fake_engine = self.fake_engines[step.target_id]
        kind = targets.FaultKind.LOST
        if step.kind is models.StepKind.SEND:
            if fake_engine[0].checks_fencing and step.fencing < fake_engine[2]:
                kind, lost = targets.FaultKind.REFUSED, True
            else:
                fake_engine[2] = max(fake_engine[2], step.fencing)
                fake_engine[1] = {"m": step.order.model_version}
        if lost:
            fault = targets.TargetFault(kind, step.target_id, "")
            reconciler.on_failed(step, fault, self.now)
        elif step.kind is models.StepKind.READ:
            reconciler.on_state_read(
                step, models.ObservedState(fake_engine[1]), self.now
            )
        else:
            reconciler.on_accepted(step, self.now)

    @invariant()
    def loads_stay_within_budget(self):
        for reconciler in self.reconcilers:
            assert reconciler.loading <= 4

    def teardown(self):
        """Delivers all pending messages; the last holder must correct them."""
        self.now += 100.0
        self.fencing += 1
        last_holder = random.Random(self.fencing).randrange(2)
        self.notify(self.reconcilers[last_holder])
        self.leases = [None, None]
        self.leases[last_holder] = held_lease(self.fencing, self.now, 1e6)
        for step in self.pending[1 - last_holder]:
            self.exchange(1 - last_holder, step)
        self.pending[1 - last_holder] = []
        late_sends = [s for s in self.pending[last_holder] if s.kind == "send"]
        for second in range(200):
            for step in (
                self.reconcilers[last_holder]
                .decide(self.now, self.leases[last_holder])
                .steps
            ):
                self.exchange(last_holder, step)
            if second == 20:
                for step in late_sends:
                    self.exchange(last_holder, step)
            self.now += 1.0
        for name, (_, loaded, _) in self.fake_engines.items():
            assert loaded == {"m": self.desired_version}, (
                name,
                loaded,
                self.desired_version,
            )
        assert self.reconcilers[last_holder].unsettled == 0


TwoHoldersTest = TwoHolders.TestCase
TwoHoldersTest.settings = seeds.STEADY


if __name__ == "__main__":
    unittest.main()
