"""What is known and told about targets."""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import identifiers


class TargetKind(enum.StrEnum):
    """Model engine or plain service."""

    ENGINE = "engine"
    PLAIN = "plain"


@attrs.frozen
class Target:
    """A target as the configuration names it.

    Attributes:
        target_id: Name of the target.
        kind: Model engine or plain service.
        host: IP number.
        port: TCP port.
        data_centre: Where it stands.
        checks_fencing: Whether it refuses an order with an old number.
        exports_kv: Whether it can export and import KV cache.
        memory_tokens: KV memory, in tokens; 0 for a plain service.
        max_batch: Most sequences it decodes at once.
    """

    target_id: identifiers.TargetId
    kind: TargetKind
    host: str
    port: int
    data_centre: identifiers.DataCentreId
    checks_fencing: bool = False
    exports_kv: bool = False
    memory_tokens: int = 0
    max_batch: int = 64


@attrs.frozen
class LoadReport:
    """A target's own word on its load; old by the time it is read.

    Attributes:
        target_id: Which target.
        boot_id: Which life of it; a new one starts with an empty cache.
        measured_at: Monotonic time at the reader that the report speaks of.
        queued_tokens: Prompt tokens that wait for prefill.
        running: Sequences in the batch.
        free_tokens: KV memory left, in tokens.
        models: Models and `model:adapter`s that it can run now.
        leaving: Whether it said that it takes no new work.
        versions: Version of the weights of each of `models`, in their order;
            empty if the target does not tell.
        role: `prefill`, `decode` or `mixed`; empty if it does not tell.
    """

    target_id: identifiers.TargetId
    boot_id: identifiers.BootId
    measured_at: float
    queued_tokens: int
    running: int
    free_tokens: int
    models: tuple[str, ...] = ()
    leaving: bool = False
    versions: tuple[str, ...] = ()
    role: str = ""


@attrs.frozen
class CacheEvent:
    """Blocks that entered or left a target's prefix cache.

    Attributes:
        target_id: Which target.
        boot_id: Which life of it.
        sequence: Counts the events of one life from 1; a jump is a gap.
        stored: Hashes of blocks that entered.
        evicted: Hashes of blocks that left.
        reset: Whether `stored` is the whole cache.
    """

    target_id: identifiers.TargetId
    boot_id: identifiers.BootId
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    reset: bool = False


class FaultKind(enum.StrEnum):
    """How an exchange with a target went wrong."""

    UNREACHABLE = "unreachable"
    """No connection came about; no byte was sent."""
    REFUSED = "refused"
    """The target said that it did not run it."""
    REJECTED = "rejected"
    """The target ran it and answered with an error."""
    LOST = "lost"
    """The connection broke after the first byte was sent."""
    SILENT = "silent"
    """Nothing came within the idle bound after the first byte was sent."""
    GARBLED = "garbled"
    """The answer broke the protocol or its offsets did not add up."""


@attrs.frozen
class TargetFault:
    """A failed exchange with a target.

    Attributes:
        kind: How it failed.
        target_id: With which target.
        detail: One sentence; holds no prompt and no secret.
        status: HTTP status the target gave, or 0.
        retry_after_s: The target's advice, in seconds, or None.
    """

    kind: FaultKind
    target_id: identifiers.TargetId
    detail: str
    status: int = 0
    retry_after_s: float | None = None
