"""Timing model of an LLM engine under virtual time.

Continuous batching with chunked prefill: each step decodes one token of every
running sequence and, while a prompt is in prefill, computes one chunk of it.
A prefill is not preempted. Waiting jobs start in order of urgency, then
arrival, once the batch and the KV memory have capacity. Time advances in
closed form from event to event, so the cost of a simulation is a few
microseconds per event rather than per step.
"""

from __future__ import annotations

import collections
import enum
import heapq
import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers

TIME_TOLERANCE_S = 1e-9
MAX_CACHE_EVENTS = 4096


@attrs.frozen
class EngineParameters:
    """Timing and capacity of an engine.

    Attributes:
        prefill_tokens_per_s: Prefill rate in prompt tokens per second, without
            the step overhead and the attention cost.
        chunk_tokens: Prompt tokens that one step prefills.
        step_s: Duration of an empty step, in seconds.
        step_per_sequence_s: Seconds that each decoding sequence adds to a step.
        step_per_held_token_s: Seconds that each allocated KV token adds to a
            step.
        attention_tokens: Position in a prompt at which prefilling a token costs
            twice as much as at the start, because attention grows linearly
            with the position.
        memory_tokens: KV memory in tokens, including the prefix cache.
        max_batch: Maximum number of running sequences.
        block_tokens: Size of a prefix cache block in tokens.
    """

    prefill_tokens_per_s: float = 100_000.0
    chunk_tokens: int = 1024
    step_s: float = 0.012
    step_per_sequence_s: float = 0.0001
    step_per_held_token_s: float = 4e-9
    attention_tokens: float = 1_000_000.0
    memory_tokens: int = 500_000
    max_batch: int = 128
    block_tokens: int = 1024


@attrs.frozen
class Job:
    """A prompt, or a part of one, submitted to an engine.

    Attributes:
        request_id: Id of the request.
        start: Number of prompt tokens that other engines have prefilled.
        end: Number of prefilled prompt tokens after this job.
        output_tokens: Tokens to generate; 0 for a part of a prompt that
            another engine completes.
        urgency: Urgency as in RFC 9218; lower is more urgent.
        hashes: Chained hashes of the prompt's blocks.
    """

    request_id: identifiers.RequestId
    start: int
    end: int
    output_tokens: int
    urgency: int
    hashes: tuple[int, ...] = attrs.field(default=(), repr=False)

    @property
    def memory(self) -> int:
        """KV memory that the job requires, in tokens."""
        return self.end - self.start + self.output_tokens


class EventKind(enum.Enum):
    """Kind of a job's progress event."""

    PREFILLED = "prefilled"
    """Prefill is complete; the first token, if any, has been emitted."""
    DONE = "done"
    """The last token has been emitted."""


@attrs.frozen
class EngineEvent:
    """A progress event of a job."""

    at: float
    kind: EventKind
    request_id: identifiers.RequestId


class EngineModel:
    """Simulation of one engine."""

    def __init__(
        self, parameters: EngineParameters, boot_id: identifiers.BootId
    ) -> None:
        """Initializes an idle engine at time 0 with an empty cache."""
        self._parameters = parameters
        self._boot_id = boot_id
        self._now = 0.0
        self._speed = 1.0
        self._completed_steps = 0.0
        self._arrival_count = 0
        self._waiting: list[tuple[int, int, Job]] = []
        self._prefill: Job | None = None
        self._prefill_position = 0.0
        self._decoding: list[tuple[float, identifiers.RequestId]] = []
        self._running: dict[identifiers.RequestId, Job] = {}
        self._allocated_tokens = 0
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._cache_changes: list[tuple[bool, int]] = []
        self._sequence = 0
        self.busy_s = 0.0
        """Total time with a prompt in prefill, in seconds."""

    @property
    def allocated_tokens(self) -> int:
        """KV memory allocated to jobs, in tokens."""
        return self._allocated_tokens

    def set_speed(self, speed: float) -> None:
        """Sets the speed relative to the parameters; 1.0 is nominal."""
        self._speed = speed

    def submit(self, job: Job, now: float) -> None:
        """Queues a job; the engine must have been advanced to `now`."""
        exceptions.check_invariant(
            now >= self._now - TIME_TOLERANCE_S,
            "time does not go backwards",
            job.request_id,
        )
        self._arrival_count += 1
        heapq.heappush(self._waiting, (job.urgency, self._arrival_count, job))
        self._start_prefill()

    def release(self, request_id: identifiers.RequestId) -> None:
        """Frees the memory of a prefilled part, or cancels a job."""
        job = self._running.pop(request_id, None)
        if job is None:
            self._waiting = [
                item
                for item in self._waiting
                if item[2].request_id != request_id
            ]
            heapq.heapify(self._waiting)
            return
        self._allocated_tokens -= job.memory
        if self._prefill is job:
            self._prefill = None
        self._decoding = [
            entry for entry in self._decoding if entry[1] != request_id
        ]
        heapq.heapify(self._decoding)
        self._start_prefill()

    def next_event(self) -> float | None:
        """Returns the time of the next event, or None while idle."""
        times = []
        if self._prefill is not None:
            times.append(self._time_to_position(self._prefill.end))
        if self._decoding:
            times.append(self._time_to_step(self._decoding[0][0]))
        return self._now + min(times) if times else None

    def advance(self, now: float) -> list[EngineEvent]:
        """Advances time and returns the events up to `now` in order."""
        events = []
        while True:
            at = self.next_event()
            if at is None or at > now + TIME_TOLERANCE_S:
                break
            self._advance_clock(max(at, self._now))
            events.extend(self._complete_due_jobs())
        self._advance_clock(now)
        return events

    def load_report(
        self, target_id: identifiers.TargetId, now: float
    ) -> targets.LoadReport:
        """Returns the engine's load report."""
        queued = sum(job.end - job.start for _, _, job in self._waiting)
        if self._prefill is not None:
            queued += int(self._prefill.end - self._prefill_position)
        return targets.LoadReport(
            target_id=target_id,
            boot_id=self._boot_id,
            measured_at=now,
            queued_tokens=queued,
            running=len(self._decoding),
            free_tokens=self._parameters.memory_tokens - self._allocated_tokens,
        )

    def pop_cache_event(
        self, target_id: identifiers.TargetId
    ) -> targets.CacheEvent | None:
        """Returns and clears the cache changes since the last event."""
        if not self._cache_changes:
            return None
        is_stored_by_block: dict[int, bool] = {}
        for is_stored, block in self._cache_changes:
            is_stored_by_block[block] = is_stored
        self._cache_changes.clear()
        self._sequence += 1
        return targets.CacheEvent(
            target_id=target_id,
            boot_id=self._boot_id,
            sequence=self._sequence,
            stored=tuple(
                b for b, is_stored in is_stored_by_block.items() if is_stored
            ),
            evicted=tuple(
                b
                for b, is_stored in is_stored_by_block.items()
                if not is_stored
            ),
        )

    def cache_snapshot(
        self, target_id: identifiers.TargetId
    ) -> targets.CacheEvent:
        """Returns the whole cache as a reset event for a resync."""
        self._cache_changes.clear()
        self._sequence += 1
        return targets.CacheEvent(
            target_id=target_id,
            boot_id=self._boot_id,
            sequence=self._sequence,
            stored=tuple(self._cache),
            reset=True,
        )

    def _step_overhead(self) -> float:
        """Returns the duration of a step without prefill, in seconds."""
        parameters = self._parameters
        return (
            parameters.step_s
            + parameters.step_per_sequence_s * len(self._decoding)
            + parameters.step_per_held_token_s * self._allocated_tokens
        )

    def _prefill_coefficients(self) -> tuple[float, float]:
        """Returns a, b of the prefill time a x + b x^2 up to position x."""
        parameters = self._parameters
        per_token = 1.0 / parameters.prefill_tokens_per_s
        linear = self._step_overhead() / parameters.chunk_tokens + per_token
        quadratic = per_token / (2.0 * parameters.attention_tokens)
        return linear / self._speed, quadratic / self._speed

    def _time_to_position(self, position: float) -> float:
        """Returns the time until the prefill reaches a position."""
        a, b = self._prefill_coefficients()
        start_position = self._prefill_position
        return a * (position - start_position) + b * (
            position**2 - start_position**2
        )

    def _time_to_step(self, step: float) -> float:
        """Returns the time until a total number of steps is completed."""
        remaining_steps = max(step - self._completed_steps, 0.0)
        if self._prefill is None:
            return remaining_steps * self._step_overhead() / self._speed
        tokens = remaining_steps * self._parameters.chunk_tokens
        return self._time_to_position(self._prefill_position + tokens)

    def _advance_clock(self, now: float) -> None:
        """Advances the clock; there must be no event before `now`."""
        seconds = now - self._now
        self._now = now
        if seconds <= 0:
            return
        if self._prefill is None:
            self._completed_steps += (
                seconds * self._speed / self._step_overhead()
            )
            return
        self.busy_s += seconds
        a, b = self._prefill_coefficients()
        start_position = self._prefill_position
        root = a * a + 4.0 * b * (
            seconds + b * start_position * start_position + a * start_position
        )
        self._prefill_position = (math.sqrt(root) - a) / (2.0 * b)
        advanced_tokens = self._prefill_position - start_position
        self._completed_steps += advanced_tokens / self._parameters.chunk_tokens

    def _complete_due_jobs(self) -> list[EngineEvent]:
        """Completes the jobs that are due and starts the next prefill."""
        events = []
        job = self._prefill
        if job is not None and self._prefill_position >= job.end - 1e-3:
            events.append(self._end_prefill(job))
        while (
            self._decoding
            and self._decoding[0][0] <= self._completed_steps + 1e-6
        ):
            _, request_id = heapq.heappop(self._decoding)
            done = self._running.pop(request_id)
            self._allocated_tokens -= done.memory
            events.append(EngineEvent(self._now, EventKind.DONE, request_id))
        self._start_prefill()
        return events

    def _end_prefill(self, job: Job) -> EngineEvent:
        """Moves the job in prefill to decoding."""
        self._prefill = None
        for block in job.hashes:
            self._store_block(block)
        if job.output_tokens > 0:
            end = self._completed_steps + job.output_tokens - 1
            heapq.heappush(self._decoding, (end, job.request_id))
        return EngineEvent(self._now, EventKind.PREFILLED, job.request_id)

    def _start_prefill(self) -> None:
        """Starts the next waiting job if batch and memory have capacity."""
        if self._prefill is not None or not self._waiting:
            return
        job = self._waiting[0][2]
        parameters = self._parameters
        if self._allocated_tokens + job.memory > parameters.memory_tokens:
            return
        if len(self._running) >= parameters.max_batch:
            return
        heapq.heappop(self._waiting)
        self._allocated_tokens += job.memory
        self._running[job.request_id] = job
        self._prefill = job
        cached = self._cached_tokens(job)
        self._prefill_position = min(max(job.start, cached), job.end - 1)
        self._evict()

    def _cached_tokens(self, job: Job) -> int:
        """Returns the length of a job's cached prefix in tokens."""
        blocks = 0
        for block in job.hashes:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            blocks += 1
        return blocks * self._parameters.block_tokens

    def _store_block(self, block: int) -> None:
        """Adds a block to the cache."""
        if block not in self._cache:
            self._record_cache_change(True, block)
        self._cache[block] = None
        self._cache.move_to_end(block)
        self._evict()

    def _evict(self) -> None:
        """Evicts least recently used blocks until the rest fits."""
        parameters = self._parameters
        max_blocks = (parameters.memory_tokens - self._allocated_tokens) // (
            parameters.block_tokens
        )
        while len(self._cache) > max(max_blocks, 0):
            block, _ = self._cache.popitem(last=False)
            self._record_cache_change(False, block)

    def _record_cache_change(self, is_stored: bool, block: int) -> None:
        """Records a change for the next cache event.

        If too many are pending, drops the oldest and skips a sequence number.
        """
        self._cache_changes.append((is_stored, block))
        if len(self._cache_changes) > MAX_CACHE_EVENTS:
            del self._cache_changes[0]
            self._sequence += 1
