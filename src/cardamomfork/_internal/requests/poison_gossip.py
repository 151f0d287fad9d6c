"""What instances tell each other about suspects.

Ages travel instead of times. News of a death or an end is told once to each
peer, and all that matters again after a while, so a lost payload only delays.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import suspicion

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers

SAME_EVENT_S = 30.0
"""Reports of one event may differ by so much: transit adds to no age."""
REFRESH_S = 30.0
MAX_PEERS = 1024
ELSEWHERE_S = 5.0


class SuspectNews(msgspec.Struct, array_like=True, frozen=True):
    """One record on the wire.

    Attributes:
        key: First bytes of the fingerprint.
        deaths: Seconds since each target's death with it.
        weight: Sum of 1/n over the deaths, in thousandths.
        cleared_age: Seconds since it finished; negative for never.
        quarantine_left: Seconds of quarantine left; 0 for none.
        runs_here: Whether it runs on a target of the sender's.
    """

    key: bytes
    deaths: dict[str, int]
    weight: int
    cleared_age: int = -1
    quarantine_left: int = 0
    runs_here: bool = False


class PoisonGossip:
    """Meets `Participant` for the topic `POISON`."""

    def __init__(self, guard: poison.PoisonGuard) -> None:
        """Keeps the guard whose records are told."""
        self._guard = guard
        self._told: dict[identifiers.InstanceId, tuple[int, float]] = {}
        self._pushed_events = 0
        self.unreadable = 0

    @property
    def urgent(self) -> bool:
        """Whether a death or a suspect's start here was not pushed yet.

        The peer link then collects for every peer of the data centre at
        once and calls `pushed`.
        """
        return self._events() > self._pushed_events

    def pushed(self) -> None:
        """Notes that the news were pushed."""
        self._pushed_events = self._events()

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
        """Returns the peer's news, the longest untold first."""
        told, refreshed_at = self._told.get(peer, (0, now))
        if now - refreshed_at >= REFRESH_S:
            told, refreshed_at = 0, now
        news: list[tuple[int, bytes]] = []
        for key, suspect in reversed(self._guard.suspects.items()):
            if suspect.changed <= told:
                break
            news.append((suspect.changed, key))
        parts: list[bytes] = []
        size = 8
        for changed, key in reversed(news):
            part = msgspec.msgpack.encode(self._news(key, now))
            if size + len(part) > budget_bytes:
                break
            parts.append(part)
            size += len(part)
            told = changed
        if peer not in self._told and len(self._told) >= MAX_PEERS:
            del self._told[next(iter(self._told))]
        self._told[peer] = (told, refreshed_at)
        if not parts:
            return b""
        return msgspec.msgpack.encode([msgspec.Raw(part) for part in parts])

    def absorb(
        self,
        sender: identifiers.InstanceId,  # noqa: ARG002
        payload: bytes,
        now: float,
    ) -> None:
        """Takes a peer's news; drops and counts what it can't read."""
        try:
            news = msgspec.msgpack.decode(payload, type=list[SuspectNews])
        except msgspec.DecodeError:
            self.unreadable += 1
            return
        for item in news:
            self._take(item, now)

    def _events(self) -> int:
        """Counts what is pushed."""
        counters = self._guard.counters
        return counters.deaths + counters.isolated

    def _news(self, key: bytes, now: float) -> SuspectNews:
        """Returns a record as the peers are told it."""
        suspect = self._guard.suspects[key]
        cleared = now - suspect.cleared_at
        return SuspectNews(
            key,
            {
                target: round(now - at)
                for target, at in suspect.deaths.items()
                if now - at < suspicion.SUSPECT_S
            },
            round(suspect.weight * 1000),
            round(cleared) if cleared < suspicion.SUSPECT_S else -1,
            max(round(min(suspect.quarantined_until - now, 1e6)), 0)
            if suspect.quarantined_until > now
            else 0,
            self._guard.runs_here(key),
        )

    def _take(self, item: SuspectNews, now: float) -> None:
        """Merges one record; a repeat changes nothing."""
        key = item.key[: suspicion.FINGERPRINT_BYTES]
        suspect = self._guard.record(key)
        if item.runs_here:
            suspect.elsewhere_until = now + ELSEWHERE_S
        changed = False
        if item.cleared_age >= 0:
            cleared_at = now - item.cleared_age
            if cleared_at > suspect.cleared_at + SAME_EVENT_S:
                suspect.cleared_at = cleared_at
                suspect.weight = 0.0
                changed = True
        until = now + item.quarantine_left
        if item.quarantine_left and (
            until > suspect.quarantined_until + SAME_EVENT_S
        ):
            suspect.quarantined_until = until
            suspect.quarantines = max(suspect.quarantines, 1)
            changed = True
        share = item.weight / 1000 / max(len(item.deaths), 1)
        for target, age in item.deaths.items():
            known = suspect.deaths.get(_target(target), float("-inf"))
            if now - age > known + SAME_EVENT_S:
                self._guard.accuse(key, _target(target), now - age, share, now)
        if changed or (self._guard.runs_here(key) and not item.runs_here):
            self._guard.change(key)


def _target(name: str) -> identifiers.TargetId:
    """Returns a target's name as a name."""
    return name  # type: ignore[return-value]
