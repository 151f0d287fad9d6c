"""How far a target can be trusted: faults at once, slow decline by degrees.

A fault lowers trust quickly; the target is then probed with single requests,
further and further apart, until one succeeds. Slow decline is a drift of the
ratio of actual to expected time against the target's own past, less the drift
that its peers show too; it costs weight by degrees.
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
PAST_TIME_S = 3600.0
MIN_SAMPLES = 50
MAX_STEP = 0.5
"""Most that one answer counts against the recent ones, as a logarithm."""
TOLERATED_DRIFT = 0.04
FULL_DRIFT = 0.4
MIN_WEIGHT = 0.1
MAX_LOST_SHARE = 0.3
FIRST_PROBE_S = 0.5
MAX_PROBE_S = 30.0
FAULT_TRUST = 0.3
RECOVERED_TRUST = 0.95
RECOVERY = 0.35
DEFAULT_PAUSE_S = 0.1

_BLAMED = frozenset(
    {
        targets.FaultKind.UNREACHABLE,
        targets.FaultKind.LOST,
        targets.FaultKind.SILENT,
        targets.FaultKind.GARBLED,
    }
)


@attrs.define
class Health:
    """What one target's answers say of it.

    Attributes:
        trust: 1.0 without faults; below `RECOVERED_TRUST` it is probed.
        probe_at: When it may get work again, monotonic seconds.
        recent: Drift of log(actual/expected) over its last answers.
        past: The same over the last hour.
        samples: Answers seen.
        weight: Share of its time that it is given work for, 0 to 1.
    """

    trust: float = 1.0
    probe_at: float = 0.0
    recent: float = 0.0
    past: float = 0.0
    samples: int = 0
    weight: float = 1.0
    _probe_s: float = FIRST_PROBE_S
    _sampled_at: float = 0.0

    @property
    def ratio(self) -> float:
        """Actual time over the time expected of its peers."""
        return math.exp(self.recent)

    @property
    def is_probed(self) -> bool:
        """Whether it gets single requests only."""
        return self.trust < RECOVERED_TRUST

    @property
    def drift(self) -> float:
        """How much slower it is than in its own past, as a logarithm."""
        return self.recent - self.past if self.samples >= MIN_SAMPLES else 0.0

    def observe(self, ratio: float, now: float) -> None:
        """Takes the ratio of an answer's time to what was expected."""
        value = math.log(ratio)
        self.samples += 1
        rate = max(1.0 / self.samples, 1.0 / RECENT_SAMPLES)
        step = min(max(value - self.recent, -MAX_STEP), MAX_STEP)
        self.recent += rate * step
        if self.samples <= MIN_SAMPLES:
            self.past = self.recent
        else:
            share = 1.0 - math.exp((self._sampled_at - now) / PAST_TIME_S)
            self.past += share * (self.recent - self.past)
        self._sampled_at = now

    def succeed(self) -> None:
        """Notes an answer without a fault."""
        if not self.is_probed:
            return
        self.trust = min(self.trust + RECOVERY, 1.0)
        self._probe_s = FIRST_PROBE_S

    def fail(self, fault: targets.TargetFault, now: float) -> None:
        """Notes a fault; a refusal only pauses, a rejection does nothing."""
        if fault.kind is targets.FaultKind.REFUSED:
            pause = fault.retry_after_s or DEFAULT_PAUSE_S
            self.probe_at = max(self.probe_at, now + min(pause, MAX_PROBE_S))
            return
        if fault.kind not in _BLAMED:
            return
        self.trust *= FAULT_TRUST
        self.probe_at = max(self.probe_at, now + self._probe_s)
        self._probe_s = min(self._probe_s * 2.0, MAX_PROBE_S)


def weigh(pool: Sequence[Health]) -> None:
    """Sets the weights of a pool's targets from their drifts.

    The weight lost in all stays under `MAX_LOST_SHARE` of the pool.
    """
    if not pool:
        return
    common = max(statistics.median(health.drift for health in pool), 0.0)
    lost = 0.0
    for health in pool:
        health.weight = _weight(health.drift - common)
        lost += 1.0 - health.weight
    allowed = MAX_LOST_SHARE * len(pool)
    if lost <= allowed:
        return
    for health in pool:
        health.weight = 1.0 - (1.0 - health.weight) * allowed / lost


def _weight(drift: float) -> float:
    """Returns the weight that a drift beyond the peers' leaves."""
    over = (drift - TOLERATED_DRIFT) / (FULL_DRIFT - TOLERATED_DRIFT)
    return 1.0 - (1.0 - MIN_WEIGHT) * min(max(over, 0.0), 1.0)
