"""Tests that builds read each other's messages and stored records."""

import pathlib
import re
import unittest

import attrs
import capnp
import hypothesis
from hypothesis import strategies
import msgspec

from cardamomfork._internal.gateway.peers import change_codec
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_forwarding_codec
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import crash_records
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import peer_queues
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.store import change_relay
from cardamomfork._internal.gateway.store import key_set

EARLIER_BUILDS = sorted(
    (pathlib.Path(__file__).parents[1] / "lib" / "earlier_builds").iterdir()
)
NOW = 100.0
FIELD_PATTERN = re.compile(r"^\s+(\w+) @(\d+) :([\w()]+)", re.MULTILINE)
STRUCT_PATTERN = re.compile(r"struct (\w+) \{(.*?)\n\}", re.DOTALL)


def read_fields(text):
    """Returns the fields of a schema by struct and number."""
    return {
        name: {
            number: (field, kind)
            for field, number, kind in FIELD_PATTERN.findall(body)
        }
        for name, body in STRUCT_PATTERN.findall(text)
    }


def make_digest():
    """Returns the digest that the earlier builds' files hold."""
    crash = crash_records.Crash(7, "t1", 1234)
    return digest_codec.Digest(
        digest_codec.Peer("front-a-1", "a", "10.0.0.1", 7000),
        2**61,
        55,
        1_000_000_000_345,
        12_345,
        1_000_000_000_346,
        True,
        (
            load_view.Job(
                "front-a-1#0",
                "t1",
                (load_view.Part("t2", 500),),
                5000,
                1500,
                0.25,
                1.0,
                NOW + 0.2,
                late_at=NOW + 0.4,
                is_writing=True,
                ends_at=NOW + 2.0,
            ),
        ),
        (crash_records.CrashReport(crash, True),),
        (rate_limits.RateLimitReport("t3", 99, 2.5, 0.5, True),),
        True,
        3,
    )


class UpgradesTest(unittest.TestCase):
    def for_each_build(self, name):
        """Yields a file of each earlier build."""
        for directory in EARLIER_BUILDS:
            with self.subTest(build=directory.name):
                yield (directory / name).read_bytes()

    def test_digest_of_an_earlier_build_is_read(self):
        found = {}
        for directory in EARLIER_BUILDS:
            build = directory.name
            data = (directory / "digest.bin").read_bytes()
            digest = digest_codec.decode(data, NOW).unwrap()
            self.assertFalse(digest.evacuations)
            found[build] = digest
        first, second = found["e084f59"], found["404d9c2"]
        self.assertEqual(found["d7c6fdd"], second)
        self.assertEqual(second.target_keys, key_set.KnownKeys())
        self.assertEqual(first, make_digest())
        self.assertFalse(first.exchanges_changes)
        self.assertEqual(
            second,
            attrs.evolve(first, exchanges_changes=True, reaches_store=True),
        )

    def test_changes_of_an_earlier_build_are_read(self):
        for directory in EARLIER_BUILDS:
            if directory.name == "e084f59":
                continue  # It sends none.
            with self.subTest(build=directory.name):
                data = (directory / "change_update.bin").read_bytes()
                self.assertEqual(
                    change_codec.decode(data).unwrap(),
                    change_relay.Update(
                        3, 9, (change_relay.Change("servers/t1", b"v", 5),)
                    ),
                )

    def test_earlier_build_reads_a_digest(self):
        # Guards against a field of today's that an earlier schema can't pass
        # over.
        digest = make_digest()
        digest = attrs.evolve(
            digest,
            jobs=tuple(attrs.evolve(job, account_id=7) for job in digest.jobs),
            evacuations=(evacuations.Evacuation("b", 2_000_000_000_007, True),),
            cold_targets=(cold_targets.ColdReport("t1", 1, 2.0, 0.5),),
            waiting=(peer_queues.WaitingClass("engines", True, 3, 900),),
            target_keys=key_set.KnownKeys(1_000_000_000_346, 2**64 - 1),
        )
        data = digest_codec.encode(digest, NOW)
        self.assertEqual(digest_codec.decode(data, NOW).unwrap(), digest)
        for directory in EARLIER_BUILDS:
            schema = capnp.SchemaParser().load(str(directory / "digests.capnp"))
            message = schema.Digest.from_bytes_packed(data)
            self.assertEqual(message.instanceId, "front-a-1")
            self.assertEqual(message.sequence, 55)
            self.assertEqual(message.openRequests, 3)
            self.assertTrue(message.isLeaving)
            self.assertEqual(message.jobs[0].parts[0].reservedTokens, 500)
            self.assertEqual(message.rateLimits[0].requestsPerS, 2.5)

    def test_schema_only_gains_fields(self):
        path = pathlib.Path(digest_codec.__file__).with_name("digests.capnp")
        current = read_fields(path.read_text(encoding="utf-8"))
        for text in self.for_each_build("digests.capnp"):
            for struct, fields in read_fields(text.decode()).items():
                self.assertTrue(fields, struct)
                self.assertLessEqual(fields.items(), current[struct].items())

    def test_messages_about_permits_of_an_earlier_build_are_read(self):
        for data in self.for_each_build("permit_request.bin"):
            self.assertEqual(
                permit_codec.decode_request(data).unwrap(),
                permit_codec.PermitRequest(9, "t3", 99, 2.5, 1.5),
            )
        for data in self.for_each_build("permit_decision.bin"):
            self.assertEqual(
                permit_codec.decode_decision(data).unwrap(),
                (9, permit_codec.PermitDecision(True, 0.25)),
            )

    def test_configuration_of_an_earlier_build_is_read(self):
        for data in self.for_each_build("configuration.bin"):
            stored = digest_codec.decode_configuration(data).unwrap()
            self.assertEqual(stored.revision, 17)
            self.assertEqual(stored.value, b'{"version": 3}')
            self.assertFalse(stored.knows_evacuations)

    def test_earlier_build_reads_a_configuration(self):
        data = digest_codec.encode_configuration(
            fleet_state.StoredConfiguration(
                b"value", 17, (evacuations.Evacuation("b", 9, True),), True
            )
        )
        for directory in EARLIER_BUILDS:
            schema = capnp.SchemaParser().load(str(directory / "digests.capnp"))
            with schema.StoredConfiguration.from_bytes(data) as message:
                self.assertEqual(message.revision, 17)
                self.assertEqual(bytes(message.value), b"value")

    def test_stored_records_are_read_and_written_as_before(self):
        digest = make_digest()
        reports = list(digest.deaths)
        for data in self.for_each_build("instance.json"):
            peer = msgspec.json.decode(data, type=digest_codec.Peer)
            self.assertEqual(peer, digest.sender)
            self.assertEqual(msgspec.json.encode(peer), data)
        for data in self.for_each_build("crashes.json"):
            found = msgspec.json.decode(
                data, type=list[crash_records.CrashReport]
            )
            self.assertEqual(found, reports)
            self.assertEqual(msgspec.json.encode(reports), data)

    def test_records_with_fields_of_a_later_build_are_read(self):
        digest = make_digest()
        data = msgspec.json.encode(
            msgspec.to_builtins(digest.sender) | {"later": [1]}
        )
        peer = msgspec.json.decode(data, type=digest_codec.Peer)
        self.assertEqual(peer, digest.sender)

    def test_request_over_a_peer_is_written_as_before(self):
        request = peer_forwarding_codec.ForwardedRequest(
            "front-a-1", "r1", "t1", 1234, 1.5, True, False
        )
        data = peer_forwarding_codec.encode_request(
            request, "secret", b"GET / HTTP/1.1\r\n\r\n"
        )
        for earlier in self.for_each_build("forwarded_request.txt"):
            self.assertEqual(data, earlier)


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # The first example must not pay for compiling the schema, which takes
        # longer than Hypothesis's deadline on a busy machine.
        digest_codec.schema()

    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_datagram_is_decoded_or_refused(self, data):
        digest_codec.decode(data, NOW)
        permit_codec.decode_request(permit_codec.REQUEST + data)
        permit_codec.decode_decision(permit_codec.DECISION + data)
        change_codec.decode(change_codec.UPDATE + data)

    def test_digest_with_very_many_jobs_is_refused(self):
        for name in ("jobs", "deaths", "rateLimits", "evacuations"):
            message = digest_codec.schema().Digest.new_message()
            message.init(name, 300_000)
            data = bytes(message.to_bytes_packed())
            self.assertLess(len(data), 2**16 * 3)
            self.assertTrue(digest_codec.decode(data, NOW).is_err(), name)


if __name__ == "__main__":
    unittest.main()
