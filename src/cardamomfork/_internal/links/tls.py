"""TLS contexts from the settings, renewed when their files change."""

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
    """The context of one listening side.

    Connections that are open keep the certificate that they began with; new
    ones get the one that was loaded last.
    """

    def __init__(self, tls: settings.TlsSettings) -> None:
        """Loads the files.

        Args:
            tls: Files of the side; the certificate must be set.
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
        """Loads changed files; True if new ones are in force.

        Files that can't be read, such as one half of a replacement, leave the
        old certificate in force and are tried again.
        """
        file_versions = self._read_file_versions()
        if file_versions == self._file_versions or not file_versions:
            return False
        try:
            # A throwaway context shows whether certificate and key belong
            # together before the one in use is touched.
            check_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            check_context.load_cert_chain(self._tls.certificate, self._tls.key)
            self.context.load_cert_chain(self._tls.certificate, self._tls.key)
            if self._tls.authority:
                self.context.load_verify_locations(self._tls.authority)
        except (OSError, ssl.SSLError) as error:
            logger.bind(reason=type(error).__name__).warning(
                "changed TLS files can't be loaded; the old ones stay"
            )
            return False
        self._file_versions = file_versions
        logger.info("TLS files loaded again")
        return True

    async def watch(self) -> None:
        """Looks for changed files until cancelled."""
        await reload_periodically(self.reload)

    def _read_file_versions(self) -> _FileVersions:
        """Returns what changes with the files; empty if one is missing."""
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
    """Calls a side's `reload` every `RELOAD_PERIOD_S` until cancelled."""
    while True:
        await anyio.sleep(RELOAD_PERIOD_S)
        reload()


def make_server_tls(tls: settings.TlsSettings) -> ServerTls | None:
    """Returns a side's TLS, or None if it listens in plain TCP."""
    return ServerTls(tls) if tls.certificate else None


def make_client_context(
    authority: str, certificate: str = "", key: str = ""
) -> ssl.SSLContext:
    """Returns the context of a connecting side.

    Args:
        authority: PEM file that the server's certificate must go back to.
        certificate: PEM file to show to the server; empty for none.
        key: PEM file with its private key.
    """
    context = ssl.create_default_context(cafile=authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if certificate:
        context.load_cert_chain(certificate, key or None)
    return context
