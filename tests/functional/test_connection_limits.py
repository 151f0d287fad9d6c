"""Clients inside the limits of connections are served; others are refused."""

import asyncio
import functools
import json
import time
import unittest

from tests.lib import client_crowd
from tests.lib import small_site

HEAD = client_crowd.HEAD
EMPTY = client_crowd.EMPTY + b"\r\n"
HOST = client_crowd.HOST
HEADER_TIMEOUT_S = client_crowd.CALLER_LIMITS["headerTimeoutMs"] / 1000
IDLE_TIMEOUT_S = client_crowd.CALLER_LIMITS["idleTimeoutMs"] / 1000
GIVE_UP_S = 30.0
ANSWERS = 6
READ_BYTES = 65_536
MAX_STREAM_BYTES = 2**26
ENGINE_SLOTS = 8


class _ConnectionTest(unittest.IsolatedAsyncioTestCase):
    make_site = client_crowd.CrowdedSite

    async def asyncSetUp(self):
        self.site = self.make_site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        self.port = self.site.ports["entry-0"].callers
        self.assertTrue(
            await self.site.is_answered(self.port, "/safe/1", "POST", 200)
        )

    async def connect(self, limit=READ_BYTES):
        """Connects; the reader pauses at twice the limit."""
        reader, writer = await asyncio.open_connection(
            HOST, self.port, limit=limit
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def read_status(self, reader):
        """Reads one answer; returns its status."""
        async with asyncio.timeout(GIVE_UP_S):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            for line in lines:
                if line.startswith(b"content-length:"):
                    await reader.readexactly(int(line.split(b":")[1]))
            if b"transfer-encoding: chunked" in lines:
                await reader.readuntil(b"\r\n0\r\n\r\n")
        return int(head.split()[1])

    async def ask(self, *parts, pause_s=0.0):
        """Sends a request in parts; returns the status of its answer."""
        reader, writer = await self.connect(MAX_STREAM_BYTES)
        for part in parts:
            writer.write(part)
            await writer.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
        return await self.read_status(reader)


class InsideLimitsTest(_ConnectionTest):
    async def test_head_a_byte_at_a_time(self):
        parts = [bytes([one]) for one in EMPTY]
        pause_s = 0.8 * HEADER_TIMEOUT_S / len(parts)
        self.assertEqual(await self.ask(*parts, pause_s=pause_s), 200)

    async def test_long_heads_and_targets(self):
        long_value = b"a: " + b"x" * 15_000 + b"\r\n"
        many_lines = b"".join(b"a%d: bc\r\n" % n for n in range(1500))
        target = EMPTY.replace(b"/safe/1", b"/safe/" + b"x" * 15_000)
        for request in (
            client_crowd.EMPTY + long_value + b"\r\n",
            client_crowd.EMPTY + many_lines + b"\r\n",
            target,
            target[:-2] + long_value + b"\r\n",
        ):
            self.assertEqual(await self.ask(request), 200)

    async def test_body_of_the_largest_size(self):
        size = client_crowd.CALLER_LIMITS["maxBodyBytes"]
        request = HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
        self.assertEqual(await self.ask(request), 200)

    async def test_chunks_of_one_byte_and_trailers(self):
        chunks = b"1\r\nx\r\n" * 3000
        end = b"0\r\nfirst: 1\r\nsecond: 2\r\n\r\n"
        self.assertEqual(
            await self.ask(client_crowd.CHUNKED + chunks + end), 200
        )

    async def test_body_with_ends_of_heads_in_it(self):
        body = b"\r\n\r\n" * 1000
        request = HEAD + b"Content-Length: 4000\r\n\r\n" + body
        self.assertEqual(await self.ask(request), 200)
        chunk = b"fa0\r\n" + body + b"\r\n0\r\n\r\n"
        self.assertEqual(await self.ask(client_crowd.CHUNKED + chunk), 200)

    async def test_reuse_after_most_of_the_idle_timeout(self):
        reader, writer = await self.connect()
        for first in (b"", b"\r\n"):
            writer.write(first + EMPTY)
            self.assertEqual(await self.read_status(reader), 200)
            # An empty line doesn't shorten the time in which it is reused.
            writer.write(b"\r\n")
            await asyncio.sleep(0.8 * IDLE_TIMEOUT_S)
        writer.write(EMPTY)
        self.assertEqual(await self.read_status(reader), 200)

    async def test_requests_sent_ahead(self):
        reader, writer = await self.connect()
        body = HEAD + b"Content-Length: 4\r\n\r\n\r\n\r\n"
        writer.write(EMPTY + body + client_crowd.STREAM + EMPTY)
        for _ in range(4):
            self.assertEqual(await self.read_status(reader), 200)

    async def test_slow_reader(self):
        reader, writer = await self.connect()
        writer.write(client_crowd.STREAM)
        await asyncio.sleep(2.0)
        self.assertEqual(await self.read_status(reader), 200)


class LargeAnswersTest(_ConnectionTest):
    make_site = client_crowd.LargeAnswersSite

    async def test_slow_reader_of_requests_sent_ahead(self):
        reader, writer = await self.connect()
        writer.write(EMPTY * ANSWERS)
        read = 0
        async with asyncio.timeout(GIVE_UP_S):
            while read < ANSWERS * client_crowd.ANSWER_BYTES:
                read += len(await reader.read(READ_BYTES))
                await asyncio.sleep(0.01)
        # One more answered the request of the set-up.
        self.assertEqual(len(self.site.runs()), ANSWERS + 1)


class UnreadStreamsTest(_ConnectionTest):
    make_site = functools.partial(client_crowd.LargeStreamsSite, engines=1)

    async def test_unread_streams_leave_engines_at_their_time_limit(self):
        for _ in range(ENGINE_SLOTS):
            _, writer = await self.connect()
            writer.write(client_crowd.STREAM)
        async with asyncio.timeout(GIVE_UP_S):
            while len(self.site.runs()) < ENGINE_SLOTS:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            while await self.ask(client_crowd.STREAM) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)


class OutsideLimitsTest(_ConnectionTest):
    async def is_closed(self, reader):
        async with asyncio.timeout(GIVE_UP_S):
            return await reader.read(1) == b""

    async def test_late_head_is_refused(self):
        reader, writer = await self.connect()
        started_at = time.monotonic()
        writer.write(HEAD)
        self.assertEqual(await self.read_status(reader), 408)
        self.assertTrue(await self.is_closed(reader))
        self.assertGreater(time.monotonic() - started_at, HEADER_TIMEOUT_S)

    async def test_late_body_is_refused_and_not_passed_on(self):
        runs = len(self.site.runs())
        limit = b"X-Cardamomfork-Deadline-Ms: 1000\r\n"
        head = HEAD + limit + b"Content-Length: 10\r\n\r\n"
        status = await self.ask(head, b"x", b"x", pause_s=0.3)
        self.assertEqual(status, 408)
        self.assertEqual(len(self.site.runs()), runs)

    async def test_empty_lines_do_not_keep_a_connection(self):
        reader, writer = await self.connect()
        writer.write(EMPTY)
        self.assertEqual(await self.read_status(reader), 200)
        closed = asyncio.create_task(self.is_closed(reader))
        while not closed.done():
            writer.write(b"\r\n")
            await asyncio.sleep(0.2)
        self.assertTrue(await closed)

    async def test_long_head_is_refused(self):
        for part in (b"a: " + b"x" * 100_000, b"a:\r\n" * 25_000):
            self.assertEqual(await self.ask(HEAD + part), 431)

    async def test_refusals_are_in_the_dump(self):
        self.assertEqual(await self.ask(b"\x00\r\n\r\n"), 400)
        metrics = self.site.ports["entry-0"].metrics
        _, text = await small_site.get(metrics, "/dump")
        callers = json.loads(text)["connections"]["callers"]
        self.assertEqual(callers["statuses"], {"400": 1})

    async def test_long_trailers_are_refused_and_not_passed_on(self):
        chunk = b"1\r\nx\r\n0\r\n"
        runs = len(self.site.runs())
        trailers = b"a: " + b"x" * 120_000
        status = await self.ask(client_crowd.CHUNKED + chunk + trailers)
        self.assertEqual(status, 431)
        self.assertEqual(len(self.site.runs()), runs)

    async def test_refusal_reaches_a_client_that_writes_on(self):
        reader, writer = await self.connect()
        size = 32 * 2**20
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
        for _ in range(size // 2**16):
            writer.write(b"x" * 2**16)
            await writer.drain()
        self.assertEqual(await self.read_status(reader), 413)
        self.assertTrue(await self.is_closed(reader))

    async def test_refusal_comes_behind_the_answers_before_it(self):
        reader, writer = await self.connect()
        writer.write(client_crowd.STREAM + EMPTY + b"\x00\r\n\r\n")
        statuses = [await self.read_status(reader) for _ in range(3)]
        self.assertEqual(statuses, [200, 200, 400])


if __name__ == "__main__":
    unittest.main()
