"""Checks that look at more than one value of the settings."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomfork._internal.models import settings

Problem = tuple[tuple[str, str], str]
"""Section and key, and the message."""


def check(built: settings.DaemonSettings) -> Iterator[Problem]:
    """Yields what is wrong between values that are each well formed."""
    yield from _check_ports(built)
    yield from _check_tls(built)
    if not built.store.endpoints and not built.embedded:
        yield (
            ("store", "endpoints"),
            "name the store's servers, or set [embedded] enabled = true",
        )


def _check_ports(built: settings.DaemonSettings) -> Iterator[Problem]:
    """Two sides cannot listen on one address."""
    sides = {
        "callers": (built.callers.host, built.callers.port),
        "peers": (built.peers.host, built.peers.port),
        "operators": (built.operators.host, built.operators.port),
    }
    for (one, left), (two, right) in itertools.combinations(sides.items(), 2):
        host, port = right
        if port and left == right:
            message = f"{host}:{port} is already taken by [{one}]"
            yield (two, "port"), message


def _check_tls(built: settings.DaemonSettings) -> Iterator[Problem]:
    """A certificate and its key belong together."""
    sides = {
        "callers": built.callers.tls,
        "peers": built.peers.tls,
        "operators": built.operators.tls,
    }
    for section, tls in sides.items():
        if tls.certificate and not tls.key:
            yield (section, "tls_certificate"), "needs tls_key beside it"
        if tls.key and not tls.certificate:
            yield (section, "tls_key"), "needs tls_certificate beside it"
        if tls.authority and not tls.certificate:
            yield (
                (section, "tls_authority"),
                "needs tls_certificate and tls_key beside it",
            )
