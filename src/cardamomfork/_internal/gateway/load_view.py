"""What runs on each target, as this instance and its peers have placed it."""

from __future__ import annotations

import math

import attrs

MIN_PREFILL_LEFT_S = 0.02
"""Reading that has just become overdue counts as this much still to do."""
OVERDUE_PREFILL_GRACE_S = 0.2
"""Time in which peers are told that an answer has begun. Reading that is
overdue for longer was mispredicted, and counts as lasting for as long again."""
MAX_JOBS_PER_PEER = 4096
PEER_JOBS_TTL_S = 3.0
"""Placements of an instance that is silent for longer don't count."""


@attrs.frozen
class Part:
    """What another target does for a job.

    Attributes:
        target_id: The target, which reads a part of the prompt.
        reserved_tokens: Memory that it holds for the job's prompt.
    """

    target_id: str
    reserved_tokens: int = 0


@attrs.define
class Job:
    """A request that has been sent to a target.

    Attributes:
        job_id: Unique among the jobs of its instance.
        target_id: Where it runs.
        parts: What other targets do for it.
        prompt_tokens: Length of its prompt.
        output_tokens: Tokens expected in its answer.
        max_gap_s: Longest pause between events that is on time.
        value: What it is worth beside others.
        reads_until: Predicted end of reading.
        late_at: Time after which its first token is late.
        is_writing: Whether its answer has begun.
        ends_at: Predicted end, or 0 if there is no prediction.
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

    @property
    def primary_tokens(self) -> int:
        """Tokens that it holds where it runs."""
        elsewhere = sum(part.reserved_tokens for part in self.parts)
        return max(self.prompt_tokens + self.output_tokens - elsewhere, 0)

    @property
    def target_ids(self) -> tuple[str, ...]:
        """All targets that work on it."""
        return (self.target_id, *(part.target_id for part in self.parts))


@attrs.frozen
class Writer:
    """A request whose answer is being written.

    Attributes:
        context_tokens: Tokens that it has in memory.
        max_gap_s: Longest pause between events that is on time.
        value: What it is worth beside others.
    """

    context_tokens: int
    max_gap_s: float
    value: float


@attrs.frozen
class Reader:
    """A request that waits for its first token.

    Attributes:
        slack_s: Time by which its reading may be delayed without loss.
        value: What it is worth beside others.
    """

    slack_s: float
    value: float


@attrs.frozen
class TargetLoad:
    """The load of one target.

    Attributes:
        running: Requests that it has, without parts read for others.
        helping: Parts that it reads for others.
        reading_left_s: Time until all known prompts are read.
        readers: Requests that read here and wait for their first token.
        writers: Requests that write, and those that soon will.
        memory_tokens: Tokens that its requests will hold.
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
    """Jobs of this instance and its peers, by target."""

    def __init__(self) -> None:
        """Starts without jobs."""
        self._local_jobs: dict[str, Job] = {}
        self._peer_jobs: dict[str, tuple[float, tuple[Job, ...]]] = {}
        self._by_target: dict[str, dict[str, Job]] = {}

    @property
    def local_jobs(self) -> tuple[Job, ...]:
        """Jobs of this instance."""
        return tuple(self._local_jobs.values())

    def start(self, job: Job) -> None:
        """Adds a job of this instance."""
        self._local_jobs[job.job_id] = job
        self._index(job)

    def mark_writing(self, job_id: str, now: float) -> None:
        """Notes that a job's answer has begun."""
        job = self._local_jobs.get(job_id)
        if job is not None:
            job.is_writing = True
            job.reads_until = min(job.reads_until, now)

    def end(self, job_id: str) -> None:
        """Drops a job of this instance."""
        job = self._local_jobs.pop(job_id, None)
        if job is not None:
            self._unindex(job)

    def replace_peer_jobs(
        self, peer_id: str, jobs: tuple[Job, ...], now: float
    ) -> None:
        """Takes all jobs of a peer in place of what it told before."""
        self.drop_peer_jobs(peer_id)
        kept_jobs = jobs[:MAX_JOBS_PER_PEER]
        self._peer_jobs[peer_id] = (now, kept_jobs)
        for job in kept_jobs:
            self._index(job)

    def drop_peer_jobs(self, peer_id: str) -> None:
        """Forgets the jobs of a peer."""
        _, jobs = self._peer_jobs.pop(peer_id, (0.0, ()))
        for job in jobs:
            self._unindex(job)

    def expire_peers(self, now: float) -> list[str]:
        """Forgets peers that have been silent; returns their ids."""
        stale = [
            peer_id
            for peer_id, (received_at, _) in self._peer_jobs.items()
            if now - received_at > PEER_JOBS_TTL_S
        ]
        for peer_id in stale:
            self.drop_peer_jobs(peer_id)
        return stale

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
        """Files a job under each target that works on it."""
        for target_id in job.target_ids:
            self._by_target.setdefault(target_id, {})[job.job_id] = job

    def _unindex(self, job: Job) -> None:
        """Takes a job out from under its targets."""
        for target_id in job.target_ids:
            jobs = self._by_target.get(target_id, {})
            jobs.pop(job.job_id, None)
            if not jobs:
                self._by_target.pop(target_id, None)


def _prefill_left_s(job: Job, now: float) -> float:
    """Returns the time until a job's prompt is likely read."""
    remaining_s = job.reads_until - now
    return max(
        remaining_s, -remaining_s - OVERDUE_PREFILL_GRACE_S, MIN_PREFILL_LEFT_S
    )
