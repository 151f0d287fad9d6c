"""A server that fails and is restarted keeps its open connections."""

import asyncio
import contextlib
import socket
import unittest
import unittest.mock

import anyio
import uvicorn

from cardamomfork._internal import supervision
from cardamomfork._internal.links import http_server
from tests.lib import forwarding_peers

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class RestartableServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self.may_answer = asyncio.Event()
        self.fails = False
        on_tick = uvicorn.Server.on_tick

        async def on_tick_or_fail(server, counter):
            if self.fails:
                raise KeyError(counter)
            return await on_tick(server, counter)

        patch = unittest.mock.patch.object(
            uvicorn.Server, "on_tick", on_tick_or_fail
        )
        patch.start()
        self.addCleanup(patch.stop)

        async def answer(scope, receive, send):
            await self.may_answer.wait()
            head = {"type": "http.response.start", "status": 200}
            await send(head | {"headers": []})
            await send({"type": "http.response.body", "body": b"whole"})

        self.server = http_server.RestartableServer(answer, HOST, self.port)
        self.supervisor = supervision.Supervisor()

    async def open_request(self):
        """Sends a request, of which the answer waits for `may_answer`."""
        await forwarding_peers.wait_until(
            lambda: self.server.is_listening, TIMEOUT_S
        )
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        return reader

    async def wait_for_failures(self, count):
        await forwarding_peers.wait_until(
            lambda: self.supervisor.failures["server"] >= count, TIMEOUT_S
        )

    async def run_server(self, scenario):
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                self.supervisor.start(
                    tasks,
                    "server",
                    self.server.run,
                    may_return=lambda: self.server.has_ended,
                )
                await scenario()
                tasks.cancel_scope.cancel()

    async def test_request_is_answered_by_a_server_that_was_restarted(self):
        async def scenario():
            reader = await self.open_request()
            self.fails = True
            await self.wait_for_failures(1)
            self.assertFalse(self.server.is_listening)
            self.fails = False
            self.may_answer.set()
            self.assertIn(b"whole", await reader.read())
            reader = await self.open_request()
            self.assertIn(b"whole", await reader.read())

        await self.run_server(scenario)

    async def test_stop_after_a_failure_waits_for_open_requests(self):
        async def scenario():
            reader = await self.open_request()
            self.fails = True
            await self.wait_for_failures(2)
            self.server.stop()
            await asyncio.sleep(0.5)
            self.assertFalse(self.server.has_ended)
            self.may_answer.set()
            self.assertIn(b"whole", await reader.read())
            await self.server.wait_until_ended()

        await self.run_server(scenario)

    async def test_abort_after_a_failure_closes_open_requests(self):
        async def scenario():
            reader = await self.open_request()
            self.fails = True
            await self.wait_for_failures(2)
            self.server.abort()
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(await reader.read(), b"")
            await self.server.wait_until_ended()

        await self.run_server(scenario)


if __name__ == "__main__":
    unittest.main()
