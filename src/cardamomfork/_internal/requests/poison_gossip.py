"""Gossip about suspects between instances.

Payloads carry ages instead of times, because the instances' monotonic clocks
differ. Each change is sent once to each peer. All suspects are sent again
every `RESEND_ALL_INTERVAL_S`, so a lost payload only delays an update.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import suspicion

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers

SAME_EVENT_TOLERANCE_S = 30.0
"""Times of one event may differ by this much between reports.

Ages don't include the time in transit.
"""
RESEND_ALL_INTERVAL_S = 30.0
MAX_PEERS = 1024
PEER_RUN_HOLD_S = 5.0


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A suspect as encoded on the wire.

    Attributes:
        key: First bytes of the fingerprint.
        deaths: Seconds since the death of each target that was running it.
        weight: Sum of 1/n over the deaths, in thousandths, where n is the
            number of requests that ran on the target.
        cleared_age: Seconds since it was last cleared; negative if never.
        quarantine_left: Seconds of quarantine left; 0 if not quarantined.
        is_running: Whether the sender is running it.
    """

    key: bytes
    deaths: dict[str, int]
    weight: int
    cleared_age: int = -1
    quarantine_left: int = 0
    is_running: bool = False


_decode_updates = decoding.msgpack_rows_decoder("suspects", SuspectUpdate)


class PoisonGossip:
    """Implements `gossip.Participant` for the topic `POISON`."""

    def __init__(self, guard: poison.PoisonGuard) -> None:
        """Initializes the participant for a guard's suspects."""
        self._guard = guard
        self._sent: dict[identifiers.InstanceId, tuple[int, float]] = {}
        self._pushed_event_count = 0
        self.unreadable = 0

    @property
    def urgent(self) -> bool:
        """Whether a target's death or a suspect's start has to be pushed.

        If so, the peer link collects updates for every peer of the data
        centre at once and calls `pushed`.
        """
        return self._event_count() > self._pushed_event_count

    def pushed(self) -> None:
        """Records that all updates so far were pushed."""
        self._pushed_event_count = self._event_count()

    @property
    def topic(self) -> gossip.Topic:
        """The topic of its payloads."""
        return gossip.Topic.POISON

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,  # noqa: ARG002
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns the updates that a peer has not been sent, oldest first."""
        sent_through, resent_at = self._sent.get(peer, (0, now))
        if now - resent_at >= RESEND_ALL_INTERVAL_S:
            sent_through, resent_at = 0, now
        pending: list[tuple[int, bytes]] = []
        for key, suspect in reversed(self._guard.suspects.items()):
            if suspect.change_number <= sent_through:
                break
            pending.append((suspect.change_number, key))
        parts: list[bytes] = []
        size = 8
        for change_number, key in reversed(pending):
            part = msgspec.msgpack.encode(self._make_update(key, now))
            if size + len(part) > budget_bytes:
                break
            parts.append(part)
            size += len(part)
            sent_through = change_number
        if peer not in self._sent and len(self._sent) >= MAX_PEERS:
            del self._sent[next(iter(self._sent))]
        self._sent[peer] = (sent_through, resent_at)
        if not parts:
            return b""
        return msgspec.msgpack.encode([msgspec.Raw(part) for part in parts])

    def absorb(
        self,
        sender: identifiers.InstanceId,  # noqa: ARG002
        payload: bytes,
        now: float,
    ) -> None:
        """Merges a peer's updates; drops and counts unreadable payloads."""
        decoded = _decode_updates(payload)
        if isinstance(decoded, result.Err):
            self.unreadable += 1
            return
        updates, odd_count = decoded.ok_value
        self.unreadable += odd_count
        for update in updates:
            self._merge(update, now)

    def _event_count(self) -> int:
        """Returns the number of events that have to be pushed so far."""
        counters = self._guard.counters
        return counters.deaths + counters.isolated

    def _make_update(self, key: bytes, now: float) -> SuspectUpdate:
        """Returns the update about a suspect that is sent to the peers."""
        suspect = self._guard.suspects[key]
        cleared = now - suspect.cleared_at
        return SuspectUpdate(
            key,
            {
                target: round(now - at)
                for target, at in suspect.deaths.items()
                if now - at < suspicion.SUSPICION_TTL_S
            },
            round(suspect.weight * 1000),
            round(cleared) if cleared < suspicion.SUSPICION_TTL_S else -1,
            max(round(min(suspect.quarantined_until - now, 1e6)), 0)
            if suspect.quarantined_until > now
            else 0,
            self._guard.is_running(key),
        )

    def _merge(self, update: SuspectUpdate, now: float) -> None:
        """Merges one update; merging it again has no effect."""
        key = update.key[: suspicion.KEY_BYTES]
        suspect = self._guard.get_or_create(key)
        if update.is_running:
            suspect.peer_run_until = now + PEER_RUN_HOLD_S
        changed = False
        if update.cleared_age >= 0:
            cleared_at = now - update.cleared_age
            if cleared_at > suspect.cleared_at + SAME_EVENT_TOLERANCE_S:
                suspect.cleared_at = cleared_at
                suspect.weight = 0.0
                changed = True
        until = now + update.quarantine_left
        if update.quarantine_left and (
            until > suspect.quarantined_until + SAME_EVENT_TOLERANCE_S
        ):
            suspect.quarantined_until = until
            suspect.quarantines = max(suspect.quarantines, 1)
            changed = True
        weight_per_death = update.weight / 1000 / max(len(update.deaths), 1)
        for target, age in update.deaths.items():
            known = suspect.deaths.get(_target_id(target), float("-inf"))
            if now - age > known + SAME_EVENT_TOLERANCE_S:
                self._guard.record_death(
                    key, _target_id(target), now - age, weight_per_death, now
                )
        if changed or (self._guard.is_running(key) and not update.is_running):
            self._guard.mark_changed(key)


def _target_id(name: str) -> identifiers.TargetId:
    """Returns a decoded string typed as a target id."""
    return name  # type: ignore[return-value]
