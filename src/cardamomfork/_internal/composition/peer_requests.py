"""What this instance asks its peers, and answers them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import msgspec

from cardamomfork._internal.composition import request_dependencies
from cardamomfork._internal.contracts import peering as peering_contract
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import reservation_sweep

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import fleet_membership
    from cardamomfork._internal.models import instances
    from cardamomfork._internal.requests import reservations
    from cardamomfork._internal.requests.claims import ledger

RESERVATION_QUERY_TIMEOUT_S = 2.0


@attrs.frozen
class ClaimShardRoutes:
    """The way to the owners of claim shards.

    An owner is chosen among the delegates of all data centres in touch. Where
    instances differ on it for a while, compare-and-swap settles their writes.

    Attributes:
        fleet: Knows the delegates and calls them.
        clock: The loop's clock.
    """

    fleet: fleet_membership.FleetMembership
    clock: clock_contract.Clock

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard; None if it is this instance."""
        name = rendezvous.owner(f"claims/{shard}", self._delegates())
        local_id = self.fleet.members.me.instance.instance_id
        if name is None or name == local_id:
            return None
        return identifiers.InstanceId(name)

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Has the owner commit an operation; None if no answer came."""
        peer = self._delegates().get(owner)
        if peer is None:
            return None
        answer = await self.fleet.link.ask(
            peer, peering_contract.PeerRequest.COMMIT_CLAIM, payload, timeout_s
        )
        return answer.ok() or None

    def _delegates(self) -> dict[str, instances.Instance]:
        """Returns the delegates of all data centres in touch, by name."""
        now = self.clock.monotonic()
        delegates = self.fleet.others.delegates(now)
        return {delegate.instance_id: delegate for delegate in delegates}


def make_reservation_owners(
    fleet: fleet_membership.FleetMembership,
) -> request_dependencies.ReservationOwners:
    """Makes the way to the instances that own reservations."""

    def known_members() -> dict[
        identifiers.InstanceId, reservation_sweep.Member
    ]:
        return {
            record.instance.instance_id: reservation_sweep.Member(
                record.instance.boot_id, record.state
            )
            for record in fleet.members.known()
        }

    async def ask(
        question: reservation_sweep.OwnershipQuery,
    ) -> frozenset[str] | None:
        return await _query_reservation_owner(fleet, question)

    return request_dependencies.ReservationOwners(
        known_members, fleet.members.staying, ask
    )


async def _query_reservation_owner(
    fleet: fleet_membership.FleetMembership,
    question: reservation_sweep.OwnershipQuery,
) -> frozenset[str] | None:
    """Has the owner say which names it does not use; None for no answer."""
    record = fleet.members.record(question.owner)
    if record is None:
        return None
    payload = msgspec.msgpack.encode(question.names)
    for _ in range(2):
        # The first failure drops the connection, so that the second try goes
        # over a new one.
        answer = await fleet.link.ask(
            record.instance,
            peering_contract.PeerRequest.FIND_UNUSED_RESERVATIONS,
            payload,
            RESERVATION_QUERY_TIMEOUT_S,
        )
        response = answer.unwrap_or(b"")
        if response:
            return frozenset(msgspec.msgpack.decode(response, type=list[str]))
    return None


def register_peer_request_handlers(
    fleet: fleet_membership.FleetMembership,
    claim_ledger: ledger.StoreClaimLedger,
    own_reservations: reservations.LocalReservations,
) -> None:
    """Sets what answers the peers' questions."""

    async def disown(payload: bytes) -> bytes:
        names = msgspec.msgpack.decode(payload, type=list[str])
        await anyio.lowlevel.checkpoint()
        return msgspec.msgpack.encode(
            sorted(own_reservations.find_unused(names))
        )

    fleet.peering.answer_with(
        peering_contract.PeerRequest.COMMIT_CLAIM, claim_ledger.serve
    )
    fleet.peering.answer_with(
        peering_contract.PeerRequest.FIND_UNUSED_RESERVATIONS, disown
    )
