"""TLS contexts for the peers' links; both sides show a certificate."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.models import settings


def server_context(files: settings.TlsSettings) -> ssl.SSLContext | None:
    """Returns the listening side's context, or None for plain TCP."""
    if not files.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key or None)
    if files.authority:
        context.load_verify_locations(files.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: settings.TlsSettings) -> ssl.SSLContext | None:
    """Returns the connecting side's context, or None for plain TCP."""
    if not files.certificate:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=files.authority or None
    )
    context.load_cert_chain(files.certificate, files.key or None)
    return context
