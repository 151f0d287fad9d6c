"""Processor time of the data path per relayed token.

Engine, callers and relay run in separate processes on the loopback address.
Each stream carries one event every 32 ms. The processor time of the relay is
read at the start and the end of a window in which all streams run.
"""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure.relaying import engine
from cardamomfork._internal.measure.relaying import gateway

if TYPE_CHECKING:
    from collections.abc import Iterator

STREAMS = (50, 200, 400, 670)
VERDICT_STREAMS = (200, 670)
SMALLEST_STREAMS = 20
RELAY_VARIANTS = ("daemon", "gateway", "raw", "plain")
WINDOW_S = 5.0
SMALLEST_WINDOW_S = 0.5
WARM_UP_S = 0.5
STOP_TIMEOUT_S = 5.0
BOUND_US_PER_TOKEN = 48.0
BOUND_GAP_MS = 1000.0 * engine.TOKEN_INTERVAL_S + 5.0
TARGET_TOKENS_PER_S = 20_900
_PACKAGE = "cardamomfork._internal.measure.relaying"


@attrs.frozen
class Sample:
    """Figures of one relay variant at one number of streams.

    Attributes:
        way: Name of the relay variant.
        streams: Number of concurrent streams.
        us_per_token: Processor time of the relay per token, in microseconds.
        core_fraction: Processor time of the relay as a fraction of one core.
        tokens_per_s: Tokens received by the callers per second.
        p50_ms: Median time between tokens, in milliseconds.
        p95_ms: 95th percentile of the same.
        p99_ms: 99th percentile of the same.
    """

    way: str
    streams: int
    us_per_token: float
    core_fraction: float
    tokens_per_s: float
    p50_ms: float
    p95_ms: float
    p99_ms: float


class _Process:
    """A helper process that answers each input line with a JSON line."""

    def __init__(self, *arguments: str) -> None:
        """Starts the process and waits for its first line.

        Args:
            arguments: Name of the module to run, then its arguments.
        """
        self._process = subprocess.Popen(  # noqa: S603
            [
                sys.executable,
                "-m",
                f"{_PACKAGE}.{arguments[0]}",
                *arguments[1:],
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.first_answer = self._read()

    def ask(self) -> dict[str, Any]:
        """Sends an empty line and returns the answer."""
        assert self._process.stdin is not None  # noqa: S101
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return self._read()

    def stop(self) -> None:
        """Kills the process and waits for its end."""
        self._process.kill()
        self._process.wait(STOP_TIMEOUT_S)

    def _read(self) -> dict[str, Any]:
        """Reads one line of JSON."""
        assert self._process.stdout is not None  # noqa: S101
        answer: dict[str, Any] = json.loads(self._process.stdout.readline())
        return answer


class _RelayProcess:
    """A relay in a helper process."""

    def __init__(self, process: _Process) -> None:
        """Initializes the relay.

        Args:
            process: The running helper process.
        """
        self.port = int(process.first_answer["port"])
        self._process = process

    def cpu_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        return float(self._process.ask()["cpu_s"])


@contextlib.contextmanager
def _run_relay(way: str) -> Iterator[_RelayProcess | gateway.Gateway]:
    """Runs a relay variant and its engine within the context."""
    if way == "gateway":
        with gateway.running() as started:
            yield started
        return
    with (
        _run_process("engine") as engine_process,
        _run_process(
            "relay", way, str(engine_process.first_answer["port"])
        ) as process,
    ):
        yield _RelayProcess(process)


@contextlib.contextmanager
def _run_process(*arguments: str) -> Iterator[_Process]:
    """Runs a helper process within the context."""
    process = _Process(*arguments)
    try:
        yield process
    finally:
        process.stop()


def _measure_sample(way: str, streams: int, window_s: float) -> Sample:
    """Measures one relay variant at one number of streams.

    Raises:
        RuntimeError: A stream ended, or no token arrived.
    """
    with (
        _run_relay(way) as relay,
        _run_process("client", str(relay.port), str(streams)) as client,
    ):
        time.sleep(WARM_UP_S)
        client.ask()  # Resets the counts at the start of the window.
        cpu_s = relay.cpu_s()
        start = time.monotonic()
        time.sleep(window_s)
        cpu_s = relay.cpu_s() - cpu_s
        elapsed_s = time.monotonic() - start
        counts = client.ask()
    if counts["ended"] or not counts["tokens"]:
        raise RuntimeError(
            f"{way}: {counts['ended']} of {streams} streams ended"
        )
    return Sample(
        way=way,
        streams=streams,
        us_per_token=1e6 * cpu_s / counts["tokens"],
        core_fraction=cpu_s / elapsed_s,
        tokens_per_s=counts["tokens"] / elapsed_s,
        p50_ms=counts["p50_ms"],
        p95_ms=counts["p95_ms"],
        p99_ms=counts["p99_ms"],
    )


def measure(options: reports.Options) -> reports.Report:
    """Measures each relay variant at each number of streams."""
    sizes = (SMALLEST_STREAMS,) if options.smallest else STREAMS
    window_s = SMALLEST_WINDOW_S if options.smallest else WINDOW_S
    samples = [
        _measure_sample(way, streams, window_s)
        for streams in sizes
        for way in RELAY_VARIANTS
    ]
    daemon_samples = [sample for sample in samples if sample.way == "daemon"]
    cost = reports.Slope(
        quantity="processor time of the relay, s a second",
        size="tokens a second",
        points=tuple((s.tokens_per_s, s.core_fraction) for s in daemon_samples),
        bound=1.0,
        target_size=TARGET_TOKENS_PER_S,
    )
    return reports.Report(
        "relay",
        (_table(samples), cost, *_describe_verdicts(daemon_samples, samples)),
    )


def _table(samples: list[Sample]) -> reports.Table:
    """Returns a table with one row for each sample."""
    return reports.Table(
        "processor time a relayed token and time between tokens",
        (
            "streams",
            "way",
            "us/token",
            "core",
            "tokens/s",
            "p50 ms",
            "p95 ms",
            "p99 ms",
        ),
        tuple(
            (
                str(s.streams),
                s.way,
                f"{s.us_per_token:.1f}",
                f"{s.core_fraction:.0%}",
                f"{s.tokens_per_s:.0f}",
                f"{s.p50_ms:.1f}",
                f"{s.p95_ms:.1f}",
                f"{s.p99_ms:.1f}",
            )
            for s in samples
        ),
    )


def _describe_verdicts(
    daemon_samples: list[Sample], samples: list[Sample]
) -> list[str]:
    """Describes the verdicts on the bounds, and ratios to the plain relay."""
    verdict_samples = [
        s for s in daemon_samples if s.streams in VERDICT_STREAMS
    ] or daemon_samples
    sizes = ", ".join(str(s.streams) for s in verdict_samples)
    worst_us = max(s.us_per_token for s in verdict_samples)
    worst_p95_ms = max(s.p95_ms for s in verdict_samples)
    daemon_ratios = _cost_ratios("daemon", samples)
    return [
        f"us a token at {sizes} streams: at most {worst_us:.1f}; bound"
        f" {BOUND_US_PER_TOKEN:g}:"
        f" {_verdict_word(worst_us <= BOUND_US_PER_TOKEN)}",
        f"p95 between tokens: at most {worst_p95_ms:.1f} ms; bound"
        f" {BOUND_GAP_MS:g}: {_verdict_word(worst_p95_ms <= BOUND_GAP_MS)}",
        f"the plain way costs {daemon_ratios} times the daemon's, and"
        f" {_cost_ratios('gateway', samples)} times the gateway's (a relay with"
        " a whole core in use joins late tokens, which lowers its cost a"
        " token)",
    ]


def _cost_ratios(way: str, samples: list[Sample]) -> str:
    """Returns the plain relay's cost over a variant's, by streams."""
    plain = {s.streams: s.us_per_token for s in samples if s.way == "plain"}
    return ", ".join(
        f"{plain[s.streams] / s.us_per_token:.1f}"
        for s in samples
        if s.way == way
    )


def _verdict_word(is_met: bool) -> str:
    """Returns the word that reports whether a bound is met."""
    return "met" if is_met else "NOT MET"
