"""Runs of the stand-in engine: sequential prefill, batched decode."""

from __future__ import annotations

import heapq
import itertools
from typing import Any

import anyio
import attrs
import msgspec

from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.standins import engine_memory

BLOCK_TOKENS = engine_memory.BLOCK_TOKENS


@attrs.frozen
class EngineProfile:
    """Timing and capacity of the stand-in engine.

    Attributes:
        prefill_tokens_per_s: Prefill rate in prompt tokens per second; one
            prompt is prefilled at a time.
        decode_s: Time between two tokens of a sequence, in seconds.
        max_batch: Maximum number of admitted sequences.
        memory_tokens: Size of the KV memory in tokens.
    """

    prefill_tokens_per_s: float = 100_000.0
    decode_s: float = 0.005
    max_batch: int = 64
    memory_tokens: int = 500_000


@attrs.frozen
class Work:
    """Parameters of one call."""

    attempt_id: str
    reservation: str
    urgency: int
    model: str
    chat: bool
    stream: bool
    prompt_tokens: int
    hashes: tuple[int, ...]
    max_tokens: int
    part_tokens: int = 0


@attrs.define
class Run:
    """One attempt on the engine; its answer is readable from any offset."""

    work: Work
    crlf: bool = False
    answer: bytearray = attrs.field(factory=bytearray, repr=False)
    ended: bool = False
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    def append(self, data: bytes, ended: bool = False) -> None:
        """Adds bytes to the answer and wakes its readers."""
        self.answer += data.replace(b"\n", b"\r\n") if self.crlf else data
        self.ended = self.ended or ended
        self.changed.set()
        self.changed = anyio.Event()


class Scheduler:
    """Admits work by urgency, then arrival, subject to batch and memory."""

    def __init__(self, profile: EngineProfile) -> None:
        """Initializes an idle scheduler."""
        self._profile = profile
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, int]] = []
        self._changed = anyio.Event()
        self._prefilling = False
        self.memory = engine_memory.EngineMemory(profile.memory_tokens)
        self.running = 0
        self.queued_tokens = 0

    async def execute(self, run: Run) -> None:
        """Executes a run and frees its memory.

        A completed prefill part keeps its memory until it is released.
        """
        work = run.work
        with run.scope:
            self.queued_tokens += work.prompt_tokens
            try:
                await self._wait_for_admission(work)
            finally:
                self.queued_tokens -= work.prompt_tokens
            try:
                await self._prefill(work)
                self._notify_waiters()
                if work.part_tokens:
                    run.append(_encode_part(work), True)
                else:
                    await self._decode(run)
            finally:
                self.running -= 1
                if not (work.part_tokens and run.ended):
                    self.memory.deallocate(work.attempt_id)
                self._notify_waiters()
        if not run.ended:
            run.append(b"", ended=True)

    def required_tokens(self, work: Work) -> int:
        """Returns the KV tokens that work requires on this engine."""
        start = self.memory.imported_tokens(work.reservation)
        if work.part_tokens:
            return max(0, work.part_tokens - start)
        return max(0, work.prompt_tokens - start) + work.max_tokens

    async def _wait_for_admission(self, work: Work) -> None:
        """Waits until the work is first in the queue and can be admitted."""
        queue_entry = (
            work.urgency,
            next(self._arrival_numbers),
            work.prompt_tokens,
        )
        heapq.heappush(self._waiting, queue_entry)
        try:
            while not self._try_admit(queue_entry, work):
                await self._changed.wait()
        finally:
            self._waiting.remove(queue_entry)
            heapq.heapify(self._waiting)
        self._prefilling = True
        self.running += 1

    def _try_admit(self, queue_entry: tuple[int, int, int], work: Work) -> bool:
        """Allocates memory and returns True if the work can start now."""
        if self._prefilling or self._waiting[0] != queue_entry:
            return False
        if self.running >= self._profile.max_batch:
            return False
        return self.memory.allocate(
            work.attempt_id,
            work.reservation,
            self.required_tokens(work),
        )

    async def _prefill(self, work: Work) -> None:
        """Prefills the tokens that are neither cached nor imported."""
        try:
            cached = max(
                self.memory.cached_tokens(work.hashes),
                self.memory.imported_tokens(work.reservation),
            )
            end = work.part_tokens or work.prompt_tokens
            uncached_tokens = max(0, end - cached)
            await anyio.sleep(
                uncached_tokens / self._profile.prefill_tokens_per_s
            )
            self.memory.cache_blocks(work.hashes[: end // BLOCK_TOKENS])
        finally:
            self._prefilling = False

    async def _decode(self, run: Run) -> None:
        """Generates the output tokens."""
        work = run.work
        for index in range(work.max_tokens):
            await anyio.sleep(self._profile.decode_s)
            if work.stream:
                run.append(_encode_event(work, f"word{index} "))
        if work.stream:
            run.append(
                _encode_event(work, "", "length") + b"data: [DONE]\n\n", True
            )
        else:
            run.append(_encode_completion(work), True)

    def _notify_waiters(self) -> None:
        """Wakes the waiting work to check admission again."""
        self._changed.set()
        self._changed = anyio.Event()


def _common_fields(work: Work, suffix: str = "") -> dict[str, Any]:
    """Returns the fields that all answers have."""
    name = "chat.completion" if work.chat else "text_completion"
    return {
        "id": f"cmpl-{work.attempt_id}",
        "object": name + (suffix if work.chat else ""),
        "created": 0,
        "model": work.model,
    }


def _encode_event(work: Work, text: str, finish: str | None = None) -> bytes:
    """Encodes a server-sent event with a part of the answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if work.chat:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    fields = _common_fields(work, ".chunk") | {"choices": [choice]}
    return b"data: " + msgspec.json.encode(fields) + b"\n\n"


def _encode_part(work: Work) -> bytes:
    """Encodes the answer to a call that prefills a part of a prompt."""
    block = min(work.part_tokens // BLOCK_TOKENS, len(work.hashes))
    prefix_hash = work.hashes[block - 1] if block else 0
    return msgspec.json.encode(
        target_link.HeldPart(prefix_hash, work.part_tokens)
    )


def _encode_completion(work: Work) -> bytes:
    """Encodes the complete answer as one JSON object."""
    text = "".join(f"word{index} " for index in range(work.max_tokens))
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if work.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": work.prompt_tokens,
        "completion_tokens": work.max_tokens,
        "total_tokens": work.prompt_tokens + work.max_tokens,
    }
    fields = _common_fields(work) | {"choices": [choice], "usage": usage}
    return msgspec.json.encode(fields)
