"""The configuration and the targets known to this instance.

The configuration comes from the store or, while the store does not answer
this instance, from a peer. A configuration is never replaced by an older one.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import routes
from cardamomfork._internal.gateway.store import entry_faults

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.gateway.store import change_relay
    from cardamomfork._internal.models import fleet

SCAN_LAPSE_WINDOW_S = 3.0
"""Time after an outage of the store. If a full scan within it lacks a target's
entry, the entry's lease may have expired because of the outage."""
CHANGE_LAPSE_WINDOW_S = 0.5
"""The same for a removal that arrives as a change. Later removals are
intentional."""
MAX_SILENCE_S = 0.5
"""Time within which a new connection to the store answers if another one has
gone silent. After that it counts as an outage."""


@attrs.frozen
class StoredConfiguration:
    """A configuration as stored.

    Attributes:
        value: Encoded configuration.
        revision: Store revision of the value.
        evacuations: Evacuations that the instance knows that holds it.
        knows_evacuations: Whether that instance has read all of them.
    """

    value: bytes
    revision: int
    evacuations: tuple[evacuations.Evacuation, ...] = ()
    knows_evacuations: bool = False


class FleetState:
    """Holds the newest configuration and updates the target table."""

    def __init__(
        self,
        wire: platform_format.PlatformFormat,
        table: target_table.TargetTable,
        clock: Callable[[], float],
        orders: evacuations.Evacuations | None = None,
        cold: cold_targets.ColdTargets | None = None,
    ) -> None:
        """Initializes the state without a configuration.

        Args:
            wire: Decodes configurations and entries of targets.
            table: Target table to update.
            clock: Monotonic time.
            orders: Evacuations; None if they are not observed.
            cold: Decides until when targets are cold; None for decisions of
                its own.
        """
        # An empty object is false.
        self._cold = (
            cold_targets.ColdTargets(table, clock) if cold is None else cold
        )
        self._wire = wire
        self._evacuations = orders or evacuations.Evacuations()
        self._table = table
        self._clock = clock
        self._stored: StoredConfiguration | None = None
        self._routes: routes.RouteTable | None = None
        self._configured = anyio.Event()
        self._applied_at = 0.0
        self._has_targets = False
        self._faults = entry_faults.EntryFaults("malformed target entry", clock)
        self._store_lost_at: float | None = None
        self._is_only_silence = False
        self._store_regained_at = -SCAN_LAPSE_WINDOW_S
        self._restored_revision = 0
        # Time of the last change from a peer that the store answers.
        self._relayed_at = -math.inf

    @property
    def routes(self) -> routes.RouteTable | None:
        """Routes of the configuration in force, or None before the first.

        No request is served before the evacuations are known.
        """
        return self._routes if self._evacuations.is_known else None

    @property
    def services(self) -> Collection[str]:
        """Names of the services of the configuration in force."""
        return self._routes.configuration.services if self._routes else ()

    @property
    def stored(self) -> StoredConfiguration | None:
        """The configuration in force in encoded form, or None.

        It comes with the evacuations, so that a peer that fetches it knows them
        as soon as it serves.
        """
        if self._stored is None or not self._evacuations.is_enabled:
            return self._stored
        return attrs.evolve(
            self._stored,
            evacuations=self._evacuations.reports(),
            knows_evacuations=self._evacuations.is_known,
        )

    @property
    def revision(self) -> int:
        """Store revision of the configuration in force, or 0."""
        return self._stored.revision if self._stored else 0

    @property
    def version(self) -> int:
        """Version of the configuration in force, or -1."""
        return self._routes.configuration.version if self._routes else -1

    @property
    def is_complete(self) -> bool:
        """Whether both a configuration and the targets have been received."""
        return self.routes is not None and self._has_targets

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store had no answer."""
        return self._store_lost_at is not None

    @property
    def configuration_age_s(self) -> float:
        """Seconds since the configuration was applied."""
        return self._clock() - self._applied_at

    async def wait_until_configured(self) -> None:
        """Waits for the first configuration."""
        await self._configured.wait()

    def apply_configuration(
        self, value: bytes, revision: int, origin: str
    ) -> bool:
        """Applies a configuration if it is valid and newer.

        Versions decide, since revisions go back if the store is restored from
        a copy.

        Args:
            value: Encoded configuration.
            revision: Store revision of the value.
            origin: Where it was received from, for the log.

        Returns:
            Whether the configuration was applied.
        """
        if self._stored is not None and value == self._stored.value:
            return False
        decoded = self._wire.decode_configuration(value, revision)
        if isinstance(decoded, result.Err):
            logger.error(
                "configuration not applied",
                reason=decoded.err_value,
                version=revision,
            )
            return False
        decoded_configuration = decoded.ok_value
        if decoded_configuration.version <= self.version:
            logger.warning(
                "configuration is not newer than the one in force",
                version=decoded_configuration.version,
                count=self.version,
                revision=revision,
                kind=origin,
            )
            return False
        self._stored = StoredConfiguration(value, revision)
        self._routes = routes.RouteTable(decoded_configuration)
        self._configured.set()
        self._cold.apply_services(decoded_configuration.services)
        self._applied_at = self._clock()
        logger.info(
            "configuration applied",
            version=decoded_configuration.version,
            revision=revision,
            kind=origin,
            count=len(decoded_configuration.routes),
        )
        return True

    def apply_fetched(self, fetched: StoredConfiguration, peer_id: str) -> bool:
        """Applies the configuration of a peer, and the evacuations with it.

        Args:
            fetched: The configuration.
            peer_id: Id of the peer.

        Returns:
            Whether the configuration was applied.
        """
        if fetched.knows_evacuations:
            self._evacuations.apply_reports(fetched.evacuations, peer_id)
            self._evacuations.mark_known()
        return self.apply_configuration(
            fetched.value, fetched.revision, f"peer {peer_id}"
        )

    def apply_target(self, entry: store.Entry) -> None:
        """Applies a change of one target's entry."""
        with self._faults.contained(entry.key, entry.version):
            self._apply_target(entry, may_return=self.may_have_lapsed())

    def apply_relayed_target(self, change: change_relay.Change) -> None:
        """Applies a change of one target's entry that a peer has received."""
        self._relayed_at = self._clock()
        entry = change.to_entry()
        with self._faults.contained(entry.key, entry.version):
            self._apply_target(entry, may_return=change.may_return)

    def may_have_lapsed(self, *, in_scan: bool = False) -> bool:
        """Returns whether an entry that is gone may have lapsed in an outage.

        Args:
            in_scan: Whether a full scan lacks it.
        """
        return self._had_recent_outage(
            SCAN_LAPSE_WINDOW_S if in_scan else CHANGE_LAPSE_WINDOW_S
        )

    def _apply_target(self, entry: store.Entry, *, may_return: bool) -> None:
        """Applies a change of one target's entry.

        Args:
            entry: The entry.
            may_return: Whether an entry that is gone may have lapsed in a
                store outage.
        """
        target_id = self._wire.target_id(entry.key)
        if entry.version == store.ABSENT:
            self._remove_target(target_id, may_return=may_return)
            return
        decoded = self._wire.decode_target(entry.key, entry.value)
        if isinstance(decoded, result.Err):
            self._faults.record(entry.key, entry.version, decoded.err_value)
            self._remove_target(target_id, may_return=may_return)
            return
        is_new = self._table.put(decoded.ok_value)
        self._record_cold(decoded.ok_value, entry.version)
        logger.info(
            "target known",
            target_id=target_id,
            service=decoded.ok_value.service,
            outcome="new" if is_new else "changed",
            reason="leaving" if decoded.ok_value.is_leaving else "ready",
            revision=entry.version,
        )

    @property
    def dropped_entries(self) -> int:
        """Number of targets' entries dropped so far, with those of scans."""
        return self._faults.dropped

    def summarize_faults(self) -> None:
        """Logs how many malformed entries were not logged one by one."""
        self._faults.summarize()

    def replace_targets(self, entries: Iterable[store.Entry]) -> None:
        """Replaces all targets by those of a full scan."""
        records = []
        revisions = []
        rewritten = set()
        for entry in entries:
            with self._faults.contained(entry.key, entry.version):
                decoded = self._wire.decode_target(entry.key, entry.value)
                if isinstance(decoded, result.Err):
                    self._faults.record(
                        entry.key, entry.version, decoded.err_value
                    )
                    continue
                records.append(decoded.ok_value)
                revisions.append(entry.version)
                if entry.version > self._restored_revision:
                    rewritten.add(decoded.ok_value.target_id)
        self._table.replace_all(
            records,
            self._clock(),
            may_return=self.may_have_lapsed(in_scan=True),
            rewritten=rewritten,
        )
        for record, revision in zip(records, revisions, strict=True):
            with self._faults.contained(record.target_id, revision):
                self._record_cold(record, revision)
        self._faults.summarize()
        self._has_targets = True
        logger.info("targets read", count=len(records))

    def store_lost(self, detail: str, *, is_silence: bool = False) -> None:
        """Records that the store does not answer.

        Args:
            detail: What happened, for the log.
            is_silence: Whether it may be the connection alone that is silent.
        """
        if self._store_lost_at is None:
            self._store_lost_at = self._clock()
            self._is_only_silence = is_silence
            logger.warning("dependency lost", dependency="store", reason=detail)
        self._is_only_silence = self._is_only_silence and is_silence

    def store_regained(self) -> None:
        """Records that the store answers.

        If a new connection answers at once where another one was silent, there
        was no outage in which entries may have lapsed.
        """
        if self._store_lost_at is None:
            return
        now = self._clock()
        lost_s = now - self._store_lost_at
        is_outage = not self._is_only_silence or lost_s > MAX_SILENCE_S
        logger.info(
            "dependency regained",
            dependency="store",
            seconds=round(lost_s, 3),
            reason="outage" if is_outage else "silent connection",
        )
        self._store_lost_at = None
        if is_outage:
            self._store_regained_at = now
            self._table.postpone_expiry(now)

    def store_restored(self, revision: int) -> None:
        """Records that the store was restored from an older copy.

        Args:
            revision: Revision of the first scan since then. Entries up to it
                may be those of the copy.
        """
        now = self._clock()
        self._restored_revision = revision
        self._store_regained_at = now
        self._table.postpone_expiry(now)
        self._table.store_restored(now)

    def expire(self) -> None:
        """Removes targets whose entries did not return after an outage."""
        lost_at = self._store_lost_at
        if lost_at is not None and self._relayed_at < lost_at:
            return
        for target_id in self._table.expire(self._clock()):
            logger.info(
                "target gone", target_id=target_id, reason="did not return"
            )

    def _record_cold(self, record: fleet.TargetRecord, revision: int) -> None:
        """Records whether a target is cold, by its entry.

        Processes in the first scan may have run for long.
        """
        self._cold.record_entry(
            record,
            revision,
            is_start_seen=self._has_targets,
            may_be_outdated=revision <= self._restored_revision,
        )

    def _remove_target(self, target_id: str, *, may_return: bool) -> None:
        """Removes the target of a deleted or malformed entry."""
        was_known = self._table.find(target_id) is not None
        self._table.remove(target_id, self._clock(), may_return=may_return)
        if was_known:
            logger.info(
                "target gone",
                target_id=target_id,
                reason="entry lapsed" if may_return else "entry removed",
            )

    def _had_recent_outage(self, within_s: float) -> bool:
        """Returns whether the store is down or recovered only recently."""
        if self._store_lost_at is not None:
            return True
        return self._clock() - self._store_regained_at < within_s
