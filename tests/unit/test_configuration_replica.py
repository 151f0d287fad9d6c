"""Tests that an instance's configuration never reverts."""

import random
import unittest

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.models import configuration
from tests.lib import configurations
from tests.lib import seeds

DRAIN = configuration.ObjectKind.DRAIN


class CodecTest(unittest.TestCase):
    def test_objects_round_trip_through_store_and_wire(self):
        account = configuration.ClientAccount(
            "depot", keys=(configuration.HashedKey("k1", "aa", "bb"),)
        )
        service = configurations.service(target_count=100)
        for value in (service, account, configuration.Drain("t/1")):
            kind = codec.kind_of(value)
            key = codec.key_of(kind, value.name)
            self.assertEqual(codec.parse_key(key), (kind, value.name))
            data = codec.encode(value)
            self.assertEqual(
                codec.decode(kind, value.name, data).unwrap(), value
            )
            change = configuration.Versioned(kind, value.name, 7, value)
            packed = codec.pack([change], 9, 6000)
            self.assertEqual((packed.count, packed.upto), (1, 9))
            self.assertEqual(
                codec.unpack(packed.data).unwrap().changes, (change,)
            )

    def test_undecodable_data_yields_a_finding(self):
        decoded = codec.decode(DRAIN, "x", b'{"name": 3}')
        self.assertIn("$.name", str(decoded.unwrap_err()))
        self.assertTrue(codec.decode(DRAIN, "x", b'{"name":"y"}').is_err())
        for data in (b"\xff", b"\x91\x94\x00\xa1x\x01\xc4\x02zz", b"\x91\x90"):
            self.assertTrue(codec.unpack(data).is_err())

    def test_truncated_range_ends_at_last_packed_version(self):
        changes = [configurations.drain(f"t{n}", n) for n in (3, 5, 9)]
        full_range = codec.pack(changes, 12, 6000)
        truncated = codec.pack(changes, 12, len(full_range.data) - 1)
        self.assertEqual((truncated.count, truncated.upto), (2, 8))


class ReplicaTest(unittest.TestCase):
    def setUp(self):
        self.replica = replica.ConfigurationReplica()

    def test_index_follows_changes(self):
        received = []
        self.replica.subscribe(received.append)
        kind = configuration.ObjectKind.SERVICE
        first = configurations.service(models=("m1", "m2"))
        second = attrs.evolve(first, models=("m2", "m3"))
        self.replica.apply(configuration.Versioned(kind, first.name, 3, first))
        self.replica.apply(configuration.Versioned(kind, first.name, 4, second))
        self.assertIsNone(self.replica.service_for_model("m1"))
        self.assertEqual(self.replica.service_for_model("m3"), second)
        self.assertEqual([change.version for change in received], [3, 4])

    def test_old_version_does_not_restore_deleted_object(self):
        self.replica.apply_range([configurations.drain("a", 4)], 0, 5)
        self.replica.apply_snapshot(replica.Snapshot(8, ()))
        self.assertFalse(self.replica.apply(configurations.drain("a", 6)))
        self.assertFalse(self.replica.apply(configurations.drain("b", 8)))
        self.assertFalse(self.replica.is_drained("a"))
        self.assertTrue(self.replica.apply(configurations.drain("a", 9)))

    def test_range_with_gap_is_refused_and_unreadable_objects_are_kept(self):
        self.replica.apply_range([configurations.drain("a", 4)], 0, 5)
        applied = self.replica.apply_range(
            [configurations.drain("a", 9)], since=7, upto=9
        )
        self.assertFalse(applied)
        self.replica.apply_snapshot(
            replica.Snapshot(12, (), frozenset({(DRAIN, "a")}))
        )
        self.assertTrue(self.replica.is_drained("a"))

    def test_peer_with_snapshot_does_not_hide_earlier_deletion(self):
        # The object was deleted before the peer's snapshot, which therefore
        # does not list it.
        self.replica.apply(configurations.drain("a", 2))
        peer = replica.ConfigurationReplica()
        peer.apply_snapshot(replica.Snapshot(3, ()))
        self.assertIsNone(peer.changes_after(self.replica.revision))
        self.replica.apply_snapshot(peer.snapshot())
        self.assertFalse(self.replica.is_drained("a"))

    def test_tables_are_bounded(self):
        bounded = replica.ConfigurationReplica(max_tombstones=3, max_objects=5)
        changes = [configurations.deletion(f"t{n}", n) for n in range(1, 9)]
        bounded.apply_range(changes, 0, 8)
        self.assertIsNone(bounded.changes_after(4))
        self.assertEqual(len(bounded.changes_after(5)), 3)
        many = [configurations.drain(f"d{n}", n) for n in range(10, 19)]
        bounded.apply_range(many, 8, 20)
        self.assertEqual((bounded.size, bounded.revision), (5, 8))


class ReplicasMachine(stateful.RuleBasedStateMachine):
    """Applies a store's history to three replicas, in part and out of order."""

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.store = {}
        self.history = []
        self.states = [{}]
        self.replicas = [
            replica.ConfigurationReplica(max_tombstones=1) for _ in range(3)
        ]
        self.seen = [{} for _ in self.replicas]
        for number, held in enumerate(self.replicas):
            held.subscribe(lambda change, n=number: self._hear(n, change))

    def _hear(self, number, change):
        before = self.seen[number].get(change.name, 0)
        assert change.version > before, (change, before)
        self.seen[number][change.name] = change.version

    @stateful.rule(
        name=strategies.sampled_from("abcd"), exists=strategies.booleans()
    )
    def change(self, name, exists):
        self.revision += 1
        if exists:
            self.store[name] = self.revision
        else:
            self.store.pop(name, None)
        self.history.append((name, self.revision, exists))
        self.states.append(dict(self.store))

    @stateful.rule(
        number=strategies.integers(0, 2), span=strategies.integers(1, 6)
    )
    def watch(self, number, span):
        since = self.replicas[number].revision
        upto = min(since + span, self.revision)
        last = {n: (v, e) for n, v, e in self.history[since:upto]}
        batch = [
            configurations.drain(n, v)
            if exists
            else configurations.deletion(n, upto)
            for n, (v, exists) in last.items()
        ]
        self.replicas[number].apply_range(batch, since, upto)

    @stateful.rule(
        number=strategies.integers(0, 2), back=strategies.integers(0, 5)
    )
    def scan(self, number, back):
        at = max(self.revision - back, 0)
        entries = tuple(
            configurations.drain(n, v) for n, v in self.states[at].items()
        )
        self.replicas[number].apply_snapshot(replica.Snapshot(at, entries))

    @stateful.rule(
        number=strategies.integers(0, 2), pick=strategies.integers(0, 99)
    )
    def old_single(self, number, pick):
        if self.history:
            name, version, exists = self.history[pick % len(self.history)]
            if exists:
                self.replicas[number].apply(configurations.drain(name, version))

    @stateful.rule(
        sender=strategies.integers(0, 2),
        receiver=strategies.integers(0, 2),
        since_back=strategies.integers(0, 12),
        budget=strategies.integers(10, 200),
    )
    def tell(self, sender, receiver, since_back, budget):
        source, sink = self.replicas[sender], self.replicas[receiver]
        since = max(sink.revision - since_back, 0)
        changes = source.changes_after(since)
        if changes is None:
            sink.apply_snapshot(source.snapshot())
            return
        packed = codec.pack(changes, source.revision, budget)
        changes = codec.unpack(packed.data).unwrap().changes
        sink.apply_range(changes, since, packed.upto)

    @stateful.invariant()
    def complete_replicas_match_the_store(self):
        for held in self.replicas:
            at = held.revision
            for name, version in self.states[at].items():
                found = held.get(DRAIN, name)
                if found is None:
                    # A truncated range omits a version that a later change
                    # replaces.
                    assert self.store.get(name) != version, (name, at)
                else:
                    assert found.version >= version, (name, at)
            for found in held.objects():
                if found.version <= at:
                    assert self.states[at].get(found.name) == found.version


class ReplicasMachineTest(ReplicasMachine.TestCase):
    settings = hypothesis.settings(
        seeds.STEADY, max_examples=200, stateful_step_count=40
    )


class ChangeOrderTest(unittest.TestCase):
    def test_single_changes_in_any_order_end_at_newest(self):
        for seed in range(20):
            changes = [
                configurations.drain("a", n, str(n)) for n in range(1, 9)
            ]
            random.Random(seed).shuffle(changes)
            held = replica.ConfigurationReplica()
            for change in changes:
                held.apply(change)
            self.assertEqual(held.get(DRAIN, "a").version, 8)
