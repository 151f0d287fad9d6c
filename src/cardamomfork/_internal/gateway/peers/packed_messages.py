"""Reads packed Cap'n Proto messages that any sender may have written.

The library reads a packed message of several segments lazily. If it breaks off
after the first one, the destructor of its reader raises, and the process ends.
Such messages are unpacked here and read as a whole.
"""

from __future__ import annotations

import operator
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from cardamomfork._internal import decoding

if TYPE_CHECKING:
    from collections.abc import Callable

    import result

_T = TypeVar("_T")

MAX_UNPACKED_BYTES = 1_048_576
_WORD_BYTES = 8
_ZEROS = 0x00
_LITERAL = 0xFF
_SEGMENT_COUNT = 0x0F
"""Bytes of a message's first word that hold the number of further segments."""


def _make_expansion(tag: int) -> Callable[[bytes], tuple[int, ...]]:
    """Returns a function that expands a zero and the set bytes of a word."""
    return operator.itemgetter(
        *(
            (tag & (2 << bit) - 1).bit_count() if tag >> bit & 1 else 0
            for bit in range(_WORD_BYTES)
        )
    )


_EXPAND = tuple(_make_expansion(tag) for tag in range(256))


@decoding.decoder("packed message")
def read(
    data: bytes,
    message_type: Any,
    convert: Callable[[Any], result.Result[_T, str]],
) -> result.Result[_T, str]:
    """Reads a message.

    Args:
        data: The packed message.
        message_type: Type of the message in its schema.
        convert: Creates the value from the message.
    """
    if not data or not data[0] & _SEGMENT_COUNT:
        return convert(message_type.from_bytes_packed(data))
    with message_type.from_bytes(unpack(data)) as message:
        return convert(message)


def unpack(data: bytes) -> bytes:
    """Unpacks a message.

    Raises:
        ValueError: Its content is too large.
        IndexError: It breaks off.
    """
    content = bytearray()
    position = 0
    while position < len(data):
        tag = data[position]
        position += 1
        if tag == _ZEROS:
            content += bytes(_WORD_BYTES * (data[position] + 1))
            position += 1
        elif tag == _LITERAL:
            start = position + _WORD_BYTES
            end = start + 1 + _WORD_BYTES * data[start]
            content += data[position:start] + data[start + 1 : end]
            position = end
        else:
            end = position + tag.bit_count()
            content += bytes(_EXPAND[tag](b"\0" + data[position:end]))
            position = end
        if len(content) > MAX_UNPACKED_BYTES:
            raise ValueError(f"more than {MAX_UNPACKED_BYTES} bytes")
    return bytes(content)
