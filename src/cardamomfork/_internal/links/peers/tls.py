"""Mutual TLS between peers, with reload when the certificate files change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from cardamomfork._internal.links import tls

if TYPE_CHECKING:
    import ssl

    from cardamomfork._internal.models import settings


class PeerTls:
    """TLS contexts for an instance's incoming and outgoing peer connections."""

    def __init__(self, files: settings.TlsSettings) -> None:
        """Loads the certificate files.

        Args:
            files: TLS settings of the peer link. The certificate must be set.
        """
        self._files = files
        self._is_client_outdated = False
        self._server_tls = tls.ServerTls(files)
        self._client_context = tls.make_client_context(
            files.authority, files.certificate, files.key
        )

    @property
    def server_context(self) -> ssl.SSLContext:
        """TLS context for incoming connections."""
        return self._server_tls.context

    @property
    def client_context(self) -> ssl.SSLContext:
        """TLS context for outgoing connections."""
        return self._client_context

    def reload(self) -> bool:
        """Reloads changed files; returns whether new ones are in use.

        If the files change between the two contexts and can't be read, the
        next call tries the second one again.
        """
        self._is_client_outdated |= self._server_tls.reload()
        if not self._is_client_outdated:
            return False
        try:
            self._client_context.load_cert_chain(
                self._files.certificate, self._files.key or None
            )
            if self._files.authority:
                self._client_context.load_verify_locations(
                    self._files.authority
                )
        except OSError as error:
            logger.bind(reason=type(error).__name__).warning(
                "cannot load changed TLS files; the old ones stay in use"
            )
            return False
        self._is_client_outdated = False
        return True

    async def watch(self) -> None:
        """Checks for changed files periodically until cancelled."""
        await tls.reload_periodically(self.reload)


def make_peer_tls(files: settings.TlsSettings) -> PeerTls | None:
    """Returns the TLS contexts, or None if peers use plain TCP."""
    return PeerTls(files) if files.certificate else None
