"""Decides how soon peers must know of a job's changes.

The load addressed is long prompts that arrive within milliseconds of each
other at different instances of a large fleet, after a phase of short prompts.
Each long prompt is read by the few engines that are idle, so two instances
that haven't heard of each other choose the same ones, and both prompts are
late. News of jobs whose prompt several engines read is therefore not gathered
with other news. There are few of these jobs, so they add few digests.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.state import load_view


class Urgency(enum.Enum):
    """How soon peers must know of a change."""

    RELAXED = enum.auto()
    """Later than placements, as it only frees capacity."""
    URGENT = enum.auto()
    """Soon, with the other changes of a few milliseconds."""
    IMMEDIATE = enum.auto()
    """At once."""


def urgency_of_start(job: load_view.Job) -> Urgency:
    """Returns how soon peers must know that a job has been placed."""
    return Urgency.IMMEDIATE if job.parts else Urgency.URGENT


def urgency_of_release(job: load_view.Job | None) -> Urgency:
    """Returns how soon peers must know what a job has freed.

    Args:
        job: The job whose prefill or answer has ended, or None if it isn't
            known any more.
    """
    if job is not None and job.parts:
        return Urgency.URGENT
    return Urgency.RELAXED
