"""Claim records and the operations on them, as pure functions.

A record is one key of the store and holds many claims. Each operation contains
the token of its attempt, which makes operations idempotent.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal import decoding
from cardamomfork._internal import exceptions
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

MAX_RECORD_BYTES = 786_432
MAX_ANSWERS_BYTES = 131_072
"""Total size of answers in a record above which answers are not stored."""
ENTRY_OVERHEAD_BYTES = 24
DIGEST_BYTES = 16

_CODE_BY_OUTCOME = {
    "": 0,
    outcomes.Outcome.FAILED: 1,
    outcomes.Outcome.UNKNOWN: 2,
    outcomes.Outcome.DONE: 3,
}
_OPEN_CODES = (0, _CODE_BY_OUTCOME[outcomes.Outcome.UNKNOWN])
"""Codes that a later settlement may replace: held and unknown."""
_OUTCOME_BY_CODE = {code: outcome for outcome, code in _CODE_BY_OUTCOME.items()}


class ClaimEntry(msgspec.Struct, array_like=True, frozen=True):
    """One claim.

    Attributes:
        fingerprint: Hash of the request body.
        token: Token of the holder.
        deadline: Unix time, in seconds, by which the holder's run ends.
        code: 0 while the claim is held, else the code of the outcome.
        status: HTTP status of the answer.
        answer: Body of the answer, if it is stored.
        whole: Whether `answer` is the whole body.
    """

    fingerprint: bytes
    token: str
    deadline: int
    code: int = 0
    status: int = 0
    answer: bytes = b""
    whole: bool = False


class Operation(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Base of the operations of an attempt on a claim."""

    digest: bytes
    token: str


class ClaimOperation(Operation, array_like=True, frozen=True, tag="claim"):
    """Claims a key for the holder of a token."""

    fingerprint: bytes
    deadline: int


class SettleOperation(Operation, array_like=True, frozen=True, tag="settle"):
    """Stores the outcome of a run; `not_run` frees the key."""

    outcome: str
    status: int = 0
    answer: bytes = b""
    whole: bool = False


AnyOperation = ClaimOperation | SettleOperation


class Verdict(enum.IntEnum):
    """Result code of an operation."""

    GRANTED = 0
    """The claim is held by the operation's token."""
    HELD = 1
    """The claim is held by another token."""
    STORED = 2
    """The outcome of an earlier run is stored."""
    REUSED = 3
    """The key was used with another request body."""
    FULL = 4
    """The record has no space for another claim."""
    SETTLED = 5
    """The outcome has been stored, or the key has been freed."""
    NOT_HOLDER = 6
    """The token does not hold the claim."""
    UNAVAILABLE = 7
    """The store did not answer; the state of the claim is unknown."""


class OperationResult(msgspec.Struct, array_like=True, frozen=True):
    """Verdict on an operation, with the claim's entry if there is one."""

    verdict: Verdict
    entry: ClaimEntry | None = None

    @property
    def outcome(self) -> outcomes.Outcome | None:
        """The outcome stored in the entry; None if there is none yet."""
        if self.entry is None or self.entry.code == 0:
            return None
        return outcomes.Outcome(_OUTCOME_BY_CODE[self.entry.code])

    @property
    def is_final(self) -> bool:
        """Whether later writes cannot change the verdict."""
        return self.verdict is Verdict.STORED and self.outcome not in (
            None,
            outcomes.Outcome.UNKNOWN,
        )


UNAVAILABLE = OperationResult(Verdict.UNAVAILABLE)


@attrs.frozen
class Applied:
    """Result of applying a batch of operations to a record.

    Attributes:
        entries: Claims by digest, after the batch.
        results: Results of the operations, in order.
        changed: Whether the batch changed the entries.
    """

    entries: Mapping[bytes, ClaimEntry]
    results: tuple[OperationResult, ...]
    changed: bool

    @property
    def is_final(self) -> bool:
        """Whether later writes cannot change any of the results."""
        return all(
            operation_result.is_final for operation_result in self.results
        )


def encode(entries: Mapping[bytes, ClaimEntry]) -> bytes:
    """Encodes a record."""
    return msgspec.msgpack.encode(entries)


decode = decoding.msgpack_decoder("claim record", dict[bytes, ClaimEntry])
"""Decodes a record."""


class _Draft:
    """Mutable copy of a record to which operations are applied."""

    def __init__(self, entries: Mapping[bytes, ClaimEntry]) -> None:
        """Initializes the draft with a copy of the entries."""
        self.entries = dict(entries)
        self.freed: set[bytes] = set()
        self.changed = False
        self._answer_bytes = sum(len(e.answer) for e in entries.values())
        self._record_bytes = sum(map(_size, entries.values()))

    def apply(self, operation: AnyOperation) -> OperationResult:
        """Applies one operation."""
        if isinstance(operation, ClaimOperation):
            return self._claim(operation)
        return self._settle(operation)

    def _claim(self, operation: ClaimOperation) -> OperationResult:
        """Grants a claim on a free key; otherwise returns its state."""
        entry = self.entries.get(operation.digest)
        if entry is None:
            entry = ClaimEntry(
                operation.fingerprint, operation.token, operation.deadline
            )
            if self._record_bytes + _size(entry) > MAX_RECORD_BYTES:
                return OperationResult(Verdict.FULL)
            self._put(operation.digest, entry)
            return OperationResult(Verdict.GRANTED, entry)
        if entry.token == operation.token and entry.code == 0:
            return OperationResult(Verdict.GRANTED, entry)
        if entry.fingerprint != operation.fingerprint:
            return OperationResult(Verdict.REUSED)
        if entry.code == 0:
            return OperationResult(Verdict.HELD, entry)
        return OperationResult(Verdict.STORED, entry)

    def _settle(self, operation: SettleOperation) -> OperationResult:
        """Stores an outcome, or frees the key."""
        entry = self.entries.get(operation.digest)
        if entry is None or entry.token != operation.token:
            return OperationResult(Verdict.NOT_HOLDER)
        if entry.code not in _OPEN_CODES:
            return OperationResult(Verdict.SETTLED, entry)
        if operation.outcome == outcomes.Outcome.NOT_RUN:
            if entry.code != 0:
                return OperationResult(Verdict.NOT_HOLDER)
            self._remove(operation.digest)
            self.freed.add(operation.digest)
            return OperationResult(Verdict.SETTLED)
        code = _CODE_BY_OUTCOME[outcomes.Outcome(operation.outcome)]
        if entry.code == code:
            return OperationResult(Verdict.SETTLED, entry)
        keeps_answer = (
            len(operation.answer) + self._answer_bytes <= MAX_ANSWERS_BYTES
        )
        settled = ClaimEntry(
            entry.fingerprint,
            entry.token,
            entry.deadline,
            code,
            operation.status,
            operation.answer if keeps_answer else b"",
            operation.whole and keeps_answer,
        )
        self._remove(operation.digest)
        self._put(operation.digest, settled)
        return OperationResult(Verdict.SETTLED, settled)

    def _put(self, digest: bytes, entry: ClaimEntry) -> None:
        """Adds an entry."""
        self.entries[digest] = entry
        self._record_bytes += _size(entry)
        self._answer_bytes += len(entry.answer)
        self.changed = True

    def _remove(self, digest: bytes) -> None:
        """Removes an entry."""
        entry = self.entries.pop(digest)
        self._record_bytes -= _size(entry)
        self._answer_bytes -= len(entry.answer)
        self.changed = True


def apply(
    entries: Mapping[bytes, ClaimEntry], operations: Sequence[AnyOperation]
) -> Applied:
    """Applies operations in order to a copy of a record."""
    draft = _Draft(entries)
    results = tuple(draft.apply(operation) for operation in operations)
    for digest, entry in entries.items():
        remaining = draft.entries.get(digest)
        exceptions.check_invariant(
            digest in draft.freed
            or (remaining is not None and remaining.token == entry.token),
            "only its holder frees a claim",
            entry.token,
        )
    return Applied(draft.entries, results, draft.changed)


def _size(entry: ClaimEntry) -> int:
    """Returns the approximate encoded size of an entry with its digest."""
    fixed_bytes = len(entry.fingerprint) + len(entry.token) + DIGEST_BYTES
    return fixed_bytes + len(entry.answer) + ENTRY_OVERHEAD_BYTES
