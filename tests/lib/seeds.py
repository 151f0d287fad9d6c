"""Hypothesis settings that give the same verdict on every run."""

import hypothesis

STEADY = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
