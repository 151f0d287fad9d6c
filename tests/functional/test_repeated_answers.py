"""Tests of targets that write earlier answers once more on a connection."""

import contextlib
import itertools
import random
import unittest

import anyio

from cardamomfork._internal.models import fleet
from tests.functional import test_gateway_forwarding
from tests.lib import forwarding_peers
from tests.lib import gateway_parts
from tests.lib import repeating_target

Kind = repeating_target.Kind
Moment = repeating_target.Moment

REFUSALS = (Kind(503), Kind(429), Kind(400))
WITHOUT_ID = tuple(Kind(status, has_id=False) for status in (503, 429, 400))
MISDIRECTED = (Kind(421), Kind(421, is_marked=False))
"""Refusals after which the target is not used for some time."""
FAILURE = Kind(500, is_marked=False, is_signed=True)


def refuse_once():
    """Returns a function that refuses the first attempt of each request."""
    seen = set()

    def refuses(request_id):
        is_first = request_id not in seen
        seen.add(request_id)
        return is_first

    return refuses


@contextlib.asynccontextmanager
async def running(target, rule, *, over_peer):
    """Runs a target and yields a forwarder that reaches it."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(target)
        links = None
        if over_peer:
            record = gateway_parts.make_record(0, "plain", port=target.port)
            isolated, _ = await stack.enter_async_context(
                forwarding_peers.running([record])
            )
            links = isolated.paths
        fixture = test_gateway_forwarding.ForwarderFixture(
            [target], rule, links
        )
        yield fixture
        fixture.pool.close()


def play(
    target,
    *,
    rule=fleet.RepeatPolicy.ONCE,
    over_peer=False,
    count=4,
    senders=1,
):
    """Sends requests; returns what each caller got, by request id."""
    results = {}
    request_ids = iter(f"r{number}" for number in range(count))

    async def send_all(fixture):
        for request_id in request_ids:
            sink, final = await fixture.send(request_id=request_id)
            results[request_id] = repeating_target.Result(
                sink.status if final is None else final.status, sink.body
            )

    async def main():
        async with running(target, rule, over_peer=over_peer) as fixture:
            async with anyio.create_task_group() as tasks:
                for _ in range(senders):
                    tasks.start_soon(send_all, fixture)
            # Requests that were sent may still begin to run.
            await anyio.sleep(0.02)

    anyio.run(main)
    return results


def make_random_target(seed, refusal):
    """Returns a target that refuses and repeats at random."""
    rng = random.Random(seed)
    return repeating_target.RepeatingTarget(
        lambda _: rng.random() < 0.4,
        lambda: rng.choice((None, *Moment)),
        refusal,
        rng.choice,
    )


class RepeatedAnswerTest(unittest.TestCase):
    def check(self, refusals, moments, **options):
        for refusal, moment in itertools.product(refusals, moments):
            with self.subTest(refusal=refusal, moment=moment):
                target = repeating_target.RepeatingTarget(
                    refuse_once(), lambda moment=moment: moment, refusal
                )
                results = play(target, **options)
                self.assertEqual(target.violations(results), [])

    def check_random(self, refusals, **options):
        for seed, refusal in itertools.product(range(4), refusals):
            with self.subTest(seed=seed, refusal=refusal):
                target = make_random_target(seed, refusal)
                results = play(target, count=150, senders=5, **options)
                self.assertEqual(target.violations(results), [])
                served = [one for one in results.values() if one.status == 200]
                self.assertGreater(len(served), len(results) / 3)

    def test_repeated_refusal_is_not_taken_for_that_of_the_retry(self):
        self.check(REFUSALS, Moment)

    def test_repeated_misdirection_is_not_taken_for_that_of_the_retry(self):
        self.check(MISDIRECTED, (Moment.IDLE, Moment.AFTER_BODY), count=1)

    def test_repeated_refusal_over_a_peer_breaks_no_promise(self):
        self.check(REFUSALS, Moment, over_peer=True)

    def test_refusal_without_id_on_a_kept_connection_proves_nothing(self):
        self.check(WITHOUT_ID, Moment)

    def test_misdirection_without_id_on_a_kept_connection_proves_nothing(self):
        refusals = [Kind(421, False, marked) for marked in (True, False)]
        self.check(refusals, (Moment.AFTER_BODY,), count=1)

    def test_refusal_without_id_over_a_peer_breaks_no_promise(self):
        self.check(WITHOUT_ID, Moment, over_peer=True)

    def test_refusal_without_id_on_a_new_connection_is_a_proof(self):
        for refusal in WITHOUT_ID:
            target = repeating_target.RepeatingTarget(
                lambda _: True, lambda: None, refusal
            )
            results = play(target, count=1)
            self.assertEqual(results["r0"].status, 503)
            self.assertEqual(len(target.received), target.connections)

    def test_request_that_may_repeat_outlives_a_refusal_without_id(self):
        refuses = refuse_once()
        target = repeating_target.RepeatingTarget(
            lambda request_id: request_id != "r0" and refuses(request_id),
            lambda: None,
            Kind(has_id=False),
        )
        results = play(target, rule=fleet.RepeatPolicy.SAFE)
        statuses = [one.status for one in results.values()]
        self.assertEqual(statuses, [200] * 4)

    def test_repeated_failure_is_not_taken_for_the_answer_of_the_retry(self):
        for moment in (Moment.FIRST_BYTE, Moment.AFTER_BODY, Moment.LATE):
            target = repeating_target.RepeatingTarget(
                refuse_once(), lambda moment=moment: moment, FAILURE
            )
            results = play(target, rule=fleet.RepeatPolicy.SAFE)
            statuses = [one.status for one in results.values()]
            self.assertEqual(statuses, [200] * 4, moment)

    def test_answers_repeated_at_random_break_no_promise(self):
        self.check_random((Kind(503), Kind(503, has_id=False)))

    def test_answers_repeated_at_random_over_a_peer_break_no_promise(self):
        self.check_random((Kind(503), Kind(503, has_id=False)), over_peer=True)


class ConnectionCostTest(unittest.TestCase):
    def test_refusals_of_a_sound_target_open_few_connections(self):
        target = repeating_target.RepeatingTarget(refuse_once(), lambda: None)
        results = play(target, count=8)
        self.assertEqual({one.status for one in results.values()}, {200})
        self.assertEqual(len(target.received), 16)
        self.assertEqual(target.connections, 2)


if __name__ == "__main__":
    unittest.main()
