"""Dependencies of the operators' server, over an in-memory store."""

import anyio
import attrs

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links.operators import change_set_editor
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.telemetry import dump

KEY = key_hashes.generate()


@attrs.define
class FakeFleetStatus:
    """Status of this instance, and of others whose versions a test sets."""

    replica: replica.ConfigurationReplica
    remote_versions: dict = attrs.field(factory=dict)

    async def refresh(self, version):
        pass

    def statuses(self):
        versions = {"one": self.replica.revision, **self.remote_versions}
        return [
            interfaces.InstanceStatus(
                name, "boot", "dc", instances.InstanceState.ALIVE, version
            )
            for name, version in versions.items()
        ]


@attrs.define
class OperatorFixture:
    """Dependencies of a server, with the objects that tests manipulate."""

    store: store_standin.MemoryStore
    session: store_standin.StoreSession
    statuses: FakeFleetStatus
    state: dump.TableRegistry
    verifier: keys.KeyVerifier
    dependencies: interfaces.ServerDependencies

    async def apply_store_changes(self):
        """Applies the store's changes to the replica until cancelled."""
        prefix = codec.section_prefix()
        previous_revision = 0
        session = store_standin.StoreSession(self.store)
        async with session.watch(prefix, 0) as batches:
            async for batch in batches:
                revision = batch.ok_value.revision
                changes = [
                    decode_entry(e, revision) for e in batch.ok_value.entries
                ]
                self.statuses.replica.apply_range(
                    changes, previous_revision, revision
                )
                previous_revision = revision

    async def wait_until_applied(self):
        """Waits until the replica has applied all changes of the store."""
        # The replica signals no event when it has caught up with the store.
        local_replica, store = self.statuses.replica, self.store
        while local_replica.revision < store.revision:  # noqa: ASYNC110
            await anyio.sleep(0.001)


def decode_entry(entry, revision):
    kind, name = codec.parse_key(entry.key)
    if not entry.version:
        return configuration.Versioned(kind, name, revision, None)
    value = codec.decode(kind, name, entry.value).unwrap()
    return configuration.Versioned(kind, name, entry.version, value)


def make_fixture():
    store = store_standin.MemoryStore(clock.LoopClock())
    session = store_standin.StoreSession(store)
    configuration_replica = replica.ConfigurationReplica()
    statuses = FakeFleetStatus(configuration_replica)
    state = dump.TableRegistry("one")
    state.register(
        dump.Table("configuration", lambda: configuration_replica.size, 50_000)
    )
    verifier = keys.KeyVerifier()
    verifier.apply_keys("operator", (KEY.hashed,))
    return OperatorFixture(
        store,
        session,
        statuses,
        state,
        verifier,
        interfaces.ServerDependencies(
            change_set_editor.ChangeSetEditor(
                editor.ConfigurationEditor(session, configuration_replica),
                configuration_replica,
            ),
            configuration_replica,
            statuses,
            state,
            verifier,
        ),
    )
