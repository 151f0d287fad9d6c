"""What the operators' server needs from the rest of the daemon."""

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
    """A wish to change one object.

    Attributes:
        kind: Kind of the object.
        name: Its name.
        based_on: Version that the operator saw; 0 for none.
        body: Its new JSON, or None to delete it.
    """

    kind: configuration.ObjectKind
    name: str
    based_on: int
    body: bytes | None = attrs.field(repr=False)


@attrs.frozen
class Conflict:
    """Another operator's change came first.

    Attributes:
        mine: The change that lost.
        theirs: What is in force.
        in_doubt: Whether an answer was lost, so that the change may have been
            in force before the other.
    """

    mine: Change
    theirs: configuration.Versioned
    in_doubt: bool = False


@attrs.frozen
class Unavailable:
    """The store gave no answer.

    Attributes:
        detail: What went wrong.
        indeterminate: Whether the change may still have been written.
        subject: The object, as `KIND/NAME`.
    """

    detail: str
    indeterminate: bool = False
    subject: str = ""


@attrs.frozen
class ApplyResult:
    """What became of a change set.

    Attributes:
        accepted: Objects that the store has confirmed.
        found: Findings; nothing was then written.
        conflicts: Changes that came too late.
        unavailable: Changes that the store gave no answer for.
        skipped: Changes not tried, because one before them failed.
    """

    accepted: tuple[configuration.Versioned, ...] = ()
    found: tuple[findings.Finding, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    unavailable: tuple[Unavailable, ...] = ()
    skipped: int = 0

    @property
    def all_accepted(self) -> bool:
        """Whether all changes were accepted."""
        refused = self.found or self.conflicts or self.unavailable
        return not refused


@attrs.frozen
class InstanceStatus:
    """What an instance has applied, as far as this one has heard.

    Attributes:
        instance_id: Its name.
        boot_id: Which life of it.
        data_centre: Where it stands.
        state: What the peers hold of it.
        version: Every change up to it is in force there.
        age_s: Seconds since it was heard.
    """

    instance_id: identifiers.InstanceId
    boot_id: identifiers.BootId
    data_centre: identifiers.DataCentreId
    state: instances.InstanceState
    version: int
    age_s: float = 0.0


@attrs.frozen
class StatusReport:
    """What all instances have applied.

    Attributes:
        version: Of the instance that answers.
        reached: Whether all that are not dead have the asked version.
        instances: The instances, this one included.
    """

    version: int
    reached: bool
    instances: tuple[InstanceStatus, ...] = ()


class Editor(Protocol):
    """Checks and writes change sets."""

    async def apply(
        self, changes: Sequence[Change], *, check_only: bool = False
    ) -> ApplyResult:
        """Checks all changes, then writes them one by one."""
        ...


class Replica(Protocol):
    """The configuration in force here."""

    @property
    def revision(self) -> int:
        """Version up to which every change is in force here."""
        ...

    def get(
        self, kind: configuration.ObjectKind, name: str
    ) -> configuration.Versioned | None:
        """Returns an object, its deletion, or None."""
        ...

    def objects(
        self, kind: configuration.ObjectKind | None = None
    ) -> tuple[configuration.Versioned, ...]:
        """Returns the objects in force, of one kind or all."""
        ...


class FleetStatusReader(Protocol):
    """What is known of the instances."""

    def statuses(self) -> Sequence[InstanceStatus]:
        """Returns a status for each instance, this one included."""
        ...

    async def refresh(self, version: int) -> None:
        """Asks the instances that were not heard to have a version."""
        ...


class StateDumper(Protocol):
    """The tables of this process."""

    def take(
        self, now_wall: float, names: Iterable[str] = (), max_rows: int = 100
    ) -> dump.Dump:
        """Takes a dump."""
        ...


class Verifier(Protocol):
    """Checks operators' keys."""

    def verify(
        self, bearer: str, now_wall: float
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Returns the owner of a key, or a refusal."""
        ...


@attrs.frozen
class ServerDependencies:
    """All that the server works with."""

    editor: Editor
    replica: Replica
    status: FleetStatusReader
    dump: StateDumper
    verifier: Verifier
