"""Writes certificates for tests."""

import pathlib

import trustme


def write(directory):
    """Writes `cert.pem` and `key.pem` of a new authority of its own."""
    issued = trustme.CA().issue_cert("127.0.0.1")
    path = pathlib.Path(directory)
    issued.cert_chain_pems[0].write_to_path(path / "cert.pem")
    issued.private_key_pem.write_to_path(path / "key.pem")
