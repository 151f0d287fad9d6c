"""Tests of changes in the store that pollers relay to other instances."""

import functools
import json
import random
import unittest
import zlib

import anyio
import hypothesis
from hypothesis import strategies
import trio.testing

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.peers import change_codec
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.store import change_relay
from cardamomfork._internal.gateway.store import follower
from tests.lib import gateway_parts
from tests.lib import restored_fleet
from tests.unit import test_gateway_following

KEYS = ("p/a", "p/b", "p/c")
LARGE_FLEET = 86
MAX_CALLS_PER_INSTANCE_AND_CHANGE = 0.2
RECIPIENTS = 38
MAX_BYTES_PER_S = 1_250_000 / 4
"""A quarter of the slowest link, while all targets of a large fleet start."""
MAX_DATAGRAM_BYTES = 1400


def make_value(rng):
    """Returns a target's entry as on the platform."""
    fields = {
        "service": "jewu17a",
        "address": f"10.{rng.randint(1, 5)}.64.{rng.randint(1, 250)}:8229",
        "zone": rng.choice(("rosenheim", "weilheim", "kempten")),
        "version": "v1",
        "slots": 5,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": rng.randint(1, 9),
        "born": 1_780_000_000_000 + rng.randint(0, 10_000),
        "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
    }
    return json.dumps(fields).encode()


class Receiver:
    """Holds the state that it has from updates."""

    def __init__(self):
        self.state = {}
        self.revision = 0

    def receive(self, update):
        if not update.applies_to(self.revision):
            return
        for change in update.changes:
            if change.revision <= self.revision:
                continue
            self.state.pop(change.key, None)
            if change.value is not None:
                self.state[change.key] = change.value
        self.revision = update.revision


class ChangeRelayTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.sent = []
        self.relay = change_relay.ChangeRelay(
            self.sent.extend, self.clock, lambda in_scan: in_scan
        )

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_receiver_of_lossy_updates_never_has_a_state_that_never_was(
        self, rng
    ):
        self.setUp()
        states = {0: {}}
        current = {}
        revision = 0
        receiver = Receiver()
        polled = 0
        pending = []
        history = []
        self.relay.record_scan((), 0)
        for _ in range(rng.randint(1, 40)):
            for _ in range(rng.randint(0, 3)):
                revision += 1
                key = rng.choice(KEYS)
                if key in current and rng.random() < 0.4:
                    del current[key]
                    entry = store.Entry(key, b"", store.ABSENT)
                else:
                    current[key] = b"%d" % revision
                    entry = store.Entry(key, current[key], revision)
                states[revision] = dict(current)
                history.append((revision, entry))
            self.clock.now += rng.choice((0.1, 1.0, 4.0))
            found = [entry for at, entry in history if at > polled]
            polled = revision
            if rng.random() < 0.2:
                self.relay.record_scan(
                    [
                        store.Entry(key, value, int(value))
                        for key, value in current.items()
                    ],
                    revision,
                )
            else:
                self.relay.record_changes(found, revision)
            pending += self.sent
            self.sent.clear()
            rng.shuffle(pending)
            for update in pending[: rng.randint(0, len(pending))]:
                for _ in range(rng.randint(0, 2)):
                    receiver.receive(update)
                    self.assertEqual(receiver.state, states[receiver.revision])

    def test_update_after_a_lost_one_makes_up_for_it(self):
        self.relay.record_scan((), 1)
        self.relay.record_changes([store.Entry("p/a", b"1", 2)], 2)
        self.sent.clear()
        self.clock.now += change_relay.REPEAT_WINDOW_S - 0.1
        self.relay.record_changes([store.Entry("p/b", b"1", 3)], 3)
        (update,) = self.sent
        self.assertTrue(update.applies_to(1))
        self.assertEqual([one.key for one in update.changes], ["p/a", "p/b"])

    def test_entry_with_an_impossible_revision_does_not_end_the_relaying(self):
        self.relay.record_scan((), 5)
        odd = store.Entry("p/odd", b"v", store.REVISIONS_PER_ERA - 1)
        self.relay.record_changes((odd,), 6)
        self.clock.now += 2 * change_relay.REPEAT_WINDOW_S
        self.relay.record_changes((store.Entry("p/a", b"v", 7),), 7)
        update = self.sent[-1]
        self.assertTrue(update.applies_to(6))
        self.assertEqual([one.key for one in update.changes], ["p/a"])

    def test_update_of_another_era_does_not_apply(self):
        update = change_relay.Update(
            store.join_era(1, 5), store.join_era(1, 9), ()
        )
        self.assertTrue(update.applies_to(store.join_era(1, 7)))
        self.assertFalse(update.applies_to(store.join_era(2, 1)))
        self.assertFalse(update.applies_to(7))

    def test_many_changes_are_split_into_updates_that_follow_each_other(self):
        self.relay.record_scan((), 1)
        entries = [
            store.Entry(f"p/{number}", b"v" * 300, 2 + number)
            for number in range(200)
        ]
        self.relay.record_changes(entries, 300)
        self.assertGreater(len(self.sent), 5)
        receiver = Receiver()
        receiver.revision = 1
        for update in self.sent:
            self.assertLess(
                len(change_codec.encode(update)),
                2 * change_relay.MAX_UPDATE_BYTES,
            )
            receiver.receive(update)
        self.assertEqual(len(receiver.state), 200)
        self.assertEqual(receiver.revision, 300)

    def test_start_of_many_targets_does_not_fill_slow_links(self):
        self.relay.record_scan((), 1)
        rng = random.Random(1)
        revision = 1
        for _ in range(10):
            entries = []
            for _ in range(25):
                revision += 1
                entries.append(
                    store.Entry(
                        f"servers/i-{rng.getrandbits(40):010x}",
                        make_value(rng),
                        revision,
                    )
                )
            self.relay.record_changes(entries, revision)
            self.relay.resend()
            self.clock.now += 0.8
        data = [change_codec.encode(update) for update in self.sent]
        sent_bytes = sum(map(len, data)) * RECIPIENTS
        self.assertLess(sent_bytes / 8.0, MAX_BYTES_PER_S)
        self.assertLess(max(map(len, data)), MAX_DATAGRAM_BYTES)

    def test_log_of_changes_is_bounded(self):
        self.relay.record_scan((), 1)
        for number in range(5000):
            self.relay.record_changes(
                [store.Entry(f"p/{number}", b"v", 2 + number)], 2 + number
            )
        held = sum(len(update.changes) for update in self.relay.updates())
        self.assertLessEqual(held, change_relay.MAX_LOGGED_CHANGES)

    def test_removal_after_an_outage_is_marked_as_a_possible_lapse(self):
        self.relay.record_scan([store.Entry("p/a", b"v", 1)], 1)
        self.relay.record_scan((), 5)
        (change,) = self.sent[-1].changes
        self.assertIsNone(change.value)
        self.assertTrue(change.may_return)


class ChangeCodecTest(unittest.TestCase):
    update = change_relay.Update(
        4,
        9,
        (
            change_relay.Change("p/a", b"value", 5),
            change_relay.Change("p/b", None, 9, may_return=True),
        ),
    )

    def test_update_is_decoded_as_it_was_encoded(self):
        data = change_codec.encode(self.update)
        self.assertEqual(change_codec.decode(data).unwrap(), self.update)

    def test_truncated_update_is_refused_or_empty(self):
        data = change_codec.encode(self.update)
        for length in range(1, len(data)):
            decoded = change_codec.decode(data[:length])
            if decoded.is_ok():
                self.assertFalse(decoded.unwrap().applies_to(5), length)

    def test_update_with_too_many_changes_is_refused(self):
        message = digest_codec.schema().ChangeUpdate.new_message(revision=9)
        message.init("changes", change_codec.MAX_CHANGES + 1)
        data = change_codec.UPDATE + zlib.compress(message.to_bytes())
        self.assertTrue(change_codec.decode(data).is_err())

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_are_decoded_or_refused(self, data):
        change_codec.decode(change_codec.UPDATE + data)


def make_digest(number, **changes):
    """Returns a digest of an instance of data centre a."""
    fields = {
        "sender": digest_codec.Peer(f"i{number}", "a", "127.0.0.1", 7000),
        "incarnation": 1,
        "sequence": 1,
        "configuration_revision": 0,
        "configuration_version": -1,
        "targets_revision": 0,
        "is_leaving": False,
        "jobs": (),
        "deaths": (),
        "exchanges_changes": True,
        "reaches_store": True,
    }
    return digest_codec.Digest(**(fields | changes))


class PollersTest(unittest.TestCase):
    instances = 20

    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.digests = {n: make_digest(n) for n in range(self.instances)}

    def find_pollers(self, *, lost=(), instances=None):
        """Returns the instances that poll, given those without the store."""
        pollers = []
        for number in self.digests:
            table = peer_table.PeerTable(
                self.digests[number].sender, self.clock
            )
            for other, digest in self.digests.items():
                if other != number:
                    table.record_digest(digest)
            if table.must_poll(reaches_store=number not in lost):
                pollers.append(number)
        return pollers

    def lose_store(self, numbers):
        """Lets digests say that the store does not answer some instances."""
        for number in numbers:
            self.digests[number] = make_digest(number, reaches_store=False)

    def test_two_instances_of_a_data_centre_poll(self):
        self.assertEqual(
            len(self.find_pollers()), peer_table.POLLERS_PER_DATA_CENTRE
        )

    def test_pollers_that_the_store_turns_away_are_replaced(self):
        first = self.find_pollers()
        self.lose_store(first)
        found = self.find_pollers(lost=first)
        serving = [number for number in found if number not in first]
        self.assertEqual(len(serving), peer_table.POLLERS_PER_DATA_CENTRE)
        self.assertTrue(set(first) <= set(found), "they notice its return")

    def test_only_few_instances_call_a_store_that_answers_none(self):
        everyone = list(self.digests)
        self.lose_store(everyone)
        self.assertEqual(
            len(self.find_pollers(lost=everyone)),
            peer_table.POLLERS_PER_DATA_CENTRE,
        )

    def test_peers_of_an_earlier_build_are_not_relied_on(self):
        for number in list(self.digests)[1:]:
            self.digests[number] = make_digest(
                number, exchanges_changes=False, reaches_store=False
            )
        self.assertEqual(
            self.find_pollers(), list(self.digests), "all must poll"
        )

    def test_all_instances_of_a_small_fleet_poll(self):
        self.digests = {
            n: make_digest(n)
            for n in range(peer_table.MIN_FLEET_WITH_RELAYED_CHANGES - 1)
        }
        self.assertEqual(len(self.find_pollers()), len(self.digests))

    def test_silent_pollers_are_replaced(self):
        first = self.find_pollers()
        survivors = [number for number in self.digests if number not in first]
        pollers = []
        for survivor in survivors:
            table = peer_table.PeerTable(
                self.digests[survivor].sender, self.clock
            )
            for number in self.digests:
                if number != survivor:
                    table.record_digest(make_digest(number))
            self.clock.now += peer_table.POLLER_MAX_SILENCE_S + 0.1
            for number in survivors:
                if number != survivor:
                    table.record_digest(make_digest(number, sequence=2))
            if table.must_poll(reaches_store=True):
                pollers.append(survivor)
        self.assertEqual(len(pollers), peer_table.POLLERS_PER_DATA_CENTRE)


class DelegatesTest(unittest.TestCase):
    """The successor of a delegate that can't notice silent connections."""

    def setUp(self):
        self.clock = gateway_parts.Clock()

    def find_delegates(self, instances, *, lost=(), **changes):
        """Returns the instances that take themselves for the delegate.

        The delegate of before is described to the others by other digests.
        """
        first = None
        if changes:
            (first,) = self.find_delegates(instances)
        delegates = []
        for number in range(instances):
            table = peer_table.PeerTable(make_digest(number).sender, self.clock)
            for other in range(instances):
                if other != number:
                    fields = changes if other == first else {}
                    if other in lost:
                        fields = fields | {"reaches_store": False}
                    table.record_digest(make_digest(other, **fields))
            if table.is_delegate(reaches_store=number not in lost):
                delegates.append(number)
        return delegates

    def test_delegate_that_is_leaving_is_replaced_before_it_ends(self):
        for instances in (2, 6, 20):
            found = self.find_delegates(instances, is_leaving=True)
            self.assertEqual(len(found), 2, "the leaving one still polls")

    def test_delegate_that_the_store_turns_away_is_replaced(self):
        for instances in (2, 6, 20):
            (first,) = self.find_delegates(instances)
            found = self.find_delegates(instances, lost=(first,))
            self.assertEqual(len(found), 2, "it notices the store's return")

    def test_only_one_instance_calls_often_if_the_store_answers_none(self):
        everyone = range(6)
        self.assertEqual(
            self.find_delegates(6, lost=everyone), self.find_delegates(6)
        )

    def test_delegate_of_an_earlier_build_is_not_doubled(self):
        changes = {"exchanges_changes": False, "reaches_store": False}
        self.assertEqual(
            self.find_delegates(6, **changes), self.find_delegates(6)
        )

    def test_delegate_that_is_silent_is_replaced_within_1_3_s(self):
        (first,) = self.find_delegates(2)
        table = peer_table.PeerTable(make_digest(1 - first).sender, self.clock)
        table.record_digest(make_digest(first))
        self.assertFalse(table.is_delegate(reaches_store=True))
        self.clock.now += 1.1
        self.assertFalse(table.is_delegate(reaches_store=True), "heartbeats")
        self.clock.now += 0.2
        self.assertTrue(table.is_delegate(reaches_store=True))


class RecordingHandler(test_gateway_following.RecordingHandler):
    """Records changes from peers as well."""

    def apply_relayed_change(self, change):
        self.apply_change(change.to_entry())


class RelyingScenario(unittest.TestCase):
    """Runs scenarios of an instance that relies on its peers."""

    MAX_LAG_S = 0.3

    def make_relayed(self):
        """Returns the exchange of changes with peers, or None."""
        return follower.RelayedChanges(
            change_relay.ChangeRelay(
                lambda updates: None,
                anyio.current_time,
                lambda in_scan: False,
            ),
            self.handler,
        )

    def run_scenario(self, scenario):
        async def main():
            self.must_poll = False
            self.store = test_gateway_following.FakeStore()
            self.handler = RecordingHandler()
            self.follower = follower.Follower(
                self.store,
                follower.Subscription("p/", 0.2, self.MAX_LAG_S),
                self.handler,
                self.handler.on_answer,
                lambda: True,
                random.Random(1),
                lambda: self.must_poll,
                self.make_relayed(),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                await anyio.sleep(follower.PEER_DISCOVERY_S + 0.5)
                await scenario()
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class RelyingFollowerTest(RelyingScenario):
    def write_and_relay(self, key, base=None):
        """Writes a key and delivers it as a peer's update."""
        before = self.store.revision
        self.store.write(key)
        self.follower.apply_update(
            change_relay.Update(
                before if base is None else base,
                self.store.revision,
                (change_relay.Change(key, b"v", self.store.revision),),
            )
        )

    def test_relayed_changes_cost_no_calls(self):
        async def scenario():
            for number in range(20):
                self.write_and_relay(f"p/{number}")
                self.follower.note_peer_revision(self.store.revision)
                await anyio.sleep(1.0)
            self.assertEqual(len(self.handler.keys), 20)
            self.assertEqual(self.store.calls, ["scan"])

        self.run_scenario(scenario)

    def test_change_that_no_update_brings_is_found_by_a_scan(self):
        async def scenario():
            self.store.write("p/a")
            self.follower.note_peer_revision(self.store.revision)
            await anyio.sleep(1.5)
            self.assertIn("p/a", self.handler.keys)

        self.run_scenario(scenario)

    def test_update_after_a_gap_leads_to_a_scan(self):
        async def scenario():
            self.store.write("p/a")
            self.write_and_relay("p/b", base=self.store.revision)
            self.assertNotIn("p/b", self.handler.keys)
            await anyio.sleep(0.7)
            self.assertEqual(set(self.handler.keys), {"p/a", "p/b"})

        self.run_scenario(scenario)

    def test_instance_that_must_poll_scans_first(self):
        async def scenario():
            self.store.write("p/a")
            self.must_poll = True
            await anyio.sleep(1.0)
            self.assertIn("p/a", self.handler.keys)
            self.assertEqual(self.store.calls[:2], ["scan", "scan"])
            self.store.write("p/b")
            await anyio.sleep(0.1)
            self.assertIn("p/b", self.handler.keys)

        self.run_scenario(scenario)

    def test_update_during_a_poll_is_left_to_the_poll(self):
        async def scenario():
            self.must_poll = True
            await anyio.sleep(1.0)
            revision = self.store.revision
            applied = self.follower.apply_update(
                change_relay.Update(revision, revision + 1, ())
            )
            self.assertFalse(applied)

        self.run_scenario(scenario)


class RelyingOnFetchesTest(RelyingScenario):
    """An instance that gets configurations from peers, not from the store."""

    MAX_LAG_S = 1.0

    def make_relayed(self):
        return None

    def test_fetched_changes_cost_no_calls(self):
        async def scenario():
            for number in range(5):
                self.store.write(f"p/{number}")
                self.follower.note_peer_revision(self.store.revision)
                await anyio.sleep(0.5)
                self.follower.note_received(self.store.revision)
                await anyio.sleep(2.0)
            self.assertEqual(self.store.calls, ["scan"])

        self.run_scenario(scenario)

    def test_change_that_is_not_fetched_is_scanned_within_2_s(self):
        async def scenario():
            self.store.write("p/a")
            self.follower.note_peer_revision(self.store.revision)
            await anyio.sleep(2.0)
            self.assertIn("p/a", self.handler.keys)

        self.run_scenario(scenario)

    def test_revision_of_a_later_era_is_scanned_at_once(self):
        # Registrations may be lost, so the store must be asked.
        async def scenario():
            self.follower.note_peer_revision(store.join_era(1, 1))
            await anyio.sleep(2 * follower.RESTORED_SPREAD_S)
            self.assertEqual(self.store.calls, ["scan", "scan"])

        self.run_scenario(scenario)


class LargeFleetCallsTest(unittest.TestCase):
    def test_change_of_a_target_does_not_cost_a_call_an_instance(self):
        world = restored_fleet.World(1, LARGE_FLEET)
        trio.run(
            world.run_calm,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        self.assertGreater(world.target_changes, 10)
        self.assertEqual(world.problems, [])
        limit = MAX_CALLS_PER_INSTANCE_AND_CHANGE * LARGE_FLEET
        self.assertLess(world.target_calls / world.target_changes, limit)

    def test_change_of_the_configuration_does_not_cost_a_call_an_instance(self):
        world = restored_fleet.World(2, LARGE_FLEET)
        trio.run(
            functools.partial(
                world.run_calm, changes=0, configuration_changes=8
            ),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        self.assertEqual(world.problems, [])
        # Long polls of the pollers that end without a change count as well.
        limit = MAX_CALLS_PER_INSTANCE_AND_CHANGE * LARGE_FLEET
        self.assertLess(
            world.configuration_calls / world.configuration_changes, limit
        )


if __name__ == "__main__":
    unittest.main()
