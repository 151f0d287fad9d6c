"""Clients that keep to no limits end no process and leave room for others."""

import asyncio
import signal
import unittest

from tests.lib import client_crowd
from tests.lib import small_site


class _CrowdTest(unittest.IsolatedAsyncioTestCase):
    port_name = "callers"
    request = ("/safe/1", "POST", 200)
    """Path, method and status of an ordinary request at the port."""

    make_site = client_crowd.CrowdedSite

    async def asyncSetUp(self):
        self.site = self.make_site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        self.port = getattr(self.site.ports["entry-0"], self.port_name)
        path, method, status = self.request
        self.assertTrue(
            await self.site.is_answered(self.port, path, method, status)
        )
        callers = self.site.ports["entry-0"].callers
        await self.site.wait_until(lambda: small_site.serves(callers))

    async def check(self, kind, size=client_crowd.CROWD):
        crowd = client_crowd.Crowd(kind, size)
        self.addCleanup(crowd.close)
        entry = self.site.entry
        async with client_crowd.Watch(entry) as watch:
            await crowd.run(self.port, watch)
            self.check_bounds(watch)
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request),
                "an ordinary request beside the crowd",
            )
            crowd.close()
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request),
                "an ordinary request after the crowd",
            )
        self.check_bounds(watch)

    def check_bounds(self, watch):
        output = [line for _, line in self.site.entry.lines[-3:]]
        self.assertTrue(self.site.entry.is_running, output)
        self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
        self.assertLessEqual(watch.descriptors, client_crowd.MAX_DESCRIPTORS)


class HeadsWithoutEndTest(_CrowdTest):
    async def test_short_header_lines(self):
        await self.check(client_crowd.HEADS["short header lines"])

    async def test_long_header_lines(self):
        await self.check(client_crowd.HEADS["long header lines"])

    async def test_one_header_value(self):
        await self.check(client_crowd.HEADS["one header value"])

    async def test_one_header_name(self):
        await self.check(client_crowd.HEADS["one header name"])

    async def test_one_target(self):
        await self.check(client_crowd.HEADS["one target"])


class TrailersWithoutEndTest(_CrowdTest):
    async def test_short_trailer_lines(self):
        await self.check(client_crowd.TRAILERS["short trailer lines"])

    async def test_long_trailer_lines(self):
        await self.check(client_crowd.TRAILERS["long trailer lines"])

    async def test_one_trailer_value(self):
        await self.check(client_crowd.TRAILERS["one trailer value"])


class RequestsAheadTest(_CrowdTest):
    async def test_bare_requests(self):
        await self.check(client_crowd.REQUESTS_AHEAD["bare requests"])

    async def test_bare_requests_with_answers_read(self):
        await self.check(
            client_crowd.REQUESTS_AHEAD["bare requests, answers read"]
        )

    async def test_bare_requests_behind_a_stream(self):
        await self.check(
            client_crowd.REQUESTS_AHEAD["bare requests behind a stream"]
        )

    async def test_routed_requests(self):
        await self.check(client_crowd.REQUESTS_AHEAD["routed requests"])

    async def test_requests_that_expect_100(self):
        await self.check(
            client_crowd.REQUESTS_AHEAD["requests that expect 100"]
        )

    async def test_long_targets(self):
        await self.check(client_crowd.REQUESTS_AHEAD["long targets"])

    async def test_unrouted_requests_with_bodies(self):
        await self.check(
            client_crowd.REQUESTS_AHEAD["unrouted requests with bodies"]
        )

    async def test_requests_of_http_1_0(self):
        await self.check(client_crowd.REQUESTS_AHEAD["requests of HTTP/1.0"])

    async def test_streams(self):
        await self.check(client_crowd.REQUESTS_AHEAD["streams"])


class BodiesWithoutEndTest(_CrowdTest):
    async def test_body_over_the_limit(self):
        await self.check(client_crowd.BODIES["a body over the limit"])

    async def test_body_of_an_unrouted_request(self):
        await self.check(client_crowd.BODIES["a body of an unrouted request"])

    async def test_tiny_chunks(self):
        await self.check(client_crowd.BODIES["tiny chunks"])

    async def test_zeros_before_a_chunk_size(self):
        await self.check(client_crowd.BODIES["zeros before a chunk size"])

    async def test_chunk_extension(self):
        await self.check(client_crowd.BODIES["a chunk extension"])


class OtherBytesTest(_CrowdTest):
    async def test_empty_lines(self):
        await self.check(client_crowd.OTHERS["empty lines"])

    async def test_empty_lines_after_an_answer(self):
        await self.check(client_crowd.OTHERS["empty lines after an answer"])

    async def test_method(self):
        await self.check(client_crowd.OTHERS["a method"])

    async def test_garbage(self):
        await self.check(client_crowd.OTHERS["garbage"])


class TooManyConnectionsTest(_CrowdTest):
    async def test_idle(self):
        await self.check(client_crowd.IDLE["nothing"], client_crowd.IDLE_CROWD)

    async def test_half_heads(self):
        await self.check(
            client_crowd.IDLE["half a head"], client_crowd.IDLE_CROWD
        )

    async def test_half_bodies(self):
        await self.check(
            client_crowd.IDLE["half a body"], client_crowd.IDLE_CROWD
        )

    async def test_empty_lines(self):
        await self.check(
            client_crowd.IDLE["an empty line now and then"],
            client_crowd.IDLE_CROWD,
        )


class ManyConnectionsTest(_CrowdTest):
    """Each connection is just under its own bound."""

    async def test_unfinished_heads(self):
        await self.check(
            client_crowd.BOUNDED["heads of 15 KB"], client_crowd.BOUNDED_CROWD
        )

    async def test_unfinished_bodies(self):
        await self.check(
            client_crowd.BOUNDED["bodies of 1 MB"], client_crowd.BOUNDED_CROWD
        )

    async def test_requests_ahead(self):
        await self.check(
            client_crowd.BOUNDED["heads ahead of 15 KB"],
            client_crowd.BOUNDED_CROWD,
        )

    async def test_unfinished_heads_of_many_lines(self):
        await self.check(
            client_crowd.BOUNDED["heads of 4,000 lines"],
            client_crowd.BOUNDED_CROWD,
        )


class UnreadStreamsTest(_CrowdTest):
    make_site = client_crowd.LargeStreamsSite

    async def test_streams_that_nobody_reads(self):
        await self.check(client_crowd.UNREAD_STREAM, client_crowd.BOUNDED_CROWD)


class StoppingTest(_CrowdTest):
    """A crowd does not keep a process from ending."""

    async def check_stop(self, kind, size=client_crowd.CROWD):
        crowd = client_crowd.Crowd(kind, size)
        self.addCleanup(crowd.close)
        entry = self.site.entry
        async with client_crowd.Watch(entry) as watch:
            sending = asyncio.create_task(crowd.run(self.port, watch))
            await asyncio.sleep(1.0)
            entry.signal(signal.SIGTERM)
            async with asyncio.timeout(client_crowd.ANSWERED_WITHIN_S):
                await entry.wait()
                await sending
        self.assertEqual(entry.returncode, 0)
        self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)

    async def test_requests_ahead(self):
        await self.check_stop(client_crowd.REQUESTS_AHEAD["routed requests"])

    async def test_trailers(self):
        await self.check_stop(client_crowd.TRAILERS["one trailer value"])

    async def test_half_heads(self):
        await self.check_stop(
            client_crowd.IDLE["half a head"], client_crowd.BOUNDED_CROWD
        )

    async def test_half_bodies(self):
        await self.check_stop(
            client_crowd.IDLE["half a body"], client_crowd.BOUNDED_CROWD
        )


class ChangedLimitsTest(_CrowdTest):
    """Limits that are lowered apply to connections that are open."""

    async def test_unfinished_heads(self):
        crowd = client_crowd.Crowd(
            client_crowd.BOUNDED["heads of 15 KB"], client_crowd.BOUNDED_CROWD
        )
        self.addCleanup(crowd.close)
        async with client_crowd.Watch(self.site.entry) as watch:
            await crowd.run(self.port, watch)
            self.site.caller_limits = {
                **client_crowd.CALLER_LIMITS,
                "maxHeaderBytes": 1024,
                "headerTimeoutMs": 500,
            }
            await self.site.write_configuration()
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request)
            )
        self.check_bounds(watch)


class _OtherPortTest(_CrowdTest):
    """The same at a port that is not the callers'."""

    async def check_short_header_lines(self):
        await self.check(client_crowd.HEADS["short header lines"])

    async def check_one_header_value(self):
        await self.check(client_crowd.HEADS["one header value"])

    async def check_trailers(self):
        await self.check(client_crowd.TRAILERS["short trailer lines"])

    async def check_requests_ahead(self):
        await self.check(client_crowd.REQUESTS_AHEAD["bare requests"])

    async def check_idle(self):
        await self.check(client_crowd.IDLE["nothing"], client_crowd.IDLE_CROWD)


class ReadinessPortTest(_OtherPortTest):
    port_name = "readiness"
    request = (small_site.READINESS_PATH, "GET", 200)

    test_short_header_lines = _OtherPortTest.check_short_header_lines
    test_one_header_value = _OtherPortTest.check_one_header_value
    test_trailers = _OtherPortTest.check_trailers
    test_requests_ahead = _OtherPortTest.check_requests_ahead
    test_idle = _OtherPortTest.check_idle


class PeerPortTest(_OtherPortTest):
    port_name = "peers"
    request = ("/", "GET", 404)

    test_short_header_lines = _OtherPortTest.check_short_header_lines
    test_one_header_value = _OtherPortTest.check_one_header_value
    test_trailers = _OtherPortTest.check_trailers
    test_requests_ahead = _OtherPortTest.check_requests_ahead
    test_idle = _OtherPortTest.check_idle


class MetricsPortTest(_OtherPortTest):
    port_name = "metrics"
    request = ("/metrics", "GET", 200)

    test_short_header_lines = _OtherPortTest.check_short_header_lines
    test_one_header_value = _OtherPortTest.check_one_header_value
    test_trailers = _OtherPortTest.check_trailers
    test_requests_ahead = _OtherPortTest.check_requests_ahead
    test_idle = _OtherPortTest.check_idle


if __name__ == "__main__":
    unittest.main()
