"""Generates keys and their salted hashes.

A key has the form `KEY_ID.SECRET`. The secret has 256 random bits and is shown
once; only its scrypt digest is stored. Such a secret cannot be guessed, so the
cost parameter of scrypt is low: a check must not delay the streams on the
event loop.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

import attrs
import result

from cardamomfork._internal.models import configuration

KEY_ID_BYTES = 8
SALT_BYTES = 16
SECRET_BYTES = 32
SECRET_CHARACTERS = 43
MAX_KEY_ID_CHARACTERS = 32

_SCRYPT_N = 256
_SCRYPT_R = 8
_SCRYPT_P = 1
_DIGEST_BYTES = 32


@attrs.frozen
class NewKey:
    """A newly generated key.

    Attributes:
        text: The whole key. It is shown once and must not be stored.
        hashed: Key id and salted hash, which are stored.
    """

    text: str = attrs.field(repr=False)
    hashed: configuration.HashedKey


def generate(not_after: float | None = None) -> NewKey:
    """Generates a new key.

    Args:
        not_after: Unix time in seconds after which the key is refused.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_bytes(SALT_BYTES)
    hashed = configuration.HashedKey(
        key_id, salt.hex(), digest(secret, salt).hex(), not_after
    )
    return NewKey(f"{key_id}.{secret}", hashed)


def digest(secret: str, salt: bytes) -> bytes:
    """Returns the scrypt digest of a secret; takes about 1 ms."""
    return hashlib.scrypt(
        secret.encode(),
        salt=salt,
        n=_SCRYPT_N,
        r=_SCRYPT_R,
        p=_SCRYPT_P,
        dklen=_DIGEST_BYTES,
    )


def matches(secret: str, hashed: configuration.HashedKey) -> bool:
    """Returns whether a secret matches its hash; compares in constant time."""
    try:
        salt = bytes.fromhex(hashed.salt)
        stored = bytes.fromhex(hashed.digest)
    except ValueError:
        return False
    return hmac.compare_digest(digest(secret, salt), stored)


def split_key(text: str) -> tuple[str, str] | None:
    """Splits a key into key id and secret; returns None if it is malformed."""
    key_id, separator, secret = text.partition(".")
    is_well_formed = (
        separator
        and 0 < len(key_id) <= MAX_KEY_ID_CHARACTERS
        and len(secret) == SECRET_CHARACTERS
        and text.isascii()
    )
    return (key_id, secret) if is_well_formed else None


def to_line(hashed: configuration.HashedKey) -> str:
    """Formats a hashed key as a line of the settings file."""
    line = f"{hashed.key_id}:{hashed.salt}:{hashed.digest}"
    if hashed.not_after is None:
        return line
    return f"{line}:{hashed.not_after:.0f}"


def from_line(line: str) -> result.Result[configuration.HashedKey, str]:
    """Parses a hashed key from a line of the settings file."""
    parts = line.split(":")
    if len(parts) not in (3, 4):
        return result.Err("is not KEY_ID:SALT:DIGEST[:NOT_AFTER]")
    try:
        not_after = float(parts[3]) if len(parts) == 4 else None
    except ValueError:
        return result.Err("has a NOT_AFTER that is not a Unix time")
    return result.Ok(
        configuration.HashedKey(parts[0], parts[1], parts[2], not_after)
    )


def rotate(
    keys: tuple[configuration.HashedKey, ...],
    added_key: configuration.HashedKey,
    now: float,
    overlap_s: float,
) -> tuple[configuration.HashedKey, ...]:
    """Adds a key and limits the validity of the others to the overlap.

    Keys that have already expired are removed.

    Args:
        keys: Current keys.
        added_key: The key that replaces them.
        now: Unix time in seconds.
        overlap_s: Time for which the current keys stay valid, in seconds.
    """
    end = now + overlap_s
    kept = [
        attrs.evolve(
            key,
            not_after=end if key.not_after is None else min(key.not_after, end),
        )
        for key in keys
        if key.not_after is None or key.not_after > now
    ]
    return (*kept, added_key)
