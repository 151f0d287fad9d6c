"""A fake target that answers each request as a script says."""

import asyncio
import enum
import re
import socket
import struct

import attrs

_NO_LINGER = struct.pack("ii", 1, 0)


class Action(enum.Enum):
    """A step of a script other than bytes to send or a pause."""

    CLOSE = "close"
    RESET = "reset"
    HANG = "hang"


@attrs.frozen
class ReceivedRequest:
    """A request as received."""

    head: bytes
    body: bytes

    def header(self, name):
        match = re.search(
            rb"(?im)^" + name.encode() + rb": (.*?)\r$", self.head
        )
        return match[1].decode() if match else ""


def answer(request, body=b"whole", status=200, *, extra=b"", signed=True):
    """Returns a complete answer to a request."""
    signature = b"x-cardamomfork-server-signature: s\r\n" if signed else b""
    request_id = request.header("x-cardamomfork-request-id").encode()
    return (
        b"HTTP/1.1 %d X\r\n" % status
        + b"x-cardamomfork-request-id: "
        + request_id
        + b"\r\n"
        + signature
        + extra
        + b"content-length: %d\r\n\r\n" % len(body)
        + body
    )


def stream(request, first, last, *, ends=True):
    """Returns a chunked event stream, truncated unless `ends` is set."""
    data = answer(request, b"").replace(
        b"content-length: 0", b"transfer-encoding: chunked"
    )
    for event_id in range(first, last + 1):
        event = b"id: %d\ndata: e%d\n\n" % (event_id, event_id)
        data += b"%x\r\n%b\r\n" % (len(event), event)
    return data + (b"0\r\n\r\n" if ends else b"")


class ScriptedTarget:
    """Serves on a free port of the loopback address."""

    def __init__(self, script):
        """Initializes the target.

        Args:
            script: Returns the steps for a request in order: bytes to send,
                pauses in seconds, or an action.
        """
        self._script = script
        self.requests = []
        self.connections = 0
        self.request_received = asyncio.Event()
        self.client_disconnected = asyncio.Event()
        self._writers = []
        self.port = 0
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop_listening(self):
        """Refuses new connections."""
        self._server.close()

    def abort_connections(self):
        """Ends all connections, as a crash of its process would."""
        for writer in self._writers:
            writer.transport.abort()

    async def __aexit__(self, *_):
        self._server.close()
        self.abort_connections()
        # Lets the tasks of the connections run to their ends.
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                request = ReceivedRequest(head, body)
                self.requests.append(request)
                self.request_received.set()
                for step in self._script(request):
                    if step is Action.RESET:
                        # Without this, a close with nothing unread is no reset.
                        writer.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
                        )
                        writer.transport.abort()
                        return
                    if step is Action.CLOSE:
                        writer.close()
                        return
                    if step is Action.HANG:
                        await reader.read()
                        self.client_disconnected.set()
                        return
                    if isinstance(step, asyncio.Event):
                        await step.wait()
                        continue
                    if isinstance(step, float):
                        await asyncio.sleep(step)
                        continue
                    writer.write(step)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.client_disconnected.set()
