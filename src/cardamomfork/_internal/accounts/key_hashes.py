"""Keys: how they are made, and the salted hash that is stored of each.

A key is `KEY_ID.SECRET`. The secret has 256 random bits and is shown once;
only its scrypt digest is stored. No guess finds such a secret, so the cost of
scrypt is set low enough that a check does not delay the loop's streams.
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
    """A key just made.

    Attributes:
        text: The whole key, to be shown once and kept nowhere.
        hashed: What is stored of it.
    """

    text: str = attrs.field(repr=False)
    hashed: configuration.HashedKey


def generate(not_after: float | None = None) -> NewKey:
    """Makes a new key.

    Args:
        not_after: Unix time after which it is refused, in seconds.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_bytes(SALT_BYTES)
    hashed = configuration.HashedKey(
        key_id, salt.hex(), digest(secret, salt).hex(), not_after
    )
    return NewKey(f"{key_id}.{secret}", hashed)


def digest(secret: str, salt: bytes) -> bytes:
    """Returns the scrypt digest of a secret; takes about a millisecond."""
    return hashlib.scrypt(
        secret.encode(),
        salt=salt,
        n=_SCRYPT_N,
        r=_SCRYPT_R,
        p=_SCRYPT_P,
        dklen=_DIGEST_BYTES,
    )


def matches(secret: str, hashed: configuration.HashedKey) -> bool:
    """Compares a secret with its stored hash in constant time."""
    try:
        salt = bytes.fromhex(hashed.salt)
        stored = bytes.fromhex(hashed.digest)
    except ValueError:
        return False
    return hmac.compare_digest(digest(secret, salt), stored)


def split_key(text: str) -> tuple[str, str] | None:
    """Splits a key into key id and secret; None if it has another form."""
    key_id, separator, secret = text.partition(".")
    is_well_formed = (
        separator
        and 0 < len(key_id) <= MAX_KEY_ID_CHARACTERS
        and len(secret) == SECRET_CHARACTERS
        and text.isascii()
    )
    return (key_id, secret) if is_well_formed else None


def to_line(hashed: configuration.HashedKey) -> str:
    """Returns a hashed key as the settings file holds it."""
    line = f"{hashed.key_id}:{hashed.salt}:{hashed.digest}"
    if hashed.not_after is None:
        return line
    return f"{line}:{hashed.not_after:.0f}"


def from_line(line: str) -> result.Result[configuration.HashedKey, str]:
    """Reads a hashed key from the settings file."""
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
    """Adds a key; the others end after the overlap, the ended ones go.

    Args:
        keys: Keys in force.
        new: The key that takes their place.
        now: Unix time in seconds.
        overlap_s: How long the old keys stay valid, in seconds.
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
