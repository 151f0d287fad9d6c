"""Membership and failure detection by probes and gossip.

`Membership` is the membership table and its rules. It does no I/O; callers pass
in monotonic times in seconds. `Peering` probes peers over a `PeerLink` that you
provide, within a `ByteBudget` in bytes per second, and transports the payloads
of every `Participant`. `DataCentreSummaries` exchanges the live instances with
other data centres. `owners` selects instances for a key by rendezvous hashing.
"""

from __future__ import annotations

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.contracts import peering as contract
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.data_centres import summaries
from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import membership_gossip
from cardamomfork._internal.instances import peering
from cardamomfork._internal.instances import records
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import peer_network

__all__ = [
    "ByteBudget",
    "DataCentreSummaries",
    "Envelope",
    "Health",
    "Instance",
    "InstanceState",
    "Membership",
    "MembershipGossip",
    "Participant",
    "PeerLink",
    "PeerNetwork",
    "Peering",
    "Record",
    "owners",
]

ByteBudget = byte_budget.ByteBudget
DataCentreSummaries = summaries.DataCentreSummaries
Envelope = contract.Envelope
Health = records.Health
Instance = instances.Instance
InstanceState = instances.InstanceState
Membership = membership.Membership
MembershipGossip = membership_gossip.MembershipGossip
Participant = gossip.Participant
PeerLink = contract.PeerLink
PeerNetwork = peer_network.PeerNetwork
Peering = peering.Peering
Record = records.Record
owners = rendezvous.owners
