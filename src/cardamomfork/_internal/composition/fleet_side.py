"""The side of the daemon that keeps in touch with peers and store."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
from loguru import logger

from cardamomfork._internal.composition import platform as platform_module
from cardamomfork._internal.configuration import distribution
from cardamomfork._internal.configuration import follower
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.data_centres import summaries
from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import membership_gossip
from cardamomfork._internal.instances import peering
from cardamomfork._internal.instances import seeding
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links import tls as tls_link
from cardamomfork._internal.links.peers import link as peer_link
from cardamomfork._internal.links.peers import server as peer_server
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import gossip
    from cardamomfork._internal.models import settings as settings_models

LEAVE_NOTICE_S = 1.0
"""Time for the news of a stop to reach peers before the process ends."""


@attrs.frozen
class FleetSide:
    """Membership, peers' talk and configuration of one process.

    Attributes:
        members: Instances known.
        others: The other data centres.
        held: Configuration in force.
        told: Configuration as peers tell it.
        peering: Exchanges with peers.
        seeds: First contacts.
        follower: Follows the store.
        link: Calls to peers.
        server: Peers' calls to here.
        clock: The loop's clock.
    """

    members: membership.Membership
    others: summaries.DataCentreSummaries
    held: replica.ConfigurationReplica
    told: distribution.ConfigurationGossip
    peering: peering.Peering
    seeds: seeding.Seeds
    follower: follower.ConfigurationFollower
    link: peer_link.CapnpPeerLink
    server: peer_server.PeerServer
    clock: clock_contract.Clock

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs until cancelled; within a `capnp.kj_loop()`."""
        try:
            async with self.server.serve(), anyio.create_task_group() as tasks:
                logger.info(f"serving peers on port {self.server.port}")
                tasks.start_soon(self.peering.run, self.link)
                tasks.start_soon(self.seeds.run)
                tasks.start_soon(self.follower.run, self.link)
                task_status.started()
        finally:
            self.link.close()

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Returns size and bound of each table."""
        return {
            "instances": (len(self.members.known()), membership.MAX_RECORDS),
            "configuration": (self.held.size, replica.MAX_OBJECTS),
        }

    async def leave(self) -> None:
        """Tells the peers that this instance stops."""
        self.members.leave(self.clock.monotonic())
        self.peering.hurry()
        await anyio.sleep(LEAVE_NOTICE_S)


def make_fleet_side(
    settings: settings_models.DaemonSettings,
    clock: clock_contract.Clock,
    platform: platform_module.Platform,
    boot_id: identifiers.BootId,
    participants: Sequence[gossip.Participant] = (),
) -> FleetSide:
    """Makes the side and binds the peers' port; nothing runs yet.

    Args:
        settings: Names this instance and its peers.
        clock: The loop's clock.
        platform: Sessions with the store.
        boot_id: This life of the process.
        participants: Further parts that gossip.

    Raises:
        CardamomforkError: The peers' port can't be bound.
    """
    peers = settings.peers
    listener = http_server.bind(peers.host, peers.port)
    chance = random.Random()
    members = membership.Membership(
        instances.Instance(
            settings.instance.instance_id,
            boot_id,
            settings.instance.data_centre,
            peers.host,
            listener.getsockname()[1],
        ),
        chance,
    )
    others = summaries.DataCentreSummaries(members, clock, chance)
    held = replica.ConfigurationReplica()
    told = distribution.ConfigurationGossip(held)
    talk = peering.Peering(
        members,
        others,
        (
            membership_gossip.MembershipGossip(members, others),
            told,
            *participants,
        ),
        byte_budget.ByteBudget(peers.bytes_per_s),
        clock,
        chance,
    )
    held.subscribe(lambda _: talk.hurry())
    tls = tls_link.make_server_tls(peers.tls)
    return FleetSide(
        members=members,
        others=others,
        held=held,
        told=told,
        peering=talk,
        seeds=seeding.Seeds(
            tuple(seeding.parse_address(each) for each in peers.seeds),
            members,
            talk,
        ),
        follower=follower.ConfigurationFollower(
            platform.connect,
            held,
            told,
            members,
            clock,
            chance,
            platform_module.KEY_PREFIX,
        ),
        link=peer_link.CapnpPeerLink(
            tls_link.make_client_context(
                peers.tls.authority, peers.tls.certificate, peers.tls.key
            )
            if tls
            else None
        ),
        server=peer_server.PeerServer(
            talk,
            peers.host,
            peers.port,
            tls.context if tls else None,
            listener=listener,
        ),
        clock=clock,
    )
