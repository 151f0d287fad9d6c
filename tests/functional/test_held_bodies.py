"""Bodies of all connections are bounded while they are received."""

import asyncio
import contextlib
import unittest

from cardamomfork._internal.links import held_memory
from cardamomfork._internal.links import http_server

HOST = "127.0.0.1"
MEMORY_BYTES = 40_000
MAX_BODIES_BYTES = MEMORY_BYTES * held_memory.BODY_FRACTION
GIVE_UP_S = 20.0


class _Application:
    """Reads whole bodies, and answers when it is told to."""

    def __init__(self):
        self.bodies = []
        self.may_answer = asyncio.Event()

    async def __call__(self, scope, receive, send):
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            more = message["more_body"]
        self.bodies.append(len(body))
        await self.may_answer.wait()
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})


class HeldBodiesTest(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def serving(self):
        self.application = _Application()
        self.memory = held_memory.make_memory(MEMORY_BYTES)
        server = http_server.HttpServer(
            self.application,
            http_server.open_listener(HOST, 0),
            memory=self.memory,
        )
        async with server.running():
            self.port = server.port
            yield

    async def send(self, head, body):
        """Sends a request; returns the reader of its answer."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(b"POST / HTTP/1.1\r\n" + head + b"\r\n\r\n" + body)
        return reader

    async def send_part(self, received, whole=9000):
        """Sends a part of a body, and waits until it has been received."""
        before = self.memory.bodies.total
        length = b"content-length: %d" % whole
        reader = await self.send(length, b"x" * received)
        await self.wait_until(
            lambda: self.memory.bodies.total == before + received
        )
        return reader

    async def wait_until(self, check):
        async with asyncio.timeout(GIVE_UP_S):
            while not check():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def read_head(self, reader):
        async with asyncio.timeout(GIVE_UP_S):
            return await reader.readuntil(b"\r\n\r\n")

    async def test_body_larger_than_all_may_be_is_refused_before_its_end(self):
        async with self.serving():
            size = int(MAX_BODIES_BYTES) + 1
            reader = await self.send(
                b"content-length: %d" % (2 * size), b"x" * size
            )
            head = await self.read_head(reader)
            self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
            self.assertIn(b"\r\nretry-after: 1\r\n", head)
            self.assertEqual(self.application.bodies, [])

    async def test_body_that_stalls_makes_room_for_one_that_comes(self):
        async with self.serving():
            stalled = await self.send_part(6000)
            coming = await self.send_part(3000)
            whole = await self.send(b"content-length: 4000", b"x" * 4000)
            head = await self.read_head(stalled)
            self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
            self.application.may_answer.set()
            self.assertIn(b" 200 ", await self.read_head(whole))
            self.assertEqual(self.application.bodies, [4000])
            self.assertEqual(self.memory.bodies.total, 3000)
            self.assertFalse(coming.at_eof())

    async def test_requests_read_whole_are_not_given_up(self):
        async with self.serving():
            first = await self.send(b"content-length: 9000", b"x" * 9000)
            await self.wait_until(lambda: self.application.bodies)
            second = await self.send(b"content-length: 2000", b"x" * 2000)
            self.assertIn(b" 503 ", await self.read_head(second))
            self.application.may_answer.set()
            self.assertIn(b" 200 ", await self.read_head(first))
            third = await self.send(b"content-length: 2000", b"x" * 2000)
            self.assertIn(b" 200 ", await self.read_head(third))
            self.assertEqual(self.application.bodies, [9000, 2000])


if __name__ == "__main__":
    unittest.main()
