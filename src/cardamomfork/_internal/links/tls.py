"""Builds TLS contexts from settings and reloads them when files change."""

from __future__ import annotations

import pathlib
import ssl
from typing import TYPE_CHECKING

import anyio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.models import settings

RELOAD_PERIOD_S = 30.0

_FileVersions = tuple[tuple[int, int], ...]


class ServerTls:
    """TLS context of one listening socket.

    Open connections keep the certificate of their handshake; new connections
    get the most recently loaded certificate.
    """

    def __init__(self, tls: settings.TlsSettings) -> None:
        """Loads the certificate, key and certificate authority.

        Args:
            tls: Paths of the files; the certificate must be set.
        """
        self._tls = tls
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            self.context.load_verify_locations(tls.authority)
            self.context.verify_mode = ssl.CERT_REQUIRED
        self._file_versions = self._read_file_versions()

    def reload(self) -> bool:
        """Loads the files if they changed; returns whether it loaded them.

        If the files can't be read or don't match, for example while they are
        being replaced, the old certificate stays in use and the next call
        tries again.
        """
        file_versions = self._read_file_versions()
        if file_versions == self._file_versions or not file_versions:
            return False
        try:
            # Checks in a separate context that certificate and key match, so
            # that a mismatch does not affect the context in use.
            check_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            check_context.load_cert_chain(self._tls.certificate, self._tls.key)
            self.context.load_cert_chain(self._tls.certificate, self._tls.key)
            if self._tls.authority:
                self.context.load_verify_locations(self._tls.authority)
        except (OSError, ssl.SSLError) as error:
            logger.bind(reason=type(error).__name__).warning(
                "cannot load changed TLS files; the old ones stay in use"
            )
            return False
        self._file_versions = file_versions
        logger.info("TLS files reloaded")
        return True

    async def watch(self) -> None:
        """Checks for changed files periodically until cancelled."""
        await reload_periodically(self.reload)

    def _read_file_versions(self) -> _FileVersions:
        """Returns modification times and inodes; empty if a file is missing."""
        paths = (self._tls.certificate, self._tls.key, self._tls.authority)
        try:
            file_stats = [pathlib.Path(path).stat() for path in paths if path]
        except OSError:
            return ()
        return tuple(
            (file_stat.st_mtime_ns, file_stat.st_ino)
            for file_stat in file_stats
        )


async def reload_periodically(reload: Callable[[], bool]) -> None:
    """Calls `reload` every `RELOAD_PERIOD_S` until cancelled."""
    while True:
        await anyio.sleep(RELOAD_PERIOD_S)
        reload()


def make_server_tls(tls: settings.TlsSettings) -> ServerTls | None:
    """Returns TLS for a listening socket, or None for plain TCP."""
    return ServerTls(tls) if tls.certificate else None


def make_client_context(
    authority: str, certificate: str = "", key: str = ""
) -> ssl.SSLContext:
    """Returns the TLS context of a client.

    Args:
        authority: PEM file of the authority that must have issued the
            server's certificate.
        certificate: PEM file of the client certificate; empty for none.
        key: PEM file of the client's private key.
    """
    context = ssl.create_default_context(cafile=authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if certificate:
        context.load_cert_chain(certificate, key or None)
    return context
