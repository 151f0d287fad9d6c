"""Entry processes serve although a port of theirs is taken at their start."""

import asyncio
import contextlib
import json
import signal
import socket
import time
import unittest

from tests.lib import small_site
from tests.soak import processes

HOST = processes.HOST
TAKEN_S = 2.0
"""Time after which a taken port is free again."""
SERVED_AFTER_S = 1.5
"""Bound for a port that is free again: about a second."""


@contextlib.contextmanager
def taken(port, kind=socket.SOCK_STREAM):
    """Takes a port while the context is open."""
    with socket.socket(type=kind) as holder:
        if kind == socket.SOCK_STREAM:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((HOST, port))
        if kind == socket.SOCK_STREAM:
            holder.listen()
        yield


def is_bound(port):
    """Returns whether something receives datagrams on a port."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return True
    return False


class TakenPortsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *arguments):
        self.site = small_site.Site(*arguments)
        self.addAsyncCleanup(self.site.stop)
        self.entry = self.site.entries["entry-0"]
        self.ports = self.site.ports["entry-0"]

    async def wait_until(self, check, within_s):
        """Waits for an asynchronous check; returns the time it took."""
        started_at = time.monotonic()
        while not await check():
            waited_s = time.monotonic() - started_at
            output = [line for _, line in self.entry.lines[-5:]]
            self.assertLess(waited_s, within_s, f"{check}: {output}")
            self.assertTrue(self.entry.is_running, output)
            await asyncio.sleep(0.02)
        return time.monotonic() - started_at

    async def serves(self, name="entry-0"):
        return await small_site.serves(self.site.ports[name].callers)

    async def is_ready(self):
        return (
            await small_site.get(
                self.ports.readiness, small_site.READINESS_PATH
            )
        )[0] == 200

    async def serves_peers(self):
        return (await small_site.get(self.ports.peers, "/configuration"))[
            0
        ] == 200

    async def receives_datagrams(self):
        return is_bound(self.ports.peers)

    def check_log(self, name, port):
        """Checks that a line names the task and the port."""
        lines = [
            json.loads(line)
            for line in self.site.entry_lines("background task failed")
        ]
        texts = [
            line["exception"]["text"] for line in lines if line["name"] == name
        ]
        self.assertTrue(texts, self.entry.lines)
        self.assertIn(f"{HOST}:{port}", texts[0])
        self.assertLessEqual(len(texts), 6)

    async def check_counted(self, name):
        failures = await small_site.count_failures(self.ports.metrics)
        self.assertGreater(failures.get(name, 0), 0, failures)

    async def check_stop(self):
        self.entry.signal(signal.SIGTERM)
        async with asyncio.timeout(processes.STOP_GRACE_S):
            await self.entry.wait()
        self.assertEqual(self.entry.returncode, 0, self.entry.lines[-3:])

    async def test_taken_metrics_port_does_not_keep_a_process_from_serving(
        self,
    ):
        await self.start()
        with taken(self.ports.metrics):
            await self.site.start()
            await self.wait_until(self.serves, processes.START_TIMEOUT_S)
            await self.wait_until(self.is_ready, 1.0)
            await asyncio.sleep(TAKEN_S)
            self.check_log("metrics server", self.ports.metrics)
            await self.check_stop()

    async def test_metrics_are_served_once_their_port_is_free(self):
        await self.start()
        with taken(self.ports.metrics):
            await self.site.start()
            await self.wait_until(self.serves, processes.START_TIMEOUT_S)
            await asyncio.sleep(TAKEN_S)

        async def serves_metrics():
            return (await small_site.get(self.ports.metrics, "/metrics"))[
                0
            ] == 200

        await self.wait_until(serves_metrics, SERVED_AFTER_S)
        await self.check_counted("metrics server")

    async def test_peers_tcp_port_is_opened_once_it_is_free(self):
        await self.start()
        with taken(self.ports.peers):
            await self.site.start()
            await self.wait_until(self.serves, processes.START_TIMEOUT_S)
            await asyncio.sleep(TAKEN_S)
        await self.wait_until(self.serves_peers, SERVED_AFTER_S)
        self.check_log("peers' server", self.ports.peers)
        await self.check_counted("peers' server")

    async def test_peers_udp_port_is_opened_once_it_is_free(self):
        await self.start()
        with taken(self.ports.peers, socket.SOCK_DGRAM):
            await self.site.start()
            await self.wait_until(self.serves, processes.START_TIMEOUT_S)
            await asyncio.sleep(TAKEN_S)
        await self.wait_until(self.receives_datagrams, SERVED_AFTER_S)
        self.check_log("peer links", self.ports.peers)
        await self.check_counted("peer links")

    async def test_taken_readiness_port_does_not_keep_callers_from_service(
        self,
    ):
        await self.start()
        with taken(self.ports.readiness):
            await self.site.start()
            await self.wait_until(self.serves, processes.START_TIMEOUT_S)
            await asyncio.sleep(TAKEN_S)
        await self.wait_until(self.is_ready, SERVED_AFTER_S)
        self.check_log("readiness server", self.ports.readiness)
        await self.check_counted("readiness server")

    async def test_process_is_unready_until_callers_port_is_free(self):
        await self.start()
        with taken(self.ports.callers):
            await self.site.start()
            await self.wait_until(self.serves_peers, processes.START_TIMEOUT_S)
            await asyncio.sleep(TAKEN_S)
            status, _ = await small_site.get(
                self.ports.readiness, small_site.READINESS_PATH
            )
            self.assertEqual(status, 503)
        await self.wait_until(self.serves, SERVED_AFTER_S)
        await self.wait_until(self.is_ready, 0.5)
        self.check_log("callers' server", self.ports.callers)
        await self.check_counted("callers' server")

    async def test_planned_stop_ends_a_process_that_waits_for_callers_port(
        self,
    ):
        await self.start()
        with taken(self.ports.callers):
            await self.site.start()
            await self.wait_until(self.serves_peers, processes.START_TIMEOUT_S)
            await self.check_stop()

    async def test_second_process_at_one_address_starts_without_metrics_setting(
        self,
    ):
        await self.start(2, False)
        await self.site.start()
        for name in self.site.entries:

            async def serves(name=name):
                return await self.serves(name)

            await self.wait_until(serves, processes.START_TIMEOUT_S)
        await asyncio.sleep(TAKEN_S)
        for name, entry in self.site.entries.items():
            self.assertTrue(entry.is_running, entry.lines[-3:])
            self.assertTrue(await self.serves(name))


if __name__ == "__main__":
    unittest.main()
