"""Decodes the operators' orders to evacuate a data centre.

The presence of a key is the order, whatever its value.
"""

from __future__ import annotations

import result

from cardamomfork._internal import decoding

PREFIX = "op/evacuate/"
FOLLOWED_PREFIX = "op/"
"""Prefix of the configuration's key and of all orders, so that one poll returns
the changes of both."""
MAX_NAME_LENGTH = 64


@decoding.register
def decode(key: str) -> result.Result[str, str] | None:
    """Returns the data centre that a key names.

    Returns:
        The data centre, or an error if the name is malformed; None if the key
        is no order to evacuate.
    """
    if not key.startswith(PREFIX):
        return None
    data_centre = key.removeprefix(PREFIX)
    if (
        not data_centre.isascii()
        or not data_centre.isprintable()
        or not 0 < len(data_centre) <= MAX_NAME_LENGTH
    ):
        return result.Err("malformed name of a data centre")
    return result.Ok(data_centre)
