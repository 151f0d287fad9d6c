"""A simulated fleet of instances in one process and on one network.

Contains the gossiping components and no data path. Run it under trio's
`MockClock`, so that minutes of fleet time take milliseconds.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.configuration import distribution
from cardamomfork._internal.configuration import follower
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.data_centres import summaries
from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import membership_gossip
from cardamomfork._internal.instances import peering
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import peer_network
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import strict_supervision

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import gossip

BYTES_PER_S = 6000.0


@attrs.define
class Member:
    """Components of one instance.

    Attributes:
        instance: Identity and address.
        members: Membership table.
        others: Summaries of the other data centres.
        replica: Configuration replica.
        follower: Keeps the replica up to date.
        peering: Gossip loop.
        extra: Additional gossip participants from the fleet's user.
        faults: Faults of the instance's store sessions.
        scope: Cancel scope of the instance's tasks.
    """

    instance: instances.Instance
    members: membership.Membership
    others: summaries.DataCentreSummaries
    replica: replica.ConfigurationReplica
    follower: follower.ConfigurationFollower
    peering: peering.Peering
    extra: list[gossip.Participant]
    faults: store_standin.StoreFaults
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class Fleet:
    """Instances that exchange gossip over one `PeerNetwork`."""

    def __init__(
        self,
        sizes: Sequence[int],
        seed: int = 1,
        participants: Callable[
            [membership.Membership, summaries.DataCentreSummaries],
            list[gossip.Participant],
        ] = lambda _members, _others: [],
        bytes_per_s: float = BYTES_PER_S,
    ) -> None:
        """Creates the instances without starting them.

        Args:
            sizes: Number of instances in each data centre.
            seed: Seed of all random generators.
            participants: Creates an instance's additional gossip
                participants.
            bytes_per_s: Gossip byte budget of an instance.
        """
        self.clock = clock_contract.LoopClock()
        self.store = store_standin.MemoryStore(self.clock)
        self.network = peer_network.PeerNetwork()
        self._seed = seed
        self._participants = participants
        self._bytes_per_s = bytes_per_s
        self._boot_count = 0
        all_instances = [
            self._new_instance(f"dc-{centre}", number)
            for centre, size in enumerate(sizes)
            for number in range(size)
        ]
        self.members = [self.make(instance) for instance in all_instances]
        for member in self.members:
            member.members.hear_list(all_instances, 0.0)

    def with_new_boot_id(
        self, instance: instances.Instance
    ) -> instances.Instance:
        """Returns an instance at the same address with a new boot id."""
        self._boot_count += 1
        boot_id = identifiers.BootId(f"boot-{self._boot_count:06d}")
        return attrs.evolve(instance, boot_id=boot_id)

    def make(self, instance: instances.Instance) -> Member:
        """Creates one instance's components and registers its handler."""
        rng = random.Random(f"{self._seed}/{instance.boot_id}")
        members = membership.Membership(instance, rng)
        others = summaries.DataCentreSummaries(members, self.clock, rng)
        supervisor = strict_supervision.StrictSupervisor()
        local_replica = replica.ConfigurationReplica(supervisor=supervisor)

        def catch_up() -> None:
            gossip_loop.catch_up()

        configuration_gossip = distribution.ConfigurationGossip(
            local_replica, catch_up
        )
        extra = self._participants(members, others)
        membership_gossip_part = membership_gossip.MembershipGossip(
            members, others
        )
        gossip_loop = peering.Peering(
            members,
            others,
            [membership_gossip_part, configuration_gossip, *extra],
            byte_budget.ByteBudget(self._bytes_per_s),
            self.clock,
            rng,
            supervisor,
        )
        local_replica.subscribe(lambda _change: gossip_loop.hurry())
        faults = store_standin.StoreFaults()
        configuration_follower = follower.ConfigurationFollower(
            lambda: self._session(faults),
            local_replica,
            configuration_gossip,
            members,
            self.clock,
            rng,
            supervisor=supervisor,
        )
        self.network.serve(instance, gossip_loop)
        return Member(
            instance,
            members,
            others,
            local_replica,
            configuration_follower,
            gossip_loop,
            extra,
            faults,
        )

    async def run_member(self, member: Member) -> None:
        """Runs an instance until its scope is cancelled."""
        link = self.network.link(member.instance)
        with member.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(member.peering.run, link)
                group.start_soon(member.follower.run, link)

    def start(
        self,
        group: anyio.abc.TaskGroup,
        members: Sequence[Member] | None = None,
    ) -> None:
        """Starts instances in a task group, all by default."""
        for member in self.members if members is None else members:
            group.start_soon(self.run_member, member)

    def kill(self, member: Member) -> None:
        """Stops an instance without notice to its peers."""
        member.scope.cancel()
        self.network.down.add(member.instance.instance_id)

    def restart(self, member: Member, group: anyio.abc.TaskGroup) -> Member:
        """Restarts an instance with a new boot id and empty state."""
        self.kill(member)
        restarted = self.make(self.with_new_boot_id(member.instance))
        restarted.members.hear_list([m.instance for m in self.members], 0.0)
        self.members[self.members.index(member)] = restarted
        self.network.down.discard(member.instance.instance_id)
        self.start(group, [restarted])
        return restarted

    def _new_instance(
        self, data_centre: str, number: int
    ) -> instances.Instance:
        """Creates an instance's identity and address."""
        name = f"{data_centre}-{number:03d}"
        self._boot_count += 1
        return instances.Instance(
            identifiers.InstanceId(name),
            identifiers.BootId(f"boot-{self._boot_count:06d}"),
            identifiers.DataCentreId(data_centre),
            name,
            8481,
        )

    def _session(
        self, faults: store_standin.StoreFaults
    ) -> store_standin.StoreSession:
        """Opens a store session with an instance's faults.

        `silent_watches` applies only to the sessions that were open when it
        was set; watches of a new session work.
        """
        session = store_standin.StoreSession(self.store)
        session.faults = faults
        if faults.silent_watches:
            session.faults = attrs.evolve(faults, silent_watches=False)
        return session
