"""Tests that evidence about data centres reaches the decision and back."""

import asyncio
import unittest
from unittest import mock

import attrs

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.wiring import known_state
from cardamomfork._internal.gateway.wiring import request_path
from cardamomfork._internal.gateway.wiring import target_side
from cardamomfork._internal.links import held_memory
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts


class Process:
    """The wired parts of an instance, with a clock that tests set."""

    def __init__(self, peers):
        self.clock = gateway_parts.Clock()
        self.known = attrs.evolve(
            known_state.create(
                gateway_parts.make_settings(),
                wire_format.WireFormat(),
                mock.create_autospec(store.PolledStore, instance=True),
            ),
            clock=self.clock,
        )
        self.targets = target_side.create(self.known)
        self.requests = request_path.create(
            self.known, self.targets, held_memory.make_memory()
        )
        self.reach = self.targets.access.data_centres
        self.peers = [
            digest_codec.Peer(
                f"{name}{number}", name, "127.0.0.1", 7000 + number
            )
            for number, name in enumerate(peers)
        ]
        for peer in self.peers:
            self.known.peer_table.upsert(peer)
        for number, name in enumerate("abbbb"):
            self.known.target_table.put(
                gateway_parts.make_record(number, data_centre=name)
            )

    def tick(self):
        self.reach.tick(
            self.clock(),
            self.known.peer_table.count,
            self.known.peer_table.known_count,
        )

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.now += 0.05
            self.tick()

    def receive(self, peer, *, is_leaving=False):
        digest = digest_codec.Digest(
            peer, 1, int(self.clock() * 1000), 0, 0, 0, is_leaving, (), ()
        )
        self.requests.peers.links.datagram_received(
            peer_links.NO_RELAY + digest_codec.encode(digest, self.clock()),
            (peer.host, peer.port),
        )


class DataCentreWiringTest(unittest.TestCase):
    def run_process(self, peers, scenario):
        async def main():
            scenario(Process(peers))

        asyncio.run(main())

    def test_evidence_excludes_a_data_centre_until_a_digest_arrives(self):
        # A part that is not connected would leave all decisions as before.
        def scenario(process):
            process.tick()
            process.receive(process.peers[0])
            process.receive(process.peers[-1])
            process.pass_time(1.0)
            known = {one["data_centre"] for one in process.reach.dump(0.0)}
            self.assertEqual(known, {"b"})
            pool = process.targets.access.pool
            for target_id in ("t1", "t2"):
                record = process.known.target_table.find(target_id).record
                pool._on_failed(record, False)
            self.assertTrue(process.reach.is_excluded("b", process.clock()))
            placer = process.requests.scheduler._placer
            for _ in range(20):
                chosen = placer.choose(
                    gateway_parts.make_demand(), process.clock()
                )
                self.assertIsInstance(chosen, placement.Placement)
                self.assertEqual(chosen.target.record.data_centre, "a")
            with mock.patch.object(
                process.requests.scheduler, "_try_decide"
            ) as try_decide:
                process.requests.scheduler._waiters.append(mock.Mock())
                process.receive(process.peers[-1])
                try_decide.assert_called()
            self.assertFalse(process.reach.is_excluded("b", process.clock()))

        self.run_process("aaaaaabbbbbbb", scenario)

    def test_failures_of_a_cut_are_forgotten_at_its_end(self):
        # Paused targets would leave a data centre unused for seconds more.
        def scenario(process):
            process.tick()
            process.pass_time(1.0)
            table = process.known.target_table
            now = process.clock()
            table.find("t1").paused_until = now + 4.0
            table.find("t0").paused_until = now + 4.0
            for target_id in ("t1", "t2"):
                process.reach.record_failure("b", target_id, now)
            process.reach.start_probe("b", now)
            process.reach.end_probe("b", now, now, is_open=False)
            process.receive(process.peers[-1])
            self.assertTrue(table.find("t1").is_usable(now))
            self.assertFalse(table.find("t0").is_usable(now))

        self.run_process("aaaaaabbbbbbb", scenario)

    def test_probes_of_a_cut_data_centre_raise_no_doubt_of_isolation(self):
        # Each doubt costs connections to engines, once a second in a cut.
        def scenario(process):
            process.pass_time(1.0)
            access = process.targets.access
            now = process.clock()
            for target_id in ("t1", "t2"):
                process.reach.record_failure("b", target_id, now)
            record = process.known.target_table.find("t3").record
            with mock.patch.object(access.reach, "record_failure") as doubt:
                access.pool._on_failed(record, True)
                doubt.assert_not_called()
                # Without a target elsewhere, the instance may be isolated.
                process.known.target_table.remove("t0", now, may_return=False)
                access.pool._on_failed(record, True)
                doubt.assert_called_once_with()

        self.run_process("aaaaaabbbbbbb", scenario)

    def test_small_fleet_is_served_as_before(self):
        # Eleven peers and this instance are one too few.
        def scenario(process):
            process.pass_time(1.0)
            process.receive(process.peers[-1])
            pool = process.targets.access.pool
            for number in range(1, 5):
                record = process.known.target_table.find(f"t{number}").record
                pool._on_failed(record, False)
            process.pass_time(5.0)
            self.assertFalse(process.reach.unreachable(process.clock()))
            self.assertEqual(process.reach.dump(process.clock()), [])

        self.run_process("aaaaabbbbbb", scenario)


if __name__ == "__main__":
    unittest.main()
