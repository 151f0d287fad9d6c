"""Bytes of other parties raise nothing in a daemon, and hide no others."""

import ast
import importlib
import pkgutil
import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies
from loguru import logger
import msgspec

from cardamomfork import _internal
from cardamomfork._internal import decoding
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import distribution
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.contracts import peering
from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import envelope_composer
from cardamomfork._internal.links.callers import body_reader
from cardamomfork._internal.links.targets import extension
from cardamomfork._internal.links.targets import http_client
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import instances
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import poison_gossip
from cardamomfork._internal.targets import leaving
from cardamomfork._internal.targets import load_gossip
from tests.lib import odd_bytes
from tests.lib import seeds
from tests.unit import test_decoders
from tests.unit import test_peer_payloads

PACKAGES = (
    *("accounts", "composition", "configuration", "data_centres"),
    *("instances", "links", "requests", "routing", "targets"),
)
CALLERS_BODIES = "bodies.py"
"""Decodes bodies of callers; the text of its errors is part of the answer."""
ORDER = configuration.ObjectKind.ORDER
DRAIN = configuration.ObjectKind.DRAIN
SERVICE = {
    "name": "n",
    "kind": "model",
    "models": ["m"],
    "targets": [
        {
            "target_id": "t",
            "kind": "engine",
            "host": "h",
            "port": 1,
            "data_centre": "dc",
        }
    ],
}
LOAD = {
    "boot_id": "b1",
    "age_s": 0.1,
    "queued_tokens": 1,
    "running": 1,
    "free_tokens": 1,
}
EVENTS = {"boot_id": "b1", "events": [{"sequence": 1, "stored": [2**64 - 1]}]}
DEEP_MSGPACK = b"\x91" * 20_000 + b"\x01"


def drains(*names):
    return [
        configuration.Versioned(DRAIN, name, version, configuration.Drain(name))
        for version, name in enumerate(names, 1)
    ]


PACKED = codec.pack(drains("a", "b"), 2, 6000).data
JSON_CASES = {
    "service": (
        lambda data: codec.decode(configuration.ObjectKind.SERVICE, "n", data),
        SERVICE,
    ),
    "account": (
        lambda data: codec.decode(configuration.ObjectKind.ACCOUNT, "n", data),
        {"name": "n"},
    ),
    "drain": (lambda data: codec.decode(DRAIN, "n", data), {"name": "n"}),
    "load": (
        lambda data: decoding.decode_bounded_json(data, extension.LoadAnswer),
        LOAD,
    ),
    "events": (
        lambda data: decoding.decode_bounded_json(
            data, extension.CacheEventsAnswer
        ),
        EVENTS,
    ),
}
SOUND_BYTES = {
    "configuration.codec.unpack": PACKED,
    "links.targets.http_client.parse_retry_after": b"1.5",
    "links.targets.http_client.parse_length": b"15",
    "decoding.msgpack_decoder[configuration update]": [1, 0, 1, PACKED],
    "decoding.msgpack_decoder[request of a configuration page]": ["", "", 1],
    "decoding.msgpack_decoder[configuration page]": [1, PACKED, "", "", 0],
    "decoding.msgpack_decoder[gossip rows]": [1, [["a"]]],
    "decoding.msgpack_decoder[membership update]": [b"", b""],
    "decoding.msgpack_decoder[packed record of an instance]": [
        *("i", "b", "dc", "h", 1),
    ],
    "decoding.msgpack_decoder[demands]": [{}, {}],
    "decoding.msgpack_decoder[packed mark of a target]": ["t", "b", 1, 1, True],
    "decoding.msgpack_decoder[claim record]": {},
    "decoding.msgpack_decoder[names of reservations]": ["a"],
    "decoding.msgpack_rows_decoder[summaries of data centres]": [
        ["dc", 1.0, 1, []]
    ],
    "decoding.msgpack_rows_decoder[load reports]": [],
    "decoding.msgpack_rows_decoder[suspects]": [],
    "instances.membership_gossip._decode_record": ["i", "b", "dc", "h", 1],
    "targets.leaving._unpack": ["t", "b", 1, 1, True],
    "decoding.msgpack_decoder[forwarded operation]": None,
    "decoding.msgpack_decoder[result of an operation]": [0, None],
}
SEPARATE = {"configuration.codec.decode"}


def load_decoders():
    """Imports all modules of the packages; returns their decoders by name."""
    for name in PACKAGES:
        package = importlib.import_module(f"cardamomfork._internal.{name}")
        for module in pkgutil.walk_packages(
            package.__path__, package.__name__ + "."
        ):
            importlib.import_module(module.name)
    prefix = _internal.__name__ + "."
    starts = (*(f"{name}." for name in PACKAGES), "decoding.msgpack")
    short = {
        name.removeprefix(prefix): function
        for name, function in decoding.registered().items()
    }
    return {n: f for n, f in short.items() if n.startswith(starts)}


class DecodersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        logger.remove()
        cls.decoders = load_decoders()

    def cases(self):
        for name, sound in SOUND_BYTES.items():
            data = sound
            if not isinstance(sound, bytes):
                data = msgspec.msgpack.encode(sound)
            yield name, self.decoders[name], data

    def check(self, decoded):
        if hasattr(decoded, "is_err"):
            if decoded.is_err():
                self.assertLess(len(str(decoded.err_value)), 400)
                return
            decoded = decoded.ok_value
        test_decoders.check_usable(decoded)

    def test_every_decoder_has_a_case(self):
        self.assertEqual(set(self.decoders), {*SOUND_BYTES, *SEPARATE})

    def test_sound_bytes_are_decoded(self):
        for name, decode, data in self.cases():
            decoded = decode(data)
            if SOUND_BYTES[name] is not None and hasattr(decoded, "is_err"):
                self.assertTrue(decoded.is_ok(), f"{name}: {decoded}")
        for name, (decode, sound) in JSON_CASES.items():
            decoded = decode(msgspec.json.encode(sound))
            self.assertTrue(decoded.is_ok(), f"{name}: {decoded}")

    def test_odd_bytes_end_no_decoder(self):
        for name, decode, sound in self.cases():
            for data in (
                *odd_bytes.ODD_BYTES,
                DEEP_MSGPACK,
                b"\x92\x01" + DEEP_MSGPACK,
                *(sound[:end] for end in range(len(sound))),
            ):
                with self.subTest(name, data=data[:60]):
                    self.check(decode(data))

    def test_odd_json_ends_no_decoder(self):
        for name, (decode, sound) in JSON_CASES.items():
            for data in (*odd_bytes.ODD_BYTES, *odd_bytes.odd_json(sound)):
                with self.subTest(name, data=data[:60]):
                    self.check(decode(data))

    @seeds.STEADY
    @hypothesis.given(strategies.data())
    def test_any_bytes_end_no_decoder(self, data):
        for name, decode, sound in self.cases():
            self.check(decode(data.draw(odd_bytes.changed(sound), name)))

    def test_deep_unknown_field_leaves_an_object_and_a_report_as_they_are(self):
        for name, (decode, sound) in JSON_CASES.items():
            text = msgspec.json.encode(sound)
            for deep in odd_bytes.ODD_JSON[:2]:
                odd = text[:-1] + b',"unknown":' + deep + b"}"
                self.assertEqual(decode(odd), decode(text), name)

    def test_only_the_boundary_calls_decoding_libraries(self):
        for package in PACKAGES:
            root = test_decoders.SOURCES / package
            for path in sorted(root.rglob("*.py")):
                if path.name != CALLERS_BODIES:
                    finder = test_decoders._CallFinder()
                    finder.visit(ast.parse(path.read_text(encoding="utf-8")))
                    self.assertEqual(finder.found, [], path)


class OddAmongOthersTest(unittest.TestCase):
    """One odd object keeps no other from being applied."""

    def setUp(self):
        logger.remove()

    def test_odd_value_of_one_object_keeps_no_other_change_from_a_replica(self):
        changes = drains("a", "odd", "c")
        lines = [codec._encode_change(change) for change in changes]
        lines[1] = lines[1].replace(b'{"name"', b'{"x":1,"name":3,"n"', 1)
        compressor = codec._LineCompressor(6000)
        for line in lines:
            compressor.add(line)
        payload = msgspec.msgpack.encode([3, 0, 3, compressor.finish()])
        held = replica.ConfigurationReplica()
        told = distribution.ConfigurationGossip(held)
        told.absorb("peer", payload, 0.0)
        self.assertEqual({each.name for each in held.objects()}, {"a", "c"})
        self.assertEqual(told.counters.unreadable, 1)

    def test_odd_object_of_a_snapshot_does_not_count_as_deleted(self):
        held = replica.ConfigurationReplica()
        held.apply_range(drains("odd"), 0, 1)
        line = codec._encode_change(
            configuration.Versioned(DRAIN, "odd", 2, configuration.Drain("odd"))
        )
        compressor = codec._LineCompressor(6000)
        compressor.add(line.replace(b'{"name":"odd"', b'{"name":3'))
        page = msgspec.msgpack.encode([5, compressor.finish(), "", "", 0])
        snapshot = distribution.SnapshotReader().take(page)
        self.assertTrue(held.apply_snapshot(snapshot))
        self.assertEqual([each.name for each in held.objects()], ["odd"])

    def test_odd_row_keeps_no_other_row_of_a_payload_from_use(self):
        marks = leaving.LeavingTargets()
        rows = [["t1", "b", 1, 1, False], ["odd"], ["t2", "b", 1, 1, False]]
        marks.absorb("peer", msgspec.msgpack.encode([7, rows]), 0.0)
        self.assertTrue(marks.is_leaving("t1") and marks.is_leaving("t2"))
        seen = []
        loads = load_gossip.LoadGossip(lambda report, _: seen.append(report))
        reports = [[t, "b", 1, 1, 1, 1, ["m"], False] for t in ("t1", "t2")]
        loads.absorb(
            "peer",
            msgspec.msgpack.encode([reports[0], 3, [None], reports[1]]),
            0.0,
        )
        self.assertEqual([each.target_id for each in seen], ["t1", "t2"])
        self.assertEqual(loads.unreadable, 2)
        guard = poison.PoisonGuard(random.Random(1))
        suspects = poison_gossip.PoisonGossip(guard)
        update = poison_gossip.SuspectUpdate(
            b"k" * 8, {"t1": 1}, 1000, -1, 0, False
        )
        suspects.absorb("peer", msgspec.msgpack.encode([[], update]), 0.0)
        self.assertEqual(len(guard.suspects), 1)

    def test_failing_section_of_a_payload_keeps_no_other_from_use(self):
        absorbed = []

        class Participant:
            def __init__(self, topic):
                self.topic = topic

            def absorb(self, sender, payload, now):
                absorbed.append(self.topic)
                raise RecursionError

        topics = list(gossip.Topic)[:3]
        composer = envelope_composer.EnvelopeComposer(
            list(map(Participant, topics)), byte_budget.ByteBudget(6000.0)
        )
        sender = instances.Instance("i", "b", "dc", "h", 1)
        sections = tuple(peering.Section(topic, b"x") for topic in topics)
        with self.assertRaises(ExceptionGroup):
            composer.deliver(peering.Envelope(sender, sections), 0.0)
        self.assertEqual(absorbed, topics)

    def test_odd_incarnation_of_an_instance_leaves_it_able_to_gossip(self):
        for number in (2**63, 2**64 - 1):
            participant = test_peer_payloads.participants()[0]
            record = ["me", "b1", "kempten", "h", 1, number, 1, False]
            rows = msgspec.msgpack.encode([1, [record]])
            payload = msgspec.msgpack.encode([rows, b""])
            participant.absorb("peer", payload, 0.0)
            self.assertEqual(participant.unreadable, 1)
            participant.collect("peer", gossip.Scope.DATA_CENTRE, 3000, 0.0)


class OddCallerTest(unittest.TestCase):
    def test_content_length_of_5000_digits_is_refused(self):
        headers = [(b"content-length", b"9" * 5000)]
        read = anyio.run(body_reader.read_body, None, headers, 100, 1.0)
        self.assertTrue(read.is_err())


class OddEngine:
    """An engine that answers with odd heads or bodies."""

    def __init__(self, head, body):
        self._answer = head + b"\r\n\r\n" + body

    async def serve(self, stream):
        async with stream:
            await stream.receive()
            await stream.send(self._answer)


class OddEngineTest(unittest.TestCase):
    def ask(self, head, body):
        """Returns the answer to a request for the load."""

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            target = targets.Target(
                "t", targets.TargetKind.ENGINE, "127.0.0.1", port, "dc"
            )
            client = http_client.TargetHttpClient(target)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, OddEngine(head, body).serve)
                answer = await client.request_json(
                    extension.LoadAnswer, "GET", "/extension/load"
                )
                tasks.cancel_scope.cancel()
            await listener.aclose()
            await client.close()
            return answer

        return anyio.run(main)

    def test_odd_answers_of_an_engine_are_faults(self):
        ok = b"HTTP/1.1 200 OK\r\nconnection: close"
        for head, body in (
            (ok + b"\r\ncontent-length: " + b"9" * 5000, b"{}"),
            (ok + b"\r\ncontent-length: -1", b"{}"),
            (ok + b"\r\ntransfer-encoding: chunked", b"f" * 40 + b"\r\n{}"),
            (b"HTTP/1.1 99999999999999999999 OK", b""),
            (b"HTTP/1.1 503 No\r\nretry-after: " + b"9" * 5000, b""),
            *((ok, odd) for odd in odd_bytes.ODD_JSON[:6]),
        ):
            with self.subTest(head=head[-60:], body=body[:20]):
                self.assertTrue(self.ask(head, body).is_err())

    def test_host_or_port_out_of_range_is_unreachable(self):
        for host, port in (
            ("127.0.0.1", 70_000),
            ("a" * 70 + ".example", 80),
            ("node..localhost", 9),
        ):
            target = targets.Target(
                "t", targets.TargetKind.ENGINE, host, port, "dc"
            )
            client = http_client.TargetHttpClient(target)
            answer = anyio.run(
                client.request_json, extension.LoadAnswer, "GET", "/"
            )
            self.assertIs(
                answer.err_value.kind, targets.FaultKind.UNREACHABLE, host
            )


if __name__ == "__main__":
    unittest.main()
