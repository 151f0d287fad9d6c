"""Versioned configuration objects that never revert, and their editor.

`ConfigurationReplica` holds the newest version of each object and rejects older
versions from any source. `subscribe` registers a callback for changes.
`ConfigurationEditor.apply` validates a whole change set and writes it by
compare-and-swap. Findings are returned as `result.Err`. Each verdict of the
report is `Accepted`, `Conflict` (with the edit and the current object) or
`Unconfirmed`. `ConfigurationFollower` keeps a replica up to date by store
watches and peers.
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
