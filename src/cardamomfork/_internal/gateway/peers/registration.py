"""Registration of this instance in the platform's store, and peer discovery."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger
import msgspec
import result

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway.peers import digest_codec
    from cardamomfork._internal.gateway.peers import peer_table

INSTANCE_KEY_PREFIX = "instances/"
"""Prefix of the keys of entry instances in the store."""
LEASE_S = 90.0
RENEW_INTERVAL_S = 30.0
"""A lease covers three renewals. It is long because each renewal is a billed
call, while the entry of an instance that has gone costs only a few digests from
instances that start before the entry expires."""
RETRY_DELAY_S = 0.7
"""Delay after a failed call in a small fleet."""
RESCAN_INTERVAL_S = 30.0
"""Time after which entries are read again, in case datagrams between two
instances were lost when both read the entries first."""

SPREAD_PER_INSTANCE_S = 0.012
"""Longest random delay, times the number of instances, before one registers
again in a store that was restored from a copy, and delay after a failed call.
Keeps the writes of all instances together below 200 a second."""
MAX_SPREAD_S = 1.3
"""Longest delay in a large fleet."""


async def maintain_registration(
    polled_store: store.PolledStore,
    local_peer: digest_codec.Peer,
    table: peer_table.PeerTable,
    on_answer: Callable[[store.StoreFault | None], None],
    rng: random.Random,
) -> None:
    """Registers this instance and discovers peers until cancelled.

    Args:
        polled_store: The store.
        local_peer: This instance.
        table: Receives the peers found in the store.
        on_answer: Called with the fault of a call to the store, or with None
            if it succeeded.
        rng: Random generator for delays.
    """
    lease: store.Lease | None = None
    version = store.ABSENT
    scanned_at: float | None = None
    while True:
        is_renewed = True
        if lease is None:
            written = await _write_entry(
                polled_store, local_peer, version, on_answer
            )
            if written is not None:
                lease, version = written
        else:
            renewed = await polled_store.renew_lease(lease.lease_id)
            if isinstance(renewed, result.Ok):
                on_answer(None)
            else:
                on_answer(renewed.err_value)
                is_renewed = False
                if renewed.err_value.kind is store.StoreFaultKind.LEASE_GONE:
                    lease = None
                    continue
        now = anyio.current_time()
        if scanned_at is None or now - scanned_at >= RESCAN_INTERVAL_S:
            scanned = await polled_store.scan(INSTANCE_KEY_PREFIX)
            if isinstance(scanned, result.Ok):
                table.add_entries(scanned.ok_value.entries)
                scanned_at = now
            else:
                logger.warning(
                    "peer entries not read",
                    reason=f"{scanned.err_value.kind}"
                    f" {scanned.err_value.detail}",
                )
        is_settled = is_renewed and None not in (lease, scanned_at)
        spread_s = min(SPREAD_PER_INSTANCE_S * table.known_count, MAX_SPREAD_S)
        with anyio.move_on_after(
            RENEW_INTERVAL_S if is_settled else max(RETRY_DELAY_S, spread_s)
        ):
            await polled_store.wait_until_restored()
            await anyio.sleep(spread_s * rng.random())


async def _write_entry(
    polled_store: store.PolledStore,
    local_peer: digest_codec.Peer,
    version: int,
    on_answer: Callable[[store.StoreFault | None], None],
) -> tuple[store.Lease, int] | None:
    """Writes this instance's entry under a new lease.

    Args:
        polled_store: The store.
        local_peer: This instance.
        version: Version of the entry that it wrote last, or `ABSENT`.
        on_answer: Called with the fault of a call, or with None.

    Returns:
        The lease and the version of the entry, or None if a call failed.
    """
    granted = await polled_store.grant_lease(LEASE_S)
    if isinstance(granted, result.Err):
        on_answer(granted.err_value)
        return None
    key = INSTANCE_KEY_PREFIX + local_peer.instance_id
    value = msgspec.json.encode(local_peer)
    expected = version
    for _ in range(2):
        written = await polled_store.put(
            key, value, expected=expected, lease=granted.ok_value.lease_id
        )
        if isinstance(written, result.Ok):
            on_answer(None)
            return granted.ok_value, written.ok_value.version
        if isinstance(written.err_value, store.StoreFault):
            on_answer(written.err_value)
            return None
        # The entry exists: an earlier process of this instance wrote it, or
        # the answer to an earlier write was lost.
        current = written.err_value.current
        expected = current.version if current else store.ABSENT
    return None
