"""The caller API over TLS, with streaming."""

import pathlib
import ssl
import tempfile
import unittest

import httpcore
import trustme

from cardamomfork._internal import wiring
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links import tls
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import settings
from tests.lib import serving


class CallersTlsTest(unittest.TestCase):
    """Chunks written directly to the transport are encrypted and complete."""

    def test_stream_over_tls(self):
        authority = trustme.CA()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        bundle = pathlib.Path(directory, "bundle.pem")
        server_certificate = authority.issue_cert(serving.HOST)
        server_certificate.private_key_and_cert_chain_pem.write_to_path(bundle)
        server_tls = tls.make_server_tls(
            settings.TlsSettings(certificate=str(bundle), key=str(bundle))
        )
        client_context = ssl.create_default_context()
        authority.configure_trust(client_context)

        async def test():
            async with serving.site() as site:
                application = wiring.make_application(
                    site.daemon, site.daemon.keys
                )
                server = http_server.HttpServer(
                    application,
                    http_server.open_listener(serving.HOST, 0),
                    protocol.CallerProtocol,
                    tls=server_tls.context,
                )
                async with server.running():
                    site.port = server.port
                    site.pool = httpcore.AsyncConnectionPool(
                        ssl_context=client_context
                    )
                    site.url = lambda path: (
                        f"https://{serving.HOST}:{server.port}{path}"
                    )
                    async with site.pool:
                        answer = await site.complete(max_tokens=50)
                self.assertEqual(answer.body.count(b"data: {"), 51)
                self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
