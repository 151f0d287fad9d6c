"""Reads the settings file that the platform provides to a process."""

from __future__ import annotations

import os
import pathlib
import tomllib
from typing import Any

from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import fleet
from cardamomfork._internal.platform import numbers

PATH_VARIABLE = "CARDAMOMFORK_NODE_FILE"
BYTES_PER_MEGABYTE = 1_000_000
MS_PER_S = 1000.0
DEFAULT_METRICS_PORT = 9464
"""Metrics port in the deployment file."""


def find_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        exceptions.SettingsError: The variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise exceptions.SettingsError(
            f"{PATH_VARIABLE} is not set.",
            "It must contain the path of the platform's settings file.",
        )
    return pathlib.Path(path)


def load(path: pathlib.Path) -> fleet.EntrySettings:
    """Reads the settings of an entry instance.

    Raises:
        exceptions.SettingsError: The file can't be read, or a field is missing
            or malformed.
    """
    try:
        return decode(tomllib.loads(path.read_text()))
    except OSError as error:
        raise exceptions.SettingsError(
            f"{path} can't be read: {error.strerror}."
        ) from error
    except (KeyError, ValueError, TypeError) as error:
        raise exceptions.SettingsError(
            f"{path} has a missing or malformed field: {error!r}."
        ) from error


def decode(table: dict[str, Any]) -> fleet.EntrySettings:
    """Converts a parsed settings file.

    Raises:
        KeyError: A field is missing.
        ValueError: A field is malformed.
        TypeError: A field has the wrong type.
    """
    listen = table["listen"]
    bounds = table.get("bounds", {})
    limits = table.get("limits", {})
    host, caller_port = split_address(listen["front"])
    readiness_host, readiness_port = split_address(listen["readyAddr"])
    store_host, store_port = split_address(table["platform"]["address"])
    return fleet.EntrySettings(
        instance_id=str(table["nodeName"]),
        data_centre=str(table["zone"]),
        host=host,
        caller_port=caller_port,
        readiness_host=readiness_host,
        readiness_port=readiness_port,
        peer_port=int(table["portRange"][0]),
        store_host=store_host,
        store_port=store_port,
        metrics_port=int(
            table.get("metrics", {}).get("port", DEFAULT_METRICS_PORT)
        ),
        memory_bytes=int(
            float(limits.get("memoryMb", 300)) * BYTES_PER_MEGABYTE
        ),
        max_file_descriptors=int(limits.get("maxFds", 4096)),
        drain_timeout_s=float(bounds.get("drainTimeoutMs", 2000)) / MS_PER_S,
        stop_grace_s=float(bounds.get("graceS", 8)),
        retry_ratio=float(bounds.get("retryBudget", 0.2)),
        retry_reserve=float(bounds.get("retrySlack", 100)),
        retry_window_s=float(bounds.get("budgetWindowS", 10)),
        max_reservation_s=float(bounds.get("holdMaxMs", 20_000)) / MS_PER_S,
        evacuate_s=_decode_time_bound(bounds.get("evacuateMs")),
        region=str(table.get("region", "")),
        regions={
            str(data_centre): str(region)
            for data_centre, region in dict(table.get("zones", {})).items()
        },
        cold_ratio=_decode_bound(bounds, "coldOver", 1.5),
        cold_reserve=_decode_bound(bounds, "coldSlack", 5.0),
    )


def _decode_time_bound(value_ms: Any) -> float | None:
    """Converts a bound to seconds; None if it is absent or not positive.

    Raises:
        ValueError: The bound is malformed.
        TypeError: The bound has the wrong type.
    """
    if value_ms is None:
        return None
    seconds = float(value_ms) / MS_PER_S
    return seconds if seconds > 0 else None


def _decode_bound(bounds: dict[str, Any], name: str, default: float) -> float:
    """Returns a bound; its default if it is absent or malformed."""
    value = bounds.get(name)
    number = numbers.parse(value)
    if value is not None and number is None:
        logger.warning(
            "malformed field", name=name, detail=numbers.describe(value)
        )
    return default if number is None else number


def split_address(address: str) -> tuple[str, int]:
    """Splits an `IP:PORT` text into IP address and port.

    Raises:
        ValueError: The text is malformed.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{address!r} is not an IP:PORT address")
    return host, int(port)
