"""Which targets take no new work, told to every instance within seconds.

The platform's list, a target's own word or refusal and an operator's drain
each mark a target leaving. A mark sticks to the target's boot id: only a later
life clears it. Silence is marked by the instances that watch the target; it is
taken back only by a later word of theirs on the same life, since a target that
could not be reached for a while has not said that it goes.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.instances import deltas
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

MAX_TARGETS = 8192
MAX_ID_LENGTH = 200
MARK_RELAY_COUNT = 24
"""Peers that hear of a mark unasked: a delegate in each data centre too."""
NO_BOOT_ID = identifiers.BootId("")


class Cause(enum.IntFlag):
    """Why a target takes no new work."""

    LISTED = 1
    """The platform's list says that it leaves or no longer has it."""
    SAID = 2
    """Its load report said so, or it refused work for that reason."""
    SILENT = 4
    """Those that watch it hear nothing."""
    DRAINED = 8
    """An operator drains it."""


STICKY_CAUSES = Cause.LISTED | Cause.SAID


class _PackedMark(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """A mark on the wire."""

    target_id: str
    boot_id: str = ""
    sticky: int = 0
    sequence: int = 0
    silent: bool = False


@attrs.frozen
class Mark:
    """What is known against one life of a target.

    Attributes:
        boot_id: Which life; empty while no boot id is known.
        sticky: Causes that only a later life clears.
        sequence: Counts the changes of `silent`.
        silent: Whether those that watch it hear nothing.
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
    """Returns what two marks of a target amount to; order doesn't matter."""
    if held.boot_id != received.boot_id:
        return max(held, received, key=lambda mark: mark.boot_id)
    newer = max(held, received, key=lambda mark: (mark.sequence, mark.silent))
    return attrs.evolve(newer, sticky=held.sticky | received.sticky)


class LeavingTargets:
    """Marks on targets; gossips them under `Topic.LEAVING`."""

    def __init__(self, max_targets: int = MAX_TARGETS) -> None:
        """Starts without marks.

        Args:
            max_targets: Most marks held; the longest unchanged go first.
        """
        self._spreader = deltas.DeltaSpreader(max_targets)
        self._marks: dict[identifiers.TargetId, Mark] = {}
        self._drained: set[str] = set()
        self._subscribers: list[
            Callable[[identifiers.TargetId, bool], None]
        ] = []
        self.unreadable = 0

    @property
    def topic(self) -> gossip.Topic:
        """The topic of its payloads."""
        return gossip.Topic.LEAVING

    @property
    def marked(self) -> Collection[identifiers.TargetId]:
        """The targets that have a mark or are drained."""
        drained = map(identifiers.TargetId, self._drained)
        return self._marks.keys() | set(drained)

    def subscribe(
        self, callback: Callable[[identifiers.TargetId, bool], None]
    ) -> None:
        """Calls back when a target starts or stops to be leaving."""
        self._subscribers.append(callback)

    def causes(self, target_id: identifiers.TargetId) -> Cause:
        """Returns why a target takes no new work; empty if it does."""
        drained = target_id in self._drained
        mark = self._marks.get(target_id, Mark())
        return mark.causes | (Cause.DRAINED if drained else Cause(0))

    def is_leaving(self, target_id: identifiers.TargetId) -> bool:
        """Tells whether a target takes no new work."""
        return bool(self.causes(target_id))

    def set_drained(
        self, target_id: identifiers.TargetId, is_drained: bool
    ) -> None:
        """Follows the operators' drains; these travel as configuration."""
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
        """Marks a life of a target as leaving for good.

        Args:
            target_id: Which target.
            cause: `LISTED` or `SAID`.
            boot_id: Which life; the one last seen if empty.

        Returns:
            Whether this is news, which should be told at once.
        """
        exceptions.check_invariant(
            cause in (Cause.LISTED, Cause.SAID), "cause is sticky", cause
        )
        held = self._marks.get(target_id, Mark())
        return self._merge_mark(target_id, Mark(boot_id or held.boot_id, cause))

    def observe_boot_id(
        self, target_id: identifiers.TargetId, boot_id: identifiers.BootId
    ) -> bool:
        """Notes which life of a target answers; a later one is unmarked."""
        return self._merge_mark(target_id, Mark(boot_id))

    def set_silent(self, target_id: identifiers.TargetId, silent: bool) -> bool:
        """Notes whether this instance, which watches it, hears a target."""
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
        """Returns marks that a peer may lack."""
        del scope, now
        return self._spreader.collect(peer, budget_bytes)

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Takes a peer's marks."""
        del now
        try:
            digest, rows = self._spreader.read(payload)
            received = [_unpack(row) for row in rows]
        except (msgspec.DecodeError, ValueError):
            self.unreadable += 1
            return
        for target_id, mark in received:
            self._merge_mark(target_id, mark)
        self._spreader.compare(sender, digest)

    def _merge_mark(
        self, target_id: identifiers.TargetId, received: Mark
    ) -> bool:
        """Merges a mark; returns whether it changed anything."""
        held = self._marks.get(target_id, Mark())
        merged = merge(held, received)
        if merged == held:
            return False
        exceptions.check_invariant(
            merged.boot_id >= held.boot_id, "old lives never win", target_id
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
        """Drops the mark of a target."""
        was_leaving = self.is_leaving(target_id)
        self._marks.pop(target_id, None)
        self._notify(target_id, was_leaving)

    def _notify(
        self, target_id: identifiers.TargetId, was_leaving: bool
    ) -> None:
        """Tells the subscribers if a target's state changed."""
        is_leaving = self.is_leaving(target_id)
        if was_leaving != is_leaving:
            for subscriber in tuple(self._subscribers):
                subscriber(target_id, is_leaving)


def _pack(target_id: identifiers.TargetId, mark: Mark) -> bytes:
    """Returns a mark's form on the wire."""
    return msgspec.msgpack.encode(
        _PackedMark(
            target_id,
            mark.boot_id,
            int(mark.sticky),
            mark.sequence,
            mark.silent,
        )
    )


def _unpack(row: bytes) -> tuple[identifiers.TargetId, Mark]:
    """Reads a mark; raises ValueError for one that makes no sense."""
    packed = msgspec.msgpack.decode(row, type=_PackedMark)
    too_long = max(len(packed.target_id), len(packed.boot_id)) > MAX_ID_LENGTH
    if too_long or packed.sequence < 0:
        raise ValueError(f"mark of {packed.target_id[:MAX_ID_LENGTH]!r}")
    return identifiers.TargetId(packed.target_id), Mark(
        identifiers.BootId(packed.boot_id),
        Cause(packed.sticky) & STICKY_CAUSES,
        packed.sequence,
        packed.silent,
    )
