"""Wire format of the protocol extensions between instances and targets.

Field names of the messages are the JSON names on the wire.
"""

from __future__ import annotations

import attrs

ATTEMPT_ID_HEADER = b"x-attempt-id"
RESUME_OFFSET_HEADER = b"x-resume-offset"
RESERVATION_HEADER = b"x-reservation"
CACHE_SALT_HEADER = b"x-cache-salt"
PART_TOKENS_HEADER = b"x-part-tokens"
NOT_RUN_HEADER = b"x-not-run"
"""On an error response: the target guarantees that it did not run the call."""

ATTEMPTS_PATH = "/extension/attempts"
RESERVATIONS_PATH = "/extension/reservations"
LOAD_PATH = "/extension/load"
CACHE_EVENTS_PATH = "/extension/cache-events"
KV_EXPORT_PATH = "/extension/kv/export"
KV_IMPORT_PATH = "/extension/kv/import"
ORDERS_PATH = "/extension/orders"


@attrs.frozen
class FreedAnswer:
    """Response to a cancel or release: whether the memory is already free."""

    freed: bool


@attrs.frozen
class ReservationsAnswer:
    """Names of an engine's open reservations."""

    reservations: tuple[str, ...]


@attrs.frozen
class LoadAnswer:
    """Load report of an engine; `age_s` is its age when it was sent."""

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
    """One change of an engine's KV cache.

    Attributes:
        sequence: Sequence number of the event.
        stored: Prefix hashes of blocks that were added.
        evicted: Prefix hashes of blocks that were evicted.
        reset: Whether `stored` is the whole cache, in place of a change.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    reset: bool = False


@attrs.frozen
class CacheEventsAnswer:
    """Cache events of one incarnation of an engine."""

    boot_id: str
    events: tuple[CacheEventEntry, ...]


@attrs.frozen
class ExportRequest:
    """Request to export the KV cache of a prefix."""

    reservation: str
    prefix_hash: int


@attrs.frozen
class ExportAnswer:
    """Response to an export: the handle to pass to the importing engine."""

    handle: str


@attrs.frozen
class ImportRequest:
    """Request to import KV cache from another engine."""

    reservation: str
    handle: str
    host: str
    port: int


@attrs.frozen
class ImportAnswer:
    """Response to an import: tokens of KV cache held afterwards."""

    tokens: int


@attrs.frozen
class Order:
    """An order and its fencing number."""

    action: str
    arguments: dict[str, str]
    fencing: int


@attrs.frozen
class OrderAnswer:
    """Response to an accepted order."""

    fencing: int
