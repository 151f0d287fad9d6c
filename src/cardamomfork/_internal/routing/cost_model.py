"""What a prompt costs on the engines of one pool, learned from its answers.

Three things are learned from what engines did: prefill time a token by prompt
length, how much a fuller batch slows it, and how long answers take. The ratio
of one engine to the pool is kept with the engine.
"""

from __future__ import annotations

import math

import attrs

MIN_BAND_LOG2 = 8
MAX_BAND_LOG2 = 20
PRIOR_S_PER_TOKEN = 1.0 / 40_000.0
PRIOR_BATCH_SLOPE = 0.004
MAX_BATCH_SLOPE = 0.03
LEARNING_RATE = 0.05
MIN_BAND_SAMPLES = 5
PRIOR_GENERATED_TOKENS = 200.0
PRIOR_STEP_S = 0.02
PRIOR_CALL_S = 0.05
MIN_RATIO = 0.2
MAX_RATIO = 5.0
USUAL_BATCH_RATE = 0.02
SLOPE_DECAY = 0.9995
MIN_BATCH_VARIATION = 20_000.0


@attrs.define
class _BatchRegression:
    """Regression of prefill time on how a batch differs from the usual one.

    Only the difference counts, since the cost curve follows slow changes of
    the usual batch by itself.
    """

    usual: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def add(self, running: int, log_ratio: float) -> None:
        """Takes the logarithm of a time over the time in an empty batch."""
        self.usual += USUAL_BATCH_RATE * (running - self.usual)
        x = running - self.usual
        self.sum_xx = self.sum_xx * SLOPE_DECAY + x * x
        self.sum_xy = self.sum_xy * SLOPE_DECAY + x * log_ratio

    def slope(self) -> float | None:
        """Returns the share that a sequence adds; None if not yet known."""
        if self.sum_xx < MIN_BATCH_VARIATION:
            return None
        return min(max(self.sum_xy / self.sum_xx, 0.0), MAX_BATCH_SLOPE)


class CostModel:
    """Predicts times on a typical engine of a pool."""

    def __init__(self) -> None:
        """Starts from the priors."""
        bands = MAX_BAND_LOG2 - MIN_BAND_LOG2 + 2
        self._band_s_per_token = [PRIOR_S_PER_TOKEN] * bands
        self._band_samples = [0] * bands
        self._batch_regression = _BatchRegression()
        self._batch_slope = PRIOR_BATCH_SLOPE
        self._generated_tokens = PRIOR_GENERATED_TOKENS
        self._step_s = PRIOR_STEP_S
        self._call_s = PRIOR_CALL_S

    @property
    def call_s(self) -> float:
        """Time of a plain service's call, in seconds."""
        return self._call_s

    def batch_factor(self, running: float) -> float:
        """Returns how much a batch of that size stretches prefill."""
        return 1.0 + self._batch_slope * running

    def prefill_s(self, tokens: float) -> float:
        """Returns the prefill time of uncached tokens in an empty batch."""
        band, fraction = _locate_band(tokens)
        low = self._band_s_per_token[band]
        return tokens * (
            low + fraction * (self._band_s_per_token[band + 1] - low)
        )

    def generation_s(self, max_tokens: int) -> float:
        """Returns how long a typical answer takes after its first token."""
        return min(float(max_tokens), self._generated_tokens) * self._step_s

    def record_prefill(
        self, tokens: float, running: int, seconds: float
    ) -> float:
        """Learns from a prefill.

        Args:
            tokens: Uncached prompt tokens.
            running: Size of the batch beside it.
            seconds: Time that it took.

        Returns:
            The ratio of the time to what the pool's engines were expected to
            take. The cost is the geometric mean of all engines', so that
            ratios to it cannot drift together.
        """
        expected = self.prefill_s(tokens) * self.batch_factor(running)
        ratio = min(max(seconds / expected, MIN_RATIO), MAX_RATIO)
        band, fraction = _locate_band(tokens)
        log_ratio = math.log(ratio)
        self._update_band(band, log_ratio, 1.0 - fraction)
        self._update_band(band + 1, log_ratio, fraction)
        self._batch_regression.add(
            running, log_ratio + math.log(self.batch_factor(running))
        )
        slope = self._batch_regression.slope()
        if slope is not None:
            self._batch_slope = slope
        return ratio

    def record_generation(self, tokens: int, seconds: float) -> None:
        """Learns from a whole answer."""
        if tokens < 2:
            return
        rate = LEARNING_RATE
        self._generated_tokens += rate * (tokens - self._generated_tokens)
        self._step_s += rate * (seconds / (tokens - 1) - self._step_s)

    def record_call(self, seconds: float) -> float:
        """Learns from a plain service's call; returns actual/expected."""
        ratio = min(max(seconds / self._call_s, MIN_RATIO), MAX_RATIO)
        self._call_s += LEARNING_RATE * (seconds - self._call_s)
        return ratio

    def _update_band(self, band: int, log_ratio: float, weight: float) -> None:
        """Moves a band's cost a token; its first samples move it most."""
        self._band_samples[band] += 1
        rate = max(LEARNING_RATE, 1.0 / self._band_samples[band]) * weight
        self._band_s_per_token[band] *= math.exp(rate * log_ratio)
        if self._band_samples[band] == MIN_BAND_SAMPLES:
            self._extend_to_longer_bands(band)

    def _extend_to_longer_bands(self, band: int) -> None:
        """Gives a band's cost to the longer bands that have no samples."""
        for longer in range(band + 1, len(self._band_s_per_token)):
            if self._band_samples[longer] >= MIN_BAND_SAMPLES:
                return
            self._band_s_per_token[longer] = self._band_s_per_token[band]


def _locate_band(tokens: float) -> tuple[int, float]:
    """Returns the band of a prompt length and the way to the next, 0 to 1."""
    position = math.log2(max(tokens, 1.0)) - MIN_BAND_LOG2
    position = min(max(position, 0.0), float(MAX_BAND_LOG2 - MIN_BAND_LOG2))
    band = int(position)
    return band, position - band
