"""Tests of answers that end while their request is still being sent."""

import asyncio
import socket
import struct
import unittest

import anyio

from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.platform import headers

HOST = "127.0.0.1"
REQUEST_ID = "r1"
UPLOAD_BYTES = 3_500_000
PART = b"x" * 5000
HEAD = (
    b"HTTP/1.1 200 OK\r\nx-cardamomfork-request-id: r1\r\n"
    b"x-cardamomfork-server-signature: s\r\n\r\n"
)
RESET_DELAYS_S = (0.0, 0.05, 0.3)
TIMEOUT_S = 5.0
NO_LINGER = struct.pack("ii", 1, 0)


def reset(writer):
    """Closes a connection so that its other end sees a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
    )
    writer.transport.abort()


async def read_all(reader):
    """Reads until the other end closes."""
    while await reader.read(65_536):
        pass


class EarlyAnswerTest(unittest.TestCase):
    def send(self, serve, upload_bytes=UPLOAD_BYTES):
        """Sends an upload to a target; returns the messages of its answer."""

        async def main():
            async def handle(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                await serve(reader, writer)

            server = await asyncio.start_server(handle, HOST, 0)
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: target_connection.TargetConnection(
                    headers.decode_answer
                ),
                *server.sockets[0].getsockname(),
            )
            received = connection.start(
                b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % upload_bytes
                + b"u" * upload_bytes,
                REQUEST_ID,
            )
            messages = []
            with anyio.fail_after(TIMEOUT_S):
                async for message in received:
                    messages.append(message)
                    if isinstance(message, target_connection.Data):
                        connection.mark_consumed(len(message.data))
            connection.abort()
            server.close()
            return messages

        return anyio.run(main, backend_options=event_loop.BACKEND_OPTIONS)

    def assert_not_complete(self, messages):
        self.assertIsInstance(messages[0], target_connection.HeadReceived)
        self.assertIsInstance(messages[-1], target_connection.Failed)

    def test_end_of_data_that_a_reset_follows_is_not_the_end(self):
        # Guards against a part of an answer that is taken for the whole, as
        # its target closes in the middle of an upload.
        for delay_s in RESET_DELAYS_S:

            async def serve(reader, writer, delay_s=delay_s):
                del reader
                writer.write(HEAD + PART)
                await writer.drain()
                writer.write_eof()
                await asyncio.sleep(delay_s)
                reset(writer)

            with self.subTest(delay_s=delay_s):
                self.assert_not_complete(self.send(serve))

    def test_reset_behind_a_part_of_the_answer_is_not_the_end(self):
        for upload_bytes in (2, 150_000, UPLOAD_BYTES):

            async def serve(reader, writer):
                del reader
                writer.write(HEAD + PART)
                await writer.drain()
                reset(writer)

            for number in range(20):
                with self.subTest(upload_bytes=upload_bytes, number=number):
                    messages = self.send(serve, upload_bytes)
                    self.assertIsInstance(
                        messages[-1], target_connection.Failed
                    )

    def test_reset_and_data_that_arrive_together_are_not_the_end(self):
        # Guards against an event loop that reports such a reset as EOF.
        async def main():
            ends = []
            for _ in range(100):
                listener = socket.create_server((HOST, 0))
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: target_connection.TargetConnection(
                        headers.decode_answer
                    ),
                    *listener.getsockname(),
                )
                accepted, _ = listener.accept()
                received = connection.start(
                    b"GET / HTTP/1.1\r\n\r\n", REQUEST_ID
                )
                # The event loop sees the data and the reset at once.
                accepted.sendall(HEAD + PART)
                accepted.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
                accepted.close()
                listener.close()
                ends.append([message async for message in received][-1])
            return ends

        ends = anyio.run(main, backend_options=event_loop.BACKEND_OPTIONS)
        self.assertEqual(
            {type(one) for one in ends}, {target_connection.Failed}
        )

    def test_early_answer_of_a_target_that_reads_on_is_complete(self):
        async def serve(reader, writer):
            writer.write(HEAD + PART)
            await writer.drain()
            writer.write_eof()
            await asyncio.sleep(0.2)
            await read_all(reader)

        messages = self.send(serve)
        self.assertIsInstance(messages[-1], target_connection.Completed)

    def test_answer_that_ends_with_its_connection_is_complete(self):
        async def serve(reader, writer):
            await reader.readexactly(UPLOAD_BYTES)
            writer.write(HEAD + PART)
            writer.close()

        messages = self.send(serve)
        self.assertIsInstance(messages[-1], target_connection.Completed)

    def test_answer_with_an_odd_status_is_not_passed_on(self):
        for status in (b"000", b"007", b"099", b"199", b"600", b"999"):

            async def serve(reader, writer, status=status):
                del reader
                writer.write(HEAD.replace(b"200", status) + PART)
                writer.close()

            with self.subTest(status=status):
                messages = self.send(serve, 2)
                found = [type(one) for one in messages]
                self.assertNotIn(target_connection.HeadReceived, found)
                self.assertIs(found[-1], target_connection.Failed)


if __name__ == "__main__":
    unittest.main()
