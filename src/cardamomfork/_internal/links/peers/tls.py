"""TLS between peers: both sides show a certificate, renewed with its files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.links import tls

if TYPE_CHECKING:
    import ssl

    from cardamomfork._internal.models import settings


class PeerTls:
    """The contexts of an instance's listening and connecting sides."""

    def __init__(self, files: settings.TlsSettings) -> None:
        """Loads the files.

        Args:
            files: Files of the peers' side; the certificate must be set.
        """
        self._files = files
        self._server_tls = tls.ServerTls(files)
        self._client_context = tls.make_client_context(
            files.authority, files.certificate, files.key
        )

    @property
    def server_context(self) -> ssl.SSLContext:
        """The listening side's context."""
        return self._server_tls.context

    @property
    def client_context(self) -> ssl.SSLContext:
        """The connecting side's context."""
        return self._client_context

    def reload(self) -> bool:
        """Loads changed files for both sides; True if new ones are in force."""
        if not self._server_tls.reload():
            return False
        self._client_context.load_cert_chain(
            self._files.certificate, self._files.key or None
        )
        if self._files.authority:
            self._client_context.load_verify_locations(self._files.authority)
        return True

    async def watch(self) -> None:
        """Looks for changed files until cancelled."""
        await tls.reload_periodically(self.reload)


def make_peer_tls(files: settings.TlsSettings) -> PeerTls | None:
    """Returns the peers' TLS, or None if they talk in plain TCP."""
    return PeerTls(files) if files.certificate else None
