"""Tests that decoders return a value or an error, whatever the bytes are."""

import ast
import base64
import importlib
import math
import pathlib
import pkgutil
import time
import unittest
import zlib

import attrs
import hypothesis
from hypothesis import strategies
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal import gateway
from cardamomfork._internal import platform
from cardamomfork._internal.gateway.peers import change_codec
from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.store import change_relay
from tests.lib import odd_bytes
from tests.lib import seeds
from tests.unit import test_platform_decoding

SOURCES = pathlib.Path(gateway.__file__).parents[1]
PACKAGES = (gateway, platform)
BOUNDARY = "decoder"
LIBRARIES = ("msgspec.", "zlib.", "json.", "base64.")
FORBIDDEN = {
    "decode",
    "loads",
    "b64decode",
    "decompress",
    "decompressobj",
    "Decoder",
}
MAX_INTEGER = 2**64 - 1
PEER = digest_codec.Peer("two", "b", "10.0.0.2", 7000)
CRASH = {"fingerprint": 7, "target_id": "t1", "started_at_ms": 5}
ITEM = {
    "key": "k",
    "value": base64.b64encode(b"v").decode(),
    "revision": 7,
    "lease": 3,
}
DIGEST = digest_codec.encode(
    digest_codec.Digest(
        PEER,
        *(7, 1, 2, 3, 4, False),
        (
            load_view.Job(
                job_id="j",
                target_id="t",
                parts=(load_view.Part("u", 5),),
                prompt_tokens=9,
                output_tokens=9,
                max_gap_s=0.2,
                value=1.0,
                reads_until=1.0,
                is_writing=True,
                ends_at=2.0,
            ),
        ),
        (),
        (rate_limits.RateLimitReport("t", 1, 2.0, 0.5, False),),
    ),
    0.0,
)
UPDATE = change_codec.encode(
    change_relay.Update(1, 3, (change_relay.Change("k", b"v", 2),))
)
PERMIT = permit_codec.encode_request(
    permit_codec.PermitRequest(1, "t", 2, 3.0, 4.0)
)
DECISION = permit_codec.encode_decision(
    1, permit_codec.PermitDecision(True, 0.5)
)
STORED = digest_codec.encode_configuration(
    fleet_state.StoredConfiguration(b"{}", 3)
)
REQUEST_HEADERS = tuple(
    (b"forward-" + name, value)
    for name, value in (
        *((b"from", b"one"), (b"request-id", b"r"), (b"target", b"t")),
        *((b"target-started-ms", b"5"), (b"time-left-ms", b"100")),
        *((b"once", b"1"), (b"head", b"0")),
    )
)
ANSWER_NAMES = (
    *("content-length", "retry-after", "keep-alive", "server-limit"),
    *("x-cardamomfork-cold-ms", "x-cardamomfork-request-id", "at-server"),
    *("date", "connection"),
)
REQUEST_NAMES = (
    *("x-cardamomfork-deadline-ms", "x-cardamomfork-token-usage", "host"),
    *("x-cardamomfork-length-hint", "x-cardamomfork-prefix-hash", "api-key"),
    *("last-event-id", "x-cardamomfork-request-id"),
)


def with_headers(names, call):
    """Returns a decoder of one header value, tried under each of the names."""

    def decode(function, data):
        value = data[:70_000].translate(None, b"\r\n")
        return [call(function, ((name.encode(), value),)) for name in names] + [
            call(function, ((name.encode(), b"9," + value),)) for name in names
        ]

    return decode


def decode_forwarded(function, data):
    """Decodes heads of forwarded requests with each of the values replaced."""
    return [
        function(
            (*REQUEST_HEADERS[:at], (name, data), *REQUEST_HEADERS[at + 1 :])
        )
        for at, (name, _) in enumerate(REQUEST_HEADERS)
    ]


def call(function, data):
    """Decodes bytes."""
    return function(data)


def call_with_text(function, data):
    """Decodes text."""
    return function(data.decode("latin-1"))


# How each decoder is called, and sound examples: JSON values or bytes.
CASES = {
    "gateway.crashes.crash_persistence.decode": (
        call,
        [{"crash": CRASH, "is_refuted": True}, {"crash": CRASH}],
    ),
    "gateway.peers.change_codec.decode": (call, UPDATE),
    "gateway.peers.configuration_fetching.decompress": (
        call,
        configuration_fetching.compress(b"{}" * 99),
    ),
    "gateway.peers.digest_codec.decode": (
        lambda function, data: function(data, 1.0),
        DIGEST,
    ),
    "gateway.peers.digest_codec.decode_configuration": (call, STORED),
    "gateway.peers.digest_codec.decode_peer": (call, attrs.asdict(PEER)),
    "gateway.peers.fleet_secret.decode": (call, b"a1" * 32),
    "gateway.peers.packed_messages.read": (
        lambda function, data: function(
            data,
            digest_codec.schema().Digest,
            lambda message: result.Ok(message.sequence),
        ),
        DIGEST,
    ),
    "gateway.peers.peer_forwarding_codec.decode_request": (
        decode_forwarded,
        b"5",
    ),
    "gateway.peers.permit_codec.decode_decision": (call, DECISION),
    "gateway.peers.permit_codec.decode_request": (call, PERMIT),
    "platform.configuration_format.decode": (
        lambda function, data: function(data, 7),
        test_platform_decoding.CONFIGURATION,
    ),
    "platform.evacuation_orders.decode": (
        call_with_text,
        b"op/evacuate/a",
    ),
    "platform.headers.decode_answer": (
        with_headers(
            ANSWER_NAMES, lambda function, pairs: function(200, pairs)
        ),
        b"timeout=5",
    ),
    "platform.headers.decode_request": (
        with_headers(
            REQUEST_NAMES, lambda function, pairs: function("GET", b"/a", pairs)
        ),
        b"5,6",
    ),
    "platform.store_messages.decode_value": (call_with_text, b"YWJj"),
    "platform.store_messages.json_decoder[commit of the store]": (
        call,
        {"revision": 3},
    ),
    "platform.store_messages.json_decoder[events of the store]": (
        call,
        {"events": [ITEM, ITEM | {"removed": True}], "storeRevision": 9},
    ),
    "platform.store_messages.json_decoder[item of the store]": (call, ITEM),
    "platform.store_messages.json_decoder[items of the store]": (
        call,
        {"items": [ITEM], "morePages": True, "storeRevision": 9},
    ),
    "platform.store_messages.json_decoder[lease of the store]": (
        call,
        {"lease": 3, "ttlMs": 9000},
    ),
    "platform.target_entries.decode": (
        lambda function, data: function("servers/t1", data),
        test_platform_decoding.ENTRY,
    ),
}


def load_decoders():
    """Imports all modules of the packages; returns their decoders by name."""
    for package in PACKAGES:
        for module in pkgutil.walk_packages(
            package.__path__, package.__name__ + "."
        ):
            importlib.import_module(module.name)
    prefix = "cardamomfork._internal."
    return {
        name.removeprefix(prefix): function
        for name, function in decoding.registered().items()
        if name.startswith((prefix + "gateway.", prefix + "platform."))
    }


def check_usable(value):
    """Checks that a decoded value can be sent on, logged and waited for."""
    if isinstance(value, bool | bytes | None):
        return
    if isinstance(value, int):
        assert -(2**63) <= value <= MAX_INTEGER, value
    elif isinstance(value, float):
        assert not math.isnan(value)
    elif isinstance(value, str):
        value.encode()
    elif isinstance(value, dict):
        check_usable((*value.keys(), *value.values()))
    elif isinstance(value, list | tuple | frozenset):
        for inner in value:
            check_usable(inner)
    elif isinstance(value, msgspec.Struct):
        check_usable(msgspec.structs.astuple(value))
    elif attrs.has(type(value)):
        check_usable(attrs.astuple(value, recurse=False))


class DecodersTest(unittest.TestCase):
    def check(self, name, data):
        decoded = CASES[name][0](self.decoders[name], data)
        if hasattr(decoded, "is_err"):
            if decoded.is_err():
                self.assertTrue(decoded.err_value.isprintable())
                self.assertLess(len(decoded.err_value), 400)
                return
            decoded = decoded.ok_value
        check_usable(decoded)
        if isinstance(decoded, digest_codec.Digest):
            digest_codec.encode(decoded, 0.0)

    @classmethod
    def setUpClass(cls):
        cls.decoders = load_decoders()

    def test_every_decoder_has_a_case(self):
        self.assertEqual(set(self.decoders), set(CASES))

    def test_sound_bytes_are_decoded(self):
        for name, (decode, sound) in CASES.items():
            data = (
                sound
                if isinstance(sound, bytes)
                else msgspec.json.encode(sound)
            )
            with self.subTest(name):
                decoded = decode(self.decoders[name], data)
                self.assertFalse(
                    hasattr(decoded, "is_err") and decoded.is_err(), decoded
                )

    def test_odd_bytes_end_no_decoder(self):
        for name, (_, sound) in CASES.items():
            cases = list(odd_bytes.ODD_BYTES)
            if isinstance(sound, bytes):
                cases += [sound[:end] for end in range(len(sound))]
                cases += [sound + odd for odd in odd_bytes.ODD_BYTES[:7]]
            else:
                cases += odd_bytes.odd_json(sound)
            for data in cases:
                with self.subTest(name, data=data[:60]):
                    self.check(name, data)

    @seeds.STEADY
    @hypothesis.given(strategies.data())
    def test_any_bytes_end_no_decoder(self, data):
        for name, (_, sound) in CASES.items():
            text = (
                sound
                if isinstance(sound, bytes)
                else msgspec.json.encode(sound)
            )
            self.check(name, data.draw(odd_bytes.changed(text), name))

    def test_digest_with_very_many_parts_of_a_job_is_refused(self):
        message = digest_codec.schema().Digest.new_message()
        message.init("jobs", 1)[0].init("parts", 300_000)
        data = bytes(message.to_bytes_packed())
        self.assertTrue(digest_codec.decode(data, 0.0).is_err())

    def test_digest_with_a_rate_out_of_range_is_refused(self):
        for rate in (math.nan, math.inf, -1.0):
            message = digest_codec.schema().Digest.new_message()
            message.init("rateLimits", 1)[0].requestsPerS = rate
            data = bytes(message.to_bytes_packed())
            self.assertTrue(digest_codec.decode(data, 0.0).is_err())

    def test_compressed_bombs_are_refused(self):
        bomb = zlib.compress(b"\0" * 40_000_000)
        for name in (
            "gateway.peers.configuration_fetching.decompress",
            "gateway.peers.change_codec.decode",
        ):
            data = (b"\4" if "change" in name else b"") + bomb
            self.assertTrue(self.decoders[name](data).is_err())


class ShallowJsonTest(unittest.TestCase):
    """Unknown fields may be nested at any depth."""

    def test_deep_unknown_field_leaves_the_configuration_as_it_is(self):
        decode = load_decoders()["platform.configuration_format.decode"]
        text = msgspec.json.encode(test_platform_decoding.CONFIGURATION)
        expected = decode(text, 7).unwrap()
        for deep in odd_bytes.ODD_JSON[:2]:
            odd = text[:-1] + b',"x":"]}\\"[",  "unknown":' + deep + b"}"
            self.assertEqual(decode(odd, 7).unwrap(), expected)

    def test_million_brackets_are_decoded_within_a_second(self):
        for body in (
            b"[" * 500_000 + b"]" * 500_000,
            b"[" * 2000 + b",".join([b"[[]]"] * 200_000) + b"]" * 2000,
            b"[" * 2000 + b'"a\\' * 300_000,
        ):
            started_at = time.process_time()
            decoding.decode_shallow_json(b'{"a":' + body + b"}", dict)
            self.assertLess(time.process_time() - started_at, 1.0)


class _CallFinder(ast.NodeVisitor):
    """Finds calls of decoding libraries outside of registered decoders."""

    def __init__(self):
        self.found = []
        self._depth = 0

    def visit_FunctionDef(self, node):
        is_decoder = any(
            BOUNDARY in ast.unparse(decorator)
            for decorator in node.decorator_list
        )
        self._depth += is_decoder
        self.generic_visit(node)
        self._depth -= is_decoder

    def visit_Call(self, node):
        text = ast.unparse(node.func)
        name = text.rpartition(".")[2]
        is_library = text.startswith(LIBRARIES) and name in FORBIDDEN
        reads_message = (
            name.startswith("from_bytes") and text != "int.from_bytes"
        )
        if is_library or (reads_message and not self._depth):
            self.found.append(f"{text}, line {node.lineno}")
        self.generic_visit(node)


class SourceTest(unittest.TestCase):
    def test_only_the_boundary_calls_decoding_libraries(self):
        for package in ("gateway", "platform"):
            for path in sorted((SOURCES / package).rglob("*.py")):
                finder = _CallFinder()
                finder.visit(ast.parse(path.read_text(encoding="utf-8")))
                self.assertEqual(finder.found, [], path)


if __name__ == "__main__":
    unittest.main()
