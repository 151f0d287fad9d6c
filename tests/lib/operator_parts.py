"""Collaborators of the operators' server over a store in memory."""

import attrs
import result

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.telemetry import dump

KEY = key_hashes.generate()


@attrs.define
class StoreEditor:
    """Writes change sets by compare-and-swap, then applies them here."""

    session: store_standin.StoreSession
    replica: replica.ConfigurationReplica

    async def apply(self, changes, *, check_only=False):
        decoded = [
            codec.decode(each.kind, each.name, each.body)
            for each in changes
            if each.body is not None
        ]
        found = [e.err_value for e in decoded if isinstance(e, result.Err)]
        if found or check_only:
            return collaborators.Applied(found=tuple(found))
        accepted = []
        for each in changes:
            ended = await self.write(each)
            if isinstance(ended, collaborators.Applied):
                return attrs.evolve(ended, accepted=tuple(accepted))
            accepted.append(ended)
            self.replica.apply_range([ended], 0, ended.version)
        return collaborators.Applied(tuple(accepted))

    async def write(self, change):
        key = codec.key_of(change.kind, change.name)
        if change.body is None:
            answer = await self.session.delete(key, expected=change.based_on)
            version = self.session._store.revision
        else:
            answer = await self.session.put(
                key, change.body, expected=change.based_on
            )
            version = answer.ok().version if answer.is_ok() else 0
        if isinstance(answer, result.Ok):
            return decode(change.kind, change.name, version, change.body)
        fault = answer.err_value
        if isinstance(fault, store_contract.StoreFault):
            lost = fault.kind is store_contract.StoreFaultKind.INDETERMINATE
            return collaborators.Applied(
                unavailable=(collaborators.Unavailable("store", lost, key),)
            )
        current = fault.current
        theirs = decode(
            change.kind,
            change.name,
            current.version if current else 0,
            current.value if current else None,
        )
        return collaborators.Applied(
            conflicts=(collaborators.Conflict(change, theirs),)
        )


def decode(kind, name, version, body):
    value = None if body is None else codec.decode(kind, name, body).unwrap()
    return configuration.Versioned(kind, name, version, value)


@attrs.define
class Statuses:
    """This instance, and others whose versions a test sets."""

    replica: replica.ConfigurationReplica
    others: dict = attrs.field(factory=dict)

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

    session: store_standin.StoreSession
    statuses: Statuses
    state: dump.StateDump
    verifier: keys.KeyVerifier
    collaborators: collaborators.Collaborators


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
        session,
        statuses,
        state,
        verifier,
        collaborators.Collaborators(
            StoreEditor(session, held), held, statuses, state, verifier
        ),
    )
