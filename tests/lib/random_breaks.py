"""Streams that break off at random bytes while engines and instances end.

`python -m tests.lib.random_breaks --seed 1 --seeds 50` runs seeds and prints
what each gave. A run has one instance that serves callers, directly or over two
peers, and three targets.
"""

import argparse
import asyncio
import contextlib
import math
import random
import re
import sys
import time
from unittest import mock

import anyio
import attrs
from loguru import logger

from cardamomfork._internal.gateway.queueing import retry_budget
from cardamomfork._internal.gateway.queueing import retrying
from cardamomfork._internal.gateway.serving import forwarding
from cardamomfork._internal.models import fleet
from tests.functional import test_gateway_forwarding
from tests.lib import broken_answers
from tests.lib import forwarding_peers
from tests.lib import gateway_parts
from tests.lib import scripted_target

REQUESTS = 40
TARGETS = 3
MAX_ATTEMPTS = 3
TOTAL = broken_answers.TOTAL
MAX_START_S = 1.0
KILLS = 3
IDLE_TIMEOUT_S = 0.4
_EVENT = re.compile(rb"id: (\d+)\ndata: ([\w-]+)\n\n")
_EMPTY = ("200 with another type",)
"""Sound answers to a caller that resumes after the last event."""


@attrs.define
class Outcome:
    """What a run gave.

    Attributes:
        faults: What callers must not have received.
        complete: Number of complete streams.
        resumed: Number of those with events of several runs.
        broken: Number of streams that visibly broke off.
        other: Number of answers other than a stream, or of none.
        exceptions: Number of exceptions of the instance.
    """

    faults: list[str] = attrs.field(factory=list)
    complete: int = 0
    resumed: int = 0
    broken: int = 0
    other: int = 0
    exceptions: int = 0


class RandomAnswers:
    """Draws the answers of targets."""

    def __init__(self, rng):
        self._rng = rng
        self.runs = {}

    def script(self, request):
        """Returns the steps of an answer."""
        rng = self._rng
        request_id = request.header("x-cardamomfork-request-id")
        run = self.runs[request_id] = self.runs.get(request_id, 0) + 1
        is_resuming = bool(request.header("last-event-id"))
        if rng.random() < (0.5 if is_resuming and run > 1 else 0.1):
            steps = self._draw_error(request, is_resuming and run > 1)
        else:
            label = f"{request_id}-{run}".encode()
            steps = [self._make_stream(request, label)]
        return self._break_off(steps)

    def _draw_error(self, request, may_be_success):
        names = [
            name
            for name in broken_answers.FAULTY
            if name not in _EMPTY
            and (may_be_success or not name.startswith("200"))
        ]
        return broken_answers.FAULTY[self._rng.choice(sorted(names))](request)

    def _make_stream(self, request, label):
        first = broken_answers.first_id(request)
        events = [
            broken_answers.make_event(number, label)
            for number in range(first, TOTAL + 1)
        ]
        body = b"".join(events)
        if self._rng.random() < 0.2:
            framing = b"content-length: %d" % len(body)
            return broken_answers.start(request, framing) + body
        data = broken_answers.start(request)
        while body:
            size = self._rng.randint(1, len(body))
            data += broken_answers.chunk(body[:size])
            body = body[size:]
        return data + b"0\r\n\r\n"

    def _break_off(self, steps):
        """Splits the bytes of an answer; cuts most of them at random."""
        rng = self._rng
        end = []
        if rng.random() < 0.6:
            data = b"".join(one for one in steps if isinstance(one, bytes))
            is_unframed = b"\r\nx-a: b\r\n" in data
            steps = [data[: rng.randint(0, len(data))]]
            end = [
                rng.choice(
                    (
                        scripted_target.Action.RESET,
                        scripted_target.Action.HANG,
                        scripted_target.Action.CLOSE,
                    )[: 2 if is_unframed else 3]
                )
            ]
        result = []
        for one in steps:
            if isinstance(one, bytes) and len(one) < broken_answers.LONG:
                at = rng.randint(0, len(one))
                result += [one[:at], rng.uniform(0.0, 0.05), one[at:]]
            else:
                result.append(one)
        return [*result, rng.uniform(0.0, 0.03), *end]


class RandomRun:
    """One run of a seed."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._is_over_peer = self._rng.random() < 0.5
        self._kills_entry = self._rng.random() < 0.3
        self.outcome = Outcome()

    async def run(self):
        """Sends the requests while targets and instances end."""
        answers = RandomAnswers(self._rng)
        async with contextlib.AsyncExitStack() as stack:
            targets = [
                await stack.enter_async_context(
                    scripted_target.ScriptedTarget(answers.script)
                )
                for _ in range(TARGETS)
            ]
            links, peers = None, []
            if self._is_over_peer:
                records = [
                    gateway_parts.make_record(number, port=target.port)
                    for number, target in enumerate(targets)
                ]
                isolated, peers = await stack.enter_async_context(
                    forwarding_peers.running(records, ("one", "two"))
                )
                links = isolated.paths
            fixture = test_gateway_forwarding.ForwarderFixture(
                targets, links=links
            )
            self._raise_budget(fixture)
            entry = broken_answers.Entry(
                fixture.forwarder,
                fleet.RepeatPolicy.STREAM,
                max_attempts=MAX_ATTEMPTS,
            )
            await stack.enter_async_context(entry.server.running())
            async with anyio.create_task_group() as tasks:
                for number in range(REQUESTS):
                    tasks.start_soon(self._request, entry, number)
                tasks.start_soon(self._kill, targets, peers, entry)
            fixture.pool.close()
            self.outcome.exceptions = len(entry.errors)
            self.outcome.faults += [repr(one) for one in entry.errors]

    def _raise_budget(self, fixture):
        budget = retry_budget.RetryBudget(
            gateway_parts.make_settings(retry_ratio=10.0, retry_reserve=1000.0),
            -math.inf,
        )
        fixture.forwarder._retry_budget = budget
        fixture.forwarder._decider = retrying.RetryDecider(
            budget, fixture.guard, time.monotonic
        )

    async def _kill(self, targets, peers, entry):
        rng = self._rng
        for _ in range(KILLS):
            await asyncio.sleep(rng.uniform(0.0, MAX_START_S / 2))
            rng.choice(targets).abort_connections()
        if peers:
            await asyncio.sleep(rng.uniform(0.0, MAX_START_S / 4))
            peers[0].server.abort()
        if self._kills_entry:
            await asyncio.sleep(rng.uniform(0.0, MAX_START_S / 4))
            entry.server.abort()

    async def _request(self, entry, number):
        rng = random.Random(self._rng.random())
        case = broken_answers.Case(
            "random",
            "500",
            self._is_over_peer,
            last_event_id=rng.choice((0, 0, 0, 2)),
            version=rng.choice(("1.1", "1.1", "1.1", "1.0")),
        )
        request_id = f"r1q{number}"
        await asyncio.sleep(rng.uniform(0.0, MAX_START_S))
        try:
            received = await broken_answers.read_answer(
                entry.server.port,
                version=case.version,
                last_event_id=case.last_event_id,
                request_id=request_id,
            )
        except OSError:
            self.outcome.other += 1
            return
        except TimeoutError:
            self.outcome.faults.append(f"{request_id}: no end")
            return
        faults = self._check(received, case, request_id.encode())
        self.outcome.faults += [
            f"{request_id} {case.version} {case.last_event_id}: {one}:"
            f" {received.raw[-400:]!r}"
            for one in faults
        ]

    def _check(self, received, case, request_id):
        """Returns what is wrong with an answer, and counts it."""
        if b"\r\n\r\n" not in received.raw:
            self.outcome.other += 1
            return []
        try:
            status, _, body, is_complete = broken_answers.decode_answer(
                received
            )
        except ValueError as error:
            return [f"not one answer: {error}"]
        if status != 200:
            self.outcome.other += 1
            return []
        if broken_answers.FOREIGN in received.raw:
            return ["bytes of another answer"]
        faults = []
        events = _EVENT.findall(body)
        rest = _EVENT.sub(b"", body)
        if rest and (is_complete or case.version == "1.1"):
            faults.append(f"bytes that are no whole event: {rest[:80]!r}")
        ids = [int(event_id) for event_id, _ in events]
        first = case.last_event_id + 1
        if ids != list(range(first, first + len(ids))):
            faults.append(f"events {ids}")
        runs = [data.rpartition(b"-") for _, data in events]
        if {one[0] for one in runs} - {request_id}:
            faults.append("events of another request")
        if [int(one[2]) for one in runs] != sorted(int(one[2]) for one in runs):
            faults.append("events of runs in another order")
        if is_complete and ids[-1:] != [TOTAL]:
            faults.append(f"complete after {ids}")
        self.outcome.complete += is_complete
        self.outcome.resumed += is_complete and len({x[2] for x in runs}) > 1
        self.outcome.broken += not is_complete
        return faults


def play(seed):
    """Plays a seed; returns its outcome."""
    run = RandomRun(seed)
    with (
        mock.patch.object(forwarding, "MIN_IDLE_TIMEOUT_S", IDLE_TIMEOUT_S),
        mock.patch.object(forwarding, "IDLE_TIMEOUT_FACTOR", 0.0),
    ):
        anyio.run(run.run)
    return run.outcome


def main():
    """Runs seeds; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    logger.remove()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        outcome = play(seed)
        counts = attrs.asdict(outcome)
        del counts["faults"]
        print(seed, counts, flush=True)
        for fault in outcome.faults:
            print(f"  {fault}", flush=True)
        failed += bool(outcome.faults)
    print(f"{failed} of {options.seeds} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
