"""Index of the prompt prefixes that engines hold in their KV caches.

The index is filled from the requests that this instance sends and corrected
by the engines' cache events, which can be late or missing. A wrong entry can
cause a slower prefill but never a wrong answer.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets

MAX_BLOCKS = 32_768
MAX_HOLDERS = 4
"""Most engines recorded for a block; the most recent ones are kept."""
DENSE_BLOCKS = 16
"""Leading blocks of a prompt that are all indexed."""
STRIDE_BLOCKS = 16
"""Distance between indexed blocks after the leading ones."""


@attrs.frozen
class Match:
    """The longest known prefix of a prompt.

    Attributes:
        covered_fraction: Fraction of the prompt's blocks in the prefix, 0 to 1.
        holders: Engines that hold the prefix.
    """

    covered_fraction: float = 0.0
    holders: tuple[identifiers.TargetId, ...] = ()


NO_MATCH = Match()


@attrs.define
class _EventStream:
    """Position in a target's stream of cache events.

    Attributes:
        boot_id: Boot id of the target process that sends the events.
        previous_boot_id: Boot id of the process before it, whose late events
            are ignored.
        sequence: Highest sequence number received.
        has_gap: Whether events were missed since the last full snapshot.
    """

    boot_id: identifiers.BootId
    previous_boot_id: identifiers.BootId | None = None
    sequence: int = 0
    has_gap: bool = False


class PrefixIndex:
    """A bounded LRU table from block hash to the engines that hold the block.

    After the first `DENSE_BLOCKS` blocks of a prompt, only every
    `STRIDE_BLOCKS`th block is indexed.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        """Initializes an empty index."""
        self._max_blocks = max_blocks
        self._holders: collections.OrderedDict[
            int, tuple[identifiers.TargetId, ...]
        ] = collections.OrderedDict()
        self._blocks: dict[identifiers.TargetId, set[int]] = {}
        self._streams: dict[identifiers.TargetId, _EventStream] = {}

    def __len__(self) -> int:
        """Returns the number of indexed blocks."""
        return len(self._holders)

    def find(self, hashes: Sequence[int]) -> Match:
        """Returns the longest known prefix, by binary search."""
        if not hashes or hashes[0] not in self._holders:
            return NO_MATCH
        low, high = 1, _indexed_block_count(len(hashes))
        while low < high:
            mid_number = (low + high + 1) // 2
            if hashes[_prefix_length(mid_number) - 1] in self._holders:
                low = mid_number
            else:
                high = mid_number - 1
        length = _prefix_length(low)
        block = hashes[length - 1]
        self._holders.move_to_end(block)
        return Match(length / len(hashes), self._holders[block])

    def record_sent(
        self, target_id: identifiers.TargetId, hashes: Sequence[int]
    ) -> None:
        """Records that a target computes a prompt and will hold its blocks."""
        for number in range(_indexed_block_count(len(hashes)), 0, -1):
            self._add(target_id, hashes[_prefix_length(number) - 1])

    def observe(self, event: targets.CacheEvent) -> bool:
        """Applies a cache event; returns False if a full snapshot is needed.

        Duplicates and events of the target's previous process are ignored.
        """
        stream = self._current_stream(event)
        if stream is None:
            return True
        if event.reset:
            if event.sequence < stream.sequence:
                return not stream.has_gap
            self.remove_target(event.target_id)
            self._streams[event.target_id] = stream
            stream.sequence = event.sequence
            stream.has_gap = False
            self._apply(event)
            return True
        if event.sequence <= stream.sequence:
            return not stream.has_gap
        if event.sequence > stream.sequence + 1:
            stream.has_gap = True
        stream.sequence = event.sequence
        self._apply(event)
        return not stream.has_gap

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Removes a target's blocks and its event stream."""
        self._streams.pop(target_id, None)
        for block in self._blocks.pop(target_id, ()):
            self._drop_holder(block, target_id)

    def _current_stream(self, event: targets.CacheEvent) -> _EventStream | None:
        """Returns an event's stream, or None for the previous process.

        A new boot id means that the target restarted with an empty cache, so
        its blocks are removed.
        """
        stream = self._streams.get(event.target_id)
        if stream is None:
            stream = _EventStream(event.boot_id)
        elif event.boot_id == stream.previous_boot_id:
            return None
        elif event.boot_id != stream.boot_id:
            self.remove_target(event.target_id)
            stream = _EventStream(event.boot_id, stream.boot_id)
        self._streams[event.target_id] = stream
        return stream

    def _apply(self, event: targets.CacheEvent) -> None:
        """Adds and removes the blocks of an event.

        Once the table is half full, events only add holders to blocks that
        are already indexed.
        """
        is_below_half = len(self._holders) < self._max_blocks // 2
        for block in event.stored:
            if is_below_half or block in self._holders:
                self._add(event.target_id, block)
        self._discard(event.target_id, event.evicted)

    def _discard(
        self, target_id: identifiers.TargetId, blocks: Iterable[int]
    ) -> None:
        """Records that a target no longer holds some blocks."""
        held = self._blocks.get(target_id, set())
        for block in blocks:
            if block in held:
                held.discard(block)
                self._drop_holder(block, target_id)

    def _add(self, target_id: identifiers.TargetId, block: int) -> None:
        """Adds a holder of a block; evicts the least recently used block."""
        holders = self._holders.get(block, ())
        if target_id in holders:
            self._holders.move_to_end(block)
            return
        if holders:
            del self._holders[block]
        holders = (target_id, *holders)
        for dropped in holders[MAX_HOLDERS:]:
            self._blocks[dropped].discard(block)
        self._blocks.setdefault(target_id, set()).add(block)
        self._holders[block] = holders[:MAX_HOLDERS]
        if len(self._holders) > self._max_blocks:
            oldest, dropped_holders = self._holders.popitem(last=False)
            for dropped_holder in dropped_holders:
                self._blocks[dropped_holder].discard(oldest)

    def _drop_holder(self, block: int, target_id: identifiers.TargetId) -> None:
        """Removes a target from a block's holders."""
        holders = tuple(h for h in self._holders[block] if h != target_id)
        if holders:
            self._holders[block] = holders
        else:
            del self._holders[block]


def _indexed_block_count(blocks: int) -> int:
    """Returns how many blocks of a prompt are indexed."""
    if blocks <= DENSE_BLOCKS:
        return blocks
    return DENSE_BLOCKS + (blocks - DENSE_BLOCKS) // STRIDE_BLOCKS


def _prefix_length(number: int) -> int:
    """Returns the prefix length, in blocks, up to an indexed block."""
    if number <= DENSE_BLOCKS:
        return number
    return DENSE_BLOCKS + (number - DENSE_BLOCKS) * STRIDE_BLOCKS
