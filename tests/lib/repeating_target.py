"""A faulty target that writes answers of earlier requests once more."""

import asyncio
import enum
import re

import attrs

PROMISES = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""
HOST = "127.0.0.1"


class Moment(enum.Enum):
    """When an earlier answer is written once more."""

    SAME_SEGMENT = "together with the first"
    IDLE = "while the connection is idle"
    FIRST_BYTE = "at the first byte of the next request"
    IN_HEAD = "in the head of the next request"
    BEFORE_BODY = "after the head of the next request"
    AFTER_BODY = "after the whole next request"
    LATE = "some milliseconds after the whole next request"


@attrs.frozen
class Result:
    """What a caller got.

    Attributes:
        status: HTTP status.
        body: Body of the target's answer.
    """

    status: int
    body: bytes = b""


@attrs.frozen
class Kind:
    """How a target answers a request that it does not run.

    Attributes:
        status: HTTP status.
        has_id: Whether the answer bears the request id.
        is_marked: Whether a header states that the request was not executed.
        is_signed: Whether the answer is signed.
    """

    status: int = 503
    has_id: bool = True
    is_marked: bool = True
    is_signed: bool = False


@attrs.define
class RepeatingTarget:
    """Serves on a free port of the loopback address.

    Attributes:
        refuses: Returns whether a request, given by its id, is refused.
        moments: Returns when an earlier answer of the connection is written
            once more, for each request; None for never.
        kind: The refusal.
        select: Returns the earlier answer that is written once more.
        run_s: Time for which a request runs, in seconds.
        runs: Ids of the requests that have begun to run.
        received: Ids of all requests.
        connections: Number of connections accepted.
        port: TCP port.
    """

    refuses: object
    moments: object
    kind: Kind = Kind()
    select: object = lambda earlier: earlier[-1]
    run_s: float = 0.005
    runs: list = attrs.field(factory=list)
    received: list = attrs.field(factory=list)
    connections: int = 0
    port: int = 0
    _server: object = None
    _writers: list = attrs.field(factory=list)

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def violations(self, results):
        """Returns the results that the rules for requests don't allow.

        These are a run of a request whose caller was told that it has not run,
        a second run, and a success with the body of another request.

        Args:
            results: What each caller got, by request id.
        """
        found = []
        for request_id, result in results.items():
            runs = self.runs.count(request_id)
            is_own = result.status != 200 or result.body == body(request_id)
            if runs > (result.status not in PROMISES) or not is_own:
                found.append((request_id, result, runs))
        return found

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        earlier = []
        try:
            while True:
                await self._serve_one(reader, writer, earlier)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _serve_one(self, reader, writer, earlier):
        """Reads and answers one request."""
        moment = self.moments()

        def repeat_at(*moments):
            if moment in moments and earlier and not writer.is_closing():
                writer.write(self.select(earlier))

        repeat_at(Moment.IDLE)
        head = await reader.readexactly(1)
        repeat_at(Moment.FIRST_BYTE)
        head += await reader.readexactly(9)
        repeat_at(Moment.IN_HEAD)
        head += await reader.readuntil(b"\r\n\r\n")
        repeat_at(Moment.BEFORE_BODY)
        length = re.search(rb"(?i)content-length: (\d+)", head)
        await reader.readexactly(int(length[1]) if length else 0)
        request_id = re.search(rb"(?i)request-id: (.*?)\r\n", head)[1].decode()
        self.received.append(request_id)
        repeat_at(Moment.AFTER_BODY)
        asyncio.get_running_loop().call_later(
            self.run_s / 2, repeat_at, Moment.LATE
        )
        if self.refuses(request_id):
            answer = self._refusal(request_id)
        else:
            self.runs.append(request_id)
            await asyncio.sleep(self.run_s)
            answer = _success(request_id)
        earlier.append(answer)
        writer.write(answer * (2 if moment is Moment.SAME_SEGMENT else 1))

    def _refusal(self, request_id):
        """Returns the answer to a request that does not run."""
        lines = [b"HTTP/1.1 %d X" % self.kind.status]
        if self.kind.has_id:
            lines.append(_id_line(request_id))
        if self.kind.is_marked:
            lines.append(b"x-cardamomfork-not-executed: 1")
        if self.kind.is_signed:
            lines.append(b"x-cardamomfork-server-signature: s")
        lines.append(b"content-length: 0")
        return b"\r\n".join(lines) + b"\r\n\r\n"


def _id_line(request_id):
    """Returns the header with a request id."""
    return b"x-cardamomfork-request-id: " + request_id.encode()


def body(request_id):
    """Returns the body of the answer to a request that has run."""
    return b"done " + request_id.encode()


def _success(request_id):
    """Returns the answer to a request that has run."""
    return (
        b"HTTP/1.1 200 OK\r\n"
        + _id_line(request_id)
        + b"\r\nx-cardamomfork-server-signature: s\r\n"
        + b"content-length: %d\r\n\r\n" % len(body(request_id))
        + body(request_id)
    )
