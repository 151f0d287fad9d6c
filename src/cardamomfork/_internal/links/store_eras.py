"""Tells to which era of the store an answer belongs.

The store may be restored from an older copy. Its era then rises, and revisions
and ids of leases are given out again, so they say something only together with
their era.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterator


class EraTracker:
    """Keeps the store's era as its answers state it."""

    def __init__(self) -> None:
        """Starts at era 0, which a store without eras keeps."""
        self._era = 0
        self._has_answered = False
        self._restored = anyio.Event()
        self._waiting: dict[int, anyio.CancelScope] = {}

    @property
    def current(self) -> int:
        """Era of the newest answer; 0 before the first."""
        return self._era

    @property
    def is_known(self) -> bool:
        """Whether an answer has shown the era."""
        return self._has_answered

    def record(self, era: int | None, sent_era: int) -> int | None:
        """Records the era that an answer states.

        An era below the current one is an answer that was delayed, if its call
        was sent before the current era was known. Otherwise the store has
        another era again, whatever the reason.

        Args:
            era: Era that the answer states, or None if it states none.
            sent_era: Current era when the call was sent.

        Returns:
            The era that the answer belongs to; None if it is outdated.
        """
        if era is None:
            era = sent_era
        if era == self._era:
            self._has_answered = True
            return era
        if era < self._era and sent_era != self._era:
            logger.info("outdated answer of the store", version=era)
            return None
        self._change(era)
        return era

    @contextlib.contextmanager
    def cancelled_when_restored(self) -> Iterator[anyio.CancelScope]:
        """Cancels the enclosed wait when the era changes."""
        with anyio.CancelScope() as scope:
            self._waiting[id(scope)] = scope
            try:
                yield scope
            finally:
                del self._waiting[id(scope)]

    async def wait_until_restored(self) -> None:
        """Waits for the next change of the era."""
        await self._restored.wait()

    def _change(self, era: int) -> None:
        """Changes the era, which ends all waits."""
        old, self._era = self._era, era
        if not self._has_answered:
            self._has_answered = True
            return
        logger.warning("store era changed", count=old, version=era)
        for scope in self._waiting.values():
            scope.cancel()
        self._restored.set()
        self._restored = anyio.Event()
