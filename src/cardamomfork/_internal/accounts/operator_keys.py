"""Operators' keys, which each instance reads from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from cardamomfork._internal.models import settings


def make_verifier(operators: settings.OperatorSettings) -> keys.KeyVerifier:
    """Creates the verifier of operators' keys.

    The owner of each key is its own key id.

    Raises:
        SettingsError: A line does not have the format of a hashed key.
    """
    verifier = keys.KeyVerifier()
    for number, line in enumerate(operators.keys, 1):
        parsed = key_hashes.from_line(line)
        if isinstance(parsed, result.Err):
            raise exceptions.SettingsError(
                f"[operators] keys: line {number} {parsed.err_value}.",
                "Make one with `cardamomfork keys operator`.",
            )
        hashed = parsed.ok_value
        owner = identifiers.AccountName(hashed.key_id)
        verifier.apply_keys(owner, (hashed,))
    return verifier
