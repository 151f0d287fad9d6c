"""Clients that keep to no limits end no process and leave room for others."""

import unittest

from tests.lib import client_crowd
from tests.lib import crowd_case
from tests.lib import small_site


class HeadsWithoutEndTest(crowd_case.CrowdTestCase):
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


class TrailersWithoutEndTest(crowd_case.CrowdTestCase):
    async def test_short_trailer_lines(self):
        await self.check(client_crowd.TRAILERS["short trailer lines"])

    async def test_long_trailer_lines(self):
        await self.check(client_crowd.TRAILERS["long trailer lines"])

    async def test_one_trailer_value(self):
        await self.check(client_crowd.TRAILERS["one trailer value"])


class RequestsAheadTest(crowd_case.CrowdTestCase):
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


class BodiesWithoutEndTest(crowd_case.CrowdTestCase):
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


class OtherBytesTest(crowd_case.CrowdTestCase):
    async def test_empty_lines(self):
        await self.check(client_crowd.OTHERS["empty lines"])

    async def test_empty_lines_after_an_answer(self):
        await self.check(client_crowd.OTHERS["empty lines after an answer"])

    async def test_method(self):
        await self.check(client_crowd.OTHERS["a method"])

    async def test_garbage(self):
        await self.check(client_crowd.OTHERS["garbage"])


class TooManyConnectionsTest(crowd_case.CrowdTestCase):
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


class ManyConnectionsTest(crowd_case.CrowdTestCase):
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


class UnreadStreamsTest(crowd_case.CrowdTestCase):
    make_site = client_crowd.LargeStreamsSite

    async def test_streams_that_nobody_reads(self):
        await self.check(client_crowd.UNREAD_STREAM, client_crowd.BOUNDED_CROWD)


class StoppingTest(crowd_case.CrowdTestCase):
    """A crowd does not keep a process from ending."""

    async def test_requests_ahead(self):
        await self.check_end(client_crowd.REQUESTS_AHEAD["routed requests"])

    async def test_trailers(self):
        await self.check_end(client_crowd.TRAILERS["one trailer value"])

    async def test_half_heads(self):
        await self.check_end(
            client_crowd.IDLE["half a head"], client_crowd.BOUNDED_CROWD
        )

    async def test_half_bodies(self):
        await self.check_end(
            client_crowd.IDLE["half a body"], client_crowd.BOUNDED_CROWD
        )


class ChangedLimitsTest(crowd_case.CrowdTestCase):
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


class _OtherPortTest(crowd_case.CrowdTestCase):
    """The same at a port that is not the callers'."""

    async def check_stop(self):
        await self.check_end(client_crowd.REQUESTS_AHEAD["bare requests"])

    async def check_short_header_lines(self):
        await self.check(client_crowd.HEADS["short header lines"])

    async def check_one_header_value(self):
        await self.check(client_crowd.HEADS["one header value"])

    async def check_trailers(self):
        await self.check(client_crowd.TRAILERS["short trailer lines"])

    async def check_requests_ahead(self):
        await self.check(client_crowd.REQUESTS_AHEAD["bare requests"])

    async def check_requests_ahead_with_bodies(self):
        await self.check(
            client_crowd.REQUESTS_AHEAD["unrouted requests with bodies"]
        )

    async def check_chunked_body(self):
        await self.check(client_crowd.BODIES["a body of an unrouted request"])

    async def check_empty_lines(self):
        await self.check(client_crowd.OTHERS["empty lines"])

    async def check_garbage(self):
        await self.check(client_crowd.OTHERS["garbage"])

    async def check_idle(self):
        await self.check(client_crowd.IDLE["nothing"], client_crowd.IDLE_CROWD)

    async def check_half_heads(self):
        await self.check(
            client_crowd.IDLE["half a head"], client_crowd.IDLE_CROWD
        )


class ReadinessPortTest(_OtherPortTest):
    port_name = "readiness"
    request = (small_site.READINESS_PATH, "GET", 200)

    test_short_header_lines = _OtherPortTest.check_short_header_lines
    test_one_header_value = _OtherPortTest.check_one_header_value
    test_trailers = _OtherPortTest.check_trailers
    test_requests_ahead = _OtherPortTest.check_requests_ahead
    test_requests_ahead_with_bodies = (
        _OtherPortTest.check_requests_ahead_with_bodies
    )
    test_chunked_body = _OtherPortTest.check_chunked_body
    test_empty_lines = _OtherPortTest.check_empty_lines
    test_garbage = _OtherPortTest.check_garbage
    test_idle = _OtherPortTest.check_idle
    test_half_heads = _OtherPortTest.check_half_heads
    test_stop = _OtherPortTest.check_stop


class PeerPortTest(_OtherPortTest):
    port_name = "peers"
    request = ("/", "GET", 404)

    test_short_header_lines = _OtherPortTest.check_short_header_lines
    test_one_header_value = _OtherPortTest.check_one_header_value
    test_trailers = _OtherPortTest.check_trailers
    test_requests_ahead = _OtherPortTest.check_requests_ahead
    test_requests_ahead_with_bodies = (
        _OtherPortTest.check_requests_ahead_with_bodies
    )
    test_chunked_body = _OtherPortTest.check_chunked_body
    test_empty_lines = _OtherPortTest.check_empty_lines
    test_garbage = _OtherPortTest.check_garbage
    test_idle = _OtherPortTest.check_idle
    test_half_heads = _OtherPortTest.check_half_heads
    test_stop = _OtherPortTest.check_stop


class MetricsPortTest(_OtherPortTest):
    port_name = "metrics"
    request = ("/metrics", "GET", 200)

    test_short_header_lines = _OtherPortTest.check_short_header_lines
    test_one_header_value = _OtherPortTest.check_one_header_value
    test_trailers = _OtherPortTest.check_trailers
    test_requests_ahead = _OtherPortTest.check_requests_ahead
    test_requests_ahead_with_bodies = (
        _OtherPortTest.check_requests_ahead_with_bodies
    )
    test_chunked_body = _OtherPortTest.check_chunked_body
    test_empty_lines = _OtherPortTest.check_empty_lines
    test_garbage = _OtherPortTest.check_garbage
    test_idle = _OtherPortTest.check_idle
    test_half_heads = _OtherPortTest.check_half_heads
    test_stop = _OtherPortTest.check_stop


if __name__ == "__main__":
    unittest.main()
