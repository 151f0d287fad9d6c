"""Tests of forwarded requests as callers and targets see them."""

import asyncio
import contextlib
import math
import random
import time
import unittest
from unittest import mock

import anyio

from cardamomfork._internal.gateway.connections import target_pool
from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.paths import reservations
from cardamomfork._internal.gateway.queueing import retry_budget
from cardamomfork._internal.gateway.queueing import retrying
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.requests import attempt
from cardamomfork._internal.gateway.requests import exchanges
from cardamomfork._internal.gateway.requests import request_log
from cardamomfork._internal.gateway.serving import forwarding
from cardamomfork._internal.gateway.state import crash_records
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import routes
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.models import fleet
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts
from tests.lib import scripted_target
from tests.unit import test_gateway_regions

Act = scripted_target.Action
answer = scripted_target.answer
stream = scripted_target.stream


class Sink:
    """Stores the answer that a caller receives."""

    def __init__(self):
        self.status = 0
        self.headers = ()
        self.body = b""
        self.is_whole = False

    async def start(self, status, headers, length):
        del length
        self.status = status
        self.headers = headers

    async def send(self, data):
        self.body += data

    async def finish(self, data=b""):
        self.body += data
        self.is_whole = True


class ForwarderFixture:
    """A forwarder with scripted targets."""

    def __init__(self, targets, rule=fleet.RepeatPolicy.STREAM, links=None):
        self.is_stream = rule is fleet.RepeatPolicy.STREAM
        service = "engines" if self.is_stream else "plain"
        self.parts = gateway_parts.Fleet(0)
        for number, target in enumerate(targets):
            self.parts.table.put(
                gateway_parts.make_record(number, service, port=target.port)
            )
        self.wire = wire_format.WireFormat()
        self.pool = target_pool.TargetConnectionPool(self.wire)
        self.links = links or self.pool
        self.guard = poison_guard.PoisonGuard()
        self.detector = crash_detector.CrashDetector(
            self.guard,
            self.parts.table,
            self.pool.try_open_idle,
            time.monotonic,
            lambda: None,
        )
        self.route = gateway_parts.make_route(
            rule=rule,
            max_attempts=1 if rule is fleet.RepeatPolicy.ONCE else 2,
            timeout_s=3.0,
        )
        self.service = fleet.Service(
            service, 100, gateway_parts.LAW if self.is_stream else None
        )
        self.stop = stopping.StopState()
        limits = rate_limits.RateLimits(self.parts.table, time.monotonic)
        statements = target_statements.TargetStatements(
            self.parts.table, time.monotonic
        )
        self.forwarder = forwarding.Forwarder(
            self.wire,
            scheduling.Scheduler(
                self.parts.placer,
                lambda *_: None,
                self.parts.load.end,
                time.monotonic,
                random.Random(1),
                stop=self.stop,
            ),
            self.links,
            self.parts.table,
            self.parts.load,
            retry_budget.RetryBudget(gateway_parts.make_settings(), -math.inf),
            self.guard,
            self.detector,
            reservations.MemoryReserver(self.wire, self.links, statements),
            limits,
            statements,
            gateway_parts.make_permits(limits, time.monotonic),
            time.monotonic,
            lambda _: None,
            stop=self.stop,
        )

    def exchange(self, request_id="r1", body=b"ask"):
        fields = [
            (b"host", b"callers.example"),
            (b"x-cardamomfork-request-id", request_id.encode()),
            (b"x-cardamomfork-deadline-ms", b"2000"),
            (b"x-cardamomfork-tenant", b"forged"),
            (b"api-key", b"secret"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"1"),
            (b"x-kept", b"2"),
        ]
        if self.is_stream:
            fields.append((b"x-cardamomfork-token-usage", b"1000,400"))
        request = self.wire.decode_request("POST", b"/a/x?q=1", fields)
        return exchanges.Exchange(
            request=request,
            body=body,
            match=routes.Match(
                self.route,
                self.service,
                fleet.ClientAccount("depot", ("secret",)),
                1,
                1,
            ),
            sink=Sink(),
            arrived_at=time.monotonic(),
            fingerprint=hash(body),
            log=request_log.RequestLog(request_id),
        )

    async def send(self, **fields):
        exchange = self.exchange(**fields)
        final = await self.forwarder.forward(exchange)
        return exchange.sink, final


def run_scenario(scenario, *scripts, rule=fleet.RepeatPolicy.STREAM):
    """Runs a scenario with one scripted target per script."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            targets = [
                await stack.enter_async_context(
                    scripted_target.ScriptedTarget(script)
                )
                for script in scripts
            ]
            return await scenario(ForwarderFixture(targets, rule), targets)

    return anyio.run(main)


def send_once(*scripts, rule=fleet.RepeatPolicy.STREAM):
    """Sends one request; returns sink, final answer and requests seen."""

    async def scenario(fixture, targets):
        sink, final = await fixture.send()
        return sink, final, [one for each in targets for one in each.requests]

    return run_scenario(scenario, *scripts, rule=rule)


class StoppingTest(unittest.TestCase):
    def stop(self, fixture, left_s):
        """Stops the process, which then exits after a time."""
        state = fixture.stop
        state.stopping_since = (
            time.monotonic() + left_s + stopping.EXIT_MARGIN_S - state.grace_s
        )

    def send(self, rule, stop, *scripts):
        async def scenario(fixture, targets):
            stop(fixture)
            _, final = await fixture.send()
            return final, [len(target.requests) for target in targets]

        return run_scenario(scenario, *scripts, rule=rule)

    def test_request_that_waited_past_the_last_moment_is_not_sent(self):
        def stop_late(fixture):
            acquire = fixture.pool.acquire

            async def acquire_late(record, **options):
                opened = await acquire(record, **options)
                self.stop(fixture, 1.0)
                return opened

            fixture.pool.acquire = acquire_late

        for rule in fleet.RepeatPolicy:
            with self.subTest(rule=rule):
                final, counts = self.send(
                    rule, stop_late, lambda one: (answer(one),)
                )
                self.assertEqual(
                    (final.status, final.reason), (503, "stopping")
                )
                self.assertEqual(final.retry_after_s, stopping.RETRY_AFTER_S)
                self.assertEqual(counts, [0])

    def test_failed_request_is_not_said_to_be_not_run(self):
        def keep(fixture):
            self.fixture = fixture

        def fail(_):
            self.stop(self.fixture, 0.5)
            return (Act.RESET,)

        final, counts = self.send(fleet.RepeatPolicy.SAFE, keep, fail, fail)
        self.assertEqual(final.status, 502)
        self.assertEqual(sum(counts), 1)

    def test_failed_request_is_retried_while_there_is_time(self):
        def keep(fixture):
            self.fixture = fixture

        def fail_once(one):
            if self.fixture.stop.is_stopping:
                return (answer(one),)
            self.stop(self.fixture, 1.8)
            return (Act.RESET,)

        final, counts = self.send(
            fleet.RepeatPolicy.SAFE, keep, fail_once, fail_once
        )
        self.assertIsNone(final)
        self.assertEqual(sum(counts), 2)


class RestTest(unittest.TestCase):
    def test_rest_asked_for_between_placement_and_sending_is_kept(self):
        async def scenario(fixture, targets):
            acquire = fixture.pool.acquire

            async def acquire_late(record, **options):
                opened = await acquire(record, **options)
                if record.target_id == first[0]:
                    fixture.parts.table.record_rest(
                        record, 3.0, time.monotonic()
                    )
                return opened

            chosen = fixture.parts.placer.choose(
                gateway_parts.make_demand(), time.monotonic()
            )
            first = [chosen.target.record.target_id]
            fixture.pool.acquire = acquire_late
            results = [await fixture.send() for _ in range(6)]
            rested = int(first[0].removeprefix("t"))
            return results, len(targets[rested].requests)

        def script(request):
            return [stream(request, 1, 2)]

        results, count = run_scenario(scenario, script, script)
        self.assertEqual(count, 0)
        self.assertTrue(all(sink.is_whole for sink, _ in results))


class EvacuationTest(unittest.TestCase):
    def test_order_between_placement_and_sending_is_kept(self):
        async def scenario(fixture, targets):
            known = evacuations.Evacuations(is_enabled=True)
            known.apply_scan((), 1)
            fixture.parts.table._evacuations = known
            for number, data_centre in enumerate("ab"):
                fixture.parts.table.put(
                    gateway_parts.make_record(
                        number,
                        port=targets[number].port,
                        data_centre=data_centre,
                    )
                )
            acquire = fixture.pool.acquire

            async def acquire_late(record, **options):
                opened = await acquire(record, **options)
                if not known.active:
                    known.apply_changes(
                        [evacuations.Change(record.data_centre, 2)], 2
                    )
                return opened

            fixture.pool.acquire = acquire_late
            results = [await fixture.send() for _ in range(4)]
            (evacuated,) = known.active
            return results, len(targets["ab".index(evacuated)].requests)

        def script(request):
            return [stream(request, 1, 2)]

        results, count = run_scenario(scenario, script, script)
        self.assertEqual(count, 0)
        self.assertTrue(all(sink.is_whole for sink, _ in results))


class RegionTest(unittest.TestCase):
    def send_while_regions_change(self, change, script):
        """Sends a request to targets in two regions, of which one is allowed.

        Args:
            change: Called with the rules, the fixture and the targets before.
            script: Script of both targets.

        Returns:
            The sink, the final answer and the requests that each target saw.
        """

        async def scenario(fixture, targets):
            rules = test_gateway_regions.Rules(frozenset({"east"}))
            fixture.forwarder._region_rules = rules.rules
            for number, data_centre in enumerate("ab"):
                fixture.parts.table.put(
                    gateway_parts.make_record(
                        number,
                        port=targets[number].port,
                        data_centre=data_centre,
                    )
                )
            change(rules, fixture)
            sink, final = await fixture.send()
            return sink, final, [target.requests for target in targets]

        return run_scenario(scenario, script, script)

    def test_change_between_placement_and_sending_is_kept(self):
        def change(rules, fixture):
            acquire = fixture.pool.acquire

            async def acquire_late(record, **options):
                opened = await acquire(record, **options)
                rules.table = test_gateway_regions.make_table(
                    frozenset({"west"}), None, 2
                )
                return opened

            fixture.pool.acquire = acquire_late

        sink, _, seen = self.send_while_regions_change(
            change, lambda r: [stream(r, 1, 2)]
        )
        self.assertTrue(sink.is_whole)
        self.assertEqual([len(one) for one in seen], [0, 1])

    def send_broken(self, allowed):
        """Breaks a stream off while the regions change."""
        changed = []

        def script(request):
            if not request.header("last-event-id"):
                changed[0].table = test_gateway_regions.make_table(
                    frozenset(allowed), None, 2
                )
                return [stream(request, 1, 3, ends=False), 0.05, Act.RESET]
            first = int(request.header("last-event-id")) + 1
            return [stream(request, first, 6)]

        return self.send_while_regions_change(
            lambda rules, _: changed.append(rules), script
        )

    def test_stream_is_resumed_in_the_regions_of_that_time(self):
        sink, _, seen = self.send_broken({"west"})
        self.assertTrue(sink.is_whole)
        self.assertEqual([len(one) for one in seen], [1, 1])

    def test_stream_is_not_resumed_outside_of_the_allowed_regions(self):
        sink, final, seen = self.send_broken({"south"})
        self.assertFalse(sink.is_whole)
        self.assertEqual(final.reason, "no target is in an allowed region")
        # It may have run, so it must not be called "not run".
        self.assertEqual(final.status, 502)
        self.assertEqual([len(one) for one in seen], [1, 0])


class CrashingRequestTest(unittest.TestCase):
    def test_crashes_of_targets_that_no_other_request_meets_are_counted(self):
        listening = []

        async def scenario(fixture, targets):
            listening.extend(targets)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.detector.run)
                for _ in range(2 * len(targets)):
                    await fixture.send()
                tasks.cancel_scope.cancel()
            return sum(len(target.requests) for target in targets)

        def script(request):
            seen = next(
                target
                for target in listening
                if target.requests and target.requests[-1] is request
            )
            seen.stop_listening()
            return [Act.RESET]

        count = run_scenario(scenario, *[script] * 8)
        self.assertEqual(count, poison_guard.MAX_CRASHES)


class PassThroughTest(unittest.TestCase):
    def test_target_gets_the_request_with_the_headers_of_the_gateway(self):
        _, _, (seen,) = send_once(
            lambda r: [answer(r)], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertTrue(seen.head.startswith(b"POST /a/x?q=1 HTTP/1.1\r\n"))
        self.assertEqual(seen.body, b"ask")
        self.assertEqual(seen.header("x-cardamomfork-tenant"), "depot")
        self.assertEqual(seen.header("x-cardamomfork-target-instance"), "t0")
        self.assertEqual(seen.header("x-kept"), "2")
        self.assertEqual(seen.header("api-key"), "")
        self.assertEqual(seen.header("x-hop"), "")
        left = int(seen.header("x-cardamomfork-deadline-ms"))
        self.assertLessEqual(left, 2000)

    def test_answer_is_complete_with_status_and_headers(self):
        sink, final, _ = send_once(
            lambda r: [answer(r, extra=b"x-more: 3\r\n")],
            rule=fleet.RepeatPolicy.ONCE,
        )
        self.assertIsNone(final)
        self.assertEqual((sink.status, sink.body), (200, b"whole"))
        self.assertIn((b"x-more", b"3"), sink.headers)
        self.assertTrue(sink.is_whole)

    def test_answer_without_a_length_ends_at_the_close(self):
        def script(request):
            head = answer(request, b"").replace(b"content-length: 0\r\n", b"")
            return [head + b"all of it", Act.CLOSE]

        sink, _, _ = send_once(script, rule=fleet.RepeatPolicy.ONCE)
        self.assertEqual(sink.body, b"all of it")

    def test_error_answer_of_the_target_is_passed_on_unchanged(self):
        sink, final, seen = send_once(
            lambda r: [answer(r, b"no", 500)], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertIsNone(final)
        self.assertEqual((sink.status, sink.body), (500, b"no"))
        self.assertEqual(len(seen), 1)


class OnceTest(unittest.TestCase):
    def test_reset_after_sending_has_unknown_outcome_and_no_retry(self):
        sink, final, seen = send_once(
            lambda _: [Act.RESET],
            lambda r: [answer(r)],
            rule=fleet.RepeatPolicy.ONCE,
        )
        self.assertEqual(len(seen), 1)
        self.assertEqual((sink.status, final.status), (0, 502))

    def test_truncated_answer_is_not_passed_on(self):
        sink, final, _ = send_once(
            lambda r: [answer(r)[:-2], Act.CLOSE], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertEqual((sink.status, final.status), (0, 502))

    def test_unsigned_success_is_not_passed_on(self):
        sink, final, _ = send_once(
            lambda r: [answer(r, signed=False)], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertEqual((sink.status, final.status), (0, 502))

    def test_bytes_that_are_not_http_are_not_passed_on(self):
        sink, final, _ = send_once(
            lambda _: [b"SSH-2.0 hello\r\n\r\n"], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertEqual((sink.status, final.status), (0, 502))

    def test_refused_request_is_retried_at_another_target(self):
        refused = b"x-cardamomfork-not-executed: 1\r\n"

        def script(request):
            if script.calls:
                return [answer(request)]
            script.calls += 1
            return [answer(request, b"", 503, extra=refused)]

        script.calls = 0
        sink, _, seen = send_once(script, script, rule=fleet.RepeatPolicy.ONCE)
        self.assertEqual((sink.status, len(seen)), (200, 2))

    def test_request_refused_by_all_gets_503_with_retry_after(self):
        refused = b"x-cardamomfork-not-executed: 1\r\n"
        _, final, _ = send_once(
            lambda r: [answer(r, b"", 503, extra=refused)],
            rule=fleet.RepeatPolicy.ONCE,
        )
        self.assertEqual(final.status, 503)
        self.assertIsNotNone(final.retry_after_s)

    def test_error_that_says_not_run_without_a_proof_becomes_502(self):
        for status in (408, 429, 503):
            sink, final, seen = send_once(
                lambda r, status=status: [answer(r, b"ran", status)],
                rule=fleet.RepeatPolicy.ONCE,
            )
            self.assertEqual(sink.status, 0)
            self.assertEqual((final.status, len(seen)), (502, 1))

    def test_long_error_that_says_not_run_without_a_proof_becomes_502(self):
        body = bytes(attempt.MAX_BUFFERED_BYTES + 1)
        for status in (408, 429, 503):
            sink, final, seen = send_once(
                lambda r, status=status: [answer(r, body, status)],
                rule=fleet.RepeatPolicy.ONCE,
            )
            self.assertEqual(sink.status, 0)
            self.assertEqual((final.status, len(seen)), (502, 1))

    def test_silence_until_the_deadline_gets_504(self):
        started = time.monotonic()
        _, final, _ = send_once(
            lambda _: [Act.HANG], rule=fleet.RepeatPolicy.ONCE
        )
        self.assertEqual(final.status, 504)
        self.assertLess(time.monotonic() - started, 2.2)

    def test_request_without_a_target_is_refused(self):
        _, final, _ = send_once(rule=fleet.RepeatPolicy.ONCE)
        self.assertEqual(final.status, 503)


class BlameTest(unittest.TestCase):
    def test_target_blamed_by_a_refusal_is_avoided(self):
        refused = (
            b"x-cardamomfork-not-executed: 1\r\nat-server: 127.0.0.1:%d\r\n"
        )

        async def scenario(fixture, targets):
            ports.append(targets[1].port)
            # The first target refuses once and blames the second.
            sink, _ = await fixture.send()
            return sink.status, len(targets[1].requests)

        def script(request):
            script.calls += 1
            if script.calls == 1:
                extra = refused % ports[0]
                return [answer(request, b"", 503, extra=extra)]
            return [stream(request, 1, 3)]

        script.calls = 0
        ports = []
        sound = [script, lambda _: [Act.RESET]]
        status, asked = run_scenario(scenario, *sound)
        self.assertEqual((status, asked), (200, 0))


class SafeTest(unittest.TestCase):
    def test_failed_request_is_retried_at_another_target(self):
        def script(request):
            script.calls += 1
            return [answer(request, b"", 500 if script.calls == 1 else 200)]

        script.calls = 0
        sink, _, seen = send_once(script, script, rule=fleet.RepeatPolicy.SAFE)
        self.assertEqual((sink.status, len(seen)), (200, 2))

    def test_request_to_a_silent_target_is_retried_at_another(self):
        def script(request):
            script.calls += 1
            return [Act.HANG] if script.calls == 1 else [answer(request)]

        script.calls = 0
        sink, _, _ = send_once(script, script, rule=fleet.RepeatPolicy.SAFE)
        self.assertEqual(sink.status, 200)

    def test_attempts_stay_within_the_maximum(self):
        _, _, seen = send_once(
            *[lambda _: [Act.RESET]] * 5, rule=fleet.RepeatPolicy.SAFE
        )
        self.assertEqual(len(seen), 2)

    def test_error_of_a_request_that_may_repeat_is_passed_on(self):
        for status in (408, 429, 503):
            sink, final, _ = send_once(
                lambda r, status=status: [answer(r, b"no", status)],
                rule=fleet.RepeatPolicy.SAFE,
            )
            self.assertIsNone(final)
            self.assertEqual((sink.status, sink.body), (status, b"no"))


class StreamTest(unittest.TestCase):
    def test_broken_stream_resumes_after_its_last_event(self):
        def script(request):
            script.calls += 1
            if script.calls == 1:
                cut = stream(request, 1, 3, ends=False)
                return [cut + b"20\r\nid: 4\nda", 0.05, Act.RESET]
            first = int(request.header("last-event-id")) + 1
            return [stream(request, first, 6)]

        script.calls = 0
        sink, final, seen = send_once(script, script)
        self.assertIsNone(final)
        events = b"".join(
            b"id: %d\ndata: e%d\n\n" % (number, number)
            for number in range(1, 7)
        )
        self.assertEqual(sink.body, events)
        self.assertTrue(sink.is_whole)
        self.assertEqual(seen[1].header("last-event-id"), "3")

    def play_pause(self, budget):
        """Sends a stream whose target pauses for longer than the time-out.

        Returns:
            The sink and the number of requests that targets got.
        """

        def script(request):
            script.calls += 1
            if script.calls > 1:
                first = int(request.header("last-event-id")) + 1
                return [stream(request, first, 4)]
            return [
                stream(request, 1, 2, ends=False),
                0.5,
                stream(request, 3, 4).partition(b"\r\n\r\n")[2],
            ]

        async def scenario(fixture, targets):
            fixture.forwarder._retry_budget = budget
            fixture.forwarder._decider = retrying.RetryDecider(
                budget, fixture.guard, time.monotonic
            )
            sink, _ = await fixture.send()
            return sink, sum(len(one.requests) for one in targets)

        script.calls = 0
        with (
            mock.patch.object(forwarding, "MIN_IDLE_TIMEOUT_S", 0.1),
            mock.patch.object(forwarding, "IDLE_TIMEOUT_FACTOR", 0.0),
        ):
            return run_scenario(scenario, script, script)

    def test_stream_is_not_cut_for_a_pause_if_no_other_attempt_may_follow(self):
        settings = gateway_parts.make_settings(
            retry_ratio=0.0, retry_reserve=0.0
        )
        sink, requests = self.play_pause(
            retry_budget.RetryBudget(settings, -math.inf)
        )
        self.assertEqual((sink.is_whole, requests), (True, 1))

    def test_stream_goes_on_elsewhere_after_a_pause_within_the_budget(self):
        sink, requests = self.play_pause(
            retry_budget.RetryBudget(gateway_parts.make_settings(), -math.inf)
        )
        self.assertEqual((sink.is_whole, requests), (True, 2))

    def test_event_after_a_gap_is_not_passed_on(self):
        def script(request):
            gap = stream(request, 1, 2, ends=False)
            rest = stream(request, 4, 5).partition(b"\r\n\r\n")[2]
            return [gap + rest]

        sink, _, _ = send_once(script)
        self.assertNotIn(b"id: 4", sink.body)
        self.assertFalse(sink.is_whole)

    def test_stream_that_ends_within_an_event_is_not_completed(self):
        def script(request):
            return [
                stream(request, 1, 2, ends=False) + b"5\r\nid: 3\r\n0\r\n\r\n"
            ]

        sink, _, _ = send_once(script)
        self.assertFalse(sink.is_whole)

    def send_unframed_stream(self, rest, end):
        """Sends a stream without a length that ends in some way."""

        def script(request):
            head = answer(request, b"").replace(b"content-length: 0\r\n", b"")
            events = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
            return [head + events + rest, 0.05, end]

        return send_once(script)[0]

    def test_stream_without_a_length_is_complete_at_the_end_of_an_event(self):
        sink = self.send_unframed_stream(b"", Act.CLOSE)
        self.assertEqual(sink.body, b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
        self.assertTrue(sink.is_whole)

    def test_stream_without_a_length_that_ends_in_an_event_is_broken_off(self):
        sink = self.send_unframed_stream(b"id: 3\nda", Act.CLOSE)
        self.assertNotIn(b"id: 3", sink.body)
        self.assertFalse(sink.is_whole)

    def test_stream_without_a_length_that_is_reset_is_broken_off(self):
        sink = self.send_unframed_stream(b"", Act.RESET)
        self.assertFalse(sink.is_whole)

    def test_cancelled_request_stops_at_the_target(self):
        async def scenario(fixture, targets):
            task = asyncio.create_task(fixture.send())
            await targets[0].request_received.wait()
            task.cancel()
            await asyncio.wait_for(targets[0].client_disconnected.wait(), 0.5)
            return fixture.parts.load.local_jobs

        self.assertEqual(
            run_scenario(
                scenario, lambda r: [stream(r, 1, 2, ends=False), Act.HANG]
            ),
            (),
        )


class ConnectionTest(unittest.TestCase):
    def run_two(self, script, pause_s=0.0):
        async def scenario(fixture, targets):
            first, _ = await fixture.send()
            await asyncio.sleep(pause_s)
            second, final = await fixture.send(request_id="r2")
            return first, second, final, targets[0].connections

        return run_scenario(scenario, script, rule=fleet.RepeatPolicy.SAFE)

    def test_connection_is_reused(self):
        *_, connections = self.run_two(lambda r: [answer(r)])
        self.assertEqual(connections, 1)

    def test_bytes_after_an_answer_close_the_connection(self):
        _, second, _, connections = self.run_two(
            lambda r: [answer(r) + b"stray"]
        )
        self.assertEqual((second.status, connections), (200, 2))

    def test_late_second_answer_is_not_used_for_the_next_request(self):
        def script(request):
            if request.header("x-cardamomfork-request-id") == "r1":
                script.late = answer(request, b"stale")
                return [answer(request, b"first")]
            return [script.late + answer(request, b"second")]

        _, second, _, _ = self.run_two(script)
        self.assertEqual(second.body, b"second")

    def test_answer_is_used_after_a_long_late_answer_to_another_request(self):
        def script(request):
            late = answer(request, b"x" * 200_000).replace(b"r1", b"r0")
            own = answer(request)
            return [late + own[:9], 0.05, own[9:]]

        sink, final, _ = send_once(script, rule=fleet.RepeatPolicy.ONCE)
        self.assertIsNone(final)
        self.assertEqual(sink.body, b"whole")

    def test_answer_with_connection_close_ends_the_connection(self):
        *_, connections = self.run_two(
            lambda r: [answer(r, extra=b"connection: close\r\n")]
        )
        self.assertEqual(connections, 2)

    def test_connection_closed_while_idle_is_not_reused(self):
        _, second, _, connections = self.run_two(
            lambda r: [answer(r), Act.CLOSE], pause_s=0.05
        )
        self.assertEqual((second.status, connections), (200, 2))


def record_crash(guard, body, target_id):
    """Records a crash of a target while it ran a request."""
    crash = crash_records.Crash(hash(body), target_id, 1)
    guard.record_crash(crash_records.CrashReport(crash), time.monotonic())


def refuse_as_another_target(request):
    """Answers as a target that has the address of an earlier one."""
    return [
        answer(request, status=421, extra=b"x-cardamomfork-not-executed: 1\r\n")
    ]


class PoisonTest(unittest.TestCase):
    def test_crash_counts_if_another_target_has_the_address_now(self):
        async def scenario(fixture, _):
            record = fixture.parts.table.find("t0").record
            fixture.guard.add_suspect(hash(b"bad"), record, time.monotonic())
            await fixture.send(body=b"other")
            return fixture.guard.crash_count(hash(b"bad"))

        self.assertEqual(run_scenario(scenario, refuse_as_another_target), 1)

    def test_completed_request_is_not_blocked_for_crashes_beside_it(self):
        async def scenario(fixture, _):
            for number in range(poison_guard.MAX_CRASHES - 1):
                record_crash(fixture.guard, b"good", f"x{number}")
            await fixture.send(body=b"good")
            return fixture.guard.crash_count(hash(b"good"))

        self.assertEqual(run_scenario(scenario, lambda r: [stream(r, 1, 2)]), 0)

    def test_request_that_is_blocked_while_it_waits_is_not_sent(self):
        async def scenario(fixture, targets):
            acquire = fixture.links.acquire

            async def acquire_late(*args, **kwargs):
                for number in range(3):
                    record_crash(fixture.guard, b"bad", f"x{number}")
                return await acquire(*args, **kwargs)

            fixture.links.acquire = acquire_late
            _, final = await fixture.send(body=b"bad")
            return final, len(targets[0].requests)

        final, seen = run_scenario(scenario, lambda r: [stream(r, 1, 2)])
        self.assertEqual((final.status, seen), (503, 0))

    def test_request_that_crashed_three_targets_is_blocked(self):
        async def scenario(fixture, targets):
            for number in range(3):
                record_crash(fixture.guard, b"bad", f"x{number}")
            _, final = await fixture.send(body=b"bad")
            return final, len(targets[0].requests)

        final, seen = run_scenario(scenario, lambda r: [stream(r, 1, 2)])
        self.assertEqual((final.status, seen), (503, 0))


if __name__ == "__main__":
    unittest.main()
