"""Builds and runs the components that connect an instance to the fleet.

The daemon creates one `FleetMembership` and calls `run`. The components that
other parts of the daemon use (limits, configuration, leaving targets, load
reports) are its attributes.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import anyio
import attrs
import loguru
import result

from cardamomfork._internal import supervision
from cardamomfork._internal.accounts import limit_claims
from cardamomfork._internal.accounts import limits
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import distribution
from cardamomfork._internal.configuration import follower
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.data_centres import reach
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.data_centres import summaries
from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import membership_gossip
from cardamomfork._internal.instances import peering
from cardamomfork._internal.instances import superseded_boot
from cardamomfork._internal.links.peers import link as peer_link
from cardamomfork._internal.links.peers import server as peer_server
from cardamomfork._internal.links.peers import tls
from cardamomfork._internal.models import instances
from cardamomfork._internal.targets import leaving
from cardamomfork._internal.targets import load_gossip

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import gossip
    from cardamomfork._internal.contracts import listing
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import settings as settings_models
    from cardamomfork._internal.models import targets

LIST_POLL_INTERVAL_S = 5.0
PORT_TIMEOUT_S = 1.0
"""Time for which the start waits for the peers' port."""
LEAVE_PROPAGATION_S = 0.5
"""Time for the update that this instance stops to reach the peers."""
ORDER_CANDIDATE_COUNT = 2
"""Instances per data centre that compete for the lease of its orders."""


@attrs.define
class FleetMembership:
    """The components that connect one instance to the fleet.

    Attributes:
        members: Membership table: local instances and remote contacts.
        others: Summaries of the data centres.
        limiter: Limits of client accounts.
        replica: Configuration that is in force.
        configuration_gossip: Gossip participant for configuration changes.
        follower: Updates the replica from the store; None without a store.
        leaving: Targets that accept no new requests.
        loads: Load reports of targets.
        peering: Exchanges envelopes with peers.
        link: Client for calls to peers.
        server: Server for calls from peers.
        clock: Source of monotonic time.
        instance_list: The platform's instance list, or None.
        seeds: Hosts and ports of the peers to contact first.
        peer_tls: TLS contexts of peer connections; None for plain TCP.
        supervisor: Restarts tasks that fail.
    """

    members: membership.Membership
    others: summaries.DataCentreSummaries
    limiter: limits.FleetLimiter
    replica: replica.ConfigurationReplica
    configuration_gossip: distribution.ConfigurationGossip
    follower: follower.ConfigurationFollower | None
    leaving: leaving.LeavingTargets
    loads: load_gossip.LoadGossip
    peering: peering.Peering
    link: peer_link.CapnpPeerLink
    server: peer_server.PeerServer
    clock: clock_contract.Clock
    instance_list: listing.InstanceList | None = None
    seeds: tuple[tuple[str, int], ...] = ()
    peer_tls: tls.PeerTls | None = None
    supervisor: supervision.Supervisor = attrs.field(
        factory=supervision.Supervisor
    )

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the peer server and all loops until cancelled.

        Needs asyncio inside `capnp.kj_loop()`. If started with
        `TaskGroup.start`, it reports as started once the peer port is open, or
        after `PORT_TIMEOUT_S` if it can't be opened yet.
        """
        is_listening = anyio.Event()
        try:
            async with anyio.create_task_group() as group:
                self._start_tasks(group, is_listening)
                with anyio.move_on_after(PORT_TIMEOUT_S):
                    await is_listening.wait()
                task_status.started()
        finally:
            self.link.close()

    def _start_tasks(
        self, group: anyio.abc.TaskGroup, is_listening: anyio.Event
    ) -> None:
        """Starts the server and the loops."""
        start = functools.partial(self.supervisor.start, group)
        start(
            "peers' server",
            self._serve_peers,
            is_listening,
            max_backoff_s=supervision.PROMPT_MAX_BACKOFF_S,
        )
        start(
            "peering",
            self.peering.run,
            self.link,
            max_backoff_s=supervision.PROMPT_MAX_BACKOFF_S,
        )
        start("boot id", superseded_boot.warn_superseded, self.members)
        if self.seeds:
            start("seeds", self.peering.seek, self.link, self.seeds)
        if self.follower is not None:
            start("configuration follower", self.follower.run, self.link)
        if self.peer_tls is not None:
            start("peers' TLS files", self.peer_tls.watch)
        if self.instance_list is not None:
            start("instance list", self._poll_instance_list, self.instance_list)

    async def _serve_peers(self, is_listening: anyio.Event) -> None:
        """Serves peers until cancelled."""
        async with self.server.serve():
            self.members.listen_on(self.server.port)
            loguru.logger.info(f"serving peers on port {self.server.port}")
            is_listening.set()
            await anyio.sleep_forever()

    def is_order_candidate(self) -> bool:
        """Returns whether this instance may compete for the order lease."""
        local_instance = self.members.me.instance
        key = f"orders/{local_instance.data_centre}"
        names = rendezvous.owners(
            key, self.members.staying(), ORDER_CANDIDATE_COUNT
        )
        return local_instance.instance_id in names

    async def leave(self) -> None:
        """Announces the stop of this instance and hands over its limit shares.

        Call it at the start of a planned stop, while `run` is active. `run`
        must continue until all admitted requests have ended.
        """
        self.limiter.hand_over()
        self.members.leave(self.clock.monotonic())
        self.peering.hurry()
        await anyio.sleep(LEAVE_PROPAGATION_S)

    async def _poll_instance_list(
        self, instance_list: listing.InstanceList
    ) -> None:
        """Polls the platform's instance list until cancelled."""
        while True:
            listing_result = await instance_list.fetch()
            if isinstance(listing_result, result.Ok):
                self._apply_listing(listing_result.ok_value)
            await anyio.sleep(LIST_POLL_INTERVAL_S)

    def _apply_listing(self, listed: listing.Listing) -> None:
        """Merges the listed instances and marks the leaving targets."""
        self.members.hear_list(
            [instance_entry.instance for instance_entry in listed.instances],
            self.clock.monotonic(),
        )
        for target in listed.targets:
            if target.leaving:
                self.leaving.mark(
                    target.target_id, leaving.Cause.LISTED, target.boot_id
                )
            else:
                self.leaving.observe_boot_id(target.target_id, target.boot_id)


def make_fleet_membership(
    settings: settings_models.DaemonSettings,
    boot_id: identifiers.BootId,
    clock: clock_contract.Clock,
    rng: random.Random,
    open_store_session: Callable[[], store_contract.Store] | None = None,
    on_load_report: Callable[[targets.LoadReport, float], None] = (
        lambda _report, _now: None
    ),
    instance_list: listing.InstanceList | None = None,
    participants: Sequence[gossip.Participant] = (),
    key_prefix: str = codec.DEFAULT_PREFIX,
    supervisor: supervision.Supervisor | None = None,
) -> FleetMembership:
    """Builds the components without starting them.

    Args:
        settings: Settings of the daemon.
        boot_id: Identifier of this start of the process.
        clock: Source of time.
        rng: Random generator for jitter and the choice of peers.
        open_store_session: Opens a new session with the store; None without a
            store.
        on_load_report: Called with each newer load report and the time.
        instance_list: The platform's instance list, if available.
        participants: Additional components that gossip.
        key_prefix: Prefix of all keys in the store.
        supervisor: Contains failures of single parts; None for one of its own.
    """
    local_instance = instances.Instance(
        settings.instance.instance_id,
        boot_id,
        settings.instance.data_centre,
        settings.peers.host,
        settings.peers.port,
    )
    members = membership.Membership(local_instance, rng)
    data_centre_summaries = summaries.DataCentreSummaries(members, clock, rng)
    fleet_reach = reach.Reach(members, data_centre_summaries)
    claim_table = limit_claims.ClaimTable(fleet_reach)
    deferred_peering = _DeferredPeering()
    limiter = limits.FleetLimiter(
        fleet_reach, claim_table, deferred_peering.ask_delegate
    )
    configuration_replica = replica.ConfigurationReplica(supervisor=supervisor)
    configuration_gossip = distribution.ConfigurationGossip(
        configuration_replica, deferred_peering.catch_up
    )
    leaving_targets = leaving.LeavingTargets()
    load_reports = load_gossip.LoadGossip(on_load_report)
    peering_loop = peering.Peering(
        members,
        data_centre_summaries,
        [
            membership_gossip.MembershipGossip(members, data_centre_summaries),
            configuration_gossip,
            limit_claims.LimitsGossip(
                local_instance.instance_id, limiter, claim_table, fleet_reach
            ),
            leaving_targets,
            load_reports,
            *participants,
        ],
        byte_budget.ByteBudget(settings.peers.bytes_per_s),
        clock,
        rng,
        supervisor,
    )
    deferred_peering.peering_loop = peering_loop
    configuration_replica.subscribe(lambda _change: peering_loop.hurry())
    leaving_targets.subscribe(
        lambda _target, _leaving: peering_loop.spread(leaving_targets.topic)
    )
    configuration_follower = None
    if open_store_session is not None:
        configuration_follower = follower.ConfigurationFollower(
            open_store_session,
            configuration_replica,
            configuration_gossip,
            members,
            clock,
            rng,
            key_prefix,
            supervisor,
        )
    peer_tls = tls.make_peer_tls(settings.peers.tls)
    return FleetMembership(
        members=members,
        others=data_centre_summaries,
        limiter=limiter,
        replica=configuration_replica,
        configuration_gossip=configuration_gossip,
        follower=configuration_follower,
        leaving=leaving_targets,
        loads=load_reports,
        peering=peering_loop,
        link=peer_link.CapnpPeerLink(
            peer_tls.client_context if peer_tls else None
        ),
        server=peer_server.PeerServer(
            peering_loop,
            settings.peers.host,
            settings.peers.port,
            peer_tls.server_context if peer_tls else None,
        ),
        peer_tls=peer_tls,
        clock=clock,
        instance_list=instance_list,
        seeds=tuple(_parse_seed(seed) for seed in settings.peers.seeds),
        supervisor=supervisor or supervision.Supervisor(),
    )


@attrs.define
class _DeferredPeering:
    """Forwards calls to a `Peering` that is set later.

    Participants need a reference in their constructors, and `Peering` needs
    the participants in its own.
    """

    peering_loop: peering.Peering | None = None

    def ask_delegate(self) -> None:
        """Requests an exchange with a delegate soon."""
        if self.peering_loop is not None:
            self.peering_loop.ask_delegate()

    def catch_up(self) -> None:
        """Requests an exchange with one peer soon."""
        if self.peering_loop is not None:
            self.peering_loop.catch_up()


def _parse_seed(seed: str) -> tuple[str, int]:
    """Parses `host:port`."""
    host, _, port = seed.rpartition(":")
    return host.strip("[]"), int(port)
