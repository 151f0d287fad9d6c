"""Callers over TLS: the same path, streams included."""

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
    """A stream is whole over TLS, where writes are encrypted."""

    def test_stream_over_tls(self):
        authority = trustme.CA()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        bundle = pathlib.Path(directory, "bundle.pem")
        issued = authority.issue_cert(serving.HOST)
        issued.private_key_and_cert_chain_pem.write_to_path(bundle)
        made = tls.make_server_tls(
            settings.TlsSettings(certificate=str(bundle), key=str(bundle))
        )
        trusting = ssl.create_default_context()
        authority.configure_trust(trusting)

        async def test():
            async with serving.site() as site:
                application = wiring.make_application(
                    site.daemon, site.daemon.keys
                )
                server = http_server.HttpServer(
                    application,
                    http_server.open_listener(serving.HOST, 0),
                    protocol.CallerProtocol,
                    tls=made.context,
                )
                async with server.running():
                    site.port = server.port
                    site.pool = httpcore.AsyncConnectionPool(
                        ssl_context=trusting
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
