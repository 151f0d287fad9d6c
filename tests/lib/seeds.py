"""Hypothesis settings that draw the same examples on every run."""

import hypothesis

STEADY = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
