"""Orders to stand-in engines over HTTP, with and without fencing checks."""

import contextlib
import unittest

import anyio

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import registry
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import engine
from cardamomfork._internal.targets import orders_feed
from cardamomfork._internal.targets import orders_models as models
from cardamomfork._internal.targets import orders_reconciler
from cardamomfork._internal.targets import orders_runner
from tests.lib import order_engines
from tests.lib import serving

TIMING = models.OrderTiming(
    max_message_delay_s=0.2,
    loading_poll_s=0.05,
    steady_poll_s=0.05,
    initial_backoff_s=0.05,
)
LOAD = configuration.OrderAction.LOAD


class OrdersHttpTest(unittest.TestCase):
    def test_engines_with_and_without_fencing_match_the_order(self):
        serving.run(self.scenario)

    async def scenario(self):
        engines = [
            engine.StandinEngine((serving.MODEL,), serving.FAST)
            for _ in range(2)
        ]
        engines[1].faults.ignore_fencing = True
        async with contextlib.AsyncExitStack() as stack:
            ports = [
                await serving._serve(stack, stand_in) for stand_in in engines
            ]
            links = registry.LinkRegistry(idle.IdleMonitor(5.0))
            stack.push_async_callback(links.close)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            await self.check(engines, ports, links, tasks)
            tasks.cancel_scope.cancel()

    async def check(self, engines, ports, links, tasks):
        loop_clock = clock.LoopClock()
        reconciler = orders_reconciler.OrderReconciler("local", TIMING)
        now = loop_clock.monotonic()
        lease = order_engines.Lease(models.HeldLease(2, now, 1.0, now + 1e6))
        runner = orders_runner.OrderRunner(reconciler, lease, links, loop_clock)
        feed = orders_feed.OrderFeed(reconciler, loop_clock, runner.wake)
        kinds = configuration.ObjectKind
        service = serving._engines(ports, serving.FAST)
        listed = tuple(
            targets.Target(
                target.target_id,
                target.kind,
                target.host,
                target.port,
                target.data_centre,
                checks_fencing=number == 0,
            )
            for number, target in enumerate(service.targets)
        )
        service = configuration.Service(
            service.name, service.kind, service.models, targets=listed
        )
        links.apply_service(service)
        feed.apply(configuration.Versioned(kinds.SERVICE, "s", 1, service))
        for target in listed:
            target_id = target.target_id
            order = configuration.Order(target_id, LOAD, "m", "v2")
            feed.apply(
                configuration.Versioned(kinds.ORDER, target_id, 2, order)
            )
        tasks.start_soon(runner.run)
        await serving.until(lambda: reconciler.unsettled == 0)
        late_arguments = {"model": "m", "version": "v1"}
        answers = [
            await links.find(target.target_id).order("load", late_arguments, 1)
            for target in listed
        ]
        fault = answers[0].unwrap_err()
        self.assertEqual(fault.kind, targets.FaultKind.REFUSED)
        self.assertTrue(answers[1].is_ok())
        await serving.until(lambda: reconciler.counters.corrections == 1)
        await serving.until(lambda: reconciler.unsettled == 0)
        for stand_in in engines:
            self.assertEqual(stand_in._versions["m"], "v2")


if __name__ == "__main__":
    unittest.main()
