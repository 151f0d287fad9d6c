"""Validates operators' changes and writes them by compare-and-swap.

A change names the version that the operator saw. It counts as accepted only
once the store has confirmed it. If the answer to a write is lost, the write is
repeated with the same expected version. The repetition either takes effect or
fails the comparison, which returns the current value. This is also correct if
the first write takes effect late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import validation
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.configuration import replica

MAX_WRITE_ATTEMPTS = 6
"""Most attempts at a write after an answer was lost."""
RETRY_BASE_DELAY_S = 0.25


@attrs.frozen
class Edit:
    """An operator's change of one object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        value: The new value, or None to delete the object.
        based_on: Version that the operator saw; 0 if there was no object.
    """

    kind: configuration.ObjectKind
    name: str
    value: configuration.ConfigurationObject | None
    based_on: int = store_contract.ABSENT


@attrs.frozen
class Accepted:
    """A change that the store has confirmed.

    Attributes:
        edit: The change.
        version: The object's new version; 0 for a deletion.
    """

    edit: Edit
    version: int


@attrs.frozen
class Conflict:
    """A change whose object has been changed concurrently.

    Attributes:
        edit: The change that the operator requested.
        current: The object in the store, or None if it has been deleted.
        certain: False if an answer was lost; the change may then have been in
            force before the concurrent change replaced it.
    """

    edit: Edit
    current: configuration.Versioned | None
    certain: bool = True


@attrs.frozen
class Unconfirmed:
    """A change that the store did not confirm.

    Attributes:
        edit: The change.
        fault: The store's last fault.
        written: False if the change was not written; None if that is unknown.
    """

    edit: Edit
    fault: store_contract.StoreFault
    written: bool | None


Verdict = Accepted | Conflict | Unconfirmed


@attrs.frozen
class Report:
    """The result of a change set that had no findings.

    Attributes:
        verdicts: Verdicts on the changes that were attempted, in order.
        skipped: Changes not attempted, because an earlier one failed.
    """

    verdicts: tuple[Verdict, ...]
    skipped: tuple[Edit, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether every change of the set was accepted."""
        return not self.skipped and all(
            isinstance(verdict, Accepted) for verdict in self.verdicts
        )


class ConfigurationEditor:
    """Validates operators' changes and writes them to the store."""

    def __init__(
        self,
        store: store_contract.Store,
        held: replica.ConfigurationReplica,
        prefix: str = codec.DEFAULT_PREFIX,
    ) -> None:
        """Initializes the editor.

        Args:
            store: Store session for the writes.
            held: Replica to validate against; accepted changes are applied to
                it at once.
            prefix: Prefix of every key in the store.
        """
        self._store = store
        self._replica = held
        self._prefix = prefix

    async def apply(
        self, edits: Sequence[Edit]
    ) -> result.Result[Report, tuple[findings.Finding, ...]]:
        """Validates a change set, then writes it in the given order.

        The set is not atomic: the store compares and swaps one key at a time.
        All conflicts that exist already are returned before the first write.
        Writing stops at the first change that is not accepted.

        Returns:
            The report, or all findings; with findings nothing is written.
        """
        found = validation.check_changes(
            [(edit.kind, edit.name, edit.value) for edit in edits],
            self._replica,
        )
        if found:
            return result.Err(found)
        conflicts = await self._find_conflicts(edits)
        if conflicts:
            return result.Ok(Report(tuple(conflicts), tuple(edits)))
        verdicts: list[Verdict] = []
        for number, edit in enumerate(edits):
            verdicts.append(await self._write_until_known(edit))
            if not isinstance(verdicts[-1], Accepted):
                return result.Ok(
                    Report(tuple(verdicts), tuple(edits[number + 1 :]))
                )
        return result.Ok(Report(tuple(verdicts)))

    async def _find_conflicts(self, edits: Sequence[Edit]) -> list[Verdict]:
        """Finds changes whose object has another version than expected."""
        verdicts: list[Verdict] = []
        for edit in edits:
            read = await self._store.get(self._key(edit))
            if isinstance(read, result.Err):
                verdicts.append(
                    Unconfirmed(edit, read.err_value, written=False)
                )
                break
            current = read.ok_value
            version = current.version if current else store_contract.ABSENT
            if version != edit.based_on:
                verdicts.append(
                    Conflict(edit, self._decode_current(edit, current))
                )
        return verdicts

    async def _write_until_known(self, edit: Edit) -> Verdict:
        """Writes one change, with retries until its result is known."""
        in_doubt = False
        attempt = 0
        while True:
            outcome = await self._compare_and_swap(edit)
            if isinstance(outcome, result.Ok):
                return self._accept(edit, outcome.ok_value)
            error = outcome.err_value
            if isinstance(error, store_contract.CompareFailed):
                return self._resolve_failed_compare(
                    edit, error.current, in_doubt
                )
            is_indeterminate = (
                error.kind is store_contract.StoreFaultKind.INDETERMINATE
            )
            in_doubt = in_doubt or is_indeterminate
            if not in_doubt:
                return Unconfirmed(edit, error, written=False)
            attempt += 1
            if attempt == MAX_WRITE_ATTEMPTS:
                return Unconfirmed(edit, error, written=None)
            await anyio.sleep(RETRY_BASE_DELAY_S * 2**attempt)

    async def _compare_and_swap(
        self, edit: Edit
    ) -> result.Result[
        int, store_contract.CompareFailed | store_contract.StoreFault
    ]:
        """Attempts one compare-and-swap; returns the new version."""
        key = self._key(edit)
        if edit.value is None:
            deleted = await self._store.delete(key, expected=edit.based_on)
            return deleted.map(lambda _: store_contract.ABSENT)
        data = codec.encode(edit.value)
        written = await self._store.put(key, data, expected=edit.based_on)
        return written.map(lambda entry: entry.version)

    def _resolve_failed_compare(
        self, edit: Edit, current: store_contract.Entry | None, in_doubt: bool
    ) -> Verdict:
        """Returns the verdict on a write whose comparison failed.

        After a lost answer the stored value may be that of an earlier attempt;
        the change is then accepted.
        """
        wanted = None if edit.value is None else codec.encode(edit.value)
        if in_doubt and wanted == (current.value if current else None):
            version = current.version if current else store_contract.ABSENT
            return self._accept(edit, version)
        return Conflict(
            edit, self._decode_current(edit, current), certain=not in_doubt
        )

    def _accept(self, edit: Edit, version: int) -> Accepted:
        """Applies a confirmed change to the local replica."""
        if edit.value is not None:
            self._replica.apply(
                configuration.Versioned(
                    edit.kind, edit.name, version, edit.value
                )
            )
        return Accepted(edit, version)

    def _decode_current(
        self, edit: Edit, entry: store_contract.Entry | None
    ) -> configuration.Versioned | None:
        """Decodes the store's object; undecodable data gives no value."""
        if entry is None:
            return None
        value = codec.decode(edit.kind, edit.name, entry.value).ok()
        return configuration.Versioned(
            edit.kind, edit.name, entry.version, value
        )

    def _key(self, edit: Edit) -> str:
        """Returns the key of the object that a change names."""
        return codec.key_of(edit.kind, edit.name, self._prefix)
