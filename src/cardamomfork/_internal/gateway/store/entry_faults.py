"""Counts and logs entries of the store that can't be used.

Another writer may leave any number of such entries, and each scan returns them
again. One entry must not keep the others from being applied.
"""

from __future__ import annotations

from collections import OrderedDict
import contextlib
import time
from typing import TYPE_CHECKING

from loguru import logger

from cardamomfork._internal import bounded_tables
from cardamomfork._internal import decoding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

MAX_REMEMBERED_ENTRIES = 4096
MAX_LOGGED_ENTRIES = 20
"""Lines in one window; further entries are only counted."""
WINDOW_S = 60.0
MAX_KEY_CHARACTERS = 120


class EntryFaults:
    """Entries under one prefix that were dropped."""

    def __init__(
        self, message: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Starts without any.

        Args:
            message: Log message of a dropped entry.
            clock: Monotonic time.
        """
        self._message = message
        self._clock = clock
        self._known: OrderedDict[str, int] = OrderedDict()
        self._window_ends_at = -WINDOW_S
        self._logged = 0
        self._unlogged = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of entries dropped so far, with those of each scan."""
        return self._dropped

    def record(self, key: str, version: int, reason: str) -> None:
        """Records a dropped entry; logs it once for each of its versions.

        Args:
            key: Key of the entry.
            version: Its version.
            reason: Why it was dropped.
        """
        self._dropped += 1
        name = key[:MAX_KEY_CHARACTERS]
        if self._known.get(name) == version:
            return
        bounded_tables.put_newest(
            self._known, name, version, MAX_REMEMBERED_ENTRIES
        )
        now = self._clock()
        if now >= self._window_ends_at:
            self._window_ends_at = now + WINDOW_S
            self._logged = 0
        if self._logged >= MAX_LOGGED_ENTRIES:
            self._unlogged += 1
            return
        self._logged += 1
        logger.warning(self._message, name=name, reason=reason)

    def summarize(self) -> None:
        """Logs how many entries have not been logged since the last call."""
        if self._unlogged:
            logger.warning(
                "further malformed entries",
                kind=self._message,
                count=self._unlogged,
            )
            self._unlogged = 0

    @contextlib.contextmanager
    def contained(self, key: str, version: int) -> Iterator[None]:
        """Records an entry whose application fails; others are applied."""
        try:
            yield
        except Exception as error:  # noqa: BLE001
            self.record(
                key, version, f"not applied: {decoding.describe(error)}"
            )
