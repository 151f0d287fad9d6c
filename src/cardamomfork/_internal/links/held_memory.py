"""Memory that the connections of a process hold for their clients."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

MB = 1_000_000
DEFAULT_MEMORY_BYTES = 640 * MB
HEAD_FRACTION = 0.1
"""Share of the process's memory that heads and waiting requests may use."""
BODY_FRACTION = 0.25
"""Share of the process's memory that bodies of requests may use."""
ANSWER_FRACTION = 0.1
"""Share of the process's memory that answers may use which clients don't
read."""
TARGET_ANSWER_FRACTION = 0.1
"""Share of the process's memory that answers of targets may use which are held
until they are whole."""
HEADER_OBJECT_BYTES = 160
"""Memory of a header's objects beside its name and value."""


class Victim(enum.Enum):
    """Which connection gives up what it holds if all hold too much."""

    LARGEST = "largest"
    OLDEST = "oldest"
    """The one whose size has not changed for the longest time."""


class HeldMemory:
    """What all connections hold of one kind, on all ports, with one bound."""

    def __init__(self, max_bytes: int, victim: Victim = Victim.LARGEST) -> None:
        """Initializes an empty account.

        Args:
            max_bytes: Most bytes that connections may hold together.
            victim: Which connection gives up what it holds.
        """
        self._max_bytes = max_bytes
        self._victim = victim
        self._held: dict[object, int] = {}
        # What may be given up, in the order of the last change.
        self._releases: dict[object, Callable[[], None]] = {}
        self._total = 0
        self._released = 0

    @property
    def total(self) -> int:
        """Bytes that all connections hold."""
        return self._total

    @property
    def released(self) -> int:
        """How many times a connection had to give up what it held."""
        return self._released

    @property
    def is_full(self) -> bool:
        """Whether no more may be held."""
        return self._total > self._max_bytes

    def hold(
        self,
        holder: object,
        size: int,
        release: Callable[[], None] | None = None,
    ) -> None:
        """Sets what a connection holds; releases others if all is full.

        Args:
            holder: The connection.
            size: All that it holds, in bytes.
            release: Gives it up, by refusing the request or closing the
                connection; None if that would break an answer.
        """
        self.forget(holder)
        if size:
            self._held[holder] = size
            self._total += size
            if release is not None:
                self._releases[holder] = release
        while self.is_full and self._releases:
            victim = self._find_victim()
            give_up = self._releases[victim]
            self.forget(victim)
            self._released += 1
            give_up()

    def forget(self, holder: object) -> None:
        """Notes that a connection holds nothing."""
        self._total -= self._held.pop(holder, 0)
        self._releases.pop(holder, None)

    def _find_victim(self) -> object:
        """Returns the connection that gives up what it holds."""
        if self._victim is Victim.OLDEST:
            return next(iter(self._releases))
        return max(self._releases, key=self._held.__getitem__)


@attrs.frozen
class ConnectionMemory:
    """What the connections of a process hold, by kind.

    Attributes:
        heads: Unfinished heads, headers, and requests that wait.
        bodies: Bodies of requests, until they are answered.
        answers: Bytes of answers that clients have not read.
        target_answers: Bytes of targets' answers that are held until they are
            whole.
    """

    heads: HeldMemory
    bodies: HeldMemory
    answers: HeldMemory
    target_answers: HeldMemory

    @property
    def accounts(self) -> dict[str, HeldMemory]:
        """What is held by the name of its kind."""
        return attrs.asdict(self, recurse=False)

    def forget(self, holder: object) -> None:
        """Notes that a connection holds nothing."""
        self.heads.forget(holder)
        self.bodies.forget(holder)
        self.answers.forget(holder)


def make_memory(memory_bytes: int = DEFAULT_MEMORY_BYTES) -> ConnectionMemory:
    """Returns empty accounts for a process.

    Args:
        memory_bytes: Memory that the process may use.
    """
    return ConnectionMemory(
        heads=HeldMemory(int(memory_bytes * HEAD_FRACTION)),
        bodies=HeldMemory(int(memory_bytes * BODY_FRACTION), Victim.OLDEST),
        answers=HeldMemory(int(memory_bytes * ANSWER_FRACTION), Victim.OLDEST),
        target_answers=HeldMemory(int(memory_bytes * TARGET_ANSWER_FRACTION)),
    )
