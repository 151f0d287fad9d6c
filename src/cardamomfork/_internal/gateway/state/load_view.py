"""The load of each target, from placements of this instance and its peers.

A job is either in prefill (reading its prompt) or in decode (writing its
answer).
"""

from __future__ import annotations

import math

import attrs

MIN_PREFILL_LEFT_S = 0.02
"""Assumed remaining time of a prefill that has just become overdue."""
OVERDUE_PREFILL_GRACE_S = 0.2
"""Time within which peers report that an answer has begun. A prefill that is
overdue for longer was mispredicted, and is assumed to need that time again."""
MAX_JOBS_PER_PEER = 4096
PEER_JOBS_TTL_S = 3.0
"""Jobs of a peer that sends nothing for longer are dropped."""


@attrs.frozen
class Part:
    """Work of a helper target for a job.

    Attributes:
        target_id: The target, which computes a part of the prefill.
        reserved_tokens: Tokens of memory that it holds for the job's prompt.
    """

    target_id: str
    reserved_tokens: int = 0


@attrs.define
class Job:
    """A request that has been sent to a target.

    Attributes:
        job_id: Unique among the jobs of its instance.
        target_id: The target that runs it.
        parts: Work of other targets for it.
        prompt_tokens: Length of its prompt.
        output_tokens: Expected length of its answer.
        max_gap_s: Longest gap between events that is on time.
        value: Value relative to other requests.
        reads_until: Predicted end of its prefill.
        late_at: Time after which its first token is late.
        is_writing: Whether it is in decode.
        ends_at: Predicted end; 0 if there is no prediction.
        account_id: Fingerprint of its client account; 0 if unknown.
    """

    job_id: str
    target_id: str
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    max_gap_s: float
    value: float
    reads_until: float
    late_at: float = math.inf
    is_writing: bool = False
    ends_at: float = 0.0
    account_id: int = 0

    @property
    def primary_tokens(self) -> int:
        """Tokens of memory that it holds on the target that runs it."""
        elsewhere = sum(part.reserved_tokens for part in self.parts)
        return max(self.prompt_tokens + self.output_tokens - elsewhere, 0)

    @property
    def target_ids(self) -> tuple[str, ...]:
        """Ids of all targets that work on it."""
        return (self.target_id, *(part.target_id for part in self.parts))


@attrs.frozen
class Writer:
    """A request that decodes on a target, now or after its prefill.

    Attributes:
        context_tokens: Tokens that it holds in memory at its end.
        max_gap_s: Longest gap between events that is on time.
        value: Value relative to other requests.
    """

    context_tokens: int
    max_gap_s: float
    value: float


@attrs.frozen
class Reader:
    """A request in prefill, which waits for its first token.

    Attributes:
        slack_s: Time by which its prefill may be delayed without loss.
        value: Value relative to other requests.
    """

    slack_s: float
    value: float


@attrs.frozen
class TargetLoad:
    """The load of one target.

    Attributes:
        running: Number of requests that it runs, without those it only helps.
        helping: Number of prefill parts that it computes as a helper.
        reading_left_s: Time until all known prefills are complete.
        readers: Requests in prefill here.
        writers: Requests in decode here, and those that decode here later.
        memory_tokens: Tokens that its requests will hold in memory.
        frees_in_s: Time until the first of its requests ends.
    """

    running: int = 0
    helping: int = 0
    reading_left_s: float = 0.0
    readers: tuple[Reader, ...] = ()
    writers: tuple[Writer, ...] = ()
    memory_tokens: int = 0
    frees_in_s: float = math.inf


IDLE = TargetLoad()


class LoadView:
    """Jobs of this instance and its peers, indexed by target."""

    def __init__(self) -> None:
        """Initializes an empty view."""
        self._local_jobs: dict[str, Job] = {}
        self._peer_jobs: dict[str, tuple[float, tuple[Job, ...]]] = {}
        self._by_target: dict[str, dict[str, Job]] = {}

    @property
    def local_jobs(self) -> tuple[Job, ...]:
        """Jobs of this instance."""
        return tuple(self._local_jobs.values())

    def find_local(self, job_id: str) -> Job | None:
        """Returns a job of this instance, if it is known."""
        return self._local_jobs.get(job_id)

    @property
    def job_count(self) -> int:
        """Number of jobs of this instance and its peers."""
        return len(self._local_jobs) + sum(
            len(jobs) for _, jobs in self._peer_jobs.values()
        )

    def start(self, job: Job) -> None:
        """Adds a job of this instance."""
        self._local_jobs[job.job_id] = job
        self._index(job)

    def mark_writing(self, job_id: str, now: float) -> None:
        """Records that a job's answer has begun."""
        job = self._local_jobs.get(job_id)
        if job is not None:
            job.is_writing = True
            job.reads_until = min(job.reads_until, now)

    def end(self, job_id: str) -> None:
        """Removes a job of this instance."""
        job = self._local_jobs.pop(job_id, None)
        if job is not None:
            self._unindex(job)

    def replace_peer_jobs(
        self, peer_id: str, jobs: tuple[Job, ...], now: float
    ) -> None:
        """Replaces all jobs of a peer."""
        self.drop_peer_jobs(peer_id)
        kept_jobs = jobs[:MAX_JOBS_PER_PEER]
        self._peer_jobs[peer_id] = (now, kept_jobs)
        for job in kept_jobs:
            self._index(job)

    def drop_peer_jobs(self, peer_id: str) -> None:
        """Removes all jobs of a peer."""
        _, jobs = self._peer_jobs.pop(peer_id, (0.0, ()))
        for job in jobs:
            self._unindex(job)

    def expire_peers(self, now: float) -> list[str]:
        """Removes the jobs of stale peers; returns the ids of the peers."""
        stale = [
            peer_id
            for peer_id, (received_at, _) in self._peer_jobs.items()
            if now - received_at > PEER_JOBS_TTL_S
        ]
        for peer_id in stale:
            self.drop_peer_jobs(peer_id)
        return stale

    def count_jobs(self, target_id: str) -> int:
        """Returns the number of jobs that a target works on."""
        return len(self._by_target.get(target_id, ()))

    def count_running(self, target_id: str) -> int:
        """Returns the number of requests that a target runs."""
        return sum(
            1
            for job in self._by_target.get(target_id, {}).values()
            if job.target_id == target_id
        )

    def jobs(self, target_id: str) -> tuple[Job, ...]:
        """Returns the jobs that a target works on."""
        return tuple(self._by_target.get(target_id, {}).values())

    def load(self, target_id: str, now: float) -> TargetLoad:
        """Returns the load of a target."""
        jobs = self._by_target.get(target_id)
        if not jobs:
            return IDLE
        running = helping = memory = 0
        reading_left = 0.0
        frees_in = math.inf
        writers = []
        readers = []
        for job in jobs.values():
            part = next(
                (part for part in job.parts if part.target_id == target_id),
                None,
            )
            if not job.is_writing:
                reading_left = max(reading_left, _prefill_left_s(job, now))
                slack = job.late_at - max(job.reads_until, now)
                readers.append(Reader(slack, job.value))
            if part is not None:
                helping += 0 if job.is_writing else 1
                memory += part.reserved_tokens
                continue
            running += 1
            size = job.primary_tokens
            memory += size
            frees_in = min(frees_in, max(job.ends_at - now, 0.0))
            writers.append(Writer(size, job.max_gap_s, job.value))
        return TargetLoad(
            running,
            helping,
            reading_left,
            tuple(readers),
            tuple(writers),
            memory,
            frees_in,
        )

    def _index(self, job: Job) -> None:
        """Adds a job to the index of each target that works on it."""
        for target_id in job.target_ids:
            self._by_target.setdefault(target_id, {})[job.job_id] = job

    def _unindex(self, job: Job) -> None:
        """Removes a job from the index of its targets."""
        for target_id in job.target_ids:
            jobs = self._by_target.get(target_id, {})
            jobs.pop(job.job_id, None)
            if not jobs:
                self._by_target.pop(target_id, None)


def _prefill_left_s(job: Job, now: float) -> float:
    """Returns the expected time until a job's prefill is complete."""
    remaining_s = job.reads_until - now
    return max(
        remaining_s, -remaining_s - OVERDUE_PREFILL_GRACE_S, MIN_PREFILL_LEFT_S
    )
