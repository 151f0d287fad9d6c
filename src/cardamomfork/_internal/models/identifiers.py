"""Identifier types, and time-ordered ids."""

from __future__ import annotations

import secrets
import time
from typing import NewType
import uuid

InstanceId = NewType("InstanceId", str)
"""Name of an entry instance, from its settings; stays across restarts."""

BootId = NewType("BootId", str)
"""Id of a process start; the id of a later start sorts after it."""

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
    """Returns a new UUIDv7 as text.

    Args:
        now_ms: Unix time in milliseconds; None for the current time.
    """
    if now_ms is None:
        now_ms = time.time_ns() // 1_000_000
    value = (now_ms & (2**48 - 1)) << 80
    value |= secrets.randbits(_RANDOM_BITS)
    value &= ~(0xF000 << 64) & ~(0xC000 << 48)
    value |= (0x7000 << 64) | (0x8000 << 48)
    return str(uuid.UUID(int=value))


def timestamp_of_id(identifier: str) -> float | None:
    """Returns a UUIDv7's Unix time in seconds; None for any other text."""
    try:
        parsed = uuid.UUID(identifier)
    except ValueError:
        return None
    if (parsed.int >> 76) & 0xF != 7:
        return None
    return (parsed.int >> 80) / 1000.0
