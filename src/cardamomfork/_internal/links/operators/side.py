"""Wires the operators' server from the parts of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.accounts import operator_keys
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.links.operators import editing
from cardamomfork._internal.links.operators import server
from cardamomfork._internal.links.operators import statuses

if TYPE_CHECKING:
    from cardamomfork._internal.configuration import distribution
    from cardamomfork._internal.configuration import replica
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.instances import peering
    from cardamomfork._internal.models import settings as settings_models
    from cardamomfork._internal.telemetry import dump


@attrs.frozen
class Parts:
    """What the daemon has that operators work with.

    Attributes:
        store: Session to write changes on.
        replica: Configuration in force.
        members: Instances known.
        heard: Revisions that peers told.
        peering: Calls peers.
        state: Tables for the dump.
        clock: The loop's clock.
        key_prefix: Put before every key of the store.
    """

    store: store_contract.Store
    replica: replica.ConfigurationReplica
    members: membership.Membership
    heard: distribution.ConfigurationGossip
    peering: peering.Peering
    state: dump.StateDump
    clock: clock_contract.Clock
    key_prefix: str = codec.DEFAULT_PREFIX


def make_server(
    settings: settings_models.DaemonSettings, parts: Parts
) -> server.OperatorServer:
    """Makes the server; it runs within a `capnp.kj_loop()`.

    Raises:
        SettingsError: A line of `[operators] keys` can't be read.
    """
    writer = editor.ConfigurationEditor(
        parts.store, parts.replica, parts.key_prefix
    )
    status = statuses.FleetStatus(
        parts.members,
        parts.heard,
        parts.replica,
        parts.peering.ask,
        parts.clock,
    )
    return server.OperatorServer(
        settings.operators,
        collaborators.Collaborators(
            editor=editing.ChangeSetEditor(writer, parts.replica),
            replica=parts.replica,
            status=status,
            dump=parts.state,
            verifier=operator_keys.make_verifier(settings.operators),
        ),
        parts.clock,
    )
