"""Bytes that another party may write, sound ones with odd parts."""

import json

from hypothesis import strategies

DEEP = 20_000
ODD_JSON = (
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b"[" * DEEP,
    *(b"9" * digits for digits in (19, 20, 400, 5000)),
    b"-" + b"9" * 20,
    b"-1",
    b"0",
    b"70000",
    b"1e400",
    b"1e308",
    b"0.5",
    *(b"NaN", b"Infinity", b"-Infinity", b'"nan"', b'"-inf"', b'"1e999"'),
    *(b"null", b"true", b"[]", b"{}", b'""', b'"\\u0000"', b'"\\ud800"'),
    b'"\xff\xfe"',
    b'"' + b"x" * 300_000 + b'"',
    b'"node..localhost:9"',
    b'"%s.example:80"' % (b"a" * 70),
    b'"[::1%eth0]:80"',
    b'"10.0.0.1:0"',
    b'"10.0.0.1:70000"',
)
ODD_BYTES = (
    b"",
    b"\0",
    b"\xff" * 64,
    b"\0" * 4096,
    b"\r\n\r\n",
    b"nan",
    b"-1",
    b"x" * 300_000,
    *ODD_JSON,
)


def odd_json(sound):
    """Yields a JSON text with odd values of a known or an unknown field."""
    text = json.dumps(sound).encode()
    yield text
    yield text[: len(text) // 2]
    for odd in ODD_JSON:
        if isinstance(sound, dict):
            yield text[:-1] + b',"unknown":' + odd + b"}"
        for path in _paths(sound):
            yield (
                json.dumps(_replaced(sound, path))
                .encode()
                .replace(b'"REPLACED"', odd)
            )


def changed(sound):
    """Returns a strategy of sound bytes that are cut or have other bytes."""
    return strategies.tuples(
        strategies.integers(0, len(sound)),
        strategies.integers(0, 8),
        strategies.binary(max_size=8),
    ).map(lambda part: sound[: part[0]] + part[2] + sound[part[0] + part[1] :])


def _paths(value, path=()):
    """Yields the paths of all values in a JSON value."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from _paths(inner, (*path, key))


def _replaced(value, path):
    """Returns a JSON value with one part replaced by a marker."""
    if not path:
        return "REPLACED"
    copied = value.copy()
    copied[path[0]] = _replaced(value[path[0]], path[1:])
    return copied
