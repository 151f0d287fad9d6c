"""Sends requests to peers and registers the handlers of their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import msgspec

from cardamomfork._internal import decoding
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


_decode_names = decoding.msgpack_decoder("names of reservations", list[str])


@attrs.frozen
class ClaimShardRoutes:
    """Finds the owners of claim shards and forwards operations to them.

    The owner is selected among the delegates of all reachable data centres.
    While instances disagree on the owner, compare-and-swap in the store
    resolves their conflicting writes.

    Attributes:
        fleet: Source of the delegates, and client for calls to them.
        clock: Source of monotonic time.
    """

    fleet: fleet_membership.FleetMembership
    clock: clock_contract.Clock

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard; None for the local instance."""
        name = rendezvous.owner(f"claims/{shard}", self._delegates())
        local_id = self.fleet.members.me.instance.instance_id
        if name is None or name == local_id:
            return None
        return identifiers.InstanceId(name)

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Asks the owner to commit an operation; None without an answer."""
        peer = self._delegates().get(owner)
        if peer is None:
            return None
        answer = await self.fleet.link.ask(
            peer, peering_contract.PeerRequest.COMMIT_CLAIM, payload, timeout_s
        )
        return answer.ok() or None

    def _delegates(self) -> dict[str, instances.Instance]:
        """Returns the delegates of reachable data centres, by identifier."""
        now = self.clock.monotonic()
        delegates = self.fleet.others.delegates(now)
        return {delegate.instance_id: delegate for delegate in delegates}


def make_reservation_owners(
    fleet: fleet_membership.FleetMembership,
) -> request_dependencies.ReservationOwners:
    """Creates the access to the instances that own reservations."""

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
    """Asks the owner which reservations it doesn't use.

    Returns:
        The names of the unused reservations; None without an answer.
    """
    record = fleet.members.record(question.owner)
    if record is None:
        return None
    payload = msgspec.msgpack.encode(question.names)
    for _ in range(2):
        # A failure closes the connection, so the second attempt opens a new
        # one.
        answer = await fleet.link.ask(
            record.instance,
            peering_contract.PeerRequest.FIND_UNUSED_RESERVATIONS,
            payload,
            RESERVATION_QUERY_TIMEOUT_S,
        )
        response = answer.unwrap_or(b"")
        if response:
            names = _decode_names(response).ok()
            return None if names is None else frozenset(names)
    return None


def register_peer_request_handlers(
    fleet: fleet_membership.FleetMembership,
    claim_ledger: ledger.StoreClaimLedger,
    local_reservations: reservations.LocalReservations,
) -> None:
    """Registers the handlers of peer requests."""

    async def find_unused(payload: bytes) -> bytes:
        await anyio.lowlevel.checkpoint()
        names = _decode_names(payload).ok()
        if names is None:
            return b""
        return msgspec.msgpack.encode(
            sorted(local_reservations.find_unused(names))
        )

    fleet.peering.answer_with(
        peering_contract.PeerRequest.COMMIT_CLAIM, claim_ledger.serve
    )
    fleet.peering.answer_with(
        peering_contract.PeerRequest.FIND_UNUSED_RESERVATIONS, find_unused
    )
