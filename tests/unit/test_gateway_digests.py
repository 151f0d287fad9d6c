"""Tests of the delivery of digests to peers, directly and by relays."""

import asyncio
import collections
import random
import unittest
from unittest import mock

import attrs

from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.peers import change_codec
from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import digest_recipients
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.gateway.store import change_relay
from cardamomfork._internal.gateway.store import key_set
from cardamomfork._internal.platform import wire_format
from cardamomfork._internal.standins import platform_site
from tests.lib import gateway_parts

LARGE_FLEET = {"a": 8, "b": 7, "c": 6}
SMALL_FLEET = {"a": 3, "b": 3, "c": 3}


class FakeFollower:
    """Replaces the follower of the targets' entries."""

    last_change_revision = 0

    def __init__(self):
        self.peer_revision = 0
        self.known_keys = key_set.KnownKeys(1, 2**64 - 1)
        self.peer_keys = None
        self.updates = []

    def apply_update(self, update):
        self.updates.append(update)
        return True

    def note_peer_revision(self, revision):
        self.peer_revision = max(self.peer_revision, revision)

    def note_peer_keys(self, known):
        self.peer_keys = known


@attrs.define(eq=False, slots=False)
class Instance:
    """An instance on a simulated network without delays."""

    network: "Network"
    peer: digest_codec.Peer
    load: load_view.LoadView = attrs.field(factory=load_view.LoadView)
    guard: poison_guard.PoisonGuard = attrs.field(
        factory=poison_guard.PoisonGuard
    )

    def __attrs_post_init__(self):
        clock = self.network.clock
        self.digests = []
        self.table = peer_table.PeerTable(self.peer, clock)
        wire = wire_format.WireFormat()
        self.configuration_follower = FakeFollower()
        self.targets_follower = FakeFollower()
        self.evacuations = evacuations.Evacuations(
            is_enabled=True, on_change=self.notify_evacuation
        )
        self.evacuations.apply_scan((), 1)
        self.targets = target_table.TargetTable()
        self.limits = rate_limits.RateLimits(self.targets, clock)
        self.state = state = fleet_state.FleetState(wire, self.targets, clock)
        self.links = peer_links.PeerLinks(
            self.peer,
            self.table,
            digest_recipients.RecipientSelector(
                self.peer.data_centre, self.table, random.Random(self.peer.port)
            ),
            self.load,
            state,
            configuration_fetching.ConfigurationFetcher(
                state,
                configuration_fetching.HttpTransport(),
                random.Random(1),
                lambda: None,
            ),
            self.guard,
            self.limits,
            gateway_parts.make_permits(self.limits, clock),
            cold_targets.ColdTargets(self.targets, clock),
            self.configuration_follower,
            self.targets_follower,
            clock,
            lambda: None,
            orders=self.evacuations,
            on_digest=self.digests.append,
        )
        self.links.connection_made(self)

    def notify_evacuation(self):
        self.links.notify_evacuation()

    def is_closing(self):
        return False

    def sendto(self, data, address):
        self.network.send(self.peer, data, address)

    def start_job(self, job_id):
        """Starts a job and sends a digest."""
        self.load.start(
            load_view.Job(job_id, "t0", (), 9000, 100, 1.0, 1.0, 0.0)
        )
        self.links.send()

    def has_remote_jobs(self, other):
        """Returns whether this instance knows jobs of its peers."""
        load = self.load.load("t0", self.network.clock())
        local_jobs = len(self.load.local_jobs)
        del other
        return load.running > local_jobs


class LateLoop:
    """An event loop that is late, as uvloop behaves then."""

    def __init__(self):
        self.scheduled = []

    def time(self):
        return 1.0

    def call_at(self, when, callback):
        del when
        self.scheduled.append(callback)
        return asyncio.Handle(callback, (), self)

    def get_debug(self):
        return False


class Network:
    """Queues datagrams and counts those sent between data centres."""

    def __init__(self, sizes):
        self.clock = gateway_parts.Clock()
        self.cross_centre_count = 0
        self.received = collections.Counter()
        self.dead = set()
        self.last_data = b""
        self.instances = {}
        self._queue = collections.deque()
        port = 7000
        for data_centre, count in sizes.items():
            for number in range(count):
                port += 1
                peer = digest_codec.Peer(
                    f"{data_centre}{number}", data_centre, "127.0.0.1", port
                )
                self.instances[port] = Instance(self, peer)
        self._exchange_first_digests()

    @property
    def all(self):
        return list(self.instances.values())

    def send(self, sender, data, address):
        self.last_data = data
        receiver = self.instances[address[1]]
        if receiver.peer.data_centre != sender.data_centre:
            self.cross_centre_count += 1
        if receiver.peer.port not in self.dead:
            self._queue.append((receiver, data, sender))

    def deliver(self):
        while self._queue:
            receiver, data, sender = self._queue.popleft()
            self.received[receiver.peer.instance_id] += 1
            receiver.links.datagram_received(data, (sender.host, sender.port))

    def _exchange_first_digests(self):
        """Adds all peers to each table and sends the first digests."""
        for instance in self.all:
            for other in self.all:
                if other is not instance:
                    instance.table.upsert(other.peer)
        for instance in self.all:
            instance.links.send()
            self.deliver()
        self.cross_centre_count = 0
        self.received.clear()


def run_scenario(scenario):
    """Runs a scenario on an event loop."""

    async def main():
        scenario()

    asyncio.run(main())


class DigestDeliveryTest(unittest.TestCase):
    def test_digest_reaches_each_peer_once_with_one_copy_a_remote_centre(self):
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]
            first.start_job("job")
            network.deliver()
            for other in network.all[1:]:
                self.assertTrue(other.has_remote_jobs(first), other.peer)
            counts = network.received
            self.assertEqual(set(counts.values()), {1})
            self.assertEqual(len(counts), len(network.all) - 1)
            self.assertEqual(network.cross_centre_count, 2)

        run_scenario(scenario)

    def test_relayed_digest_is_reported_once_with_its_original_sender(self):
        # A relay's own data centre would show nothing about a partition.
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]
            for other in network.all:
                other.digests.clear()
            first.start_job("job")
            network.deliver()
            # A copy that arrives late shows no reach at present.
            for other in network.all[1:]:
                other.links.datagram_received(
                    network.last_data, ("127.0.0.1", first.peer.port)
                )
                self.assertEqual(
                    [digest.sender for digest in other.digests], [first.peer]
                )

        run_scenario(scenario)

    def test_update_reaches_the_peers_of_its_data_centre(self):
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]
            update = change_relay.Update(
                3, 9, (change_relay.Change("servers/t1", b"v", 5),)
            )
            first.links.send_updates((update,))
            network.deliver()
            for other in network.all[1:]:
                is_local = other.peer.data_centre == first.peer.data_centre
                self.assertEqual(
                    other.targets_follower.updates, [update] * is_local
                )

        run_scenario(scenario)

    def test_malformed_update_is_dropped(self):
        def scenario():
            network = Network(SMALL_FLEET)
            receiver = network.all[0]
            receiver.links.datagram_received(
                change_codec.UPDATE + b"\xff", ("127.0.0.1", 1)
            )
            self.assertEqual(receiver.targets_follower.updates, [])

        run_scenario(scenario)

    def test_small_fleet_sends_to_every_peer_directly(self):
        def scenario():
            network = Network(SMALL_FLEET)
            network.all[0].start_job("job")
            network.deliver()
            self.assertEqual(network.cross_centre_count, 6)
            self.assertEqual(sum(network.received.values()), 8)

        run_scenario(scenario)

    def test_dead_relays_lose_only_single_digests(self):
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]
            in_data_centre_b = [
                i for i in network.all if i.peer.data_centre == "b"
            ]
            network.dead = {one.peer.port for one in in_data_centre_b[:3]}
            for _ in range(12):
                first.start_job("job")
                network.deliver()
            for other in in_data_centre_b[3:]:
                self.assertTrue(other.has_remote_jobs(first), other.peer)

        run_scenario(scenario)

    def test_rapid_digests_do_not_repeat_crash_reports(self):
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]

            def count_sent_reports():
                first.links.send()
                decoded = digest_codec.decode(network.last_data[1:], 0.0)
                return len(decoded.ok_value.deaths)

            for number in range(2):
                target = gateway_parts.make_record(number)
                first.guard.add_suspect(7, target, network.clock.now)
                first.guard.confirm_crash(target, network.clock.now)
                first.links.notify_crash()
                self.assertEqual(count_sent_reports(), number + 1)
            for _ in range(50):
                self.assertEqual(count_sent_reports(), 0)
            network.clock.now += peer_links.CRASH_REPORT_INTERVAL_S
            self.assertEqual(count_sent_reports(), 2)
            network.deliver()
            for other in network.all:
                self.assertEqual(other.guard.crash_count(7), 2)

        run_scenario(scenario)

    def test_order_reaches_all_peers_and_is_repeated(self):
        # Guards against an instance that hears of an order only from the store,
        # and against one that a single lost datagram leaves without it.
        def scenario():
            network = Network(LARGE_FLEET)
            first, deaf = network.all[0], network.all[1]
            network.dead = {deaf.peer.port}
            order = evacuations.Change("b", 7)
            first.evacuations.apply_changes([order], 7)
            first.links.send()
            network.deliver()
            network.dead = set()
            for other in network.all:
                self.assertEqual(
                    other.evacuations.active,
                    frozenset() if other is deaf else frozenset("b"),
                )
            first.links.send()
            self.assertEqual(self.last_evacuations(network), ())
            network.clock.now += peer_links.EVACUATION_REPORT_INTERVAL_S
            first.links.send()
            self.assertEqual(len(self.last_evacuations(network)), 1)
            network.deliver()
            self.assertEqual(deaf.evacuations.active, frozenset("b"))

        run_scenario(scenario)

    def last_evacuations(self, network):
        decoded = digest_codec.decode(network.last_data[1:], 0.0)
        return decoded.unwrap().evacuations

    def test_digest_tells_peers_what_its_sender_has_received(self):
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]
            value = platform_site.make_configuration(1, (), (), {})
            first.state.apply_configuration(value, 120, "store")
            first.links.send()
            network.deliver()
            for other in network.all[1:]:
                self.assertEqual(
                    other.configuration_follower.peer_revision, 120
                )
                self.assertEqual(
                    other.targets_follower.peer_keys,
                    first.targets_follower.known_keys,
                )

        run_scenario(scenario)

    def test_silent_peer_is_not_chosen_as_relay(self):
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]
            network.clock.now += digest_recipients.RELAY_MAX_SILENCE_S + 0.1
            active = [i for i in network.all if i.peer.instance_id != "b0"]
            for instance in active:
                instance.links.send()
                network.deliver()
            selector = digest_recipients.RecipientSelector(
                "a", first.table, random.Random(1)
            )
            chosen = {
                relay.instance_id
                for _ in range(60)
                for relay in selector.select().relays
            }
            self.assertNotIn("b0", chosen)
            self.assertGreater(len(chosen), 8)

        run_scenario(scenario)

    def test_malformed_datagram_is_not_relayed(self):
        def scenario():
            network = Network(LARGE_FLEET)
            first = network.all[0]
            for data in (b"", b"\1", b"\1garbage", b"\7"):
                first.links.datagram_received(data, ("127.0.0.1", 7002))
            network.deliver()
            self.assertEqual(sum(network.received.values()), 0)

        run_scenario(scenario)


class ForwardingPeersTest(unittest.TestCase):
    def test_all_instances_learn_who_reaches_targets(self):
        for sizes in (SMALL_FLEET, {"a": 29, "b": 29, "c": 28}):
            network = Network(sizes)
            cut_off = network.all[::3]
            for instance in network.all:
                is_reaching = instance not in cut_off
                instance.links._reaches_targets = lambda value=is_reaching: (
                    value
                )
                instance.links._count_open_requests = lambda: 7
                instance.links.send()
            network.deliver()
            expected = {
                one.peer.instance_id
                for one in network.all
                if one not in cut_off
            }
            for instance in network.all:
                found = instance.table.forwarding_peers(2.2)
                self.assertEqual(
                    {one.peer.instance_id for one in found},
                    expected - {instance.peer.instance_id},
                )
                self.assertEqual({one.open_requests for one in found}, {7})


class LateTimerTest(unittest.TestCase):
    def test_changes_on_a_late_event_loop_do_not_end_the_process(self):
        instance = Network(SMALL_FLEET).all[0]
        loop = LateLoop()
        with mock.patch.object(asyncio, "get_running_loop", return_value=loop):
            instance.links.notify()
            instance.links.notify(is_urgent=True)
        self.assertEqual(len(loop.scheduled), 1)


if __name__ == "__main__":
    unittest.main()
