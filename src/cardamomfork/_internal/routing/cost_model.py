"""Estimates the cost of requests on the engines of one pool.

The model is fitted online to observed times: prefill time per token by prompt
length, the slowdown of prefill by batch size, and the generation time. It
describes a typical engine of the pool; the speed ratio of a single engine is
part of that engine's health.
"""

from __future__ import annotations

import math

import attrs

MIN_BAND_LOG2 = 8
"""Binary logarithm of the shortest prompt length band, in tokens."""
MAX_BAND_LOG2 = 20
"""Binary logarithm of the longest prompt length band, in tokens."""
PRIOR_S_PER_TOKEN = 1.0 / 40_000.0
PRIOR_BATCH_SLOPE = 0.004
"""Relative increase of prefill time for each sequence in the batch."""
MAX_BATCH_SLOPE = 0.03
LEARNING_RATE = 0.05
"""Weight of a new sample in the moving averages."""
MIN_BAND_SAMPLES = 5
"""Samples after which a band's cost is copied to longer bands, and no longer
replaced by that of a shorter one."""
PRIOR_GENERATED_TOKENS = 200.0
PRIOR_STEP_S = 0.02
PRIOR_CALL_S = 0.05
MIN_RATIO = 0.2
MAX_RATIO = 5.0
USUAL_BATCH_RATE = 0.02
"""Weight of a new sample in the moving average of the batch size."""
SLOPE_DECAY = 0.9995
"""Factor on earlier samples of the regression for each new one."""
MIN_BATCH_VARIATION = 20_000.0
"""Sum of squared batch deviations below which no slope is estimated."""


@attrs.define
class _BatchRegression:
    """Regression of prefill time on the deviation of the batch size.

    The regression uses deviations from a moving average, because the cost per
    token already follows slow changes of the average batch size.

    Attributes:
        usual: Moving average of the batch size.
        sum_xx: Decayed sum of squared deviations.
        sum_xy: Decayed sum of deviations times log ratios.
    """

    usual: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def add(self, running: int, log_ratio: float) -> None:
        """Adds a sample.

        Args:
            running: Size of the batch.
            log_ratio: Logarithm of the prefill time relative to the expected
                time in an empty batch.
        """
        self.usual += USUAL_BATCH_RATE * (running - self.usual)
        x = running - self.usual
        self.sum_xx = self.sum_xx * SLOPE_DECAY + x * x
        self.sum_xy = self.sum_xy * SLOPE_DECAY + x * log_ratio

    def slope(self) -> float | None:
        """Returns the relative increase per sequence; None if not known."""
        if self.sum_xx < MIN_BATCH_VARIATION:
            return None
        return min(max(self.sum_xy / self.sum_xx, 0.0), MAX_BATCH_SLOPE)


class CostModel:
    """Predicts request times on a typical engine of a pool."""

    def __init__(self) -> None:
        """Initializes the model with prior values."""
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
        """Average time of a call to a plain service, in seconds."""
        return self._call_s

    def batch_factor(self, running: float) -> float:
        """Returns the factor by which a batch of that size slows prefill."""
        return 1.0 + self._batch_slope * running

    def prefill_s(self, tokens: float) -> float:
        """Returns the prefill time of uncached tokens in an empty batch."""
        band, fraction = _locate_band(tokens)
        low = self._band_s_per_token[band]
        return tokens * (
            low + fraction * (self._band_s_per_token[band + 1] - low)
        )

    def generation_s(self, max_tokens: int) -> float:
        """Returns the expected time from first to last token, in seconds."""
        return min(float(max_tokens), self._generated_tokens) * self._step_s

    def record_prefill(
        self, tokens: float, running: int, seconds: float
    ) -> float:
        """Updates the model with an observed prefill.

        Args:
            tokens: Uncached prompt tokens.
            running: Size of the batch that decoded meanwhile.
            seconds: Observed prefill time.

        Returns:
            The ratio of the observed to the expected time. The expected time
            follows the geometric mean of all engines of the pool, so the
            ratios of all engines can't drift in the same direction.
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
        """Updates the model with an answer that was generated to its end."""
        if tokens < 2:
            return
        rate = LEARNING_RATE
        self._generated_tokens += rate * (tokens - self._generated_tokens)
        self._step_s += rate * (seconds / (tokens - 1) - self._step_s)

    def record_call(self, seconds: float) -> float:
        """Updates the model with a plain call; returns observed/expected."""
        ratio = min(max(seconds / self._call_s, MIN_RATIO), MAX_RATIO)
        self._call_s += LEARNING_RATE * (seconds - self._call_s)
        return ratio

    def _update_band(self, band: int, log_ratio: float, weight: float) -> None:
        """Updates a band's cost per token; early samples weigh more."""
        self._band_samples[band] += 1
        rate = max(LEARNING_RATE, 1.0 / self._band_samples[band]) * weight
        self._band_s_per_token[band] *= math.exp(rate * log_ratio)
        if self._band_samples[band] == MIN_BAND_SAMPLES:
            self._extend_to_longer_bands(band)

    def _extend_to_longer_bands(self, band: int) -> None:
        """Copies a band's cost to longer bands until one has enough samples."""
        for longer in range(band + 1, len(self._band_s_per_token)):
            if self._band_samples[longer] >= MIN_BAND_SAMPLES:
                return
            self._band_s_per_token[longer] = self._band_s_per_token[band]


def _locate_band(tokens: float) -> tuple[int, float]:
    """Returns the band below a prompt length and the position to the next.

    Returns:
        The index of the band, and the weight of the next band from 0 to 1 on
        the logarithmic scale.
    """
    position = math.log2(max(tokens, 1.0)) - MIN_BAND_LOG2
    position = min(max(position, 0.0), float(MAX_BAND_LOG2 - MIN_BAND_LOG2))
    band = int(position)
    return band, position - band
