"""Names and messages on the wire between an entry instance and its targets."""

from __future__ import annotations

import attrs

ATTEMPT_ID_HEADER = b"x-attempt-id"
RESUME_OFFSET_HEADER = b"x-resume-offset"
RESERVATION_HEADER = b"x-reservation"
CACHE_SALT_HEADER = b"x-cache-salt"
PART_TOKENS_HEADER = b"x-part-tokens"
NOT_RUN_HEADER = b"x-not-run"
"""On an error: the target vouches that it did not run the call."""

ATTEMPTS_PATH = "/extension/attempts"
RESERVATIONS_PATH = "/extension/reservations"
LOAD_PATH = "/extension/load"
CACHE_EVENTS_PATH = "/extension/cache-events"
KV_EXPORT_PATH = "/extension/kv/export"
KV_IMPORT_PATH = "/extension/kv/import"
ORDERS_PATH = "/extension/orders"


@attrs.frozen
class FreedAnswer:
    """Answer to a cancel or a release: whether the memory is free now."""

    freed: bool


@attrs.frozen
class ReservationsAnswer:
    """Names of the reservations that an engine holds."""

    reservations: tuple[str, ...]


@attrs.frozen
class LoadAnswer:
    """A load report; `age_s` is how old it was when it was sent."""

    boot_id: str
    age_s: float
    queued_tokens: int
    running: int
    free_tokens: int
    models: tuple[str, ...] = ()
    leaving: bool = False
    versions: tuple[str, ...] = ()
    role: str = ""


@attrs.frozen
class CacheEventEntry:
    """One cache event."""

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    reset: bool = False


@attrs.frozen
class CacheEventsAnswer:
    """Cache events of one life of an engine."""

    boot_id: str
    events: tuple[CacheEventEntry, ...]


@attrs.frozen
class ExportRequest:
    """Asks an engine to export a prefix's KV cache."""

    reservation: str
    prefix_hash: int


@attrs.frozen
class ExportAnswer:
    """The handle to import exported KV cache by."""

    handle: str


@attrs.frozen
class ImportRequest:
    """Asks an engine to import KV cache from another one."""

    reservation: str
    handle: str
    host: str
    port: int


@attrs.frozen
class ImportAnswer:
    """Tokens of KV cache held after an import."""

    tokens: int


@attrs.frozen
class Order:
    """An order with its fencing number."""

    action: str
    arguments: dict[str, str]
    fencing: int


@attrs.frozen
class OrderAnswer:
    """Answer to an order that was taken."""

    fencing: int
