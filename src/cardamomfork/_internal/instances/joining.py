"""Makes and runs all that joins an instance to the fleet.

The daemon makes a `FleetMembership` once and runs it with one call; the parts
it needs (limits, configuration, marks on targets, load reports) are its
attributes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import result

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
from cardamomfork._internal.instances import identity
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import membership_gossip
from cardamomfork._internal.instances import peering
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

LIST_PERIOD_S = 5.0
LEAVE_TELL_S = 0.5
"""Seconds in which peers are told that this instance stops."""
ORDER_CANDIDATES = 2
"""Instances of a data centre that try for the lease of its orders."""


@attrs.define
class FleetMembership:
    """One instance's place in the fleet.

    Attributes:
        members: Instances of this data centre, and contacts elsewhere.
        others: The other data centres.
        limiter: Client accounts' limits.
        replica: The configuration in force.
        told: The configuration as peers tell it.
        follower: Keeps the replica up; None without a store.
        leaving: Marks on targets.
        loads: Load reports of targets.
        peering: The loop; holds the byte counters.
        link: Calls peers.
        server: Answers them.
        instance_list: The platform's list, or None.
        seeds: `host:port` of peers to ask first.
        secured: The peers' TLS, or None for plain TCP.
    """

    members: membership.Membership
    others: summaries.DataCentreSummaries
    limiter: limits.FleetLimiter
    replica: replica.ConfigurationReplica
    told: distribution.ConfigurationGossip
    follower: follower.ConfigurationFollower | None
    leaving: leaving.LeavingTargets
    loads: load_gossip.LoadGossip
    peering: peering.Peering
    link: peer_link.CapnpPeerLink
    server: peer_server.PeerServer
    clock: clock_contract.Clock
    instance_list: listing.InstanceList | None = None
    seeds: tuple[tuple[str, int], ...] = ()
    secured: tls.PeerTls | None = None

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens, talks and follows until cancelled.

        Runs on asyncio inside `capnp.kj_loop()`. With `TaskGroup.start` it
        returns to the caller once the peers' port is open.
        """
        async with self.server.serve():
            self.members.listen_on(self.server.port)
            task_status.started()
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.peering.run, self.link)
                    group.start_soon(self.peering.seek, self.link, self.seeds)
                    group.start_soon(identity.warn_superseded, self.members)
                    if self.follower is not None:
                        group.start_soon(self.follower.run, self.link)
                    if self.secured is not None:
                        group.start_soon(self.secured.watch)
                    if self.instance_list is not None:
                        group.start_soon(self._list_loop, self.instance_list)
            finally:
                self.link.close()

    def is_order_candidate(self) -> bool:
        """Tells whether this instance may try for the lease of the orders."""
        me = self.members.me.instance
        key = f"orders/{me.data_centre}"
        names = rendezvous.owners(key, self.members.staying(), ORDER_CANDIDATES)
        return me.instance_id in names

    async def leave(self) -> None:
        """Tells the peers that this instance stops and hands its shares over.

        Call it at the start of a planned stop; the loop must still run, and
        goes on until what is admitted has ended.
        """
        self.limiter.hand_over()
        self.members.leave(self.clock.monotonic())
        self.peering.hurry()
        await anyio.sleep(LEAVE_TELL_S)

    async def _list_loop(self, listed: listing.InstanceList) -> None:
        """Reads the platform's list every few seconds."""
        while True:
            read = await listed.fetch()
            if isinstance(read, result.Ok):
                self._take_list(read.ok_value)
            await anyio.sleep(LIST_PERIOD_S)

    def _take_list(self, read: listing.Listing) -> None:
        """Takes instances as contacts and leaving targets as marks."""
        self.members.hear_list(
            [entry.instance for entry in read.instances],
            self.clock.monotonic(),
        )
        for target in read.targets:
            if target.leaving:
                self.leaving.mark(
                    target.target_id, leaving.Cause.LISTED, target.boot_id
                )
            else:
                self.leaving.observe_boot_id(target.target_id, target.boot_id)


def make(
    settings: settings_models.DaemonSettings,
    boot_id: identifiers.BootId,
    clock: clock_contract.Clock,
    rng: random.Random,
    connect: Callable[[], store_contract.Store] | None = None,
    deliver_load: Callable[[targets.LoadReport, float], None] = (
        lambda _report, _now: None
    ),
    instance_list: listing.InstanceList | None = None,
    participants: Sequence[gossip.Participant] = (),
    key_prefix: str = codec.DEFAULT_PREFIX,
) -> FleetMembership:
    """Makes the parts; nothing runs yet.

    Args:
        settings: What the process was started with.
        boot_id: This life of the process.
        clock: Time.
        rng: Jitter and choices.
        connect: Opens a new session with the store; None for no store.
        deliver_load: Takes each newer load report, and the time.
        instance_list: The platform's list, if there is one.
        participants: Further parts that gossip.
        key_prefix: Put before every key of the store.
    """
    me = instances.Instance(
        settings.instance.instance_id,
        boot_id,
        settings.instance.data_centre,
        settings.peers.host,
        settings.peers.port,
    )
    members = membership.Membership(me, rng)
    others = summaries.DataCentreSummaries(members, clock, rng)
    side = reach.Reach(members, others)
    claims = limit_claims.ClaimTable(side)
    late_peering = _LatePeering()
    limiter = limits.FleetLimiter(side, claims, late_peering.ask_delegate)
    held = replica.ConfigurationReplica()
    told = distribution.ConfigurationGossip(held, late_peering.catch_up)
    marks = leaving.LeavingTargets()
    loads = load_gossip.LoadGossip(deliver_load)
    loop = peering.Peering(
        members,
        others,
        [
            membership_gossip.MembershipGossip(members, others),
            told,
            limit_claims.LimitsGossip(me.instance_id, limiter, claims, side),
            marks,
            loads,
            *participants,
        ],
        byte_budget.ByteBudget(settings.peers.bytes_per_s),
        clock,
        rng,
    )
    late_peering.loop = loop
    held.subscribe(lambda _change: loop.hurry())
    marks.subscribe(lambda _target, _leaving: loop.spread(marks.topic))
    followed = None
    if connect is not None:
        followed = follower.ConfigurationFollower(
            connect, held, told, members, clock, rng, key_prefix
        )
    secured = tls.make_peer_tls(settings.peers.tls)
    return FleetMembership(
        members=members,
        others=others,
        limiter=limiter,
        replica=held,
        told=told,
        follower=followed,
        leaving=marks,
        loads=loads,
        peering=loop,
        link=peer_link.CapnpPeerLink(
            secured.client_context if secured else None
        ),
        server=peer_server.PeerServer(
            loop,
            settings.peers.host,
            settings.peers.port,
            secured.server_context if secured else None,
        ),
        secured=secured,
        clock=clock,
        instance_list=instance_list,
        seeds=tuple(_parse_seed(seed) for seed in settings.peers.seeds),
    )


@attrs.define
class _LatePeering:
    """Passes requests on to the peering loop.

    Its participants need it in their constructors, before the loop is made.
    """

    loop: peering.Peering | None = None

    def ask_delegate(self) -> None:
        """Asks for an exchange with a delegate soon."""
        if self.loop is not None:
            self.loop.ask_delegate()

    def catch_up(self) -> None:
        """Asks for an exchange with one peer soon."""
        if self.loop is not None:
            self.loop.catch_up()


def _parse_seed(seed: str) -> tuple[str, int]:
    """Reads `host:port`."""
    host, _, port = seed.rpartition(":")
    return host.strip("[]"), int(port)
