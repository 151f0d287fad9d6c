"""Tests of parsing the bytes that a target sends."""

import asyncio
import itertools
import socket
import unittest

import anyio
import hypothesis
from hypothesis import strategies

from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.platform import headers
from tests.lib import seeds

REQUEST_ID = "r1"
SAME_ID = b"x-cardamomfork-request-id: r1\r\n"
OTHER_ID = b"x-cardamomfork-request-id: r0\r\n"
TERMINAL_MESSAGES = (target_connection.Completed, target_connection.Failed)
FRAGMENTS = strategies.sampled_from(
    (
        b"HTTP/1.1 200 OK\r\n" + SAME_ID + b"content-length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n" + OTHER_ID + b"content-length: 3\r\n\r\nxyz",
        b"HTTP/1.1 503 No\r\n" + SAME_ID + b"content-length: 0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n" + SAME_ID + b"\r\n",
        b"HTTP/1.1 200 OK\r\n"
        + SAME_ID
        + b"transfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + SAME_ID + b"connection: close\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"fffffffffffffffff\r\n",
        b"\r\n",
        b"garbage",
    )
)
STREAMS = strategies.lists(
    strategies.one_of(FRAGMENTS, strategies.binary(max_size=12)), max_size=6
).map(b"".join)


PAIR = socket.socketpair()


class FakeTransport:
    """A transport that ignores written data and closes immediately."""

    def __init__(self):
        self.is_closed = False
        self.options = {}
        # Nothing waits in it to be sent.
        self.pipe, _ = PAIR

    def get_extra_info(self, name):
        del name
        return self

    def setsockopt(self, level, option, value):
        self.options[level, option] = value

    def getsockopt(self, level, option):
        return self.options.get((level, option), 0)

    def fileno(self):
        return self.pipe.fileno()

    def write(self, data):
        del data

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def close(self):
        self.is_closed = True

    abort = close


def run_exchange(parts, *, at_eof):
    """Feeds parts of a byte stream to a connection.

    Returns the types of messages other than data, the data, and whether the
    connection is reusable.
    """

    async def exchange():
        transport = FakeTransport()
        connection = target_connection.TargetConnection(headers.decode_answer)
        connection.connection_made(transport)
        messages = connection.start(b"GET / HTTP/1.1\r\n\r\n", REQUEST_ID)
        for part in parts:
            if not transport.is_closed:
                connection.data_received(part)
        if at_eof and not transport.is_closed:
            connection.eof_received()
        found, data = [], b""
        while True:
            try:
                message = messages.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream):
                break
            if isinstance(message, target_connection.Data):
                data += message.data
            else:
                found.append(type(message))
        is_kept = connection.is_open and not transport.is_closed
        connection.connection_lost(None)
        messages.close()
        return found, data, is_kept

    return asyncio.run(exchange())


class TargetConnectionTest(unittest.TestCase):
    @seeds.STEADY
    @hypothesis.given(STREAMS, strategies.lists(strategies.integers(0, 200)))
    def test_result_does_not_depend_on_segment_boundaries(self, stream, cuts):
        offsets = sorted({min(cut, len(stream)) for cut in cuts})
        offsets = [0, *offsets, len(stream)]
        parts = [
            stream[start:end]
            for start, end in itertools.pairwise(offsets)
            if start < end
        ]
        whole = run_exchange([stream] if stream else [], at_eof=True)
        self.assertEqual(run_exchange(parts, at_eof=True), whole)

    @seeds.STEADY
    @hypothesis.given(STREAMS, strategies.booleans())
    def test_exchange_has_at_most_one_terminal_message_and_it_is_last(
        self, stream, at_eof
    ):
        found, _, is_kept = run_exchange(
            [stream] if stream else [], at_eof=at_eof
        )
        self.assertLessEqual(sum(one in TERMINAL_MESSAGES for one in found), 1)
        if any(one in TERMINAL_MESSAGES for one in found):
            self.assertIn(found[-1], TERMINAL_MESSAGES)
        if is_kept and found and found[-1] is target_connection.Completed:
            self.assertIn(b"r1", stream)

    def test_bytes_after_an_answer_close_the_connection(self):
        whole = (
            b"HTTP/1.1 200 OK\r\n" + SAME_ID + b"content-length: 3\r\n\r\nabc"
        )
        kept = run_exchange([whole], at_eof=False)
        self.assertTrue(kept[2])
        for rest in (b"x", b"\r\nHTTP/1.1 ", whole):
            self.assertFalse(run_exchange([whole, rest], at_eof=False)[2], rest)
            self.assertFalse(
                run_exchange([whole + rest], at_eof=False)[2], rest
            )


class FailedRequestTest(unittest.TestCase):
    def test_connection_does_not_carry_a_failed_request_again(self):
        async def exchange_many(count):
            transport = FakeTransport()
            connection = target_connection.TargetConnection(
                headers.decode_answer
            )
            connection.connection_made(transport)
            for number in range(count):
                connection.start(b"GET / HTTP/1.1\r\n\r\n", f"r{number}")
                connection.data_received(
                    b"HTTP/1.1 503 No\r\nx-cardamomfork-request-id: r%d\r\n"
                    b"content-length: 0\r\n\r\n" % number
                )
            may_carry = [
                connection.may_carry(f"r{number}") for number in range(count)
            ]
            return may_carry, connection.may_carry("new"), connection.is_open

        limit = target_connection.MAX_FAILED_IDS
        self.assertEqual(
            asyncio.run(exchange_many(limit - 1)),
            ([False] * (limit - 1), True, True),
        )
        self.assertFalse(asyncio.run(exchange_many(limit))[2])


class AnswerWithoutIdTest(unittest.TestCase):
    def exchange(self, *request_ids, status=200, **options):
        """Exchanges requests whose answers bear no id.

        Returns:
            The last message of each answer, and whether the connection is kept.
        """

        async def main():
            connection = target_connection.TargetConnection(
                headers.decode_answer, **options
            )
            connection.connection_made(FakeTransport())
            found = []
            for request_id in request_ids:
                messages = connection.start(b"GET / HTTP/1.1", request_id)
                extra = SAME_ID if request_id == REQUEST_ID else b""
                connection.data_received(
                    b"HTTP/1.1 %d X\r\n" % status
                    + extra
                    + b"content-length: 0\r\n\r\n"
                )
                found.append([one async for one in messages][-1])
            return found, connection.is_open

        return asyncio.run(main())

    def test_answer_to_a_later_request_is_not_attributed(self):
        for status in (200, 204, 400, 421, 429, 500, 503):
            (_, last), is_kept = self.exchange(REQUEST_ID, "r2", status=status)
            self.assertIsInstance(last, target_connection.Failed)
            self.assertIs(last.fault, target_connection.Fault.FOREIGN)
            self.assertFalse(is_kept)

    def test_connection_is_not_kept_after_an_answer_to_the_first_request(self):
        (last,), is_kept = self.exchange("r2")
        self.assertIsInstance(last, target_connection.Completed)
        self.assertFalse(is_kept)

    def test_answers_to_orders_and_of_instances_are_used(self):
        for found, is_kept in (
            self.exchange(REQUEST_ID, "", ""),
            self.exchange(REQUEST_ID, "r2", answers_in_order=True),
        ):
            for message in found:
                self.assertIsInstance(message, target_connection.Completed)
            self.assertTrue(is_kept)


class SilentTargetTest(unittest.TestCase):
    def test_silence_of_two_seconds_does_not_end_a_connection(self):
        transport = FakeTransport()
        connection = target_connection.TargetConnection(headers.decode_answer)
        connection.connection_made(transport)
        tcp = socket.IPPROTO_TCP
        timeout_ms = transport.options[tcp, socket.TCP_USER_TIMEOUT]
        self.assertGreater(timeout_ms, 2000)
        # The user timeout ends probes whatever their count.
        self.assertNotIn((tcp, socket.TCP_KEEPCNT), transport.options)
        self.assertGreater(
            transport.options[tcp, socket.TCP_KEEPIDLE] * 1000, 0
        )


if __name__ == "__main__":
    unittest.main()
