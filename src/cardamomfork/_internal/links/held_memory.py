"""Memory that the connections of a process hold for unfinished requests."""

from __future__ import annotations

from typing import Protocol

DEFAULT_MAX_BYTES = 64 * 2**20
MEMORY_FRACTION = 0.1
"""Share of the process's memory that heads and waiting requests may use."""
HEADER_OBJECT_BYTES = 160
"""Memory of a header's objects beside its name and value."""


class Holder(Protocol):
    """A connection that holds memory."""

    def release_held(self) -> None:
        """Gives up what it holds, by refusing it or closing the connection."""
        ...


class HeldMemory:
    """What all connections hold, on all ports, with one bound."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Initializes an empty account.

        Args:
            max_bytes: Most bytes that connections may hold together.
        """
        self._max_bytes = max_bytes
        self._held: dict[Holder, int] = {}
        # Those whose requests have not been read whole.
        self._releasable: dict[Holder, int] = {}
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

    def hold(self, holder: Holder, size: int, *, releasable: bool) -> None:
        """Sets what a connection holds; releases the largest if all is full.

        Args:
            holder: The connection.
            size: All that it holds, in bytes.
            releasable: Whether it may give it up without breaking an answer.
        """
        self.forget(holder)
        if size:
            self._held[holder] = size
            self._total += size
            if releasable:
                self._releasable[holder] = size
        while self.is_full and self._releasable:
            largest = max(self._releasable, key=self._releasable.__getitem__)
            self.forget(largest)
            self._released += 1
            largest.release_held()

    def forget(self, holder: Holder) -> None:
        """Notes that a connection holds nothing."""
        self._total -= self._held.pop(holder, 0)
        self._releasable.pop(holder, None)
