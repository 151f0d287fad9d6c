"""A loopback TCP proxy that injects connection faults."""

import asyncio
import enum
import random

MAX_DELAY_S = 0.15


class ConnectionFault(enum.Enum):
    """Fault that the proxy applies to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    SILENCE = "silence"
    """Discards the data of connections open at that time; new ones work."""


class Proxy:
    """Forwards connections to one port."""

    def __init__(self, port, target_port, rng):
        self.port = port
        self._target_port = target_port
        self._rng = random.Random(rng.random())
        self._fault = ConnectionFault.NONE
        self._silenced = set()
        self._writers = {}
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", self.port
        )

    def close(self):
        self._server.close()
        self._abort_all()

    def set_fault(self, fault):
        """Sets the fault that applies to connections from now on."""
        self._fault = fault
        if fault is ConnectionFault.SILENCE:
            self._silenced |= set(self._writers)
        if fault in (ConnectionFault.RESET, ConnectionFault.REFUSE):
            self._abort_all()

    def _abort_all(self):
        for writers in list(self._writers.values()):
            for writer in writers:
                writer.transport.abort()

    async def _handle_connection(self, reader, writer):
        if self._fault in (ConnectionFault.REFUSE, ConnectionFault.RESET):
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection_id = object()
        self._writers[connection_id] = (writer, target_writer)
        try:
            await asyncio.gather(
                self._forward(
                    connection_id,
                    reader,
                    target_writer,
                    ConnectionFault.CUT_REQUESTS,
                ),
                self._forward(
                    connection_id,
                    target_reader,
                    writer,
                    ConnectionFault.CUT_ANSWERS,
                ),
            )
        except OSError:
            writer.transport.abort()
            target_writer.transport.abort()
        finally:
            del self._writers[connection_id]
            self._silenced.discard(connection_id)

    async def _forward(self, connection_id, reader, writer, discarding_fault):
        while data := await reader.read(65536):
            if (
                connection_id in self._silenced
                or self._fault is discarding_fault
            ):
                continue
            if self._fault is ConnectionFault.DELAY:
                await asyncio.sleep(self._rng.random() * MAX_DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.close()
