"""Tests of answers that break off after a caller has received a part."""

import collections
import functools
import itertools
import random
import secrets
import unittest
from unittest import mock

import anyio

from cardamomfork._internal.gateway.requests import event_stream
from cardamomfork._internal.gateway.serving import forwarding
from cardamomfork._internal.models import fleet
from tests.lib import broken_answers

MAX_CONCURRENT_CASES = 12
"""With 48, the event loop was late by more than the time for a connection to a
peer on a busy machine, and requests were refused before they were sent."""
SEED = 7
PEER_ANSWER_BYTES = 330
PEER_CUTS = 40
WHOLE_BODY = b"id: 1\ndata\n\n"
MAIN_BREAKS = ("reset between events", "reset in an event", "no chunk")
MAIN_ANSWERS = ("the rest", "500", "close before the first event")


def play_all(
    cases, breaks=broken_answers.BREAKS, find_faults=broken_answers.find_faults
):
    """Plays cases concurrently; returns the faults of each that has any."""
    found = collections.defaultdict(list)
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CASES)

    async def play(case):
        async with limiter:
            received, errors = await broken_answers.play(case, breaks)
        found[case] += find_faults(received, case)
        found[case] += [f"exception: {error!r}" for error in errors]

    async def main():
        async with anyio.create_task_group() as tasks:
            for case in cases:
                tasks.start_soon(play, case)

    anyio.run(main)
    return {case: faults for case, faults in found.items() if faults}


def describe(faults):
    """Returns the faults of each case as lines."""
    return "\n".join(f"{case}\n  {one}" for case, one in faults.items())


class BegunStreamTest(unittest.TestCase):
    def check(self, breaks, answers, answers_by_break=None, **fields):
        """Checks all combinations, directly and over a peer."""
        cases = [
            broken_answers.Case(one, answer, is_over_peer, **fields)
            for one, answer, is_over_peer in itertools.product(
                breaks, answers, (False, True)
            )
        ]
        with mock.patch.object(forwarding, "MIN_IDLE_TIMEOUT_S", 0.6):
            faults = play_all(cases, answers_by_break or broken_answers.BREAKS)
        if faults:
            self.fail(f"{len(faults)} of {len(cases)}\n{describe(faults)}")

    def test_no_byte_of_the_next_answer_follows_unless_it_goes_on(self):
        self.check(MAIN_BREAKS, broken_answers.ANSWERS)

    def test_stream_ends_as_complete_only_after_its_last_event(self):
        self.check(broken_answers.BREAKS, MAIN_ANSWERS)

    def test_stream_that_the_caller_resumed_is_not_joined_with_another(self):
        self.check(MAIN_BREAKS[:1], broken_answers.ANSWERS, last_event_id=2)

    def test_answer_that_starts_elsewhere_is_not_passed_on(self):
        self.check(
            (
                "200 from the start",
                "200 with the last event again",
                "200 after a gap",
            ),
            ("the rest",),
            broken_answers.ANSWERS,
            last_event_id=2,
        )

    def test_head_alone_is_no_complete_stream(self):
        self.check(
            ("close before the first event without a length",),
            ("the rest",),
            broken_answers.ANSWERS,
        )

    def test_stream_that_may_not_be_resumed_has_no_second_run(self):
        self.check(broken_answers.BREAKS, ("the rest",), may_resume=False)

    def test_early_end_is_visible_to_a_client_that_reads_no_chunks(self):
        self.check(broken_answers.BREAKS, MAIN_ANSWERS, version="1.0")

    def test_stream_without_ids_is_not_sent_again_from_its_start(self):
        def break_off(request):
            data = broken_answers.chunk(b"data: a\n\n")
            return [
                broken_answers.start(request) + data,
                0.02,
                broken_answers.Act.RESET,
            ]

        for is_over_peer in (False, True):
            case = broken_answers.Case("no ids", "the rest", is_over_peer)
            with self.subTest(is_over_peer=is_over_peer):
                received, _ = anyio.run(
                    broken_answers.play, case, {"no ids": break_off}
                )
                *_, body, is_complete = broken_answers.decode_answer(received)
                self.assertEqual((body, is_complete), (b"data: a\n\n", False))
                self.assertEqual(received.requests, 1)


class CutHeadTest(unittest.TestCase):
    """An answer whose head breaks off must not become an empty success."""

    def send_all(self, answers):
        """Sends a request for each case.

        Args:
            answers: Pairs of a case and the script of its target, with the
                bytes of the peer's answer that get through or None.

        Returns:
            The answers by case, without those that no proxy has cut.
        """
        received = {}
        self.sent = set()
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CASES)

        async def send(number, case, script, peer_answer_bytes):
            def record(request):
                self.sent.add((case, number))
                return script(request)

            async with (
                limiter,
                broken_answers.serving([record], case, peer_answer_bytes) as (
                    entry,
                    proxy,
                ),
            ):
                answer = await broken_answers.read_answer(
                    entry.server.port,
                    request_id=f"r1{number:06}{secrets.token_hex(6)}",
                )
                if proxy is None or proxy.has_cut:
                    received[case, number] = answer
                self.assertEqual(entry.errors, [])

        async def main():
            async with anyio.create_task_group() as tasks:
                for number, one in enumerate(answers):
                    tasks.start_soon(send, number, *one)

        anyio.run(main)
        return received

    def test_head_of_a_target_that_breaks_off_makes_no_success(self):
        rng = random.Random(SEED)
        answers = []
        for framing, is_over_peer, rule, end in itertools.product(
            broken_answers.HEAD_FRAMINGS,
            (False, True),
            fleet.RepeatPolicy,
            (broken_answers.Act.CLOSE, broken_answers.Act.RESET),
        ):
            fractions = [rng.random(), 0.999]
            for fraction in fractions:
                script = functools.partial(
                    broken_answers.cut_head,
                    framing=framing,
                    interim=rng.choice(broken_answers.INTERIM_HEADS),
                    fraction=fraction,
                )
                answers.append(
                    (
                        broken_answers.Case(
                            framing, "nothing", is_over_peer, rule=rule
                        ),
                        lambda one, script=script, end=end: (
                            [*script(one), 0.01, end]
                        ),
                        None,
                    )
                )
        received = self.send_all(answers)
        self.assertEqual(len(received), len(answers))
        self.assertGreater(len(self.sent), 0.9 * len(answers))
        for case, answer in received.items():
            status, headers, *_ = broken_answers.decode_answer(answer)
            self.assertEqual(status, 502 if case in self.sent else 503, case)
            self.assertNotIn(b"x-cardamomfork-server-signature", headers, case)

    def test_answer_of_a_peer_that_breaks_off_is_not_complete(self):
        rng = random.Random(SEED)
        framings = (b"content-length: 12", b"transfer-encoding: chunked")
        answers = []
        for rule, framing in itertools.product(fleet.RepeatPolicy, framings):
            for size in rng.sample(range(1, PEER_ANSWER_BYTES), PEER_CUTS):

                def script(request, framing=framing):
                    body = WHOLE_BODY
                    if framing.startswith(b"transfer"):
                        body = broken_answers.chunk(body) + b"0\r\n\r\n"
                    return [broken_answers.start(request, framing) + body]

                case = broken_answers.Case("cut", "nothing", True, rule=rule)
                answers.append((case, script, size))
        received = self.send_all(answers)
        self.assertGreater(len(received), len(answers) / 3)
        for case, answer in received.items():
            status, _, _, is_complete = broken_answers.decode_answer(answer)
            self.assertFalse(status < 300 and is_complete, (case, answer.raw))


class BegunLongAnswerTest(unittest.TestCase):
    def test_no_second_run_and_no_second_answer_follow(self):
        cases = [
            broken_answers.Case(
                one, answer, is_over_peer, rule=rule, version=version
            )
            for one, answer, is_over_peer, rule, version in itertools.product(
                broken_answers.LONG_BREAKS,
                ("the rest", "500", "201"),
                (False, True),
                (fleet.RepeatPolicy.SAFE, fleet.RepeatPolicy.STREAM),
                ("1.0", "1.1"),
            )
            if rule is fleet.RepeatPolicy.SAFE or one[:3] in ("500", "206")
        ]
        with mock.patch.object(forwarding, "MIN_IDLE_TIMEOUT_S", 0.5):
            faults = play_all(
                cases,
                broken_answers.LONG_BREAKS,
                broken_answers.find_long_faults,
            )
        if faults:
            self.fail(f"{len(faults)} of {len(cases)}\n{describe(faults)}")

    def test_long_answer_without_chunks_reaches_a_slow_client_whole(self):
        size = 8 * broken_answers.LONG

        def send(request):
            data = broken_answers.chunk(b"a" * size)
            return [broken_answers.start(request) + data + b"0\r\n\r\n"]

        case = broken_answers.Case(
            "long", "500", version="1.0", rule=fleet.RepeatPolicy.SAFE
        )
        received, errors = anyio.run(
            functools.partial(
                broken_answers.play, case, {"long": send}, read_after_s=0.5
            )
        )
        *_, body, is_complete = broken_answers.decode_answer(received)
        self.assertEqual((len(body), is_complete), (size, True))
        self.assertEqual(errors, [])

    def test_answer_that_pauses_is_not_cut_if_none_can_follow(self):
        def pause(request):
            size = broken_answers.LONG
            head = broken_answers.start(request, b"content-length: %d" % size)
            return [head + b"a" * (size - 1), 0.5, b"a"]

        case = broken_answers.Case("pause", "500", rule=fleet.RepeatPolicy.SAFE)
        with (
            mock.patch.object(forwarding, "MIN_IDLE_TIMEOUT_S", 0.1),
            mock.patch.object(forwarding, "IDLE_TIMEOUT_FACTOR", 0.0),
        ):
            received, _ = anyio.run(broken_answers.play, case, {"pause": pause})
        *_, body, is_complete = broken_answers.decode_answer(received)
        self.assertEqual((len(body), is_complete), (broken_answers.LONG, True))


class InvalidStatusTest(unittest.TestCase):
    def test_status_above_599_is_not_passed_on_and_raises_nothing(self):
        def answer(request):
            head = broken_answers.start(
                request, b"content-length: 0", status=700
            )
            return [head]

        for is_over_peer in (False, True):
            with self.subTest(is_over_peer=is_over_peer):
                case = broken_answers.Case(
                    "700", "500", is_over_peer, rule=fleet.RepeatPolicy.ONCE
                )
                received, errors = anyio.run(
                    broken_answers.play, case, {"700": answer}
                )
                self.assertEqual(errors, [])
                status, *_, is_complete = broken_answers.decode_answer(received)
                self.assertEqual((status, is_complete), (502, True))


class InstanceFaultTest(unittest.TestCase):
    """The instance itself fails after the head has been sent."""

    def check(self, version, on_event):
        """Sends a request; checks that its stream ends visibly early.

        Args:
            version: HTTP version of the caller.
            on_event: Called with the entry and the number of each event.
        """

        def script(request):
            first = broken_answers.start(request)
            return [
                first + broken_answers.events(1, 2),
                0.05,
                broken_answers.events(3, 6) + b"0\r\n\r\n",
            ]

        async def main():
            case = broken_answers.Case("none", "none", version=version)
            async with broken_answers.serving([script], case) as (entry, _):
                check = event_stream.SequenceChecker.check

                def check_and_fail(checker, event):
                    on_event(entry, event.event_id)
                    return check(checker, event)

                with mock.patch.object(
                    event_stream.SequenceChecker, "check", check_and_fail
                ):
                    return await broken_answers.read_answer(
                        entry.server.port, version=version
                    )

        received = anyio.run(main)
        status, _, body, is_complete = broken_answers.decode_answer(received)
        self.assertEqual((status, is_complete), (200, False))
        self.assertEqual(received.raw.count(b"HTTP/1."), 1)
        self.assertNotIn(b"Error", received.raw)
        whole = b"id: 1\ndata: a\n\nid: 2\ndata: a\n\n"
        self.assertTrue(whole.startswith(body), body)

    def test_exception_leaves_the_stream_incomplete(self):
        def fail(entry, event_id):
            if event_id == 3:
                raise RuntimeError("internal Error")

        for version in ("1.1", "1.0"):
            with self.subTest(version):
                self.check(version, fail)

    def test_end_of_the_instance_leaves_the_stream_incomplete(self):
        def end(entry, event_id):
            if event_id == 3:
                entry.server.abort()

        for version in ("1.1", "1.0"):
            with self.subTest(version):
                self.check(version, end)


if __name__ == "__main__":
    unittest.main()
