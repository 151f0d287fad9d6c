"""What callers are told before and instead of being forwarded."""

import json
import random
import unittest

import anyio
from opentelemetry import metrics as api

from cardamomfork._internal.gateway import application
from cardamomfork._internal.gateway import caller_protocol
from cardamomfork._internal.gateway import exchanges
from cardamomfork._internal.gateway import fleet_state
from cardamomfork._internal.gateway import stopping
from cardamomfork._internal.gateway import target_table
from cardamomfork._internal.gateway import traffic_metrics
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
    "tenants": [{"name": "depot", "apiKeys": ["k1"]}],
}


class FakeForwarder:
    """Ends each request in the same way."""

    def __init__(self):
        self.exchanges = []
        self.final = exchanges.FinalAnswer(503, "no room", 0.25)
        self.asked = anyio.Event()
        self.hold = None

    async def forward(self, exchange):
        self.exchanges.append(exchange)
        self.asked.set()
        if self.hold is not None:
            await self.hold.wait()
        return self.final


class ApplicationTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.state = fleet_state.FleetState(
            wire_format.WireFormat(), target_table.TargetTable(), self.clock
        )
        self.stop = stopping.StopState()
        self.memory_bytes = 1_000_000

    def configure(self):
        value = json.dumps(CONFIGURATION).encode()
        self.state.apply_configuration(value, 5, "store")

    def ask(self, *, path=b"/a/x", key=b"k1", bodies=(b"ask",), extra=()):
        """Sends one request; returns status, headers and the forwarder."""
        sent = []

        async def main():
            forwarder = FakeForwarder()
            served = application.CallerApplication(
                wire_format.WireFormat(),
                self.state,
                forwarder,
                self.stop,
                traffic_metrics.TrafficMetrics(api.NoOpMeter("t"), {}),
                self.clock,
                random.Random(1),
                self.memory_bytes,
            )
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
            await served(scope, receive, send)
            self.assertEqual(served.in_progress, 0)
            return forwarder

        forwarder = anyio.run(main)
        return sent[0]["status"], dict(sent[0]["headers"]), forwarder

    def test_without_a_configuration_callers_may_come_back(self):
        status, headers, _ = self.ask()
        self.assertEqual(status, 503)
        self.assertIn(b"retry-after", headers)

    def test_refusal_carries_its_time(self):
        self.configure()
        status, headers, forwarder = self.ask()
        self.assertEqual((status, headers[b"retry-after"]), (503, b"0.250"))
        self.assertEqual(forwarder.exchanges[0].body, b"ask")

    def test_unknown_key_and_unknown_route(self):
        self.configure()
        self.assertEqual(self.ask(key=b"k9")[0], 401)
        self.assertEqual(self.ask(path=b"/b/x")[0], 404)

    def test_bounds_on_headers_and_bodies(self):
        self.configure()
        self.assertEqual(self.ask(extra=[(b"x", b"y" * 600)])[0], 431)
        status, headers, forwarder = self.ask(bodies=(b"x" * 600,) * 2)
        self.assertEqual((status, headers[b"connection"]), (413, b"close"))
        self.assertEqual(forwarder.exchanges, [])

    def test_bodies_over_the_memory_are_refused_as_not_run(self):
        self.configure()
        self.memory_bytes = 1200
        status, headers, forwarder = self.ask(bodies=(b"x" * 400,))
        self.assertEqual((status, forwarder.exchanges), (503, []))
        self.assertIn(b"retry-after", headers)

    def test_stopping_instance_closes_and_refuses_what_cannot_end(self):
        self.configure()
        self.stop.begin(self.clock.now, gateway_parts.make_settings())
        status, headers, forwarder = self.ask()
        self.assertEqual(len(forwarder.exchanges), 1)
        self.assertEqual(headers[b"connection"], b"close")
        self.clock.now += 7.0
        status, _, forwarder = self.ask()
        self.assertEqual((status, forwarder.exchanges), (503, []))


if __name__ == "__main__":
    unittest.main()
