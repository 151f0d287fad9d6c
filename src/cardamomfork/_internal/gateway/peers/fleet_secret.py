"""A secret that authenticates the instances of a fleet to each other.

It lives in the platform's store, which callers can't read. The first instance
creates it; the others read it.
"""

from __future__ import annotations

from collections import deque
import secrets
from typing import TYPE_CHECKING

import anyio
from loguru import logger
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

KEY = "peering/secret"
SECRET_BYTES = 32
MAX_SECRET_BYTES = 512
MAX_ACCEPTED = 4
"""Secrets that are accepted; a store that was restored from a copy may lead to
a new one."""
REREAD_INTERVAL_S = 60.0
RETRY_DELAY_S = 1.0
CREATION_SPREAD_S = 1.0
"""Longest random delay before an instance creates the secret, so that few of
those that start together write it."""


@decoding.decoder("fleet secret")
def decode(value: bytes) -> result.Result[str, str]:
    """Decodes a secret, which is sent in a header."""
    if not 0 < len(value) <= MAX_SECRET_BYTES:
        return result.Err("malformed fleet secret: length")
    secret = value.decode("ascii")
    if not secret.isalnum():
        return result.Err("malformed fleet secret: characters")
    return result.Ok(secret)


class FleetSecret:
    """The secrets that this instance knows, newest first."""

    def __init__(self) -> None:
        """Initializes an instance that knows none."""
        self._known: deque[str] = deque(maxlen=MAX_ACCEPTED)

    @property
    def current(self) -> str:
        """The secret to send; empty if none is known."""
        return self._known[0] if self._known else ""

    @property
    def accepted(self) -> tuple[str, ...]:
        """The secrets that authenticate another instance."""
        return tuple(self._known)

    def add(self, secret: str) -> None:
        """Makes a secret the current one."""
        if secret != self.current:
            if secret in self._known:
                self._known.remove(secret)
            self._known.appendleft(secret)

    async def run(
        self,
        polled_store: store.PolledStore,
        on_answer: Callable[[store.StoreFault | None], None],
        rng: random.Random,
    ) -> None:
        """Reads the secret again and again, or creates it, until cancelled.

        Args:
            polled_store: The store.
            on_answer: Called with the fault of a call, or with None.
            rng: Random generator for delays.
        """
        while True:
            is_stored = await self._read(polled_store, on_answer)
            if is_stored is False:
                await anyio.sleep(CREATION_SPREAD_S * rng.random())
                if await self._read(polled_store, on_answer) is False:
                    await self._create(polled_store, on_answer)
                    is_stored = None
            with anyio.move_on_after(
                REREAD_INTERVAL_S * (0.5 + rng.random())
                if is_stored
                else RETRY_DELAY_S
            ):
                await polled_store.wait_until_restored()
                await anyio.sleep(CREATION_SPREAD_S * rng.random())

    async def _read(
        self,
        polled_store: store.PolledStore,
        on_answer: Callable[[store.StoreFault | None], None],
    ) -> bool | None:
        """Reads the secret.

        Returns:
            Whether there is one; None if the call failed.
        """
        scanned = await polled_store.scan(KEY)
        if isinstance(scanned, result.Err):
            on_answer(scanned.err_value)
            logger.warning(
                "fleet secret not read", reason=str(scanned.err_value.kind)
            )
            return None
        on_answer(None)
        for entry in scanned.ok_value.entries:
            if entry.key == KEY:
                decoded = decode(entry.value)
                if isinstance(decoded, result.Err):
                    logger.warning(
                        "fleet secret not read", reason=decoded.err_value
                    )
                else:
                    self.add(decoded.ok_value)
                return True
        return False

    async def _create(
        self,
        polled_store: store.PolledStore,
        on_answer: Callable[[store.StoreFault | None], None],
    ) -> None:
        """Writes the known secret, or a new one, unless there is one."""
        secret = self.current or secrets.token_hex(SECRET_BYTES)
        written = await polled_store.put(
            KEY, secret.encode(), expected=store.ABSENT
        )
        if isinstance(written, result.Ok):
            on_answer(None)
            self.add(secret)
        elif isinstance(written.err_value, store.StoreFault):
            on_answer(written.err_value)
            logger.warning(
                "fleet secret not written", reason=str(written.err_value.kind)
            )
