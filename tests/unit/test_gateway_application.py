"""Tests of the answers that the caller application gives itself."""

import json
import random
import unittest

import anyio
from opentelemetry import metrics as api

from cardamomfork._internal.gateway.requests import exchanges
from cardamomfork._internal.gateway.serving import application
from cardamomfork._internal.gateway.serving import caller_protocol
from cardamomfork._internal.gateway.serving import traffic_metrics
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "callers.example",
            "prefix": "/a/",
            "kind": "unsafe",
            "service": "plain",
            "timeoutMs": 2000,
        }
    ],
    "services": [{"name": "plain"}],
    "limits": {"maxHeaderBytes": 500, "maxBodyBytes": 1000},
    "tenants": [
        {"name": "depot", "apiKeys": ["k1", "k2"]},
        {"name": "annex", "apiKeys": ["k3"]},
    ],
}


class FakeForwarder:
    """Returns the same final answer for each request."""

    def __init__(self):
        self.exchanges = []
        self.final = exchanges.FinalAnswer(503, "no room", 0.25)
        self.forward_called = anyio.Event()
        self.release = None

    async def forward(self, exchange):
        self.exchanges.append(exchange)
        self.forward_called.set()
        if self.release is not None:
            await self.release.wait()
        return self.final


class ApplicationTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.state = fleet_state.FleetState(
            wire_format.WireFormat(), target_table.TargetTable(), self.clock
        )
        self.stop = stopping.StopState()

    def make_application(self, forwarder):
        return application.CallerApplication(
            wire_format.WireFormat(),
            self.state,
            forwarder,
            self.stop,
            traffic_metrics.TrafficMetrics(api.NoOpMeter("t"), {}),
            self.clock,
            random.Random(1),
        )

    def apply_configuration(self):
        value = json.dumps(CONFIGURATION).encode()
        self.state.apply_configuration(value, 5, "store")

    def send_request(
        self,
        *,
        path=b"/a/x",
        key=b"k1",
        bodies=(b"ask",),
        extra=(),
        configured_after_s=None,
    ):
        """Sends one request; returns its status, headers and the forwarder."""
        sent = []

        async def main():
            forwarder = FakeForwarder()
            app = self.make_application(forwarder)
            messages = [
                {
                    "type": "http.request",
                    "body": body,
                    "more_body": number < len(bodies) - 1,
                }
                for number, body in enumerate(bodies)
            ]

            async def receive():
                if messages:
                    return messages.pop(0)
                await anyio.sleep_forever()
                return None

            async def send(message):
                sent.append(message)

            headers = [
                (b"host", b"callers.example:80"),
                (b"api-key", key),
                *extra,
            ]
            scope = {
                "method": "POST",
                "headers": headers,
                "extensions": {caller_protocol.RAW_TARGET: path},
            }
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(app, scope, receive, send)
                if configured_after_s is not None:
                    await anyio.sleep(configured_after_s)
                    self.apply_configuration()
            self.assertEqual(app.in_progress, 0)
            return forwarder

        forwarder = anyio.run(main)
        return sent[0]["status"], dict(sent[0]["headers"]), forwarder

    def test_missing_configuration_gives_503_with_retry_after(self):
        status, headers, _ = self.send_request()
        self.assertEqual(status, 503)
        self.assertIn(b"retry-after", headers)

    def test_request_waits_for_the_first_configuration(self):
        # All instances start at once after a loss of power, and a caller that
        # is refused by one has no retry left.
        _, _, forwarder = self.send_request(configured_after_s=0.1)
        self.assertEqual(len(forwarder.exchanges), 1)

    def test_final_answer_carries_retry_after(self):
        self.apply_configuration()
        status, headers, forwarder = self.send_request()
        self.assertEqual((status, headers[b"retry-after"]), (503, b"0.250"))
        self.assertEqual(forwarder.exchanges[0].body, b"ask")

    def test_unknown_key_gives_401_and_unknown_route_404(self):
        self.apply_configuration()
        self.assertEqual(self.send_request(key=b"k9")[0], 401)
        self.assertEqual(self.send_request(path=b"/b/x")[0], 404)

    def test_repeat_with_another_key_of_the_account_is_recognized(self):
        self.apply_configuration()

        def fingerprint(**fields):
            *_, forwarder = self.send_request(**fields)
            return forwarder.exchanges[0].fingerprint

        first = fingerprint()
        self.assertEqual(first, fingerprint(key=b"k2"))
        self.assertEqual(first, fingerprint(bodies=(b"a", b"sk")))
        self.assertNotEqual(first, fingerprint(key=b"k3"))
        self.assertNotEqual(first, fingerprint(path=b"/a/y"))
        self.assertNotEqual(first, fingerprint(bodies=(b"ask!",)))

    def test_oversized_headers_and_bodies_are_rejected(self):
        self.apply_configuration()
        self.assertEqual(self.send_request(extra=[(b"x", b"y" * 600)])[0], 431)
        status, headers, forwarder = self.send_request(bodies=(b"x" * 600,) * 2)
        self.assertEqual((status, headers[b"connection"]), (413, b"close"))
        self.assertEqual(forwarder.exchanges, [])

    def test_stopping_instance_closes_connections_then_rejects_requests(self):
        self.apply_configuration()
        self.stop.begin(self.clock.now, gateway_parts.make_settings())
        status, headers, forwarder = self.send_request()
        self.assertEqual(len(forwarder.exchanges), 1)
        self.assertEqual(headers[b"connection"], b"close")
        self.clock.now += 7.0
        status, _, forwarder = self.send_request()
        self.assertEqual((status, forwarder.exchanges), (503, []))

    def send_unended(self, act, *, is_whole=True, begin=lambda exchange: None):
        """Sends a request that doesn't end by itself.

        Args:
            act: Called with the application once the request has arrived.
            is_whole: Whether its body arrives completely.
            begin: Called with the request if it is forwarded.

        Returns:
            The statuses sent after that, and the number of open requests.
        """
        self.apply_configuration()
        sent = []

        async def main():
            forwarder = FakeForwarder()
            forwarder.release = anyio.Event()
            app = self.make_application(forwarder)
            messages = [
                {"type": "http.request", "body": b"a", "more_body": True}
            ]
            if is_whole:
                messages.append(
                    {"type": "http.request", "body": b"b", "more_body": False}
                )

            async def receive():
                if messages:
                    return messages.pop(0)
                await anyio.sleep_forever()
                return None

            async def send(message):
                sent.append(message)

            scope = {
                "method": "POST",
                "headers": [(b"host", b"callers.example"), (b"api-key", b"k1")],
                "extensions": {caller_protocol.RAW_TARGET: b"/a/x"},
            }
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(app, scope, receive, send)
                await anyio.wait_all_tasks_blocked()
                for exchange in forwarder.exchanges:
                    begin(exchange)
                await act(app)
                await anyio.wait_all_tasks_blocked()
                in_progress = app.in_progress
                tasks.cancel_scope.cancel()
            return in_progress

        in_progress = anyio.run(main)
        return [one["status"] for one in sent if "status" in one], in_progress

    def end_request(self, **options):
        """Ends a request at the exit; returns the statuses that it gets."""

        async def act(app):
            with anyio.fail_after(1.0):
                await app.end_requests()

        statuses, in_progress = self.send_unended(act, **options)
        self.assertEqual(in_progress, 0)
        return statuses

    def test_request_without_its_whole_body_is_refused_at_the_exit(self):
        self.assertEqual(self.end_request(is_whole=False), [503])

    def test_request_that_was_not_sent_is_refused_at_the_exit(self):
        self.assertEqual(self.end_request(), [503])

    def test_request_that_may_have_run_is_not_refused_at_the_exit(self):
        def begin(exchange):
            exchange.possible_runs = 1

        self.assertEqual(self.end_request(begin=begin), [502])

    def test_answer_that_has_begun_gets_no_second_head_at_the_exit(self):
        def begin(exchange):
            exchange.sink.status = 200

        self.assertEqual(self.end_request(begin=begin), [])

    def test_body_that_would_end_too_late_is_refused_at_once(self):
        async def act(app):
            self.stop.begin(
                self.clock.now - self.since_stop_s,
                gateway_parts.make_settings(),
            )
            app.refuse_incomplete()

        for since_stop_s, is_whole, expected in (
            (3.0, False, ([], 1)),
            (7.0, True, ([], 1)),
            (7.0, False, ([503], 0)),
        ):
            with self.subTest(since_stop_s=since_stop_s, is_whole=is_whole):
                self.since_stop_s = since_stop_s
                self.stop = stopping.StopState()
                found = self.send_unended(act, is_whole=is_whole)
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
