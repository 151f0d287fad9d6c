"""Names of the things of the users' world."""

from __future__ import annotations

import secrets
import time
from typing import NewType
import uuid

InstanceId = NewType("InstanceId", str)
"""An entry instance, named by its settings; keeps its name over restarts."""

BootId = NewType("BootId", str)
"""One life of a process; a restart takes a new one that sorts later."""

DataCentreId = NewType("DataCentreId", str)
TargetId = NewType("TargetId", str)
ServiceName = NewType("ServiceName", str)
AccountName = NewType("AccountName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)

_RANDOM_BITS = 74


def new_boot_id() -> BootId:
    """Returns a boot id that sorts after those of earlier starts."""
    return BootId(new_time_ordered_id())


def new_request_id() -> RequestId:
    """Returns a new request id (UUIDv7, RFC 9562)."""
    return RequestId(new_time_ordered_id())


def new_attempt_id() -> AttemptId:
    """Returns a new attempt id (UUIDv7, RFC 9562)."""
    return AttemptId(new_time_ordered_id())


def new_time_ordered_id(now_ms: int | None = None) -> str:
    """Returns a UUIDv7 as text.

    Args:
        now_ms: Unix time in milliseconds; the wall clock's if absent.
    """
    if now_ms is None:
        now_ms = time.time_ns() // 1_000_000
    value = (now_ms & (2**48 - 1)) << 80
    value |= secrets.randbits(_RANDOM_BITS)
    value &= ~(0xF000 << 64) & ~(0xC000 << 48)
    value |= (0x7000 << 64) | (0x8000 << 48)
    return str(uuid.UUID(int=value))


def timestamp_of_id(identifier: str) -> float | None:
    """Returns the Unix time in seconds that a UUIDv7 carries, or None."""
    try:
        parsed = uuid.UUID(identifier)
    except ValueError:
        return None
    if (parsed.int >> 76) & 0xF != 7:
        return None
    return (parsed.int >> 80) / 1000.0
