"""Tests of requests that are sent over a peer, with real sockets."""

import contextlib
import time
import unittest
from unittest import mock

import anyio
import httpcore

from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_forwarding_client
from cardamomfork._internal.gateway.peers import peer_forwarding_codec
from cardamomfork._internal.gateway.peers import peer_forwarding_server
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import forwarding
from tests.functional import test_gateway_forwarding
from tests.lib import forwarding_peers
from tests.lib import gateway_parts
from tests.lib import scripted_target
from tests.unit import test_gateway_regions

Act = scripted_target.Action
answer = scripted_target.answer
stream = scripted_target.stream


def run_over_peers(
    scenario, *scripts, names=("peer",), rule=fleet.RepeatPolicy.STREAM
):
    """Runs a scenario with scripted targets that only peers can reach."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            targets = [
                await stack.enter_async_context(
                    scripted_target.ScriptedTarget(script)
                )
                for script in scripts
            ]
            service = (
                "engines" if rule is fleet.RepeatPolicy.STREAM else "plain"
            )
            records = [
                gateway_parts.make_record(number, service, port=target.port)
                for number, target in enumerate(targets)
            ]
            isolated, peers = await stack.enter_async_context(
                forwarding_peers.running(records, names)
            )
            fixture = test_gateway_forwarding.ForwarderFixture(
                targets, rule, isolated.paths
            )
            return await scenario(fixture, isolated, peers, targets)

    return anyio.run(main)


def send_once(*scripts, **options):
    """Sends one request; returns sink, final answer and requests seen."""

    async def scenario(fixture, isolated, peers, targets):
        sink, final = await fixture.send()
        return sink, final, [one for each in targets for one in each.requests]

    return run_over_peers(scenario, *scripts, **options)


class AnswerOverPeerTest(unittest.TestCase):
    def test_stream_and_its_signature_arrive_unchanged(self):
        sink, final, requests = send_once(lambda r: [stream(r, 1, 3)])
        self.assertIsNone(final)
        self.assertTrue(sink.is_whole)
        self.assertEqual(sink.body.count(b"data: "), 3)
        self.assertEqual(
            dict(sink.headers)[b"x-cardamomfork-server-signature"], b"s"
        )
        self.assertEqual(len(requests), 1)

    def test_request_reaches_the_target_as_it_would_directly(self):
        *_, requests = send_once(lambda r: [stream(r, 1, 1)])
        request = requests[0]
        self.assertTrue(request.head.startswith(b"POST /a/x?q=1 HTTP/1.1"))
        self.assertEqual(request.body, b"ask")
        self.assertEqual(request.header("x-cardamomfork-request-id"), "r1")
        self.assertEqual(request.header("x-cardamomfork-tenant"), "depot")
        self.assertEqual(request.header("x-kept"), "2")
        self.assertNotIn(b"authorization", request.head)
        self.assertNotIn(b"forward-", request.head)
        deadline_ms = int(request.header("x-cardamomfork-deadline-ms"))
        self.assertLessEqual(deadline_ms, 2000)

    def test_error_of_the_target_is_passed_on(self):
        sink, final, requests = send_once(
            lambda r: [answer(r, b"why", 500)], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertIsNone(final)
        self.assertEqual((sink.status, sink.body), (500, b"why"))
        self.assertEqual(len(requests), 1)

    def test_refusal_of_the_target_is_known_not_to_have_run(self):
        refused = b"x-cardamomfork-not-executed: 1\r\n"
        _, final, requests = send_once(
            lambda r: [answer(r, b"", 503, extra=refused)],
            rule=fleet.RepeatPolicy.ONCE,
        )
        self.assertEqual(final.status, 503)
        self.assertGreaterEqual(len(requests), 1)

    def test_answer_that_breaks_off_is_not_repeated(self):
        _, final, requests = send_once(
            lambda r: [answer(r)[:-2], Act.RESET],
            rule=fleet.RepeatPolicy.ONCE,
        )
        self.assertEqual(final.status, 502)
        self.assertEqual(len(requests), 1)

    def test_request_whose_connection_ends_unanswered_is_not_repeated(self):
        _, final, requests = send_once(
            lambda r: [Act.RESET], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertEqual(final.status, 502)
        self.assertEqual(len(requests), 1)

    def test_broken_stream_is_resumed_in_order(self):
        def script(request):
            last_id = int(request.header("last-event-id") or 0)
            if last_id:
                return [stream(request, last_id + 1, 5)]
            return [stream(request, 1, 2, ends=False), Act.RESET]

        sink, final, requests = send_once(script, script)
        self.assertIsNone(final)
        self.assertEqual(len(requests), 2)
        ids = [
            int(line[4:])
            for line in sink.body.split(b"\n")
            if line.startswith(b"id: ")
        ]
        self.assertEqual(ids, [1, 2, 3, 4, 5])

    def test_long_answer_waits_for_its_reader(self):
        size = 8_000_000

        async def scenario(fixture, isolated, peers, targets):
            record = gateway_parts.make_record(0, port=targets[0].port)
            opened = await isolated.paths.acquire(record, runs_once=True)
            connection = opened.ok_value
            messages = connection.start(
                b"GET /big HTTP/1.1\r\nx-cardamomfork-request-id: r1\r\n\r\n",
                "r1",
            )
            await anyio.sleep(0.5)
            buffered = messages.statistics().current_buffer_used
            received = 0
            async for message in messages:
                if isinstance(message, target_connection.Data):
                    received += len(message.data)
                    connection.mark_consumed(len(message.data))
            isolated.paths.release(record, connection)
            return buffered, received

        buffered, received = run_over_peers(
            scenario, lambda r: [answer(r, b"x" * size)]
        )
        self.assertEqual(received, size)
        self.assertLess(buffered, 100)

    def test_caller_that_leaves_ends_the_request_at_the_target(self):
        async def scenario(fixture, isolated, peers, targets):
            with anyio.move_on_after(0.3):
                await fixture.send()
            with anyio.fail_after(1.0):
                await targets[0].client_disconnected.wait()
            return await forwarding_peers.wait_until(
                lambda: not peers[0].application.in_progress
            )

        self.assertTrue(run_over_peers(scenario, lambda r: [Act.HANG]))

    def test_deadline_ends_the_request_at_both_instances(self):
        async def scenario(fixture, isolated, peers, targets):
            started_at = time.monotonic()
            _, final = await fixture.send()
            seconds = time.monotonic() - started_at
            ended = await forwarding_peers.wait_until(
                lambda: not peers[0].application.in_progress
            )
            return final, seconds, ended

        final, seconds, ended = run_over_peers(
            scenario, lambda r: [Act.HANG], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertEqual(final.status, 504)
        self.assertLess(seconds, 2.1)
        self.assertTrue(ended)


class PeerChoiceTest(unittest.TestCase):
    def test_without_a_peer_a_request_is_refused_at_once(self):
        async def scenario(fixture, isolated, peers, targets):
            started_at = time.monotonic()
            _, final = await fixture.send()
            return final, time.monotonic() - started_at, targets[0].requests

        final, seconds, requests = run_over_peers(
            scenario, lambda r: [stream(r, 1, 1)], names=()
        )
        self.assertEqual(final.status, 503)
        self.assertGreater(final.retry_after_s, 0)
        self.assertLess(seconds, 0.1)
        self.assertEqual(requests, [])

    def test_peer_that_ended_or_refuses_is_replaced_by_another(self):
        async def scenario(fixture, isolated, peers, targets):
            peers[0].reach.is_isolated = True
            ended = forwarding_peers.Peer("ended", [])
            isolated.hear(ended.address)
            ended.listener.close()
            results = [await fixture.send() for _ in range(6)]
            return [(sink.is_whole, final) for sink, final in results]

        results = run_over_peers(
            scenario,
            lambda r: [stream(r, 1, 1)],
            names=("cut", "sound"),
        )
        self.assertEqual(results, [(True, None)] * 6)

    def test_peer_that_accepted_and_failed_may_have_sent_the_request(self):
        async def scenario(fixture, isolated, peers, targets):
            address = peers[0].address
            isolated.hear(address, open_requests=5)
            finals = []
            for step in (Act.HANG, Act.RESET):
                async with scripted_target.ScriptedTarget(
                    lambda request, step=step: [step]
                ) as failing:
                    failing_peer = digest_codec.Peer(
                        f"failing {step}", "a", address.host, failing.port
                    )
                    isolated.hear(failing_peer)
                    _, final = await fixture.send()
                    isolated.hear(failing_peer, is_leaving=True)
                    finals.append((final.status, len(failing.requests)))
            return finals, len(targets[0].requests)

        finals, count = run_over_peers(
            scenario, lambda r: [answer(r)], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertEqual(finals, [(504, 1), (502, 1)])
        self.assertEqual(count, 0)

    def test_no_request_goes_on_to_a_third_instance(self):
        async def scenario(fixture, isolated, peers, targets):
            for peer in peers:
                peer.reach.is_isolated = True
            _, final = await fixture.send()
            return final, targets[0].requests

        final, requests = run_over_peers(
            scenario, lambda r: [stream(r, 1, 1)], names=("one", "two")
        )
        self.assertEqual(final.status, 503)
        self.assertEqual(requests, [])

    def test_peers_that_are_silent_cut_off_or_leaving_are_not_used(self):
        isolated = forwarding_peers.IsolatedInstance()
        address = forwarding_peers.Peer("one", []).address
        self.assertFalse(isolated.client.has_peer)
        isolated.hear(address, reaches_targets=False)
        self.assertFalse(isolated.client.has_peer)
        isolated.hear(address, is_leaving=True)
        self.assertFalse(isolated.client.has_peer)
        isolated.hear(address)
        self.assertTrue(isolated.client.has_peer)
        self.assertEqual(isolated.table.forwarding_peers(-1.0), [])

    def test_peer_in_the_same_data_centre_goes_first_unless_it_is_busy(self):
        isolated = forwarding_peers.IsolatedInstance()
        near = forwarding_peers.Peer("near", []).address
        far = forwarding_peers.Peer("far", [], "b").address
        isolated.hear(near, open_requests=5)
        isolated.hear(far)
        choose = isolated.client._choose
        self.assertEqual({choose(()) for _ in range(20)}, {near})
        penalty = int(peer_forwarding_client.REMOTE_PENALTY)
        isolated.hear(near, open_requests=penalty + 10)
        self.assertEqual({choose(()) for _ in range(20)}, {far})

    def test_body_goes_only_to_peers_that_its_regions_allow(self):
        # Guards against a body that leaves the allowed regions over the peer
        # that has the fewest requests, or over an idle connection.
        isolated = forwarding_peers.IsolatedInstance()
        near = forwarding_peers.Peer("near", []).address
        far = forwarding_peers.Peer("far", [], "b").address
        isolated.hear(near)
        isolated.hear(far)
        choose = isolated.client._choose
        self.assertEqual(
            {choose((), lambda one: one == "b") for _ in range(20)}, {far}
        )
        self.assertIsNone(choose(("far",), lambda one: one == "b"))

    def test_request_that_no_peer_may_carry_is_refused_with_nothing_sent(self):
        async def scenario(fixture, isolated, peers, targets):
            fixture.forwarder._region_rules = test_gateway_regions.Rules(
                frozenset({"west"})
            ).rules
            for number, target in enumerate(targets):
                fixture.parts.table.put(
                    gateway_parts.make_record(
                        number, port=target.port, data_centre="b"
                    )
                )
            _, final = await fixture.send()
            return final, len(targets[0].requests)

        # The peers are in data centre "a", whose region is "east".
        final, count = run_over_peers(scenario, lambda r: [stream(r, 1, 3)])
        self.assertEqual((final.status, count), (503, 0))
        self.assertIn("cut off from all targets", final.reason)


class AdmissionTest(unittest.TestCase):
    def ask(self, change, *, secret=forwarding_peers.SECRET, size=0):
        """Sends a message to a peer; returns the head of the answer."""

        async def scenario(fixture, isolated, peers, targets):
            change(peers[0])
            request = peer_forwarding_codec.ForwardedRequest(
                "isolated", "r1", "t0", 1, 2.0, runs_once=True, is_head=False
            )
            encoded = (
                b"POST /a/x HTTP/1.1\r\nx-cardamomfork-request-id: r1\r\n"
                b"content-length: %d\r\n\r\n" % size + b"x" * size
            )
            message = peer_forwarding_codec.encode_request(
                request, secret, encoded
            )
            record = gateway_parts.make_record(0, port=1)
            opened = await isolated.paths.acquire(record, runs_once=True)
            messages = opened.ok_value.inner.start(message, "r1")
            head = (await messages.receive()).head
            opened.ok_value.abort()
            return head, len(targets[0].requests)

        return run_over_peers(scenario, lambda r: [answer(r)])

    def test_request_with_the_secret_is_passed_on(self):
        head, count = self.ask(lambda peer: None)
        self.assertIsNone(head.peer_fault)
        self.assertEqual((head.status, count), (200, 1))

    def test_requests_that_must_not_pass_are_refused_with_nothing_sent(self):
        faults = forwarding.PeerFault
        cases = (
            (faults.ISOLATED, lambda p: setattr(p.reach, "is_isolated", True)),
            (faults.STOPPING, lambda p: setattr(p.stop, "stopping_since", 1)),
            (
                faults.UNKNOWN_TARGET,
                lambda p: p.table.remove("t0", 1.0, may_return=False),
            ),
            (
                faults.UNKNOWN_TARGET,
                lambda p: p.table.put(
                    gateway_parts.make_record(0, started_at_ms=2)
                ),
            ),
            (
                faults.LEAVING_TARGET,
                lambda p: p.table.put(
                    gateway_parts.make_record(0, is_leaving=True, port=1)
                ),
            ),
            # A fault that earlier builds don't know would count as a lost
            # answer there.
            (
                faults.LEAVING_TARGET,
                lambda p: p.evacuate("a"),
            ),
            (
                faults.RESTING_TARGET,
                lambda p: p.table.record_rest(
                    gateway_parts.make_record(0), 3.0, time.monotonic()
                ),
            ),
            (
                faults.BUSY,
                lambda p: setattr(p.application, "_max_held_bytes", 10),
            ),
            (
                faults.BUSY,
                lambda p: setattr(
                    p.application,
                    "_in_progress",
                    peer_forwarding_server.MAX_REQUESTS,
                ),
            ),
        )
        for fault, change in cases:
            with self.subTest(fault=fault):
                head, count = self.ask(change)
                self.assertEqual((head.peer_fault, count), (fault, 0))

    def test_request_for_a_cold_target_that_was_held_up_is_not_passed_on(self):
        # It would arrive with the requests of later permits.
        def make_cold(peer):
            peer.table.find("t0").cold_until = time.monotonic() + 60.0

        for max_hold_s, count in ((-1.0, 0), (60.0, 1)):
            with mock.patch.object(
                peer_forwarding_server, "MAX_COLD_HOLD_S", max_hold_s
            ):
                self.assertEqual(self.ask(make_cold)[1], count)

    def test_message_without_the_secret_is_refused(self):
        for secret in ("", "another", forwarding_peers.SECRET[:-1]):
            head, count = self.ask(lambda peer: None, secret=secret)
            self.assertEqual(
                (head.peer_fault, count),
                (forwarding.PeerFault.UNAUTHORIZED, 0),
            )

    def test_instance_without_a_secret_refuses_all_messages(self):
        head, count = self.ask(
            lambda peer: peer.secret._known.clear(), secret=""
        )
        self.assertEqual(
            (head.peer_fault, count), (forwarding.PeerFault.UNAUTHORIZED, 0)
        )

    def test_message_of_a_caller_is_refused(self):
        async def scenario(fixture, isolated, peers, targets):
            address = peers[0].address
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "POST",
                    f"http://{address.host}:{address.port}/forward",
                    headers={"forward-target": "t0"},
                    content=b"POST / HTTP/1.1\r\n\r\n",
                )
            return response.status, len(targets[0].requests)

        self.assertEqual(
            run_over_peers(scenario, lambda r: [answer(r)]), (403, 0)
        )


if __name__ == "__main__":
    unittest.main()
