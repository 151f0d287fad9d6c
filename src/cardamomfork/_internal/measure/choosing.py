"""Processor time of the choice of a target, by number of targets."""

from __future__ import annotations

import time

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.measure import engine_simulation
from cardamomfork._internal.measure import placing
from cardamomfork._internal.measure import reports

ENGINE_COUNTS = (24, 82, 195, 340, 3500)
JOBS_PER_ENGINE = 3
INSTANCE_COUNT = 195
SHORT_PROMPT_TOKENS = 5000
LONG_PROMPT_TOKENS = 220_000
ROUNDS = 200
SMALLEST_ROUNDS = 5
NOW = 100.0


def measure(options: reports.Options) -> reports.Report:
    """Measures a short and a long prompt at each size."""
    counts = ENGINE_COUNTS[:2] if options.smallest else ENGINE_COUNTS
    rounds = SMALLEST_ROUNDS if options.smallest else ROUNDS
    samples = [
        (
            count,
            *(
                _measure_choice(count, tokens, objective_s, rounds)
                for tokens, objective_s in (
                    (SHORT_PROMPT_TOKENS, 0.4),
                    (LONG_PROMPT_TOKENS, 4.0),
                )
            ),
        )
        for count in counts
    ]
    return reports.Report(
        "choosing",
        (
            reports.Table(
                f"ms to choose among engines with {JOBS_PER_ENGINE} jobs each",
                (
                    "engines",
                    f"{SHORT_PROMPT_TOKENS} tokens",
                    f"{LONG_PROMPT_TOKENS} tokens",
                ),
                tuple(
                    (f"{count}", f"{short_ms:.2f}", f"{long_ms:.2f}")
                    for count, short_ms, long_ms in samples
                ),
            ),
            reports.Slope(
                "ms to choose for a short prompt",
                "engines",
                tuple((float(count), short) for count, short, _ in samples),
            ),
            reports.Slope(
                "ms to choose for a long prompt",
                "engines",
                tuple((float(count), long) for count, _, long in samples),
            ),
        ),
    )


def _measure_choice(
    engines: int, tokens: int, objective_s: float, rounds: int
) -> float:
    """Returns the processor time of a choice in milliseconds."""
    simulated_fleet = engine_simulation.Fleet(
        placing.ENGINE_COST_MODEL, engines, INSTANCE_COUNT, seed=1
    )
    for number in range(engines * JOBS_PER_ENGINE):
        simulated_fleet.load.start(
            load_view.Job(
                f"j{number}",
                f"t{number % engines}",
                (),
                SHORT_PROMPT_TOKENS,
                1600,
                0.3,
                1.0,
                reads_until=NOW - 1.0,
                is_writing=True,
                ends_at=NOW + 1.0,
            )
        )
    demand = demands.Demand(
        "new", simulated_fleet.service, tokens, 1600, 0.3, objective_s, 10.0
    )
    simulated_fleet.placer.choose(demand, NOW)
    started_at = time.process_time()
    for _ in range(rounds):
        simulated_fleet.placer.choose(demand, NOW)
    return (time.process_time() - started_at) / rounds * 1000
