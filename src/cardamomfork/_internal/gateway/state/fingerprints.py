"""Fingerprints of requests and of parts of their prompts.

Both are 64-bit hashes in one number space, so that reports of crashes need no
kind: the lowest byte tells them apart.
"""

from __future__ import annotations

import xxhash

_KIND_MASK = 0xFF
_PART_KIND = 0x50
_REQUEST_KIND_FLIP = 0x01


def of_request(target: bytes, account: str, body: bytes | bytearray) -> int:
    """Returns a hash of a request's path, client account and body.

    Repeats of a request have the same fingerprint, also with another key of
    the account.
    """
    digest = xxhash.xxh3_64(target)
    digest.update(b"\0" + account.encode() + b"\0")
    digest.update(body)
    fingerprint = int(digest.intdigest())
    if is_part(fingerprint):
        fingerprint ^= _REQUEST_KIND_FLIP
    return fingerprint


def of_part(part_id: str) -> int:
    """Returns a hash of the id of a part of a prompt."""
    fingerprint = xxhash.xxh3_64_intdigest(part_id.encode())
    return int(fingerprint & ~_KIND_MASK | _PART_KIND)


def of_account(name: str) -> int:
    """Returns a hash of a client account's name, which is never 0.

    Lone surrogates, which no valid configuration contains, are hashed too.
    """
    data = name.encode(errors="surrogatepass")
    return int(xxhash.xxh3_64_intdigest(data)) or 1


def is_part(fingerprint: int) -> bool:
    """Returns whether a fingerprint is that of a part."""
    return fingerprint & _KIND_MASK == _PART_KIND


def format_fingerprint(fingerprint: int) -> str:
    """Returns a fingerprint as it is written to logs."""
    return f"{fingerprint & (2**64 - 1):016x}"
