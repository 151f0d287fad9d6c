"""Tests that any wire input is decoded to valid values or rejected."""

import json
import math
import random
import unittest

import httptools
import hypothesis
from hypothesis import strategies
import msgspec
import result

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import routes
from cardamomfork._internal.models import forwarding
from cardamomfork._internal.platform import configuration_format
from cardamomfork._internal.platform import headers
from cardamomfork._internal.platform import node_settings
from cardamomfork._internal.platform import store_messages
from cardamomfork._internal.platform import target_entries
from tests.lib import gateway_parts
from tests.lib import seeds

NUMBERS = strategies.sampled_from(
    (
        *(b"0", b"-1", b"1", b"5000", b"1e9", b"nan", b"inf", b"-inf", b""),
        *(b"99999999999999999999", b"1_000", b" 7 ", b"0x10", b"+3", b"1.5"),
    )
)
# The parser of callers' heads rejects control characters.
CONTROL = bytes((*range(9), *range(10, 32), 127))
VALUES = strategies.binary(max_size=20).map(
    lambda value: value.translate(None, CONTROL)
)
TOKENS = strategies.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=9)
KNOWN = strategies.sampled_from(
    (
        "x-cardamomfork-request-id",
        "x-cardamomfork-deadline-ms",
        "x-cardamomfork-length-hint",
        "x-cardamomfork-tenant",
        "x-cardamomfork-target-instance",
        "x-cardamomfork-helpers",
        "x-cardamomfork-server-signature",
        "x-cardamomfork-not-executed",
        "at-server",
        "api-key",
        "last-event-id",
        "host",
        "connection",
        "keep-alive",
        "x-cardamomfork-cold-ms",
        "content-length",
        "transfer-encoding",
    )
)
USAGE = strategies.tuples(NUMBERS, NUMBERS).map(
    lambda pair: (b"x-cardamomfork-token-usage", b",".join(pair))
)
HEADERS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.one_of(KNOWN, TOKENS).map(str.encode),
            strategies.one_of(NUMBERS, VALUES),
        ),
        USAGE,
    ),
    max_size=8,
)
METHODS = strategies.sampled_from(("GET", "POST", "HEAD", "DELETE", "PUT"))
TARGETS = strategies.sampled_from((b"/", b"/a/b?c=d", b"/%00", b"/a//../b"))
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.sampled_from(
        ("streaming", "safe", "nan", "inf", "10.0.0.1:80")
    )
    | strategies.text(max_size=6),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=6), inner, max_size=3
        )
    ),
    max_leaves=8,
)
ENTRY = {
    "service": "engines",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "slots": 6,
    "state": "ready",
    "born": 1,
    "coldRemainingMs": 250,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "callers.example",
            "prefix": "/a/",
            "kind": "streaming",
            "service": "engines",
            "timeoutMs": 8000,
            "targetLatencyMs": 500,
            "maxAttempts": 2,
            "targetGapMs": 250,
            "backends": [{"service": "engines", "weight": 1.0}],
        }
    ],
    "services": [
        {
            "name": "engines",
            "coldStartS": 3,
            "coldPerS": 23,
            "engine": {
                "slots": 6,
                "kvCapacity": 267_750,
                "stride": 57,
                "step_ms": 0.85,
                "read_per_s": 177_000.0,
                "chunk": 2048,
                "usual": {"prompt": 5000, "answer": 1000},
            },
        }
    ],
    "tenants": [{"name": "depot", "apiKeys": ["k"]}],
    "limits": {"maxHeaderBytes": 8192, "idleTimeoutMs": 9000},
}


def list_places(value, path=()):
    """Returns the path of each value in a JSON document."""
    inner = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    found = [path] if path else []
    for key, one in inner:
        found += list_places(one, (*path, key))
    return found


def replace(document, path, value):
    """Returns a copy of a document with the value at a path replaced."""
    copied = json.loads(json.dumps(document))
    inner = copied
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return copied


class _Reader:
    """Records the request line and headers that httptools parses."""

    def __init__(self):
        self.target = b""
        self.headers = []
        self.requests = 0

    def on_url(self, target):
        self.target += target

    def on_header(self, name, value):
        self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        self.requests += 1


COLD_VALUES = JSON | strategies.sampled_from(
    (10**400, -(10**400), -0.5, 1e300, "12", "-1", "1e999", "\ud800", "1_0")
)


class ColdFieldsTest(unittest.TestCase):
    """A malformed field must drop neither an entry nor a configuration."""

    @seeds.STEADY
    @hypothesis.given(COLD_VALUES)
    def test_any_remaining_time_of_an_entry_is_bounded_or_absent(self, value):
        data = json.dumps(ENTRY | {"coldRemainingMs": value}).encode()
        decoded = target_entries.decode("servers/t1", data)
        if decoded.is_err():
            # Only what the JSON decoder itself refuses drops the entry.
            with self.assertRaises(msgspec.DecodeError):
                msgspec.json.decode(data)
            return
        remaining_s = decoded.ok_value.cold_remaining_s
        if remaining_s is not None:
            self.assertTrue(0 <= remaining_s <= 60, remaining_s)

    @seeds.STEADY
    @hypothesis.given(COLD_VALUES, COLD_VALUES)
    def test_any_fields_of_a_service_are_bounded_or_absent(self, start, rate):
        document = replace(CONFIGURATION, ("services", 0, "coldStartS"), start)
        document = replace(document, ("services", 0, "coldPerS"), rate)
        data = json.dumps(document).encode()
        decoded = configuration_format.decode(data, 1)
        if decoded.is_err():
            with self.assertRaises(msgspec.DecodeError):
                msgspec.json.decode(data)
            return
        service = decoded.ok_value.services["engines"]
        self.assertTrue(0 <= service.cold_start_s <= 60)
        self.assertTrue(0 <= service.cold_per_s <= 1e6)

    @seeds.STEADY
    @hypothesis.given(NUMBERS | VALUES)
    def test_any_header_is_bounded_or_absent(self, value):
        pairs = ((b"x-cardamomfork-cold-ms", value),)
        remaining_s = headers.decode_answer(200, pairs).cold_remaining_s
        if remaining_s is not None:
            self.assertTrue(0 <= remaining_s <= 60, remaining_s)

    @seeds.STEADY
    @hypothesis.given(COLD_VALUES, COLD_VALUES)
    def test_any_bound_of_the_settings_is_a_number(self, ratio, reserve):
        table = {
            "nodeName": "one",
            "zone": "a",
            "portRange": [1, 1],
            "listen": {"front": "127.0.0.1:2", "readyAddr": "127.0.0.1:3"},
            "platform": {"address": "127.0.0.1:4"},
            "bounds": {"coldOver": ratio, "coldSlack": reserve},
        }
        settings = node_settings.decode(table)
        for value in (settings.cold_ratio, settings.cold_reserve):
            self.assertTrue(math.isfinite(value) and value >= 0, value)

    def test_usual_values(self):
        entry = target_entries.decode("servers/t1", json.dumps(ENTRY).encode())
        self.assertEqual(entry.ok_value.cold_remaining_s, 0.25)
        decoded = configuration_format.decode(
            json.dumps(CONFIGURATION).encode(), 1
        )
        service = decoded.ok_value.services["engines"]
        self.assertEqual((service.cold_start_s, service.cold_per_s), (3, 23))
        for value, expected in (
            (b"1500", 1.5),
            (b"0", 0.0),
            (b"-1", None),
            (b"9999999", 60.0),
        ):
            head = headers.decode_answer(
                503, ((b"x-cardamomfork-cold-ms", value),)
            )
            self.assertEqual(head.cold_remaining_s, expected)
        fields = {
            name: value
            for name, value in ENTRY.items()
            if name != "coldRemainingMs"
        }
        entry = target_entries.decode("servers/t1", json.dumps(fields).encode())
        self.assertIsNone(entry.ok_value.cold_remaining_s)
        for value in ("12", True, -1, [3], 10**400):
            data = json.dumps(fields | {"coldRemainingMs": value}).encode()
            entry = target_entries.decode("servers/t1", data)
            self.assertIsNone(entry.ok_value.cold_remaining_s, value)


class HeadersTest(unittest.TestCase):
    @seeds.STEADY
    @hypothesis.given(METHODS, TARGETS, HEADERS)
    def test_any_head_is_decoded_to_usable_numbers(self, method, target, pairs):
        request = headers.decode_request(method, target, pairs)
        if request.time_limit_s is not None:
            self.assertTrue(math.isfinite(request.time_limit_s))
        if request.last_event_id is not None:
            self.assertGreaterEqual(request.last_event_id, 0)
        if request.generation is not None:
            self.assertGreaterEqual(request.generation.prompt_tokens, 0)
            self.assertGreaterEqual(
                request.generation.expected_output_tokens, 0
            )

    @seeds.STEADY
    @hypothesis.given(METHODS, TARGETS, HEADERS, strategies.integers(0, 9999))
    def test_a_target_reads_one_request_whatever_a_caller_sent(
        self, method, target, pairs, size
    ):
        request = headers.decode_request(method, target, pairs)
        sending = forwarding.Sending(
            target_id="t1", account="depot", time_left_s=1.0, last_event_id=4
        )
        head = headers.encode_request(request, sending, size)
        read = _Reader()
        httptools.HttpRequestParser(read).feed_data(head)
        names = [name for name, _ in read.headers]
        self.assertEqual((read.requests, read.target), (1, target))
        self.assertNotIn(b"transfer-encoding", names)
        for name, value in (
            (b"x-cardamomfork-target-instance", b"t1"),
            (b"x-cardamomfork-tenant", b"depot"),
            (b"last-event-id", b"4"),
        ):
            self.assertEqual(
                [found for each, found in read.headers if each == name], [value]
            )
        self.assertLessEqual(names.count(b"content-length"), 1)

    @seeds.STEADY
    @hypothesis.given(strategies.integers(100, 999), HEADERS)
    def test_any_answer_is_decoded(self, status, pairs):
        head = headers.decode_answer(status, pairs)
        self.assertNotIn(b"connection", [name for name, _ in head.headers])
        if head.content_length is not None:
            self.assertGreaterEqual(head.content_length, 0)

    def test_rest_that_a_target_asks_for_is_decoded_in_all_its_forms(self):
        date = b"Fri, 04 Dec 2026 12:00:00 GMT"
        for value, seconds in (
            (b"3", 3.0),
            (b"0.25", 0.25),
            (b"1e3", 1000.0),
            (b"Fri, 04 Dec 2026 12:00:05 GMT", 5.0),
            (b"Fri, 04 Dec 2026 11:59:00 GMT", None),
            (b"0", None),
            (b"-3", None),
            (b"inf", None),
            (b"nan", None),
            (b"soon", None),
            (b"", None),
            (b"\xff", None),
        ):
            head = headers.decode_answer(
                503, ((b"date", date), (b"retry-after", value))
            )
            self.assertEqual(head.retry_after_s, seconds, value)
        self.assertIsNone(headers.decode_answer(503, ()).retry_after_s)

    def test_statement_that_a_target_leaves_is_decoded(self):
        for value, is_leaving in ((b"1", True), (b"0", False), (b"", False)):
            head = headers.decode_answer(200, ((b"server-leaving", value),))
            self.assertEqual(head.is_leaving, is_leaving, value)
        self.assertFalse(headers.decode_answer(200, ()).is_leaving)

    def test_shared_parts_of_a_prompt_are_all_but_the_last(self):
        cases = {
            b"5c1e07a2:800,91BD3f06:410,e4402b7d:250": ("5c1e07a2", "91bd3f06"),
            b"5c:8, 5c:8 ,01": ("5c",),
            b"5c1e07a2:800": (),
            b"": (),
            b"x:1,,5g:2,-5:3,0a:z,1:1": ("0a",),
            b",".join([b"%x:1" % n for n in range(100)]): tuple(
                f"{n:x}" for n in range(headers.MAX_SHARED_PARTS)
            ),
            b"f" * 5000 + b":1,1:1": (),
        }
        for value, parts in cases.items():
            pairs = [(b"x-cardamomfork-prefix-hash", value)]
            request = headers.decode_request("POST", b"/", pairs)
            self.assertEqual(request.shared_parts, parts, value[:40])

    @seeds.STEADY
    @hypothesis.given(HEADERS)
    def test_peers_hear_of_a_request_whatever_size_it_names(self, pairs):
        request = headers.decode_request("POST", b"/a/", pairs)
        size = request.generation or forwarding.Generation(0, 0)
        job = load_view.Job(
            "j",
            "t1",
            (),
            size.prompt_tokens,
            size.expected_output_tokens,
            1.0,
            demands.request_value(size.prompt_tokens),
            reads_until=1.0,
        )
        digest = digest_codec.Digest(
            digest_codec.Peer("one", "a", "127.0.0.1", 1),
            *(1, 1, 1, 1, 1, False, (job,), ()),
        )
        decoded = digest_codec.decode(digest_codec.encode(digest, 0.0), 0.0)
        self.assertEqual(len(decoded.unwrap().jobs), 1)


class EntriesTest(unittest.TestCase):
    @seeds.STEADY
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_decoded_or_refused(self, value):
        self.assertIsInstance(
            target_entries.decode("servers/t1", value), (result.Ok, result.Err)
        )

    @seeds.STEADY
    @hypothesis.given(strategies.sampled_from(list_places(ENTRY)), JSON)
    def test_one_odd_field_is_decoded_or_refused(self, path, value):
        changed = replace(ENTRY, path, value)
        decoded = target_entries.decode(
            "servers/t1", json.dumps(changed).encode()
        )
        if decoded.is_ok():
            record = decoded.ok_value
            self.assertGreaterEqual(record.slots, 1)
            self.assertIn(record.port, range(1, 65_536))
            self.assertTrue(record.host.isascii())

    @seeds.STEADY
    @hypothesis.given(strategies.text(max_size=8))
    def test_an_id_that_no_header_can_hold_names_no_target(self, name):
        key = f"servers/{name}"
        decoded = target_entries.decode(key, json.dumps(ENTRY).encode())
        if decoded.is_ok():
            self.assertTrue(name.isascii() and name.isprintable() and name)


class ConfigurationTest(unittest.TestCase):
    @seeds.STEADY
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_decoded_or_refused(self, value):
        self.assertIsInstance(
            configuration_format.decode(value, 1), (result.Ok, result.Err)
        )

    @seeds.STEADY
    @hypothesis.given(strategies.sampled_from(list_places(CONFIGURATION)), JSON)
    def test_one_odd_value_is_refused_or_serves_requests(self, path, value):
        changed = replace(CONFIGURATION, path, value)
        decoded = configuration_format.decode(json.dumps(changed).encode(), 1)
        if decoded.is_err():
            return
        table = routes.RouteTable(decoded.ok_value)
        request = headers.decode_request(
            "POST",
            b"/a/x",
            ((b"host", b"callers.example"), (b"api-key", b"k")),
        )
        matched = table.match(request, random.Random(1))
        if matched.is_err():
            return
        route = matched.ok_value.route
        self.assertTrue(math.isfinite(route.timeout_s))
        self.assertTrue(math.isfinite(route.objective_s))
        sending = forwarding.Sending(
            target_id="t1",
            account=getattr(matched.ok_value.account, "name", ""),
            time_left_s=1.0,
        )
        head = headers.encode_request(request, sending, 0)
        read = _Reader()
        httptools.HttpRequestParser(read).feed_data(head)
        self.assertEqual(read.requests, 1)
        if matched.ok_value.service.cost_model is not None:
            self._check_choice(matched.ok_value)

    def _check_choice(self, matched):
        """Checks that a target can be chosen."""
        parts = gateway_parts.Fleet(engines=2)
        demand = gateway_parts.make_demand(service=matched.service)
        self.assertIsNotNone(parts.placer.choose(demand, 1.0))


class StoreMessagesTest(unittest.TestCase):
    @seeds.STEADY
    @hypothesis.given(strategies.text(max_size=20))
    def test_any_text_is_a_value_or_an_error(self, text):
        item = store_messages.Item("k", text, 1)
        entry = item.to_entry("", 0)
        if entry.is_err():
            return
        value = entry.ok_value.value
        self.assertEqual(store_messages.encode_value(value), text)

    @seeds.STEADY
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_value_comes_back(self, value):
        text = store_messages.encode_value(value)
        self.assertEqual(store_messages.decode_value(text).unwrap(), value)


if __name__ == "__main__":
    unittest.main()
