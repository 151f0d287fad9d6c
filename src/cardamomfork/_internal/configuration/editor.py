"""Operators' changes: checked, written by compare-and-swap, confirmed.

A change names the version that the operator saw. It counts as accepted only
once the store has confirmed it. A write whose answer was lost is written
again with the same expected version: either it takes effect now, or the
comparison fails and shows what stands there, also where the first write lands
late.
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
RETRY_BASE_DELAY_S = 0.25


@attrs.frozen
class Edit:
    """One object's change.

    Attributes:
        kind: Which kind of object.
        name: Its name.
        value: Its new value, or None to delete it.
        based_on: Version that the operator saw; 0 if there was none.
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
        version: Its version; 0 for a deletion.
    """

    edit: Edit
    version: int


@attrs.frozen
class Conflict:
    """A change that lost a race, with both sides.

    Attributes:
        edit: The change as the operator wanted it.
        current: What stands in the store, or None if it was deleted.
        certain: False if an answer was lost: the change may have been in
            force for a moment before the other one.
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
        written: False if it was surely not written; None if that is unknown.
    """

    edit: Edit
    fault: store_contract.StoreFault
    written: bool | None


Verdict = Accepted | Conflict | Unconfirmed


@attrs.frozen
class Report:
    """What became of a change set that had no findings.

    Attributes:
        verdicts: One for each change that was tried, in order.
        skipped: Changes not tried, because one before them failed.
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
    """Makes operators' changes."""

    def __init__(
        self,
        store: store_contract.Store,
        held: replica.ConfigurationReplica,
        prefix: str = codec.DEFAULT_PREFIX,
    ) -> None:
        """Takes the store and this instance's copy.

        Args:
            store: Session to write on.
            held: Copy to check against; takes accepted changes at once.
            prefix: Put before every key.
        """
        self._store = store
        self._replica = held
        self._prefix = prefix

    async def apply(
        self, edits: Sequence[Edit]
    ) -> result.Result[Report, tuple[findings.Finding, ...]]:
        """Checks a change set, then writes it in the order given.

        The set is not atomic: the store swaps one key at a time. Conflicts
        that already show are all found before the first write; the first
        change that is not accepted ends the set.

        Returns:
            A verdict for each change, or all findings and nothing written.
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
        """Finds changes whose object has moved on, before any write."""
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
        """Writes one change until the store has said what became of it."""
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
        """Tries one compare-and-swap; returns the new version."""
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
        """Tells a write of ours that took effect from a lost race."""
        wanted = None if edit.value is None else codec.encode(edit.value)
        if in_doubt and wanted == (current.value if current else None):
            version = current.version if current else store_contract.ABSENT
            return self._accept(edit, version)
        return Conflict(
            edit, self._decode_current(edit, current), certain=not in_doubt
        )

    def _accept(self, edit: Edit, version: int) -> Accepted:
        """Puts a confirmed change in force here at once."""
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
        """Reads what stands in the store; unreadable counts as no value."""
        if entry is None:
            return None
        value = codec.decode(edit.kind, edit.name, entry.value).ok()
        return configuration.Versioned(
            edit.kind, edit.name, entry.version, value
        )

    def _key(self, edit: Edit) -> str:
        """Returns the key of a change's object."""
        return codec.key_of(edit.kind, edit.name, self._prefix)
