"""Callers that load a fleet of real processes and check what they are told."""

import collections
import json
import random
import threading
import time

import httpcore

from cardamomfork._internal.models import identifiers
from tests.lib import process_fleet

SEED = 7
STREAMERS = 6
BOOKERS = 4
CLIENT_TIMEOUT_S = 30.0
WORDS = 30


class Load:
    """Callers that stream prompts and book calls until told to stop."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ports = list(fleet.ports)
        self.stop = threading.Event()
        self.problems = []
        self.counts = collections.Counter()
        self.told = {}
        self.threads = [
            threading.Thread(target=self.repeat, args=(work, number))
            for work, count in ((self.stream, STREAMERS), (self.book, BOOKERS))
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

    def repeat(self, work, number):
        chance = random.Random(SEED * 100 + number)
        while not self.stop.is_set():
            work(chance)

    def post(self, chance, path, body, *headers):
        """Returns status and body; None if the connection ended."""
        port = chance.choice(self.ports)
        timeout = dict.fromkeys(("connect", "read", "write"), CLIENT_TIMEOUT_S)
        try:
            answer = httpcore.request(
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
            self.problems.append(f"{path} of {port} hung")
            return None
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.counts["cut"] += 1
            time.sleep(0.05)
            return None
        return answer.status, answer.content

    def stream(self, chance):
        body = {
            "model": process_fleet.MODEL,
            "prompt": f"board {chance.random()}",
            "max_tokens": WORDS,
            "stream": True,
        }
        answer = self.post(chance, "/v1/completions", body)
        if answer is None:
            return
        status, content = answer
        if status != 200:
            self.check_problem(json.loads(content))
        elif content.endswith(b"data: [DONE]\n\n"):
            self.check_whole(content)
        elif b"event: error" in content:
            event = content.decode().rsplit("data: ", 1)[1]
            self.check_problem(json.loads(event))
        else:
            self.counts["cut stream"] += 1

    def check_whole(self, content):
        events = content.decode().split("\n\n")
        data = [e[6:] for e in events if e.startswith("data: {")]
        text = "".join(json.loads(d)["choices"][0]["text"] for d in data)
        self.counts["whole"] += 1
        if text != "".join(f"word{n} " for n in range(WORDS)):
            self.problems.append(f"a stream was not whole: {text!r}")

    def check_problem(self, problem):
        outcome = problem.get("outcome") or problem["error"].get("outcome")
        self.counts[f"stream {outcome}"] += 1
        if outcome not in ("not_run", "failed", "unknown"):
            self.problems.append(f"no outcome in {problem}")

    def book(self, chance):
        key = identifiers.new_time_ordered_id()
        self.told[key] = told = []
        for _ in range(3):
            answer = self.post(
                chance,
                "/v1/services/desk/calls",
                {"booking": key},
                ("Idempotency-Key", key),
            )
            if answer is None:
                told.append("cut")
                continue
            status, content = answer
            parsed = json.loads(content)
            told.append("done" if status == 200 else parsed["outcome"])
            self.counts[f"booking {told[-1]}"] += 1


def check_bookings(case, fleet, load):
    """At most one execution each, and what was told of it is true."""
    runs = collections.Counter(row["booking"] for row in fleet.executions)
    case.assertEqual([key for key, n in runs.items() if n > 1], [])
    for key, told in load.told.items():
        with case.subTest(booking=key, told=told):
            if "done" in told:
                case.assertEqual(runs[key], 1)
            if told and set(told) == {"not_run"}:
                case.assertEqual(runs[key], 0)
