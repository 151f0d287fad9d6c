"""A record of many claims, and what operations make of it. No effects.

One record is one key of the store. An operation names the token of the
attempt that it is for, so applying one twice does what applying it once does.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

MAX_RECORD_BYTES = 786_432
MAX_ANSWERS_BYTES = 131_072
"""Answers' bytes in a record past which only outcomes are kept."""
ENTRY_OVERHEAD_BYTES = 24
DIGEST_BYTES = 16

_CODE_BY_OUTCOME = {
    "": 0,
    outcomes.Outcome.FAILED: 1,
    outcomes.Outcome.UNKNOWN: 2,
    outcomes.Outcome.DONE: 3,
}
_OPEN_CODES = (0, _CODE_BY_OUTCOME[outcomes.Outcome.UNKNOWN])
"""An unknown end may still become known; other ends stay."""
_OUTCOME_BY_CODE = {code: outcome for outcome, code in _CODE_BY_OUTCOME.items()}


class ClaimEntry(msgspec.Struct, array_like=True, frozen=True):
    """One claim.

    Attributes:
        fingerprint: Hash of the body that it is for.
        token: Names the holder.
        deadline: Unix time in seconds by which the holder ends it.
        code: 0 while it is held, else the outcome's code.
        status: HTTP status of the answer.
        answer: The answer's body, if it is kept.
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
    """What an attempt asks of a claim."""

    digest: bytes
    token: str


class ClaimOperation(Operation, array_like=True, frozen=True, tag="claim"):
    """Claims a key for a token."""

    fingerprint: bytes
    deadline: int


class SettleOperation(Operation, array_like=True, frozen=True, tag="settle"):
    """Stores how it ended; `not_run` frees the key."""

    outcome: str
    status: int = 0
    answer: bytes = b""
    whole: bool = False


AnyOperation = ClaimOperation | SettleOperation


class Verdict(enum.IntEnum):
    """What became of an operation."""

    GRANTED = 0
    """The token holds the claim."""
    HELD = 1
    """Another token holds it."""
    STORED = 2
    """An earlier run's outcome stands."""
    REUSED = 3
    """The key was used with another body."""
    FULL = 4
    """The record can take no more claims."""
    SETTLED = 5
    """The outcome is stored, or the key is free."""
    NOT_HOLDER = 6
    """The token does not hold the claim."""
    UNAVAILABLE = 7
    """The store gave no answer; nothing is known of the claim."""


class OperationResult(msgspec.Struct, array_like=True, frozen=True):
    """An operation's verdict, and the entry that it rests on."""

    verdict: Verdict
    entry: ClaimEntry | None = None

    @property
    def outcome(self) -> outcomes.Outcome | None:
        """The outcome that the entry holds; None while it is held."""
        if self.entry is None or self.entry.code == 0:
            return None
        return outcomes.Outcome(_OUTCOME_BY_CODE[self.entry.code])

    @property
    def is_final(self) -> bool:
        """Whether no later write can change the verdict."""
        return self.verdict is Verdict.STORED and self.outcome not in (
            None,
            outcomes.Outcome.UNKNOWN,
        )


UNAVAILABLE = OperationResult(Verdict.UNAVAILABLE)


@attrs.frozen
class Applied:
    """A record after a batch of operations.

    Attributes:
        entries: Claims by digest.
        results: One for each operation, in order.
        changed: Whether the entries differ from those before.
    """

    entries: Mapping[bytes, ClaimEntry]
    results: tuple[OperationResult, ...]
    changed: bool

    @property
    def is_final(self) -> bool:
        """Whether no later write can change the results."""
        return all(
            operation_result.is_final for operation_result in self.results
        )


def encode(entries: Mapping[bytes, ClaimEntry]) -> bytes:
    """Returns a record's bytes."""
    return msgspec.msgpack.encode(entries)


def decode(value: bytes) -> dict[bytes, ClaimEntry]:
    """Reads a record's bytes."""
    return msgspec.msgpack.decode(value, type=dict[bytes, ClaimEntry])


class _Draft:
    """A record while operations are applied to it."""

    def __init__(self, entries: Mapping[bytes, ClaimEntry]) -> None:
        """Starts from a copy."""
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
        """Grants a claim on a free key, or says what stands there."""
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
        """Takes an entry out."""
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
    """Returns about how many bytes an entry takes with its digest."""
    fixed_bytes = len(entry.fingerprint) + len(entry.token) + DIGEST_BYTES
    return fixed_bytes + len(entry.answer) + ENTRY_OVERHEAD_BYTES
