"""Targets, and their load reports, cache events and faults."""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import identifiers


class TargetKind(enum.StrEnum):
    """Kinds of targets."""

    ENGINE = "engine"
    PLAIN = "plain"


@attrs.frozen
class Target:
    """A target in the configuration.

    Attributes:
        target_id: Name of the target.
        kind: Model engine or plain service.
        host: IP address.
        port: TCP port.
        data_centre: Data centre in which it runs.
        checks_fencing: Whether it refuses orders with an outdated fencing
            number.
        exports_kv: Whether it can export and import KV cache.
        memory_tokens: KV memory, in tokens; 0 for a plain service.
        max_batch: Most sequences that it decodes concurrently.
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
    """The load that a target reports; already outdated on receipt.

    Attributes:
        target_id: Id of the target.
        boot_id: Id of its process start; a new process has an empty cache.
        measured_at: Time of the measurement on the recipient's monotonic
            clock.
        queued_tokens: Prompt tokens that wait for prefill.
        running: Sequences in the batch.
        free_tokens: Free KV memory, in tokens.
        models: Models and `model:adapter`s that it can run now.
        leaving: Whether it has announced that it accepts no new work.
        versions: Version of the weights of each of `models`, in the same
            order; empty if not reported.
        role: `prefill`, `decode` or `mixed`; empty if not reported.
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
    """Blocks added to or evicted from a target's prefix cache.

    Attributes:
        target_id: Id of the target.
        boot_id: Id of its process start.
        sequence: Number of the event since the process start, from 1; a
            skipped number means that events were lost.
        stored: Hashes of the added blocks.
        evicted: Hashes of the evicted blocks.
        reset: Whether `stored` is the whole content of the cache.
    """

    target_id: identifiers.TargetId
    boot_id: identifiers.BootId
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    reset: bool = False


class FaultKind(enum.StrEnum):
    """How an exchange with a target failed."""

    UNREACHABLE = "unreachable"
    """No connection could be opened; no byte was sent."""
    REFUSED = "refused"
    """The target answered that it did not run the request."""
    REJECTED = "rejected"
    """The target ran the request and answered with an error."""
    LOST = "lost"
    """The connection broke after the first byte was sent."""
    SILENT = "silent"
    """Nothing arrived within the idle time-out after the first sent byte."""
    GARBLED = "garbled"
    """The answer violated the protocol, or its offsets did not match."""


@attrs.frozen
class TargetFault:
    """A failed exchange with a target.

    Attributes:
        kind: How the exchange failed.
        target_id: Id of the target.
        detail: One sentence, without prompt text or secrets.
        status: HTTP status of the target's answer, or 0.
        retry_after_s: Delay before a retry that the target asked for, in
            seconds, or None.
    """

    kind: FaultKind
    target_id: identifiers.TargetId
    detail: str
    status: int = 0
    retry_after_s: float | None = None
