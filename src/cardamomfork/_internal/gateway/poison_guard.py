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
CRASH_CONFIRMATION_WINDOW_S = 3.0
"""Time after a broken answer in which an unreachable target confirms it."""
MAX_CRASHED_TARGETS = 3
"""Targets that a request may crash before it is blocked."""
BLOCK_S = 60.0
"""Time for which it stays blocked after the last crash."""


@attrs.frozen
class Crash:
    """A target that crashed while it ran a request.

    Attributes:
        fingerprint: Tells requests with the same content.
        target_id: The target.
    """

    fingerprint: int
    target_id: str


@attrs.define
class _CrashRecord:
    """Targets that a request has crashed, and the time of the last."""

    target_ids: set[str] = attrs.field(factory=set)
    last_at: float = 0.0


class PoisonGuard:
    """Counts crashes by request."""

    def __init__(self) -> None:
        """Starts without suspicions."""
        self._suspects: OrderedDict[Crash, float] = OrderedDict()
        self._crashes: OrderedDict[int, _CrashRecord] = OrderedDict()

    def recent_crashes(self, now: float) -> list[Crash]:
        """Returns crashes that peers should know of."""
        return [
            Crash(fingerprint, target_id)
            for fingerprint, record in self._crashes.items()
            if now - record.last_at < BLOCK_S
            for target_id in record.target_ids
        ]

    def add_suspect(self, fingerprint: int, target_id: str, now: float) -> None:
        """Notes that an answer broke off."""
        bounded_tables.put_newest(
            self._suspects, Crash(fingerprint, target_id), now, MAX_ENTRIES
        )

    def confirm_crash(self, target_id: str, now: float) -> list[Crash]:
        """Notes that a target is unreachable; returns the crashes counted."""
        confirmed = [
            crash
            for crash, at in self._suspects.items()
            if crash.target_id == target_id
            and now - at <= CRASH_CONFIRMATION_WINDOW_S
        ]
        for crash in confirmed:
            del self._suspects[crash]
            self.record_crash(crash, now)
        return confirmed

    def record_crash(self, crash: Crash, now: float) -> None:
        """Counts a crash, also one that a peer has told."""
        record = self._crashes.get(crash.fingerprint) or _CrashRecord()
        if crash.target_id not in record.target_ids:
            record.target_ids.add(crash.target_id)
            record.last_at = now
        bounded_tables.put_newest(
            self._crashes, crash.fingerprint, record, MAX_ENTRIES
        )

    def is_blocked(self, fingerprint: int, now: float) -> bool:
        """Tells whether a request is not sent any more."""
        record = self._crashes.get(fingerprint)
        return (
            record is not None
            and len(record.target_ids) >= MAX_CRASHED_TARGETS
            and now - record.last_at < BLOCK_S
        )
