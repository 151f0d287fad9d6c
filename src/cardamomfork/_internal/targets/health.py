"""Tracks the health of targets: trust after faults, weight after slowdowns.

A fault lowers a target's trust at once. The target is then sent only
single requests, after a delay that doubles with each further fault, until
successes have restored its trust. A gradual slowdown lowers its weight in
proportion. It is measured as the drift of the ratio of actual to expected time
from the target's own baseline, minus the median drift of the pool.
"""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Sequence

RECENT_SAMPLES = 20
BASELINE_TIME_CONSTANT_S = 3600.0
MIN_SAMPLES = 50
MAX_LOG_RATIO_STEP = 0.5
"""Largest deviation of one answer from the recent average, as a logarithm."""
TOLERATED_DRIFT = 0.04
"""Excess drift over the pool that does not lower the weight, as a logarithm."""
MIN_WEIGHT_DRIFT = 0.4
"""Excess drift at which the weight reaches `MIN_WEIGHT`, as a logarithm."""
MIN_WEIGHT = 0.1
MAX_LOST_WEIGHT_FRACTION = 0.3
FIRST_PROBE_DELAY_S = 0.5
MAX_PROBE_DELAY_S = 30.0
TRUST_FACTOR_PER_FAULT = 0.3
RECOVERED_TRUST = 0.95
TRUST_GAIN_PER_SUCCESS = 0.35
DEFAULT_REFUSAL_PAUSE_S = 0.1

_TRUST_LOWERING_FAULTS = frozenset(
    {
        targets.FaultKind.UNREACHABLE,
        targets.FaultKind.LOST,
        targets.FaultKind.SILENT,
        targets.FaultKind.GARBLED,
    }
)


@attrs.define
class Health:
    """Health of one target, derived from its answers.

    Attributes:
        trust: 1.0 without faults; a target below `RECOVERED_TRUST` is probed.
        probe_at: Monotonic time in seconds from which the target may be sent
            requests again.
        recent_log_ratio: Average log(actual/expected) time of the latest
            answers.
        baseline_log_ratio: The same average over the last hour.
        samples: Number of answers observed.
        weight: Fraction of the target's time that may be used, 0 to 1.
    """

    trust: float = 1.0
    probe_at: float = 0.0
    recent_log_ratio: float = 0.0
    baseline_log_ratio: float = 0.0
    samples: int = 0
    weight: float = 1.0
    _probe_delay_s: float = FIRST_PROBE_DELAY_S
    _sampled_at: float = 0.0

    @property
    def ratio(self) -> float:
        """Ratio of the actual time to the expected time."""
        return math.exp(self.recent_log_ratio)

    @property
    def is_probed(self) -> bool:
        """Whether the target is sent only one request at a time."""
        return self.trust < RECOVERED_TRUST

    @property
    def drift(self) -> float:
        """Slowdown relative to the target's own baseline, as a logarithm."""
        return (
            self.recent_log_ratio - self.baseline_log_ratio
            if self.samples >= MIN_SAMPLES
            else 0.0
        )

    def record_ratio(self, ratio: float, now: float) -> None:
        """Records the ratio of an answer's actual time to its expected time."""
        log_ratio = math.log(ratio)
        self.samples += 1
        rate = max(1.0 / self.samples, 1.0 / RECENT_SAMPLES)
        step = min(
            max(log_ratio - self.recent_log_ratio, -MAX_LOG_RATIO_STEP),
            MAX_LOG_RATIO_STEP,
        )
        self.recent_log_ratio += rate * step
        if self.samples <= MIN_SAMPLES:
            self.baseline_log_ratio = self.recent_log_ratio
        else:
            baseline_update_rate = 1.0 - math.exp(
                (self._sampled_at - now) / BASELINE_TIME_CONSTANT_S
            )
            self.baseline_log_ratio += baseline_update_rate * (
                self.recent_log_ratio - self.baseline_log_ratio
            )
        self._sampled_at = now

    def record_success(self) -> None:
        """Records an answer without a fault."""
        if not self.is_probed:
            return
        self.trust = min(self.trust + TRUST_GAIN_PER_SUCCESS, 1.0)
        self._probe_delay_s = FIRST_PROBE_DELAY_S

    def record_fault(self, fault: targets.TargetFault, now: float) -> None:
        """Records a fault.

        A refusal only delays the next request; a rejection has no effect.
        """
        if fault.kind is targets.FaultKind.REFUSED:
            pause_s = fault.retry_after_s or DEFAULT_REFUSAL_PAUSE_S
            self.probe_at = max(
                self.probe_at, now + min(pause_s, MAX_PROBE_DELAY_S)
            )
            return
        if fault.kind not in _TRUST_LOWERING_FAULTS:
            return
        self.trust *= TRUST_FACTOR_PER_FAULT
        self.probe_at = max(self.probe_at, now + self._probe_delay_s)
        self._probe_delay_s = min(self._probe_delay_s * 2.0, MAX_PROBE_DELAY_S)


def update_weights(pool: Sequence[Health]) -> None:
    """Sets the weights of a pool's targets from their drifts.

    The total weight lost is at most `MAX_LOST_WEIGHT_FRACTION` of the pool.
    """
    if not pool:
        return
    pool_drift = max(statistics.median(health.drift for health in pool), 0.0)
    lost_weight = 0.0
    for health in pool:
        health.weight = _weight_for_drift(health.drift - pool_drift)
        lost_weight += 1.0 - health.weight
    max_lost_weight = MAX_LOST_WEIGHT_FRACTION * len(pool)
    if lost_weight <= max_lost_weight:
        return
    for health in pool:
        health.weight = (
            1.0 - (1.0 - health.weight) * max_lost_weight / lost_weight
        )


def _weight_for_drift(drift: float) -> float:
    """Returns the weight for a drift in excess of the pool's median."""
    excess = (drift - TOLERATED_DRIFT) / (MIN_WEIGHT_DRIFT - TOLERATED_DRIFT)
    return 1.0 - (1.0 - MIN_WEIGHT) * min(max(excess, 0.0), 1.0)
