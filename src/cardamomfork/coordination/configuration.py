"""Objects that only ever move forward, and their editor.

`ConfigurationReplica` holds the newest version of each object and refuses
older ones, from wherever they come; `subscribe` tells of each change.
`ConfigurationEditor.apply` checks a change set whole and writes it by
compare-and-swap: findings come as `result.Err`, and each verdict of its report
is `Accepted`, `Conflict` (with both sides) or `Unconfirmed`.
`ConfigurationFollower` keeps a replica up by watches and peers.
"""

from __future__ import annotations

from cardamomfork._internal.configuration import distribution
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.configuration import follower
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.models import configuration

__all__ = [
    "Accepted",
    "ClientAccount",
    "ConfigurationEditor",
    "ConfigurationFollower",
    "ConfigurationGossip",
    "ConfigurationReplica",
    "Conflict",
    "Drain",
    "Edit",
    "ObjectKind",
    "Order",
    "Report",
    "Service",
    "Snapshot",
    "Unconfirmed",
    "Versioned",
]

Accepted = editor.Accepted
ClientAccount = configuration.ClientAccount
ConfigurationEditor = editor.ConfigurationEditor
ConfigurationFollower = follower.ConfigurationFollower
ConfigurationGossip = distribution.ConfigurationGossip
ConfigurationReplica = replica.ConfigurationReplica
Conflict = editor.Conflict
Drain = configuration.Drain
Edit = editor.Edit
ObjectKind = configuration.ObjectKind
Order = configuration.Order
Report = editor.Report
Service = configuration.Service
Snapshot = replica.Snapshot
Unconfirmed = editor.Unconfirmed
Versioned = configuration.Versioned
