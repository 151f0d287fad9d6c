"""Clients that keep to no limits end no daemon and leave room for others."""

import asyncio
import contextlib
import http.client
import pathlib
import tempfile
import unittest

from tests.lib import certificates
from tests.lib import client_crowd
from tests.lib import daemons

MAX_CONNECTIONS = 200
MEMORY_MB = client_crowd.MEMORY_MB
UNFINISHED_BODY = client_crowd.Kind(
    b"POST /v1/completions HTTP/1.1\r\nHost: soak.example\r\n"
    b"Authorization: Bearer %b\r\nContent-Length: 1048576\r\n\r\n"
    % daemons.KEY.encode()
    + b"x" * 1_000_000
)


class _Daemon:
    """Watches the process of a daemon as one of a site."""

    def __init__(self, process):
        self.pid = process.pid
        self._process = process

    @property
    def is_running(self):
        return self._process.poll() is None


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    client = client_crowd.Client

    settings = f"[callers]\nmemory_mb = {MEMORY_MB}\n"

    @contextlib.contextmanager
    def running(self):
        """Runs a daemon with few connections and little memory."""
        with tempfile.TemporaryDirectory() as directory:
            certificates.write(directory)
            path = pathlib.Path(directory, "settings.ini")
            path.write_text(self.settings.format(directory=directory))
            with daemons.running("--settings", str(path)) as daemon:
                yield daemon

    def ask(self, daemon):
        """Returns the status of the answer to an ordinary request."""
        return daemon.request("GET", "/readyz")[0]

    async def check(self, kind, size=client_crowd.CROWD, client=None):
        with self.running() as daemon:
            process = _Daemon(daemon.process)
            crowd = client_crowd.Crowd(kind, size, client or self.client)
            self.addCleanup(crowd.close)
            async with client_crowd.Watch(process) as watch:
                await crowd.run(daemon.port, watch)
                self.assertTrue(process.is_running)
                self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
                for _ in range(2):
                    status = await asyncio.to_thread(self.ask, daemon)
                    self.assertEqual(status, 200)
                    crowd.close()
            self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
            self.assertLessEqual(
                watch.descriptors, client_crowd.MAX_DESCRIPTORS
            )

    async def test_short_header_lines(self):
        await self.check(client_crowd.HEADS["short header lines"])

    async def test_one_header_value(self):
        await self.check(client_crowd.HEADS["one header value"])

    async def test_trailers(self):
        await self.check(client_crowd.TRAILERS["short trailer lines"])

    async def test_bare_requests(self):
        await self.check(client_crowd.REQUESTS_AHEAD["bare requests"])

    async def test_chunked_body(self):
        await self.check(client_crowd.BODIES["a body of an unrouted request"])

    async def test_empty_lines(self):
        await self.check(client_crowd.OTHERS["empty lines"])

    async def test_unfinished_bodies(self):
        await self.check(UNFINISHED_BODY, client_crowd.BOUNDED_CROWD)


class TlsDaemonTest(DaemonTest):
    """The same over TLS, with few connections."""

    client = client_crowd.TlsClient

    settings = (
        DaemonTest.settings + f"max_connections = {MAX_CONNECTIONS}\n"
        "tls_certificate = {directory}/cert.pem\n"
        "tls_key = {directory}/key.pem\n"
    )

    def ask(self, daemon):
        """Returns the status of the answer to an ordinary request."""
        connection = http.client.HTTPSConnection(
            client_crowd.HOST,
            daemon.port,
            timeout=client_crowd.ANSWERED_WITHIN_S,
            context=client_crowd.make_tls_context(),
        )
        with contextlib.closing(connection):
            connection.request("GET", "/readyz")
            return connection.getresponse().status

    async def test_idle(self):
        await self.check(client_crowd.IDLE["nothing"], client_crowd.IDLE_CROWD)

    async def test_half_heads(self):
        await self.check(
            client_crowd.IDLE["half a head"], client_crowd.IDLE_CROWD
        )

    async def test_handshakes_without_an_end(self):
        await self.check(
            client_crowd.IDLE["nothing"],
            client_crowd.IDLE_CROWD,
            client_crowd.Client,
        )

    async def test_stop_after_handshakes_that_were_reset(self):
        with self.running() as daemon:
            idle = client_crowd.Crowd(client_crowd.IDLE["nothing"])
            garbage = client_crowd.Crowd(client_crowd.OTHERS["garbage"])
            async with client_crowd.Watch(_Daemon(daemon.process)) as watch:
                for crowd in (idle, garbage):
                    self.addCleanup(crowd.close)
                    await crowd.run(daemon.port, watch)
                self.assertEqual(await asyncio.to_thread(self.ask, daemon), 200)
                idle.reset()
                self.assertEqual(await asyncio.to_thread(self.ask, daemon), 200)
                status = await asyncio.to_thread(daemon.terminate)
            self.assertEqual(status, 0)


if __name__ == "__main__":
    unittest.main()
