"""Which engines hold which prompt prefixes, as far as this instance knows.

Filled from what this instance sent and corrected by the engines' cache
events, which come late and with gaps. A wrong entry costs time, never truth.
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
DENSE_BLOCKS = 16
STRIDE_BLOCKS = 16


@attrs.frozen
class Match:
    """The longest known prefix of a prompt.

    Attributes:
        share: Part of the prompt's blocks that it covers, 0 to 1.
        holders: Engines that hold it.
    """

    covered_fraction: float = 0.0
    holders: tuple[identifiers.TargetId, ...] = ()


NO_MATCH = Match()


@attrs.define
class _EventStream:
    """How far a target's cache events have been read.

    Attributes:
        boot_id: The target's life that they are of.
        previous_boot_id: The life before it; its late events are ignored.
        sequence: Last event in order.
        has_gap: Whether events were missed since the last whole cache.
    """

    boot_id: identifiers.BootId
    previous_boot_id: identifiers.BootId | None = None
    sequence: int = 0
    has_gap: bool = False


class PrefixIndex:
    """A bounded table from block hash to the engines that hold the block.

    Of a long prompt only every `STRIDE_BLOCKS`th block is kept.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        """Starts empty."""
        self._max_blocks = max_blocks
        self._holders: collections.OrderedDict[
            int, tuple[identifiers.TargetId, ...]
        ] = collections.OrderedDict()
        self._blocks: dict[identifiers.TargetId, set[int]] = {}
        self._streams: dict[identifiers.TargetId, _EventStream] = {}

    def __len__(self) -> int:
        """Returns the number of blocks in the table."""
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
        """Notes that a target computes a prompt and will hold its blocks."""
        for number in range(_indexed_block_count(len(hashes)), 0, -1):
            self._add(target_id, hashes[_prefix_length(number) - 1])

    def observe(self, event: targets.CacheEvent) -> bool:
        """Takes a cache event; False asks for the whole cache."""
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
        """Drops all that is known of a target."""
        self._streams.pop(target_id, None)
        for block in self._blocks.pop(target_id, ()):
            self._drop_holder(block, target_id)

    def _current_stream(self, event: targets.CacheEvent) -> _EventStream | None:
        """Returns the target's stream; None if the event is of an old life."""
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
        """Makes the event's changes."""
        is_below_half = len(self._holders) < self._max_blocks // 2
        for block in event.stored:
            if is_below_half or block in self._holders:
                self._add(event.target_id, block)
        self._discard(event.target_id, event.evicted)

    def _discard(
        self, target_id: identifiers.TargetId, blocks: Iterable[int]
    ) -> None:
        """Notes that a target no longer holds some blocks."""
        held = self._blocks.get(target_id, set())
        for block in blocks:
            if block in held:
                held.discard(block)
                self._drop_holder(block, target_id)

    def _add(self, target_id: identifiers.TargetId, block: int) -> None:
        """Notes one block; the block used longest ago makes room."""
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
        """Takes a target off a block's holders."""
        holders = tuple(h for h in self._holders[block] if h != target_id)
        if holders:
            self._holders[block] = holders
        else:
            del self._holders[block]


def _indexed_block_count(blocks: int) -> int:
    """Returns how many blocks of a prompt are kept."""
    if blocks <= DENSE_BLOCKS:
        return blocks
    return DENSE_BLOCKS + (blocks - DENSE_BLOCKS) // STRIDE_BLOCKS


def _prefix_length(number: int) -> int:
    """Returns the length in blocks of the prefix that a kept block ends."""
    if number <= DENSE_BLOCKS:
        return number
    return DENSE_BLOCKS + (number - DENSE_BLOCKS) * STRIDE_BLOCKS
