"""Follows a prefix of the platform's store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
"""Pauses after a failed call; the longest is far under the time in which a
configuration must be in force after the store's return."""


class Handler(Protocol):
    """Takes what a prefix holds."""

    def replaced(self, entries: Iterable[store.Entry]) -> None:
        """Takes all entries."""
        ...

    def changed(self, entry: store.Entry) -> None:
        """Takes one change."""
        ...


async def follow(
    platform_store: store.Store,
    prefix: str,
    handler: Handler,
    on_answer: Callable[[store.StoreFault | None], None],
    source: random.Random,
) -> None:
    """Reads a prefix and then its changes, for as long as the task runs.

    Args:
        platform_store: The store.
        prefix: Beginning of the keys.
        handler: Takes entries and changes.
        on_answer: Called with the fault, or None, after each call.
        source: Spreads calls after a failure.
    """
    backoff = MIN_BACKOFF_S
    while True:
        scanned = await platform_store.scan(prefix)
        if isinstance(scanned, result.Err):
            on_answer(scanned.err_value)
        else:
            on_answer(None)
            backoff = MIN_BACKOFF_S
            handler.replaced(scanned.ok_value.entries)
            await _watch(
                platform_store,
                prefix,
                scanned.ok_value.revision,
                handler,
                on_answer,
            )
        await anyio.sleep(backoff * (0.5 + source.random()))
        backoff = min(backoff * 2, MAX_BACKOFF_S)


async def _watch(
    platform_store: store.Store,
    prefix: str,
    revision: int,
    handler: Handler,
    on_answer: Callable[[store.StoreFault | None], None],
) -> None:
    """Passes changes on until a fault; a watch that broke goes on once."""
    failures = 0
    while failures < 2:
        async with platform_store.watch(prefix, revision) as batches:
            async for batch in batches:
                if isinstance(batch, result.Err):
                    on_answer(batch.err_value)
                    if batch.err_value.kind is store.StoreFaultKind.COMPACTED:
                        return
                    failures += 1
                    break
                on_answer(None)
                failures = 0
                revision = batch.ok_value.revision
                for entry in batch.ok_value.entries:
                    handler.changed(entry)
