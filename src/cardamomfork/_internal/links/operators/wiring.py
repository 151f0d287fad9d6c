"""Builds the operators' server from the components of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.accounts import operator_keys
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.links.operators import change_set_editor
from cardamomfork._internal.links.operators import fleet_status
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.links.operators import server

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
class DaemonComponents:
    """Components of the daemon that the operators' server works with.

    Attributes:
        store: Store session for writing changes.
        replica: Configuration in force.
        members: Known instances.
        configuration_gossip: Configuration revisions reported by peers.
        peering: Makes calls to peers.
        state_dump: Tables of the state dump.
        clock: Clock of the event loop.
        key_prefix: Prefix of every key in the store.
    """

    store: store_contract.Store
    replica: replica.ConfigurationReplica
    members: membership.Membership
    configuration_gossip: distribution.ConfigurationGossip
    peering: peering.Peering
    state_dump: dump.TableRegistry
    clock: clock_contract.Clock
    key_prefix: str = codec.DEFAULT_PREFIX


def make_server(
    settings: settings_models.DaemonSettings, components: DaemonComponents
) -> server.OperatorServer:
    """Returns the server; it must run inside a `capnp.kj_loop()`.

    Raises:
        SettingsError: A line of `[operators] keys` can't be parsed.
    """
    configuration_editor = editor.ConfigurationEditor(
        components.store, components.replica, components.key_prefix
    )
    status = fleet_status.FleetStatus(
        components.members,
        components.configuration_gossip,
        components.replica,
        components.peering.ask,
        components.clock,
    )
    return server.OperatorServer(
        settings.operators,
        interfaces.ServerDependencies(
            editor=change_set_editor.ChangeSetEditor(
                configuration_editor, components.replica
            ),
            replica=components.replica,
            status=status,
            dump=components.state_dump,
            verifier=operator_keys.make_verifier(settings.operators),
        ),
        components.clock,
    )
