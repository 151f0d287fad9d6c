"""Checks that look at more than one value of the settings."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomfork._internal.models import settings

SettingsProblem = tuple[tuple[str, str], str]
"""Section and key, and the message."""


def check(
    daemon_settings: settings.DaemonSettings,
) -> Iterator[SettingsProblem]:
    """Yields what is wrong between values that are each well formed."""
    yield from _check_ports(daemon_settings)
    yield from _check_tls(daemon_settings)
    if not daemon_settings.store.endpoints and not daemon_settings.embedded:
        yield (
            ("store", "endpoints"),
            "name the store's servers, or set [embedded] enabled = true",
        )


def _check_ports(
    daemon_settings: settings.DaemonSettings,
) -> Iterator[SettingsProblem]:
    """Two sides cannot listen on one address."""
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
            message = f"{host}:{port} is already taken by [{section}]"
            yield (other_section, "port"), message


def _check_tls(
    daemon_settings: settings.DaemonSettings,
) -> Iterator[SettingsProblem]:
    """A certificate and its key belong together."""
    listeners = {
        "callers": daemon_settings.callers.tls,
        "peers": daemon_settings.peers.tls,
        "operators": daemon_settings.operators.tls,
    }
    for section, tls in listeners.items():
        if tls.certificate and not tls.key:
            yield (section, "tls_certificate"), "needs tls_key beside it"
        if tls.key and not tls.certificate:
            yield (section, "tls_key"), "needs tls_certificate beside it"
        if tls.authority and not tls.certificate:
            yield (
                (section, "tls_authority"),
                "needs tls_certificate and tls_key beside it",
            )
