"""Types and interfaces between the operators' server and the daemon."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    import result

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import findings
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances
    from cardamomfork._internal.models import outcomes
    from cardamomfork._internal.telemetry import dump


@attrs.frozen
class Change:
    """A requested change of one object, guarded by its version.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        based_on: Version of the object that the change is based on; 0 if the
            object must not exist.
        body: New value as JSON, or None to delete the object.
    """

    kind: configuration.ObjectKind
    name: str
    based_on: int
    body: bytes | None = attrs.field(repr=False)


@attrs.frozen
class Conflict:
    """A change rejected because it isn't based on the version in force.

    Attributes:
        mine: The rejected change.
        theirs: The object in force.
        in_doubt: Whether an answer of the store was lost, so that the rejected
            change may have been in force before it was overwritten.
    """

    mine: Change
    theirs: configuration.Versioned
    in_doubt: bool = False


@attrs.frozen
class Unavailable:
    """A change that the store did not confirm.

    Attributes:
        detail: Description of the store's fault.
        indeterminate: Whether the change may have been written anyway.
        subject: The object, as `KIND/NAME`.
    """

    detail: str
    indeterminate: bool = False
    subject: str = ""


@attrs.frozen
class ApplyResult:
    """Result of applying a change set.

    Attributes:
        accepted: Objects whose write the store has confirmed.
        found: Findings of the check. If there are any, nothing was written.
        conflicts: Changes that aren't based on the version in force.
        unavailable: Changes that the store did not confirm.
        skipped: Number of changes not attempted because an earlier one failed.
    """

    accepted: tuple[configuration.Versioned, ...] = ()
    found: tuple[findings.Finding, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    unavailable: tuple[Unavailable, ...] = ()
    skipped: int = 0

    @property
    def all_accepted(self) -> bool:
        """Whether there are no findings, conflicts or unconfirmed changes."""
        refused = self.found or self.conflicts or self.unavailable
        return not refused


@attrs.frozen
class InstanceStatus:
    """Configuration version of an instance, as last reported to this one.

    Attributes:
        instance_id: Id of the instance.
        boot_id: Id of its process start.
        data_centre: Its data centre.
        state: Its state in the membership.
        version: Store revision up to which all changes are in force on it.
        age_s: Seconds since the version was reported.
    """

    instance_id: identifiers.InstanceId
    boot_id: identifiers.BootId
    data_centre: identifiers.DataCentreId
    state: instances.InstanceState
    version: int
    age_s: float = 0.0


@attrs.frozen
class StatusReport:
    """Configuration versions of all instances.

    Attributes:
        version: Version of the instance that answers.
        reached: Whether all instances that are not dead have the version that
            the operator waits for.
        instances: All known instances, including the one that answers.
    """

    version: int
    reached: bool
    instances: tuple[InstanceStatus, ...] = ()


class Editor(Protocol):
    """Checks and writes change sets."""

    async def apply(
        self, changes: Sequence[Change], *, check_only: bool = False
    ) -> ApplyResult:
        """Checks all changes, then writes them one at a time."""
        ...


class Replica(Protocol):
    """The configuration in force on this instance."""

    @property
    def revision(self) -> int:
        """Store revision up to which all changes are in force."""
        ...

    def get(
        self, kind: configuration.ObjectKind, name: str
    ) -> configuration.Versioned | None:
        """Returns an object or its tombstone; None if there is neither."""
        ...

    def objects(
        self, kind: configuration.ObjectKind | None = None
    ) -> tuple[configuration.Versioned, ...]:
        """Returns the objects in force, of one kind or of all kinds."""
        ...


class FleetStatusReader(Protocol):
    """Reports the configuration versions of the fleet."""

    def statuses(self) -> Sequence[InstanceStatus]:
        """Returns the status of each known instance, including this one."""
        ...

    async def refresh(self, version: int) -> None:
        """Contacts the instances that have not yet reported a version."""
        ...


class StateDumper(Protocol):
    """Dumps the state tables of this process."""

    def take(
        self, now_wall: float, names: Iterable[str] = (), max_rows: int = 100
    ) -> dump.Dump:
        """Returns a dump of the named tables; of all tables by default."""
        ...


class Verifier(Protocol):
    """Verifies operators' keys."""

    def verify(
        self, bearer: str, now_wall: float
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Returns the account name that owns a key, or a refusal."""
        ...


@attrs.frozen
class ServerDependencies:
    """Dependencies of the operators' server."""

    editor: Editor
    replica: Replica
    status: FleetStatusReader
    dump: StateDumper
    verifier: Verifier
