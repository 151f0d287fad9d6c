"""Wires the links of an instance to targets, direct ones and over peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.gateway.connections import data_centre_probing
from cardamomfork._internal.gateway.connections import target_pool
from cardamomfork._internal.gateway.connections import target_reach
from cardamomfork._internal.gateway.paths import target_paths
from cardamomfork._internal.gateway.peers import fleet_secret
from cardamomfork._internal.gateway.peers import peer_forwarding_client

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    import random

    from cardamomfork._internal import supervision
    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway.peers import peer_table
    from cardamomfork._internal.gateway.state import data_centre_reach
    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet


class TargetAccess:
    """Connections to targets, and whether they can be reached."""

    def __init__(
        self,
        wire: platform_format.PlatformFormat,
        settings: fleet.EntrySettings,
        targets: target_table.TargetTable,
        peers: peer_table.PeerTable,
        clock: Callable[[], float],
        rng: random.Random,
        on_reach_change: Callable[[], None],
        data_centres: data_centre_reach.DataCentreReach,
        supervisor: supervision.Supervisor,
        list_services: Callable[[], Container[str]],
    ) -> None:
        """Initializes the access without connections.

        Args:
            wire: Decodes the heads of answers.
            settings: Settings of this instance.
            targets: The known targets.
            peers: The known peers.
            clock: Monotonic time.
            rng: Random generator.
            on_reach_change: Called after this instance was cut off from all
                targets, or reaches some again.
            data_centres: Decides which data centres are reached.
            supervisor: Counts probes that fail.
            list_services: Returns the services of the configuration in force.
        """
        self._targets = targets
        self._list_services = list_services
        self._clock = clock
        self._on_reach_change = on_reach_change
        self._data_centres = data_centres
        self._reach = target_reach.TargetReach(
            self._list_targets_to_probe,
            self._probe,
            clock,
            rng,
            self._apply_reach_change,
            supervisor,
        )
        self._pool = target_pool.TargetConnectionPool(
            wire, self._record_connection, self._record_failure
        )
        self._prober = data_centre_probing.DataCentreProber(
            data_centres,
            targets,
            self._pool.open_idle,
            lambda: peers.count,
            lambda: peers.known_count,
            clock,
            rng,
            supervisor,
            lambda service: service in list_services(),
        )
        self._secret = fleet_secret.FleetSecret()
        self._client = peer_forwarding_client.PeerForwardingClient(
            settings.instance_id,
            settings.data_centre,
            peers,
            self._secret,
            wire,
            clock,
            rng,
        )
        self._paths = target_paths.TargetPaths(
            self._pool, self._reach, self._client
        )

    @property
    def reach(self) -> target_reach.TargetReach:
        """Whether this instance reaches any target."""
        return self._reach

    @property
    def data_centres(self) -> data_centre_reach.DataCentreReach:
        """Which data centres are reached."""
        return self._data_centres

    @property
    def prober(self) -> data_centre_probing.DataCentreProber:
        """Probes data centres that may be out of reach."""
        return self._prober

    @property
    def pool(self) -> target_pool.TargetConnectionPool:
        """Direct connections."""
        return self._pool

    @property
    def secret(self) -> fleet_secret.FleetSecret:
        """Authenticates instances to each other."""
        return self._secret

    @property
    def paths(self) -> target_paths.TargetPaths:
        """Connections on the path that works at the time."""
        return self._paths

    def close_idle(self) -> None:
        """Closes connections that exceed their idle timeout."""
        self._pool.close_idle()
        self._client.close_idle()

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()
        self._client.close()

    def _list_targets_to_probe(self) -> list[fleet.TargetRecord]:
        """Returns the targets that show whether links work.

        Those that failed lately may have ended, so they count only if there
        are no others. Those in evacuated data centres and of services that
        the configuration does not name are not connected to.
        """
        now = self._clock()
        services = self._list_services()
        targets = [
            one
            for one in self._targets.list_all()
            if one.record.service in services
            and not self._targets.is_evacuated(one.record)
        ]
        usable = [one.record for one in targets if one.is_usable(now)]
        return usable or [one.record for one in targets]

    async def _probe(self, record: fleet.TargetRecord) -> object | None:
        """Opens a connection to a target, for a later request."""
        return await self._pool.open_idle(record)

    def _record_connection(self, record: fleet.TargetRecord) -> None:
        """Records that a connection to a target was opened."""
        self._reach.record_connection()
        self._data_centres.record_connected(record.data_centre, self._clock())

    def _record_failure(
        self, record: fleet.TargetRecord, is_timeout: bool
    ) -> None:
        """Records that a connection to a target failed or was lost."""
        now = self._clock()
        if not self._is_behind_partition(record, now):
            self._reach.record_failure()
        self._data_centres.record_failure(
            record.data_centre,
            record.target_id,
            now,
            is_timeout=is_timeout,
        )

    def _is_behind_partition(
        self, record: fleet.TargetRecord, now: float
    ) -> bool:
        """Returns whether a target is known to be out of reach.

        A failed probe of its data centre then raises no doubt whether this
        instance is cut off from all targets, unless no other target is left.
        Each doubt costs further connections.
        """
        unreachable = self._data_centres.unreachable(now)
        return record.data_centre in unreachable and any(
            target.record.data_centre not in unreachable
            for target in self._targets.list_all()
        )

    def _apply_reach_change(self) -> None:
        """Drops connections and failures that a cut has made worthless."""
        if self._reach.is_isolated:
            self._pool.close()
        self._targets.clear_failures()
        self._on_reach_change()
