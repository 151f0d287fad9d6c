"""A target that answers each request with scripted bytes."""

import asyncio
import enum
import re

import attrs


class Act(enum.Enum):
    """What a script does beside sending bytes."""

    CLOSE = "close"
    RESET = "reset"
    HANG = "hang"


@attrs.frozen
class Seen:
    """A request as it arrived."""

    head: bytes
    body: bytes

    def header(self, name):
        found = re.search(
            rb"(?im)^" + name.encode() + rb": (.*?)\r$", self.head
        )
        return found[1].decode() if found else ""


def answer(request, body=b"whole", status=200, *, extra=b"", signed=True):
    """Returns a whole answer to a request."""
    signature = b"x-cardamomfork-server-signature: s\r\n" if signed else b""
    identity = request.header("x-cardamomfork-request-id").encode()
    return (
        b"HTTP/1.1 %d X\r\n" % status
        + b"x-cardamomfork-request-id: "
        + identity
        + b"\r\n"
        + signature
        + extra
        + b"content-length: %d\r\n\r\n" % len(body)
        + body
    )


def stream(request, first, last, *, ends=True):
    """Returns a stream of events; without its end if it breaks off."""
    head = answer(request, b"").replace(
        b"content-length: 0", b"transfer-encoding: chunked"
    )
    for number in range(first, last + 1):
        event = b"id: %d\ndata: e%d\n\n" % (number, number)
        head += b"%x\r\n%b\r\n" % (len(event), event)
    return head + (b"0\r\n\r\n" if ends else b"")


class ScriptedTarget:
    """Serves on a free port of the loopback address."""

    def __init__(self, script):
        """Takes a function from a request to what is sent, in order."""
        self._script = script
        self.seen = []
        self.connections = 0
        self.asked = asyncio.Event()
        self.left = asyncio.Event()
        self._writers = []
        self.port = 0
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        # Lets the tasks of the connections see their ends.
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
                request = Seen(head, body)
                self.seen.append(request)
                self.asked.set()
                for step in self._script(request):
                    if step is Act.RESET:
                        writer.transport.abort()
                        return
                    if step is Act.CLOSE:
                        writer.close()
                        return
                    if step is Act.HANG:
                        await reader.read()
                        self.left.set()
                        return
                    if isinstance(step, float):
                        await asyncio.sleep(step)
                        continue
                    writer.write(step)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.left.set()
