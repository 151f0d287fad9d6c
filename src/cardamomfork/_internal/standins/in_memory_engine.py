"""An in-memory engine and links to it, with fault injection.

Used by the fault runs. The engine counts its runs and holds memory under a
reservation until it is released or the whole answer has been read.
"""

from __future__ import annotations

from collections import Counter
import hashlib
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
import result

from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers

CHUNK_BYTES = 16
CHUNK_INTERVAL_S = 0.1
IDLE_TIMEOUT_S = 1.0
LATE_ARRIVAL_S = 2.0


def expected_answer(body: bytes) -> bytes:
    """Returns the answer to a body; it depends on the body alone."""
    return b"".join(
        hashlib.sha256(body + bytes([part])).digest() for part in range(3)
    )


@attrs.define
class LinkFaults:
    """Fault injection switches of one link.

    Attributes:
        cut: Calls can't connect and streams break.
        silent: Streams and calls time out; calls reach the engine late.
        lose_answers: Number of next calls that run and whose answers are
            lost.
    """

    cut: bool = False
    silent: bool = False
    lose_answers: int = 0


class MemoryEngine:
    """An engine that computes answers without model or network."""

    def __init__(self, target_id: identifiers.TargetId) -> None:
        """Initializes the engine with empty memory."""
        self.target_id = target_id
        self.up = True
        self.refuses = False
        self.incarnation = 1
        self.held: set[str] = set()
        self.runs: Counter[identifiers.AttemptId] = Counter()
        self.bodies: Counter[bytes] = Counter()
        self._answers: dict[identifiers.AttemptId, bytes] = {}

    def start(self, call: target_link.TargetCall) -> bytes | None:
        """Runs or resumes a call; returns None if it is refused."""
        if call.resume_offset and call.attempt_id in self._answers:
            return self._answers[call.attempt_id]
        if not self.up or self.refuses or call.resume_offset:
            return None
        self.runs[call.attempt_id] += 1
        self.bodies[call.body] += 1
        self.held.add(call.reservation)
        self._answers[call.attempt_id] = expected_answer(call.body)
        return self._answers[call.attempt_id]

    def release_memory(self, reservation: str) -> None:
        """Releases a reservation's memory and forgets its answer."""
        self.held.discard(reservation)
        self._answers.pop(_attempt_id_of(reservation), None)

    def crash(self) -> None:
        """Crashes the engine; its memory and streams are lost."""
        self.up = False
        self.incarnation += 1
        self.held.clear()
        self._answers.clear()


class MemoryLink:
    """One instance's link to a `MemoryEngine`.

    Implements the part of `TargetLink` that the fault runs use.
    """

    def __init__(
        self,
        engine: MemoryEngine,
        tasks: anyio.abc.TaskGroup,
        gate: Callable[[], Awaitable[None]],
    ) -> None:
        """Initializes the link.

        Args:
            engine: The engine.
            tasks: Task group for late calls; it must outlive the instance.
            gate: Awaited before each step; blocks while the instance is
                frozen.
        """
        self._engine = engine
        self._tasks = tasks
        self._gate = gate
        self.faults = LinkFaults()

    async def call(
        self, call: target_link.TargetCall
    ) -> result.Result[MemoryStream, targets.TargetFault]:
        """Sends a call; returns the stream of its answer."""
        await self._gate()
        if self.faults.cut or not self._engine.up:
            return result.Err(self._fault(targets.FaultKind.UNREACHABLE))
        if self.faults.silent:
            self._tasks.start_soon(self._deliver_late, call)
            await anyio.sleep(IDLE_TIMEOUT_S)
            return result.Err(self._fault(targets.FaultKind.SILENT))
        answer = self._engine.start(call)
        if answer is None:
            return result.Err(self._fault(targets.FaultKind.REFUSED))
        await anyio.sleep(CHUNK_INTERVAL_S)
        await self._gate()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return result.Err(self._fault(targets.FaultKind.LOST))
        return result.Ok(MemoryStream(self, call, answer))

    async def release(
        self, reservation: str
    ) -> result.Result[bool, targets.TargetFault]:
        """Releases a reservation."""
        await self._gate()
        if self.faults.cut or self.faults.silent or not self._engine.up:
            return result.Err(self._fault(targets.FaultKind.UNREACHABLE))
        self._engine.release_memory(reservation)
        return result.Ok(True)

    async def reservations(
        self,
    ) -> result.Result[tuple[str, ...], targets.TargetFault]:
        """Lists the engine's reservations."""
        await self._gate()
        if self.faults.cut or self.faults.silent or not self._engine.up:
            return result.Err(self._fault(targets.FaultKind.UNREACHABLE))
        return result.Ok(tuple(sorted(self._engine.held)))

    async def read(
        self, call: target_link.TargetCall, answer: bytes, offset: int
    ) -> result.Result[bytes, targets.TargetFault]:
        """Returns an answer's next bytes; releases its memory at the end."""
        incarnation = self._engine.incarnation
        await anyio.sleep(CHUNK_INTERVAL_S)
        await self._gate()
        if self.faults.silent:
            await anyio.sleep(IDLE_TIMEOUT_S)
            return result.Err(self._fault(targets.FaultKind.SILENT))
        is_released = call.reservation not in self._engine.held
        if (
            self.faults.cut
            or incarnation != self._engine.incarnation
            or is_released
        ):
            return result.Err(self._fault(targets.FaultKind.LOST))
        if offset >= len(answer):
            self._engine.release_memory(call.reservation)
        return result.Ok(answer[offset : offset + CHUNK_BYTES])

    async def _deliver_late(self, call: target_link.TargetCall) -> None:
        """Delivers a call after its sender has timed out."""
        await anyio.sleep(LATE_ARRIVAL_S)
        self._engine.start(call)

    def _fault(self, kind: targets.FaultKind) -> targets.TargetFault:
        """Creates a fault of this target."""
        return targets.TargetFault(kind, self._engine.target_id, "")


class MemoryStream:
    """Stream of an answer of a `MemoryEngine`."""

    def __init__(
        self, link: MemoryLink, call: target_link.TargetCall, answer: bytes
    ) -> None:
        """Initializes the stream at the call's resume offset."""
        self._link = link
        self._call = call
        self._answer = answer
        self._offset = call.resume_offset

    async def receive(self) -> result.Result[bytes, targets.TargetFault]:
        """Returns the next bytes; `b""` at the end."""
        read = await self._link.read(self._call, self._answer, self._offset)
        if isinstance(read, result.Ok):
            self._offset += len(read.ok_value)
        return read


def _attempt_id_of(reservation: str) -> identifiers.AttemptId:
    """Returns the attempt id in a reservation's name."""
    return reservation.rsplit("/", 1)[-1]  # type: ignore[return-value]
