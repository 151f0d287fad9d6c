"""What each simulated instance knows of the others' jobs, from digests.

A digest holds all jobs of its sender. One that is lost is made good by the
next one. All peers receive a digest at the same time, or none does.
"""

from __future__ import annotations

import collections
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    import random

    from cardamomfork._internal.gateway.state import load_view


@attrs.frozen
class DigestTiming:
    """When digests are sent and received; all times in seconds.

    Attributes:
        urgent_s: Time for which an instance gathers placements.
        relaxed_s: Time for which it gathers what only frees slots.
        interval_s: Longest time between two digests of a busy instance.
        min_way_s: Shortest time that a digest needs to reach peers.
        max_way_s: Longest time that a digest needs to reach peers.
        split_urgent_s: As `urgent_s`, for prompts that several engines read;
            None if they are no exception.
        split_relaxed_s: As `relaxed_s`, for the same.
        lost_fraction: Fraction of the digests that are lost.
    """

    urgent_s: float = 0.006
    relaxed_s: float = 0.15
    interval_s: float = 0.5
    min_way_s: float = 0.005
    max_way_s: float = 0.010
    split_urgent_s: float | None = None
    split_relaxed_s: float | None = None
    lost_fraction: float = 0.0


class InstanceViews:
    """The jobs of each instance, and what its peers know of them."""

    def __init__(
        self,
        load: load_view.LoadView,
        timing: DigestTiming,
        rng: random.Random,
        schedule: Callable[[float, Callable[..., None], Any], None],
    ) -> None:
        """Initializes instances without jobs.

        Args:
            load: The view of the instances, which holds what peers know.
            timing: Timing of the digests.
            rng: Random generator of delays and losses.
            schedule: Schedules a call with an argument in virtual time.
        """
        self._load = load
        self._timing = timing
        self._rng = rng
        self._schedule = schedule
        self._jobs: collections.defaultdict[int, dict[str, load_view.Job]] = (
            collections.defaultdict(dict)
        )
        self._known: dict[int, tuple[load_view.Job, ...]] = {}
        self._sends_at: dict[int, float] = {}
        self._received_digest: dict[int, int] = {}
        self._sent_digests = 0

    @contextlib.contextmanager
    def seen_by(self, instance: int, now: float) -> Iterator[None]:
        """Shows an instance its own jobs as they are now."""
        own = tuple(self._jobs[instance].values())
        self._load.replace_peer_jobs(str(instance), own, now)
        try:
            yield
        finally:
            self._load.replace_peer_jobs(
                str(instance), self._known.get(instance, ()), now
            )

    def start(self, instance: int, job: load_view.Job, now: float) -> None:
        """Adds a job of an instance."""
        self._jobs[instance][job.job_id] = job
        gather_s = self._timing.urgent_s
        if job.parts and self._timing.split_urgent_s is not None:
            gather_s = self._timing.split_urgent_s
        self._send_by(instance, now + gather_s)

    def mark_writing(self, instance: int, job_id: str, now: float) -> None:
        """Records that the answer of a job has begun."""
        job = self._jobs[instance][job_id]
        job.is_writing = True
        job.reads_until = min(job.reads_until, now)
        self._send_by(instance, now + self._relaxed_s(job))

    def end(self, instance: int, job_id: str, now: float) -> None:
        """Removes a job of an instance."""
        job = self._jobs[instance].pop(job_id)
        self._send_by(instance, now + self._relaxed_s(job))

    def _relaxed_s(self, job: load_view.Job) -> float:
        """Returns the time for which what a job frees is gathered."""
        if job.parts and self._timing.split_relaxed_s is not None:
            return self._timing.split_relaxed_s
        return self._timing.relaxed_s

    def _send_by(self, instance: int, at: float) -> None:
        """Schedules a digest, unless one is sent before."""
        if at < self._sends_at.get(instance, float("inf")):
            self._sends_at[instance] = at
            self._schedule(at, self._send, (instance, at))

    def _send(self, now: float, digest: tuple[int, float]) -> None:
        """Sends a digest, unless an earlier one has taken its place."""
        instance, at = digest
        if self._sends_at.get(instance) != at:
            return
        del self._sends_at[instance]
        if self._jobs[instance]:
            self._send_by(instance, now + self._timing.interval_s)
        if self._rng.random() < self._timing.lost_fraction:
            return
        self._sent_digests += 1
        jobs = tuple(attrs.evolve(one) for one in self._jobs[instance].values())
        way_s = self._rng.uniform(
            self._timing.min_way_s, self._timing.max_way_s
        )
        self._schedule(
            now + way_s, self._receive, (instance, self._sent_digests, jobs)
        )

    def _receive(
        self, now: float, digest: tuple[int, int, tuple[load_view.Job, ...]]
    ) -> None:
        """Replaces what peers know of an instance, unless it is newer."""
        instance, number, jobs = digest
        if number <= self._received_digest.get(instance, 0):
            return
        self._received_digest[instance] = number
        self._known[instance] = jobs
        self._load.replace_peer_jobs(str(instance), jobs, now)
