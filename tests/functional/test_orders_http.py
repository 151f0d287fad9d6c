"""Orders to stand-in engines over HTTP, both kinds."""

import contextlib
import unittest

import anyio

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import registry
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import engine
from cardamomfork._internal.targets import orders
from cardamomfork._internal.targets import orders_feed
from cardamomfork._internal.targets import orders_models as models
from cardamomfork._internal.targets import orders_runner
from tests.lib import order_engines
from tests.lib import serving

TIMING = models.OrderTiming(
    max_message_delay_s=0.2, poll_s=0.05, steady_s=0.05, first_backoff_s=0.05
)
LOAD = configuration.OrderAction.LOAD


class OrdersHttpTest(unittest.TestCase):
    def test_both_kinds_end_at_what_was_ordered(self):
        serving.run(self.scenario)

    async def scenario(self):
        engines = [
            engine.StandinEngine((serving.MODEL,), serving.FAST)
            for _ in range(2)
        ]
        engines[1].faults.ignore_fencing = True
        async with contextlib.AsyncExitStack() as stack:
            ports = [await serving._serve(stack, one) for one in engines]
            links = registry.LinkRegistry(idle.IdleWatch(5.0))
            stack.push_async_callback(links.close)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            await self.check(engines, ports, links, tasks)
            tasks.cancel_scope.cancel()

    async def check(self, engines, ports, links, tasks):
        loop_clock = clock.LoopClock()
        keeper = orders.OrderKeeper("local", TIMING)
        now = loop_clock.monotonic()
        lease = order_engines.Lease(models.Holding(2, now, 1.0, now + 1e6))
        runner = orders_runner.OrderRunner(keeper, lease, links, loop_clock)
        feed = orders_feed.OrderFeed(keeper, loop_clock, runner.wake)
        kinds = configuration.ObjectKind
        service = serving._engines(ports, serving.FAST)
        listed = tuple(
            targets.Target(
                each.target_id,
                each.kind,
                each.host,
                each.port,
                each.data_centre,
                checks_fencing=number == 0,
            )
            for number, each in enumerate(service.targets)
        )
        service = configuration.Service(
            service.name, service.kind, service.models, targets=listed
        )
        links.apply_service(service)
        feed.apply(configuration.Versioned(kinds.SERVICE, "s", 1, service))
        for each in listed:
            name = each.target_id
            order = configuration.Order(name, LOAD, "m", "v2")
            feed.apply(configuration.Versioned(kinds.ORDER, name, 2, order))
        tasks.start_soon(runner.run)
        await serving.until(lambda: keeper.unsettled == 0)
        late = {"model": "m", "version": "v1"}
        answers = [
            await links.find(each.target_id).order("load", late, 1)
            for each in listed
        ]
        fault = answers[0].unwrap_err()
        self.assertEqual(fault.kind, targets.FaultKind.REFUSED)
        self.assertTrue(answers[1].is_ok())
        await serving.until(lambda: keeper.counters.corrections == 1)
        await serving.until(lambda: keeper.unsettled == 0)
        for one in engines:
            self.assertEqual(one._versions["m"], "v2")


if __name__ == "__main__":
    unittest.main()
