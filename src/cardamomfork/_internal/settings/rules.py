"""Validation rules that involve more than one settings value."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomfork._internal.models import settings

SettingsProblem = tuple[tuple[str, str], str]
"""A (section, key) pair and an error message."""


def check(
    daemon_settings: settings.DaemonSettings,
) -> Iterator[SettingsProblem]:
    """Yields conflicts between values that are valid individually."""
    yield from _check_ports(daemon_settings)
    yield from _check_tls(daemon_settings)
    if not daemon_settings.store.endpoints and not daemon_settings.embedded:
        yield (
            ("store", "endpoints"),
            "set the endpoints of the store, or [embedded] enabled = true",
        )


def _check_ports(
    daemon_settings: settings.DaemonSettings,
) -> Iterator[SettingsProblem]:
    """Checks that no two listeners use the same address."""
    listeners = {
        "callers": (daemon_settings.callers.host, daemon_settings.callers.port),
        "peers": (daemon_settings.peers.host, daemon_settings.peers.port),
        "operators": (
            daemon_settings.operators.host,
            daemon_settings.operators.port,
        ),
    }
    for (section, address), (
        other_section,
        other_address,
    ) in itertools.combinations(listeners.items(), 2):
        host, port = other_address
        if port and address == other_address:
            message = f"{host}:{port} is already used by [{section}]"
            yield (other_section, "port"), message


def _check_tls(
    daemon_settings: settings.DaemonSettings,
) -> Iterator[SettingsProblem]:
    """Checks that certificate, key and authority are set together."""
    listeners = {
        "callers": daemon_settings.callers.tls,
        "peers": daemon_settings.peers.tls,
        "operators": daemon_settings.operators.tls,
    }
    for section, tls in listeners.items():
        if tls.certificate and not tls.key:
            yield (section, "tls_certificate"), "requires tls_key"
        if tls.key and not tls.certificate:
            yield (section, "tls_key"), "requires tls_certificate"
        if tls.authority and not tls.certificate:
            yield (
                (section, "tls_authority"),
                "requires tls_certificate and tls_key",
            )
