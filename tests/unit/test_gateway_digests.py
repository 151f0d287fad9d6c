"""Digests reach every peer, and cross between data centres few times."""

import asyncio
import collections
import random
import unittest

import attrs

from cardamomfork._internal.gateway import digest_codec
from cardamomfork._internal.gateway import digest_routes
from cardamomfork._internal.gateway import fleet_state
from cardamomfork._internal.gateway import load_view
from cardamomfork._internal.gateway import peer_table
from cardamomfork._internal.gateway import peers
from cardamomfork._internal.gateway import poison_guard
from cardamomfork._internal.gateway import target_table
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts

MANY = {"a": 8, "b": 7, "c": 6}
FEW = {"a": 3, "b": 3, "c": 3}


class Targets:
    """Stands for what follows the targets' entries."""

    changed_at = 0

    def hear(self, revision):
        del revision


@attrs.define(eq=False, slots=False)
class Instance:
    """An instance on a network without delays."""

    network: "Network"
    own: digest_codec.Peer
    load: load_view.LoadView = attrs.field(factory=load_view.LoadView)

    def __attrs_post_init__(self):
        clock = self.network.clock
        self.table = peer_table.PeerTable(self.own, clock)
        wire = wire_format.WireFormat()
        self.links = peers.PeerLinks(
            self.own,
            self.table,
            digest_routes.DigestRoutes(
                self.own.data_centre, self.table, random.Random(self.own.port)
            ),
            self.load,
            fleet_state.FleetState(wire, target_table.TargetTable(), clock),
            poison_guard.PoisonGuard(),
            Targets(),
            clock,
            lambda: None,
        )
        self.links.connection_made(self)

    def is_closing(self):
        return False

    def sendto(self, data, address):
        self.network.send(self.own, data, address)

    def place(self, job_id):
        """Places a job and tells the peers."""
        self.load.start(
            load_view.Job(job_id, "t0", (), 9000, 100, 1.0, 1.0, 0.0)
        )
        self.links.send()

    def sees(self, other):
        """Whether it knows of another's jobs."""
        load = self.load.load("t0", self.network.clock())
        own = len(self.load.local_jobs)
        del other
        return load.running > own


class Network:
    """Delivers datagrams at once, and counts those between data centres."""

    def __init__(self, sizes):
        self.clock = gateway_parts.Clock()
        self.crossed = 0
        self.received = collections.Counter()
        self.dead = set()
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
        self._meet()

    @property
    def all(self):
        return list(self.instances.values())

    def send(self, sender, data, address):
        receiver = self.instances[address[1]]
        if receiver.own.data_centre != sender.data_centre:
            self.crossed += 1
        if receiver.own.port not in self.dead:
            self._queue.append((receiver, data, sender))

    def deliver(self):
        while self._queue:
            receiver, data, sender = self._queue.popleft()
            self.received[receiver.own.instance_id] += 1
            receiver.links.datagram_received(data, (sender.host, sender.port))

    def _meet(self):
        """Lets each hear each: first words go straight, from the entries."""
        for instance in self.all:
            for other in self.all:
                if other is not instance:
                    instance.table.learn(other.own)
        for instance in self.all:
            instance.links.send()
            self.deliver()
        self.crossed = 0
        self.received.clear()


def run(scenario):
    """Runs a scenario on an event loop."""

    async def main():
        scenario()

    asyncio.run(main())


class DigestRoutesTest(unittest.TestCase):
    def test_digest_reaches_each_peer_once_and_crosses_twice(self):
        def scenario():
            network = Network(MANY)
            first = network.all[0]
            first.place("job")
            network.deliver()
            for other in network.all[1:]:
                self.assertTrue(other.sees(first), other.own)
            counts = network.received
            self.assertEqual(set(counts.values()), {1})
            self.assertEqual(len(counts), len(network.all) - 1)
            self.assertEqual(network.crossed, 2)

        run(scenario)

    def test_few_instances_are_each_told_straight(self):
        def scenario():
            network = Network(FEW)
            network.all[0].place("job")
            network.deliver()
            self.assertEqual(network.crossed, 6)
            self.assertEqual(sum(network.received.values()), 8)

        run(scenario)

    def test_dead_relays_cost_single_digests(self):
        def scenario():
            network = Network(MANY)
            first = network.all[0]
            there = [i for i in network.all if i.own.data_centre == "b"]
            network.dead = {one.own.port for one in there[:3]}
            for _ in range(12):
                first.place("job")
                network.deliver()
            for other in there[3:]:
                self.assertTrue(other.sees(first), other.own)

        run(scenario)

    def test_peer_that_has_not_been_heard_lately_passes_nothing_on(self):
        def scenario():
            network = Network(MANY)
            first = network.all[0]
            network.clock.now += digest_routes.FRESH_S + 0.1
            awake = [i for i in network.all if i.own.instance_id != "b0"]
            for instance in awake:
                instance.links.send()
                network.deliver()
            routes = digest_routes.DigestRoutes(
                "a", first.table, random.Random(1)
            )
            chosen = {
                relay.instance_id
                for _ in range(60)
                for relay in routes.choose().relays
            }
            self.assertNotIn("b0", chosen)
            self.assertGreater(len(chosen), 8)

        run(scenario)

    def test_malformed_datagram_is_not_passed_on(self):
        def scenario():
            network = Network(MANY)
            first = network.all[0]
            for data in (b"", b"\1", b"\1garbage", b"\7"):
                first.links.datagram_received(data, ("127.0.0.1", 7002))
            network.deliver()
            self.assertEqual(sum(network.received.values()), 0)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
