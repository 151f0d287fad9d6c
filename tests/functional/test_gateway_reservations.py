"""Engine memory is released however a request ends."""

import asyncio
import contextlib
import json
import time
import unittest

import anyio

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.connections import target_pool
from cardamomfork._internal.gateway.paths import reservations
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts
from tests.lib import scripted_target

Act = scripted_target.Action


class Engine:
    """A scripted engine that answers memory orders."""

    def __init__(self, *, status=200, is_silent=False):
        self.status = status
        self.is_silent = is_silent
        self.held = {}
        self.orders = []

    def __call__(self, request):
        order = json.loads(request.body)
        self.orders.append(order)
        if order["operation"] == "release":
            self.held.pop(order["id"], None)
        elif self.status == 200:
            self.held[order["id"]] = order["tokens"]
        if self.is_silent:
            return [Act.HANG]
        return [scripted_target.answer(request, b"{}", self.status)]


class ReservationsTest(unittest.TestCase):
    def run_scenario(self, scenario, *engines):
        async def main():
            targets = [scripted_target.ScriptedTarget(one) for one in engines]
            async with contextlib.AsyncExitStack() as stack:
                for target in targets:
                    await stack.enter_async_context(target)
                wire = wire_format.WireFormat()
                reserver = reservations.MemoryReserver(
                    wire,
                    target_pool.TargetConnectionPool(wire),
                    target_statements.TargetStatements(
                        target_table.TargetTable(), time.monotonic
                    ),
                )
                known = [
                    target_table.Target(
                        gateway_parts.make_record(number, port=target.port)
                    )
                    for number, target in enumerate(targets)
                ]
                chosen = placement.Placement(
                    known[0],
                    tuple(placement.Helper(one, 70_000) for one in known),
                    1.0,
                    1.0,
                    0.0,
                )
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(reserver.run)
                    await scenario(reserver, chosen)
                    await anyio.sleep(0.3)
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_memory_is_held_while_in_use_and_released_after(self):
        engine = Engine()

        async def scenario(reserver, chosen):
            async with reserver.hold(chosen) as held:
                self.assertEqual(list(engine.held), [held.find("t0")])

        self.run_scenario(scenario, engine)
        self.assertEqual(engine.held, {})

    def test_reservation_is_shorter_than_the_leak_limit_and_renewed(self):
        engine = Engine()

        async def scenario(reserver, chosen):
            async with reserver.hold(chosen):
                await anyio.sleep(reservations.RENEWAL_INTERVAL_S + 0.3)

        self.run_scenario(scenario, engine)
        reserved = [o for o in engine.orders if o["operation"] == "reserve"]
        self.assertEqual(len({order["id"] for order in reserved}), 1)
        self.assertEqual(len(reserved), 2)
        self.assertTrue(all(order["holdMs"] < 4000 for order in reserved))

    def test_memory_is_released_after_a_cancellation(self):
        engine = Engine()

        async def scenario(reserver, chosen):
            async def hold():
                async with reserver.hold(chosen):
                    await anyio.sleep(10)

            task = asyncio.create_task(hold())
            await anyio.sleep(0.2)
            self.assertTrue(engine.held)
            task.cancel()

        self.run_scenario(scenario, engine)
        self.assertEqual(engine.held, {})

    def test_refusal_by_one_engine_releases_the_others(self):
        engines = [Engine(), Engine(status=409)]

        async def scenario(reserver, chosen):
            async with reserver.hold(chosen) as held:
                self.assertEqual(held.refused_by, ("t1",))

        self.run_scenario(scenario, *engines)
        self.assertEqual(engines[0].held, {})

    def test_unanswered_reservation_is_released(self):
        engine = Engine(is_silent=True)

        async def scenario(reserver, chosen):
            async with reserver.hold(chosen) as held:
                self.assertEqual(held.refused_by, ("t0",))

        self.run_scenario(scenario, engine)
        self.assertEqual(engine.held, {})


if __name__ == "__main__":
    unittest.main()
