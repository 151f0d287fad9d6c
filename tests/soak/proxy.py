"""A TCP proxy on the loopback address that harms what passes through it."""

import asyncio
import enum
import random

MAX_DELAY_S = 0.15


class ConnectionFault(enum.Enum):
    """What the proxy does to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    SILENCE = "silence"
    """Connections that are open say nothing any more; new ones work."""


class Proxy:
    """Passes connections on to one port."""

    def __init__(self, port, target_port, source):
        self.port = port
        self._target_port = target_port
        self._source = random.Random(source.random())
        self._harm = ConnectionFault.NONE
        self._silenced = set()
        self._open = {}
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def close(self):
        self._server.close()
        self._abort_all()

    def harm(self, harm):
        """Changes what happens to connections from now on."""
        self._harm = harm
        if harm is ConnectionFault.SILENCE:
            self._silenced |= set(self._open)
        if harm in (ConnectionFault.RESET, ConnectionFault.REFUSE):
            self._abort_all()

    def _abort_all(self):
        for writers in list(self._open.values()):
            for writer in writers:
                writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._harm in (ConnectionFault.REFUSE, ConnectionFault.RESET):
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        key = object()
        self._open[key] = (writer, far_writer)
        try:
            await asyncio.gather(
                self._pump(
                    key, reader, far_writer, ConnectionFault.CUT_REQUESTS
                ),
                self._pump(
                    key, far_reader, writer, ConnectionFault.CUT_ANSWERS
                ),
            )
        except OSError:
            writer.transport.abort()
            far_writer.transport.abort()
        finally:
            del self._open[key]
            self._silenced.discard(key)

    async def _pump(self, key, reader, writer, cut):
        while data := await reader.read(65536):
            if key in self._silenced or self._harm is cut:
                continue
            if self._harm is ConnectionFault.DELAY:
                await asyncio.sleep(self._source.random() * MAX_DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.close()
