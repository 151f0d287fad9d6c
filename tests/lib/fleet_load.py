"""Callers that load a fleet of real processes and check its responses."""

import collections
import json
import random
import threading
import time

import httpcore

from cardamomfork._internal.models import identifiers
from tests.lib import process_fleet

SEED = 7
STREAMING_CALLERS = 6
BOOKING_CALLERS = 4
CLIENT_TIMEOUT_S = 30.0
OUTPUT_WORD_COUNT = 30


class FleetLoad:
    """Threads that stream completions and make bookings until stopped."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ports = list(fleet.ports)
        self.stop = threading.Event()
        self.problems = []
        self.counts = collections.Counter()
        self.booking_outcomes = {}
        self.threads = [
            threading.Thread(
                target=self.send_until_stopped, args=(send_request, number)
            )
            for send_request, count in (
                (self.stream, STREAMING_CALLERS),
                (self.book, BOOKING_CALLERS),
            )
            for number in range(count)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def send_until_stopped(self, send_request, number):
        rng = random.Random(SEED * 100 + number)
        while not self.stop.is_set():
            send_request(rng)

    def post(self, rng, path, body, *headers):
        """Returns status and body, or None if the connection broke."""
        port = rng.choice(self.ports)
        timeout = dict.fromkeys(("connect", "read", "write"), CLIENT_TIMEOUT_S)
        try:
            response = httpcore.request(
                "POST",
                f"http://{process_fleet.HOST}:{port}{path}",
                headers=[
                    ("Authorization", f"Bearer {self.fleet.key}"),
                    ("Request-Timeout", "8"),
                    *headers,
                ],
                content=json.dumps(body).encode(),
                extensions={"timeout": timeout},
            )
        except httpcore.TimeoutException:
            self.problems.append(f"{path} on port {port} timed out")
            return None
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.counts["cut"] += 1
            time.sleep(0.05)
            return None
        return response.status, response.content

    def stream(self, rng):
        body = {
            "model": process_fleet.MODEL,
            "prompt": f"board {rng.random()}",
            "max_tokens": OUTPUT_WORD_COUNT,
            "stream": True,
        }
        response = self.post(rng, "/v1/completions", body)
        if response is None:
            return
        status, content = response
        if status != 200:
            self.check_problem(json.loads(content))
        elif content.endswith(b"data: [DONE]\n\n"):
            self.check_complete_stream(content)
        elif b"event: error" in content:
            event = content.decode().rsplit("data: ", 1)[1]
            self.check_problem(json.loads(event))
        else:
            self.counts["cut stream"] += 1

    def check_complete_stream(self, content):
        events = content.decode().split("\n\n")
        data = [e[6:] for e in events if e.startswith("data: {")]
        text = "".join(json.loads(d)["choices"][0]["text"] for d in data)
        self.counts["whole"] += 1
        if text != "".join(f"word{n} " for n in range(OUTPUT_WORD_COUNT)):
            self.problems.append(f"incomplete or altered stream: {text!r}")

    def check_problem(self, problem):
        outcome = problem.get("outcome") or problem["error"].get("outcome")
        self.counts[f"stream {outcome}"] += 1
        if outcome not in ("not_run", "failed", "unknown"):
            self.problems.append(f"no outcome in {problem}")

    def book(self, rng):
        key = identifiers.new_time_ordered_id()
        self.booking_outcomes[key] = outcomes = []
        for _ in range(3):
            response = self.post(
                rng,
                "/v1/services/desk/calls",
                {"booking": key},
                ("Idempotency-Key", key),
            )
            if response is None:
                outcomes.append("cut")
                continue
            status, content = response
            parsed = json.loads(content)
            outcomes.append("done" if status == 200 else parsed["outcome"])
            self.counts[f"booking {outcomes[-1]}"] += 1


def check_bookings(case, fleet, load):
    """Checks that bookings ran at most once, as their outcomes say.

    A booking with the outcome "done" ran once; one whose outcomes are all
    "not_run" did not run.
    """
    run_counts = collections.Counter(row["booking"] for row in fleet.executions)
    case.assertEqual([key for key, n in run_counts.items() if n > 1], [])
    for key, outcomes in load.booking_outcomes.items():
        with case.subTest(booking=key, outcomes=outcomes):
            if "done" in outcomes:
                case.assertEqual(run_counts[key], 1)
            if outcomes and set(outcomes) == {"not_run"}:
                case.assertEqual(run_counts[key], 0)
