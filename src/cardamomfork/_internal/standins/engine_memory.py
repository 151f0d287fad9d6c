"""KV memory of the stand-in engine: reservations, prefix cache, events."""

from __future__ import annotations

import collections

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.links.targets import extension

BLOCK_TOKENS = 256
MAX_EVENTS = 1000


@attrs.define
class _Allocation:
    """Tokens allocated to one user under one reservation."""

    reservation: str
    tokens: int


class EngineMemory:
    """KV memory in tokens, with an LRU prefix cache in the unused part."""

    def __init__(self, total_tokens: int) -> None:
        """Initializes empty memory.

        Args:
            total_tokens: Size of the KV memory in tokens.
        """
        self.total_tokens = total_tokens
        self._allocations: dict[str, _Allocation] = {}
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[extension.CacheEventEntry] = (
            collections.deque(maxlen=MAX_EVENTS)
        )
        self._sequence = 0
        self._imported: dict[str, int] = {}

    @property
    def allocated_tokens(self) -> int:
        """Tokens allocated to users, cache excluded."""
        return sum(
            allocation.tokens for allocation in self._allocations.values()
        )

    @property
    def free_tokens(self) -> int:
        """Tokens available to users; cached blocks count as available."""
        return self.total_tokens - self.allocated_tokens

    @property
    def reservations(self) -> tuple[str, ...]:
        """Names of the reservations with allocated or imported tokens."""
        names = {
            allocation.reservation for allocation in self._allocations.values()
        }
        return tuple(sorted(names | self._imported.keys()))

    def allocate(self, user: str, reservation: str, tokens: int) -> bool:
        """Allocates tokens to a user; returns False if too few are free."""
        if tokens > self.free_tokens:
            return False
        self._allocations[user] = _Allocation(reservation, tokens)
        self._evict()
        exceptions.check_invariant(
            self.allocated_tokens <= self.total_tokens,
            "allocated tokens do not exceed the memory",
            user,
        )
        return True

    def deallocate(self, user: str) -> None:
        """Frees a user's tokens."""
        self._allocations.pop(user, None)

    def tokens_of(self, user: str) -> int:
        """Returns the number of tokens allocated to a user."""
        return self._allocations[user].tokens

    def record_import(self, reservation: str, tokens: int) -> None:
        """Records that other engines hold a prompt's first tokens."""
        previous_tokens = self._imported.get(reservation, 0)
        self._imported[reservation] = max(previous_tokens, tokens)

    def imported_tokens(self, reservation: str) -> int:
        """Returns the number of tokens imported under a reservation."""
        return self._imported.get(reservation, 0)

    def release(self, reservation: str) -> None:
        """Frees all tokens under a reservation."""
        self._imported.pop(reservation, None)
        for user in self.users_under(reservation):
            self.deallocate(user)

    def users_under(self, reservation: str) -> list[str]:
        """Returns the users with tokens under a reservation."""
        return [
            user
            for user, allocation in self._allocations.items()
            if allocation.reservation == reservation
        ]

    def cached_tokens(self, hashes: tuple[int, ...]) -> int:
        """Returns the length of a prompt's longest cached prefix in tokens."""
        count = 0
        for block_hash in hashes:
            if block_hash not in self._cache:
                break
            self._cache.move_to_end(block_hash)
            count += 1
        return count * BLOCK_TOKENS

    def cache_blocks(self, hashes: tuple[int, ...]) -> None:
        """Adds a prompt's blocks to the cache."""
        new = tuple(
            block_hash for block_hash in hashes if block_hash not in self._cache
        )
        for block_hash in hashes:
            self._cache[block_hash] = None
            self._cache.move_to_end(block_hash)
        if new:
            self._publish_event(stored=new)
        self._evict()

    def events_after(
        self, sequence: int
    ) -> tuple[extension.CacheEventEntry, ...]:
        """Returns the cache events after a sequence number.

        A negative number returns the whole cache as one reset event.
        """
        if sequence < 0:
            whole = tuple(self._cache)
            change = extension.CacheEventEntry(
                self._sequence, whole, reset=True
            )
            return (change,)
        return tuple(e for e in self._events if e.sequence > sequence)

    def skip_sequence_number(self) -> None:
        """Skips a sequence number, as if an event had been lost."""
        self._sequence += 1

    def _evict(self) -> None:
        """Evicts cached blocks until the rest fits into the free memory."""
        max_blocks = max(0, self.free_tokens) // BLOCK_TOKENS
        evicted_blocks = []
        while len(self._cache) > max_blocks:
            evicted_blocks.append(self._cache.popitem(last=False)[0])
        if evicted_blocks:
            self._publish_event(evicted=tuple(evicted_blocks))

    def _publish_event(
        self, stored: tuple[int, ...] = (), evicted: tuple[int, ...] = ()
    ) -> None:
        """Publishes a cache event."""
        self._sequence += 1
        self._events.append(
            extension.CacheEventEntry(self._sequence, stored, evicted)
        )
