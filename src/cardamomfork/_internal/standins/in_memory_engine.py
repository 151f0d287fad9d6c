"""An engine in memory and links to it, with switches for faults.

For fault runs: the engine counts what it runs and holds memory under
reservations until it is released or has given its whole answer.
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
    """Returns the answer that a body always gets."""
    return b"".join(
        hashlib.sha256(body + bytes([part])).digest() for part in range(3)
    )


@attrs.define
class LinkFaults:
    """Switches for one link.

    Attributes:
        cut: Calls find no connection and streams break.
        silent: Streams and calls yield nothing, and calls arrive late.
        lose_answers: Calls run and their answers are lost, this many times.
    """

    cut: bool = False
    silent: bool = False
    lose_answers: int = 0


class MemoryEngine:
    """The engine itself."""

    def __init__(self, target_id: identifiers.TargetId) -> None:
        """Starts with empty memory."""
        self.target_id = target_id
        self.up = True
        self.refuses = False
        self.incarnation = 1
        self.held: set[str] = set()
        self.runs: Counter[identifiers.AttemptId] = Counter()
        self.bodies: Counter[bytes] = Counter()
        self._answers: dict[identifiers.AttemptId, bytes] = {}

    def start(self, call: target_link.TargetCall) -> bytes | None:
        """Runs a call, or resumes one; None if it is refused."""
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
        """Frees what is under a reservation."""
        self.held.discard(reservation)
        self._answers.pop(_attempt_id_of(reservation), None)

    def crash(self) -> None:
        """Ends its life: its memory and streams are gone."""
        self.up = False
        self.incarnation += 1
        self.held.clear()
        self._answers.clear()


class MemoryLink:
    """One instance's link to a `MemoryEngine`; meets part of `TargetLink`."""

    def __init__(
        self,
        engine: MemoryEngine,
        tasks: anyio.abc.TaskGroup,
        gate: Callable[[], Awaitable[None]],
    ) -> None:
        """Links to an engine.

        Args:
            engine: The engine.
            tasks: Outlives the instance: late calls arrive in it.
            gate: Waited for at each step; holds up a frozen instance.
        """
        self._engine = engine
        self._tasks = tasks
        self._gate = gate
        self.faults = LinkFaults()

    async def call(
        self, call: target_link.TargetCall
    ) -> result.Result[MemoryStream, targets.TargetFault]:
        """Sends a call."""
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
        """Frees a reservation."""
        await self._gate()
        if self.faults.cut or self.faults.silent or not self._engine.up:
            return result.Err(self._fault(targets.FaultKind.UNREACHABLE))
        self._engine.release_memory(reservation)
        return result.Ok(True)

    async def reservations(
        self,
    ) -> result.Result[tuple[str, ...], targets.TargetFault]:
        """Lists what the engine holds."""
        await self._gate()
        if self.faults.cut or self.faults.silent or not self._engine.up:
            return result.Err(self._fault(targets.FaultKind.UNREACHABLE))
        return result.Ok(tuple(sorted(self._engine.held)))

    async def read(
        self, call: target_link.TargetCall, answer: bytes, offset: int
    ) -> result.Result[bytes, targets.TargetFault]:
        """Returns an answer's next bytes; frees its memory at the end."""
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
        """Lets a call arrive that its sender has given up."""
        await anyio.sleep(LATE_ARRIVAL_S)
        self._engine.start(call)

    def _fault(self, kind: targets.FaultKind) -> targets.TargetFault:
        """Makes a fault of this target."""
        return targets.TargetFault(kind, self._engine.target_id, "")


class MemoryStream:
    """An answer of a `MemoryEngine` on its way."""

    def __init__(
        self, link: MemoryLink, call: target_link.TargetCall, answer: bytes
    ) -> None:
        """Starts at the offset that the call asks for."""
        self._link = link
        self._call = call
        self._answer = answer
        self._offset = call.resume_offset

    async def receive(self) -> result.Result[bytes, targets.TargetFault]:
        """Returns the bytes that came; `b""` at the end."""
        read = await self._link.read(self._call, self._answer, self._offset)
        if isinstance(read, result.Ok):
            self._offset += len(read.ok_value)
        return read


def _attempt_id_of(reservation: str) -> identifiers.AttemptId:
    """Returns the attempt that a reservation is for."""
    return reservation.rsplit("/", 1)[-1]  # type: ignore[return-value]
