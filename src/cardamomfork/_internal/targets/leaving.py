"""Tracks targets that accept no new requests and gossips this state.

A target is marked as leaving by the platform's list, by its own load report or
refusal, or by an operator's drain. A mark from the list or from the target is
sticky: it belongs to the target's boot id, and only a later boot id clears it.
The instances that watch a target also mark it while it is silent. They can
clear this mark for the same boot id, because a target that was unreachable for
a while has not announced that it is leaving.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.instances import delta_gossip
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

MAX_TARGETS = 8192
MAX_ID_LENGTH = 200
MAX_SEQUENCE = 2**62
MARK_RELAY_COUNT = 24
"""Number of peers to which a changed mark is pushed.

It is large enough to include a delegate of each data centre.
"""
NO_BOOT_ID = identifiers.BootId("")


class Cause(enum.IntFlag):
    """Reason why a target accepts no new requests."""

    LISTED = 1
    """The platform lists the target as leaving or no longer lists it."""
    SAID = 2
    """The target reported it in a load report or in a refusal."""
    SILENT = 4
    """The instances that watch the target receive no answer from it."""
    DRAINED = 8
    """An operator has drained the target."""


STICKY_CAUSES = Cause.LISTED | Cause.SAID


class _PackedMark(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """Wire format of a mark."""

    target_id: str
    boot_id: str = ""
    sticky: int = 0
    sequence: int = 0
    silent: bool = False


@attrs.frozen
class Mark:
    """Causes for which one incarnation of a target accepts no requests.

    Attributes:
        boot_id: Boot id of the incarnation; empty if it is not known.
        sticky: Causes that only a later boot id clears.
        sequence: Number of changes of `silent`; the higher one wins a merge.
        silent: Whether the watching instances receive no answer.
    """

    boot_id: identifiers.BootId = NO_BOOT_ID
    sticky: Cause = Cause(0)
    sequence: int = 0
    silent: bool = False

    @property
    def causes(self) -> Cause:
        """All causes of the mark."""
        return self.sticky | (Cause.SILENT if self.silent else Cause(0))


def merge(held: Mark, received: Mark) -> Mark:
    """Merges two marks of a target; the operation is commutative."""
    if held.boot_id != received.boot_id:
        return max(held, received, key=lambda mark: mark.boot_id)
    newer = max(held, received, key=lambda mark: (mark.sequence, mark.silent))
    return attrs.evolve(newer, sticky=held.sticky | received.sticky)


_decode_mark = decoding.msgpack_decoder("packed mark of a target", _PackedMark)


class LeavingTargets:
    """Marks of leaving targets, gossiped under `Topic.LEAVING`."""

    def __init__(self, max_targets: int = MAX_TARGETS) -> None:
        """Initializes an empty table.

        Args:
            max_targets: Largest number of marks held; the least recently
                changed are evicted first.
        """
        self._spreader = delta_gossip.DeltaGossip(max_targets)
        self._marks: dict[identifiers.TargetId, Mark] = {}
        self._drained: set[str] = set()
        self._subscribers: list[
            Callable[[identifiers.TargetId, bool], None]
        ] = []
        self.unreadable = 0

    @property
    def topic(self) -> gossip.Topic:
        """Gossip topic of the payloads."""
        return gossip.Topic.LEAVING

    @property
    def marked(self) -> Collection[identifiers.TargetId]:
        """Targets that have a mark or are drained."""
        drained = map(identifiers.TargetId, self._drained)
        return self._marks.keys() | set(drained)

    def subscribe(
        self, callback: Callable[[identifiers.TargetId, bool], None]
    ) -> None:
        """Registers a callback for each change of a target's leaving state."""
        self._subscribers.append(callback)

    def causes(self, target_id: identifiers.TargetId) -> Cause:
        """Returns why a target accepts no new requests; empty if it does."""
        drained = target_id in self._drained
        mark = self._marks.get(target_id, Mark())
        return mark.causes | (Cause.DRAINED if drained else Cause(0))

    def is_leaving(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether a target accepts no new requests."""
        return bool(self.causes(target_id))

    def set_drained(
        self, target_id: identifiers.TargetId, is_drained: bool
    ) -> None:
        """Sets a target's drain state, which comes from the configuration."""
        was_leaving = self.is_leaving(target_id)
        if is_drained:
            self._drained.add(target_id)
        else:
            self._drained.discard(target_id)
        self._notify(target_id, was_leaving)

    def mark(
        self,
        target_id: identifiers.TargetId,
        cause: Cause,
        boot_id: identifiers.BootId = NO_BOOT_ID,
    ) -> bool:
        """Marks one incarnation of a target as leaving permanently.

        Args:
            target_id: Id of the target.
            cause: `LISTED` or `SAID`.
            boot_id: Boot id of the incarnation; if empty, the latest known.

        Returns:
            Whether the mark changed and should be sent to peers at once.
        """
        exceptions.check_invariant(
            cause in (Cause.LISTED, Cause.SAID), "cause is sticky", cause
        )
        held = self._marks.get(target_id, Mark())
        return self._merge_mark(target_id, Mark(boot_id or held.boot_id, cause))

    def observe_boot_id(
        self, target_id: identifiers.TargetId, boot_id: identifiers.BootId
    ) -> bool:
        """Records the boot id of a target; a later one clears its mark."""
        return self._merge_mark(target_id, Mark(boot_id))

    def set_silent(self, target_id: identifiers.TargetId, silent: bool) -> bool:
        """Records whether a target that this instance watches is silent."""
        held = self._marks.get(target_id, Mark())
        if held.silent == silent:
            return False
        received = attrs.evolve(held, sequence=held.sequence + 1, silent=silent)
        return self._merge_mark(target_id, received)

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns marks that a peer may not have received."""
        del scope, now
        return self._spreader.collect(peer, budget_bytes)

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Merges the marks in a peer's payload."""
        del now
        read = self._spreader.read(payload)
        if isinstance(read, result.Err):
            self.unreadable += 1
            return
        digest, rows = read.ok_value
        for row in rows:
            unpacked = _unpack(row)
            if isinstance(unpacked, result.Err):
                self.unreadable += 1
                continue
            target_id, mark = unpacked.ok_value
            self._merge_mark(target_id, mark)
        self._spreader.compare(sender, digest)

    def _merge_mark(
        self, target_id: identifiers.TargetId, received: Mark
    ) -> bool:
        """Merges a mark into the table; returns whether the table changed."""
        held = self._marks.get(target_id, Mark())
        merged = merge(held, received)
        if merged == held:
            return False
        exceptions.check_invariant(
            merged.boot_id >= held.boot_id,
            "a merged mark does not return to an earlier boot id",
            target_id,
        )
        was_leaving = self.is_leaving(target_id)
        self._marks[target_id] = merged
        dropped = self._spreader.put(
            target_id, _pack(target_id, merged), MARK_RELAY_COUNT
        )
        if dropped is not None:
            self._drop_mark(identifiers.TargetId(dropped))
        self._notify(target_id, was_leaving)
        return True

    def _drop_mark(self, target_id: identifiers.TargetId) -> None:
        """Removes the mark of a target."""
        was_leaving = self.is_leaving(target_id)
        self._marks.pop(target_id, None)
        self._notify(target_id, was_leaving)

    def _notify(
        self, target_id: identifiers.TargetId, was_leaving: bool
    ) -> None:
        """Notifies the subscribers if a target's leaving state changed."""
        is_leaving = self.is_leaving(target_id)
        if was_leaving != is_leaving:
            for subscriber in tuple(self._subscribers):
                subscriber(target_id, is_leaving)


def _pack(target_id: identifiers.TargetId, mark: Mark) -> bytes:
    """Encodes a mark in its wire format."""
    return msgspec.msgpack.encode(
        _PackedMark(
            target_id,
            mark.boot_id,
            int(mark.sticky),
            mark.sequence,
            mark.silent,
        )
    )


@decoding.decoder("mark of a target")
def _unpack(
    row: bytes,
) -> result.Result[tuple[identifiers.TargetId, Mark], str]:
    """Decodes a mark."""
    decoded = _decode_mark(row)
    if isinstance(decoded, result.Err):
        return decoded
    packed = decoded.ok_value
    too_long = max(len(packed.target_id), len(packed.boot_id)) > MAX_ID_LENGTH
    if too_long or not 0 <= packed.sequence <= MAX_SEQUENCE:
        return result.Err("an id is too long, or the sequence out of range")
    mark = Mark(
        identifiers.BootId(packed.boot_id),
        Cause(packed.sticky) & STICKY_CAUSES,
        packed.sequence,
        packed.silent,
    )
    return result.Ok((identifiers.TargetId(packed.target_id), mark))
