"""Boundary for bytes that another party has written.

A decoder at this boundary returns a value or an error, whatever the bytes are.
Decoding libraries raise more kinds of exceptions than they document: nested
JSON, for example, raises RecursionError, which is no DecodeError. So decoders
are functions that are wrapped here, and no caller lists exceptions. The wrapped
functions are registered, so that tests can feed all of them.
"""

# ruff: noqa: BLE001 - libraries raise exceptions that they do not document.

from __future__ import annotations

import base64
import contextlib
import functools
import re
import typing
from typing import Any
from typing import ParamSpec
from typing import TYPE_CHECKING
from typing import TypeVar
import zlib

import msgspec
import result

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DETAIL_CHARACTERS = 200
MAX_DEPTH = 32
"""Depth from which on `decode_shallow_json` replaces values by null."""
MAX_TOKENS = 200_000
"""Runs of brackets that `limit_depth` reads."""

_P = ParamSpec("_P")
_T = TypeVar("_T")

_registry: dict[str, Callable[..., Any]] = {}
# Text, strings and innermost lists, then a run of brackets. Quantifiers are
# possessive, so that the time is linear for malformed text as well.
_TOKEN = re.compile(
    rb'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"|\[[^"\[\]{}]*+\])*+'
    rb"([\[{]++|[\]}]++)",
    re.DOTALL,
)
_LONG_INTEGER = re.compile(rb"[0-9]{19}")
_OPENING = b"[{"[0], b"[{"[1]
_NULL = b"null"


def registered() -> dict[str, Callable[..., Any]]:
    """Returns all decoders by their qualified names."""
    return dict(_registry)


def register(function: Callable[_P, _T]) -> Callable[_P, _T]:
    """Registers a decoder that returns a value for any bytes."""
    _registry[f"{function.__module__}.{function.__qualname__}"] = function
    return function


def decoder(
    what: str,
) -> Callable[
    [Callable[_P, result.Result[_T, str]]],
    Callable[_P, result.Result[_T, str]],
]:
    """Returns a decorator that turns any exception into an error.

    Args:
        what: What is decoded, for the error's text.
    """

    def decorate(
        function: Callable[_P, result.Result[_T, str]],
    ) -> Callable[_P, result.Result[_T, str]]:
        @functools.wraps(function)
        def decode(
            *args: _P.args, **kwargs: _P.kwargs
        ) -> result.Result[_T, str]:
            try:
                return function(*args, **kwargs)
            except Exception as error:
                return result.Err(f"malformed {what}: {describe(error)}")

        return register(decode)

    return decorate


def describe(error: BaseException) -> str:
    """Returns a short description of an exception in printable ASCII."""
    try:
        text = ascii(str(error))[1:-1]
    except Exception:
        text = ""
    kind = type(error).__name__
    return f"{kind}: {text}"[:MAX_DETAIL_CHARACTERS] if text else kind


def json_decoder(
    module: str, what: str, kind: type[_T], *, strict: bool = True
) -> Callable[[bytes], result.Result[_T, str]]:
    """Returns a registered decoder of JSON.

    Args:
        module: Name of the module, for the registration.
        what: What is decoded, for the error's text and the registration.
        kind: Type of the value.
        strict: Whether numbers must not be given as strings.
    """

    def decode(data: bytes) -> result.Result[_T, str]:
        return decode_json(data, kind, strict=strict)

    decode.__module__ = module
    decode.__qualname__ = f"json_decoder[{what}]"
    return decoder(what)(decode)


def decode_json(
    data: bytes, kind: type[_T], *, strict: bool = True
) -> result.Result[_T, str]:
    """Decodes JSON.

    Args:
        data: The text.
        kind: Type of the value.
        strict: Whether numbers must not be given as strings.
    """
    try:
        return result.Ok(
            _json_decoder(typing.cast("Any", kind), strict).decode(data)
        )
    except Exception as error:
        return result.Err(describe(error))


def decode_shallow_json(
    data: bytes, kind: type[_T], *, strict: bool = True
) -> result.Result[_T, str]:
    """Decodes JSON in which unknown fields may be nested too deeply.

    Values deeper than `MAX_DEPTH` then count as null.

    Args:
        data: The text.
        kind: Type of the value.
        strict: Whether numbers must not be given as strings.
    """
    try:
        return result.Ok(
            _json_decoder(typing.cast("Any", kind), strict).decode(data)
        )
    except RecursionError:
        return limit_depth(data).and_then(
            lambda limited: decode_json(limited, kind, strict=strict)
        )
    except Exception as error:
        return result.Err(describe(error))


def decode_bounded_json(
    data: bytes, kind: type[_T], *, strict: bool = True
) -> result.Result[_T, str]:
    """Decodes JSON as `decode_shallow_json`; refuses integers over 64 bits.

    Messages between instances can't carry such integers.

    Args:
        data: The text.
        kind: Type of the value.
        strict: Whether numbers must not be given as strings.
    """
    decoded = decode_shallow_json(data, kind, strict=strict)
    if isinstance(decoded, result.Ok) and _LONG_INTEGER.search(data):
        try:
            msgspec.msgpack.encode(decoded.ok_value)
        except Exception as error:
            return result.Err(describe(error))
    return decoded


def msgpack_decoder(
    what: str, kind: type[_T]
) -> Callable[[bytes], result.Result[_T, str]]:
    """Returns a registered decoder of MessagePack.

    Args:
        what: What is decoded, for the error's text and the registration.
        kind: Type of the value.
    """
    library_decoder = msgspec.msgpack.Decoder(kind)

    def decode(data: bytes) -> result.Result[_T, str]:
        return result.Ok(library_decoder.decode(data))

    decode.__qualname__ = f"msgpack_decoder[{what}]"
    return decoder(what)(decode)


def msgpack_rows_decoder(
    what: str, kind: type[_T]
) -> Callable[[bytes], result.Result[tuple[list[_T], int], str]]:
    """Returns a registered decoder of an array in MessagePack.

    Elements of another form are left out, so that one of them keeps no other
    from being used. The decoder returns the others, and the number left out.

    Args:
        what: What is decoded, for the error's text and the registration.
        kind: Type of an element.
    """
    list_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
    row_decoder = msgspec.msgpack.Decoder(kind)

    def decode(data: bytes) -> result.Result[tuple[list[_T], int], str]:
        rows = []
        elements = list_decoder.decode(data)
        for element in elements:
            with contextlib.suppress(Exception):
                rows.append(row_decoder.decode(element))
        return result.Ok((rows, len(elements) - len(rows)))

    decode.__qualname__ = f"msgpack_rows_decoder[{what}]"
    return decoder(what)(decode)


def limit_depth(data: bytes) -> result.Result[bytes, str]:
    """Replaces values in JSON deeper than `MAX_DEPTH` by null.

    The time is linear in the length.
    """
    parts: list[bytes] = []
    copied = depth = 0
    position = 0
    for _ in range(MAX_TOKENS):
        # A search would begin anew at each byte after an unfinished string.
        token = _TOKEN.match(data, position)
        if token is None:
            break
        start, position = token.span(1)
        length = position - start
        if data[start] in _OPENING:
            if depth <= MAX_DEPTH < depth + length:
                parts += (data[copied : start + MAX_DEPTH - depth], _NULL)
                copied = len(data)
            depth += length
        else:
            if depth - length <= MAX_DEPTH < depth:
                copied = start + depth - MAX_DEPTH
            depth -= length
    else:
        return result.Err("nested too deeply, and too long")
    parts.append(data[copied:])
    return result.Ok(b"".join(parts))


def decode_base64(text: str, max_bytes: int) -> result.Result[bytes, str]:
    """Decodes base64 text.

    Args:
        text: The text, with padding.
        max_bytes: Size beyond which it isn't decoded.
    """
    if base64_bytes(text) > max_bytes:
        return result.Err(f"more than {max_bytes} bytes")
    try:
        return result.Ok(base64.b64decode(text, validate=True))
    except Exception as error:
        return result.Err(f"not base64: {describe(error)}")


def base64_bytes(text: str) -> int:
    """Returns the size of the content of base64 text, without decoding it."""
    return len(text) // 4 * 3 - text[-2:].count("=")


def decompress(
    data: bytes, max_bytes: int, dictionary: bytes = b""
) -> result.Result[bytes, str]:
    """Decompresses a zlib stream.

    Args:
        data: The stream.
        max_bytes: Largest size of its content.
        dictionary: The preset dictionary; empty for none.
    """
    try:
        decompressor = zlib.decompressobj(zdict=dictionary)
        content = decompressor.decompress(data, max_bytes)
    except Exception as error:
        return result.Err(f"malformed compression: {describe(error)}")
    if not decompressor.eof:
        return result.Err("compressed data truncated or too large")
    return result.Ok(content)


@functools.cache
def _json_decoder(kind: Any, strict: bool) -> msgspec.json.Decoder[Any]:
    """Returns the decoder of a type."""
    return msgspec.json.Decoder(kind, strict=strict)
