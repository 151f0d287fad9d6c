"""Collaborators of the operators' server over a store in memory."""

import anyio
import attrs

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.links.operators import editing
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.telemetry import dump

KEY = key_hashes.generate()


@attrs.define
class Statuses:
    """This instance, and others whose versions a test sets."""

    replica: replica.ConfigurationReplica
    others: dict = attrs.field(factory=dict)

    async def refresh(self, version):
        pass

    def statuses(self):
        versions = {"one": self.replica.revision, **self.others}
        return [
            collaborators.InstanceStatus(
                name, "boot", "dc", instances.InstanceState.ALIVE, version
            )
            for name, version in versions.items()
        ]


@attrs.define
class Parts:
    """All collaborators, and what a test reaches into."""

    store: store_standin.MemoryStore
    session: store_standin.StoreSession
    statuses: Statuses
    state: dump.StateDump
    verifier: keys.KeyVerifier
    collaborators: collaborators.Collaborators

    async def follow(self):
        """Brings the store's changes into force until cancelled."""
        prefix = codec.section_prefix()
        since = 0
        session = store_standin.StoreSession(self.store)
        async with session.watch(prefix, 0) as batches:
            async for batch in batches:
                upto = batch.ok_value.revision
                changes = [read(e, upto) for e in batch.ok_value.entries]
                self.statuses.replica.apply_range(changes, since, upto)
                since = upto

    async def settle(self):
        """Waits until all of the store's changes are in force."""
        # The replica has no event for "caught up".
        held, store = self.statuses.replica, self.store
        while held.revision < store.revision:  # noqa: ASYNC110
            await anyio.sleep(0.001)


def read(entry, upto):
    kind, name = codec.parse_key(entry.key)
    if not entry.version:
        return configuration.Versioned(kind, name, upto, None)
    value = codec.decode(kind, name, entry.value).unwrap()
    return configuration.Versioned(kind, name, entry.version, value)


def make_parts():
    store = store_standin.MemoryStore(clock.LoopClock())
    session = store_standin.StoreSession(store)
    held = replica.ConfigurationReplica()
    statuses = Statuses(held)
    state = dump.StateDump("one")
    state.register(dump.Table("configuration", lambda: held.size, 50_000))
    verifier = keys.KeyVerifier()
    verifier.apply_keys("operator", (KEY.hashed,))
    return Parts(
        store,
        session,
        statuses,
        state,
        verifier,
        collaborators.Collaborators(
            editing.ChangeSetEditor(
                editor.ConfigurationEditor(session, held), held
            ),
            held,
            statuses,
            state,
            verifier,
        ),
    )
