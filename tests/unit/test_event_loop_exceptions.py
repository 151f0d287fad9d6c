"""Exceptions of callbacks of the event loop don't stay unseen."""

import asyncio
import io
import json
import logging
import socket
import unittest

import anyio
from loguru import logger

from cardamomfork._internal import supervision
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.telemetry import logs

SECRET = "prompt of a caller"


class FailingReceiver(asyncio.DatagramProtocol):
    """Fails with each datagram."""

    received = 0

    def datagram_received(self, data, addr):
        self.received += 1
        raise KeyError(SECRET)


def fail():
    raise RecursionError(SECRET)


class EventLoopExceptionsTest(unittest.TestCase):
    def setUp(self):
        self.sink = io.StringIO()
        logs.configure(sink=self.sink)
        self.addCleanup(logging.basicConfig, handlers=[], force=True)
        self.addCleanup(logger.remove)
        self.supervisor = supervision.Supervisor()

    def run_with_handler(self, scenario):
        async def main():
            event_loop.report_exceptions(
                lambda error, reason: self.supervisor.record_failure(
                    "event loop", error, reason=reason
                )
            )
            await scenario(asyncio.get_running_loop())
            await anyio.sleep(0.05)

        anyio.run(main, backend_options=event_loop.BACKEND_OPTIONS)
        return [json.loads(line) for line in self.sink.getvalue().splitlines()]

    def test_failing_timer_is_counted_and_logged_with_frames(self):
        async def scenario(loop):
            loop.call_later(0.0, fail)

        (line,) = self.run_with_handler(scenario)
        self.assertEqual(self.supervisor.failures, {"event loop": 1})
        self.assertEqual(line["name"], "event loop")
        self.assertEqual(line["exception"]["type"], "RecursionError")
        self.assertIn("fail", line["exception"]["frames"][-1])
        self.assertNotIn(SECRET, self.sink.getvalue())

    def test_many_failures_are_counted_and_few_logged(self):
        async def scenario(loop):
            for _ in range(100):
                loop.call_soon(fail)

        lines = self.run_with_handler(scenario)
        self.assertEqual(self.supervisor.failures, {"event loop": 100})
        self.assertEqual(len(lines), supervision.LOG_BURST)

    def test_datagrams_are_received_after_one_that_failed(self):
        protocol = FailingReceiver()

        async def scenario(loop):
            transport, _ = await loop.create_datagram_endpoint(
                lambda: protocol, local_addr=("127.0.0.1", 0)
            )
            address = transport.get_extra_info("sockname")
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for _ in range(3):
                    sender.sendto(b"x", address)
                    await anyio.sleep(0.02)
            transport.close()

        lines = self.run_with_handler(scenario)
        self.assertEqual(protocol.received, 3)
        self.assertEqual(self.supervisor.failures, {"event loop": 3})
        self.assertEqual(lines[0]["exception"]["type"], "KeyError")
        self.assertNotIn(SECRET, self.sink.getvalue())

    def test_report_without_an_exception_is_counted(self):
        async def scenario(loop):
            loop.call_exception_handler({"message": "no exception"})

        (line,) = self.run_with_handler(scenario)
        self.assertEqual(line["reason"], "no exception")


if __name__ == "__main__":
    unittest.main()
