"""Keeps reports of crashes in the platform's store.

Instances that restart together have no peer to learn blocked requests from, and
an instance that is cut off from its peers receives no digests. After a repeated
crash, the instance that confirms it writes what it knows under its own key. All
instances follow the keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.state import crash_records
from cardamomfork._internal.gateway.store import entry_faults

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

KEY_PREFIX = "crashes/"
MIN_WRITTEN_CRASHES = 2
"""Crashes of a request from which on they are written. Most requests with one
crash only ran beside its cause."""
FOLLOWER_BATCH_DELAY_S = 0.3
"""Pause after a change in which further changes accumulate."""
LEASE_S = 600.0
"""Time for which reports are kept without a renewal; the platform's maximum."""
RENEW_INTERVAL_S = 200.0
BATCH_DELAY_S = 0.1
"""Crashes within this time are written together."""
RETRY_DELAY_S = 0.7
"""Delay after a failed call."""
MAX_WRITE_ATTEMPTS = 2
"""The first attempt may have an outdated version of the key."""
MAX_FINGERPRINT = 2**64 - 1
MAX_STARTED_AT_MS = 2**63 - 1
MAX_TARGET_ID_CHARACTERS = 200
"""What digests can carry."""


@decoding.decoder("crash reports")
def decode(
    value: bytes,
) -> result.Result[list[crash_records.CrashReport], str]:
    """Decodes crash reports; those that digests can't carry are left out."""
    return decoding.decode_json(value, list[crash_records.CrashReport]).map(
        lambda reports: [
            report for report in reports if _is_sendable(report.crash)
        ]
    )


def _is_sendable(crash: crash_records.Crash) -> bool:
    """Returns whether a digest can carry a crash."""
    return (
        0 <= crash.fingerprint <= MAX_FINGERPRINT
        and abs(crash.started_at_ms) <= MAX_STARTED_AT_MS
        and len(crash.target_id) <= MAX_TARGET_ID_CHARACTERS
    )


class CrashPersistence:
    """Writes crash reports to the store and records those of all instances.

    Implements `follower.Handler`.
    """

    def __init__(
        self,
        polled_store: store.PolledStore,
        guard: poison_guard.PoisonGuard,
        instance_id: str,
        clock: Callable[[], float],
        on_answer: Callable[[store.StoreFault | None], None],
        on_crash: Callable[[], None],
    ) -> None:
        """Initializes the persistence.

        Args:
            polled_store: The store.
            guard: Records of requests that crash targets.
            instance_id: Id of this instance.
            clock: Monotonic time.
            on_answer: Called with the fault of a call to the store, or with
                None if it succeeded.
            on_crash: Called after the store had a crash that was not known.
        """
        self._store = polled_store
        self._guard = guard
        self._key = KEY_PREFIX + instance_id
        self._clock = clock
        self._on_answer = on_answer
        self._on_crash = on_crash
        self._lease: store.Lease | None = None
        self._renew_at = 0.0
        self._version = store.ABSENT
        self._written = b""
        self._has_unwritten = anyio.Event()
        self._faults = entry_faults.EntryFaults("malformed crash reports")

    def notify(self) -> None:
        """Schedules a write after a crash that this instance confirmed."""
        self._has_unwritten.set()

    async def run(self) -> None:
        """Writes new reports until cancelled."""
        while True:
            wait_s = (
                RENEW_INTERVAL_S
                if self._lease is None
                else max(self._renew_at - anyio.current_time(), 0.0)
            )
            with anyio.move_on_after(wait_s):
                await self._has_unwritten.wait()
            if self._has_unwritten.is_set():
                await anyio.sleep(BATCH_DELAY_S)
                self._has_unwritten = anyio.Event()
                await self._or_write_again(self._write_changes)
            # Writes of the same reports don't renew their lease.
            is_due = anyio.current_time() >= self._renew_at
            if self._lease is not None and is_due:
                await self._or_write_again(self._renew)

    async def _or_write_again(
        self, function: Callable[[], Awaitable[None]]
    ) -> None:
        """Calls the store; if that fails, reports are written after a restart.

        Raises:
            Exception: The failure of the function.
        """
        try:
            await function()
        except Exception:
            self._lease = None
            self._has_unwritten.set()
            raise

    def store_restored(self, revision: int) -> None:
        """Writes this instance's reports again, since they may be lost."""
        del revision
        if self._lease is not None:
            self._lease = None
            self.notify()

    def apply_snapshot(self, scan: store.Scan) -> None:
        """Records the reports of all instances.

        An instance that has just started must not wait for objections again.
        """
        self._record_all(scan.entries, poison_guard.OBJECTION_TIME_S)

    def apply_changes(self, batch: store.WatchBatch) -> None:
        """Records the reports of some instances; deletions change nothing."""
        self._record_all(batch.entries, 0.0)

    def _record_all(self, entries: Iterable[store.Entry], age_s: float) -> None:
        """Records the reports of some entries, each on its own."""
        for entry in entries:
            with self._faults.contained(entry.key, entry.version):
                self._record(entry, age_s)
        self._faults.summarize()

    def _record(self, entry: store.Entry, age_s: float) -> None:
        """Records the reports of an entry.

        Args:
            entry: The entry.
            age_s: Least time for which others have known them, in seconds.
        """
        if entry.version == store.ABSENT:
            return
        decoded = decode(entry.value)
        if isinstance(decoded, result.Err):
            self._faults.record(entry.key, entry.version, decoded.err_value)
            return
        now = self._clock()
        has_new = False
        for report in decoded.ok_value:
            has_new |= self._guard.record_crash(report, now, age_s)
        if has_new:
            self._on_crash()

    async def _write_changes(self) -> None:
        """Writes the reports of repeated crashes, unless they are written."""
        while True:
            reports = self._guard.repeated_crashes(
                self._clock(), MIN_WRITTEN_CRASHES
            )
            value = msgspec.json.encode(reports)
            is_known = value == self._written and self._lease is not None
            if is_known or not (reports or self._written):
                return
            answer = await self._write(value)
            if isinstance(answer, result.Ok):
                self._written = value
                self._on_answer(None)
                return
            self._on_answer(answer.err_value)
            await anyio.sleep(RETRY_DELAY_S)

    async def _write(
        self, value: bytes
    ) -> result.Result[None, store.StoreFault]:
        """Writes this instance's key."""
        if self._lease is None:
            granted = await self._store.grant_lease(LEASE_S)
            if isinstance(granted, result.Err):
                return granted
            self._lease = granted.ok_value
            self._renew_at = anyio.current_time() + RENEW_INTERVAL_S
        for _ in range(MAX_WRITE_ATTEMPTS):
            written = await self._store.put(
                self._key,
                value,
                expected=self._version,
                lease=self._lease.lease_id,
            )
            if isinstance(written, result.Ok):
                self._version = written.ok_value.version
                return result.Ok(None)
            error = written.err_value
            if isinstance(error, store.StoreFault):
                if error.kind is store.StoreFaultKind.LEASE_GONE:
                    self._lease = None
                return result.Err(error)
            self._version = (
                error.current.version if error.current else store.ABSENT
            )
        return result.Err(
            store.StoreFault(
                store.StoreFaultKind.UNAVAILABLE, self._key, "version conflict"
            )
        )

    async def _renew(self) -> None:
        """Renews the lease while requests are blocked."""
        lease = self._lease
        if lease is None or not self._guard.blocked(self._clock()):
            self._lease = None
            return
        renewed = await self._store.renew_lease(lease.lease_id)
        if isinstance(renewed, result.Ok):
            self._renew_at = anyio.current_time() + RENEW_INTERVAL_S
            self._on_answer(None)
            return
        self._on_answer(renewed.err_value)
        self._lease = None
        self.notify()
