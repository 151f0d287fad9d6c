"""Requests that crash the targets that run them.

A request whose connection breaks is suspected; the suspicion becomes a count
when its target turns out to be unreachable right after. A request that is
counted at several targets is not sent any more for a while.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs

from cardamomfork._internal import bounded_tables

MAX_ENTRIES = 4096
CONFIRM_WITHIN_S = 3.0
"""Time after a broken answer in which an unreachable target confirms it."""
MAX_DEATHS = 3
"""Targets that a request may crash before it is blocked."""
BLOCK_S = 60.0
"""Time for which it stays blocked after the last crash."""


@attrs.frozen
class Death:
    """A target that crashed while it ran a request.

    Attributes:
        fingerprint: Tells requests with the same content.
        target_id: The target.
    """

    fingerprint: int
    target_id: str


@attrs.define
class _Record:
    """Targets that a request has crashed, and the time of the last."""

    target_ids: set[str] = attrs.field(factory=set)
    last_at: float = 0.0


class PoisonGuard:
    """Counts crashes by request."""

    def __init__(self) -> None:
        """Starts without suspicions."""
        self._suspects: OrderedDict[Death, float] = OrderedDict()
        self._deaths: OrderedDict[int, _Record] = OrderedDict()

    def deaths(self, now: float) -> list[Death]:
        """Returns crashes that peers should know of."""
        return [
            Death(fingerprint, target_id)
            for fingerprint, record in self._deaths.items()
            if now - record.last_at < BLOCK_S
            for target_id in record.target_ids
        ]

    def suspect(self, fingerprint: int, target_id: str, now: float) -> None:
        """Notes that an answer broke off."""
        bounded_tables.put_newest(
            self._suspects, Death(fingerprint, target_id), now, MAX_ENTRIES
        )

    def confirm_death(self, target_id: str, now: float) -> list[Death]:
        """Notes that a target is unreachable; returns the crashes counted."""
        confirmed = [
            death
            for death, at in self._suspects.items()
            if death.target_id == target_id and now - at <= CONFIRM_WITHIN_S
        ]
        for death in confirmed:
            del self._suspects[death]
            self.count(death, now)
        return confirmed

    def count(self, death: Death, now: float) -> None:
        """Counts a crash, also one that a peer has told."""
        record = self._deaths.get(death.fingerprint) or _Record()
        if death.target_id not in record.target_ids:
            record.target_ids.add(death.target_id)
            record.last_at = now
        bounded_tables.put_newest(
            self._deaths, death.fingerprint, record, MAX_ENTRIES
        )

    def is_blocked(self, fingerprint: int, now: float) -> bool:
        """Tells whether a request is not sent any more."""
        record = self._deaths.get(fingerprint)
        return (
            record is not None
            and len(record.target_ids) >= MAX_DEATHS
            and now - record.last_at < BLOCK_S
        )
