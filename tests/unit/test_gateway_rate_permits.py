"""Tests that all instances together keep to the limit of a target."""

import math
import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies
import trio.testing

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.peers import permit_issuing
from cardamomfork._internal.gateway.peers import rate_permits
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.models import forwarding
from tests.lib import gateway_parts
from tests.lib import seeds

WINDOW_S = 4.0
DELAY_S = 0.0015
SETTLE_S = 3.0
TARGET = gateway_parts.make_record(1)
LATER = gateway_parts.make_record(1, started_at_ms=2)
"""The target after it has started again under its id."""


def allowed(limit_per_s):
    """Returns the most requests that the users allow in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_in_a_window(times):
    """Returns the most of some sorted times that lie in one window."""
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


def make_head(limit_per_s, **changes):
    """Returns the head of a target's answer."""
    fields = {"is_signed": True, "rate_limit_per_s": limit_per_s}
    return forwarding.ResponseHead(200, (), **(fields | changes))


def find_owner(names, target_id):
    """Returns the one of some instances that issues a target's permits."""
    peers = [digest_codec.Peer(name, "a", "127.0.0.1", 1) for name in names]
    table = peer_table.PeerTable(peers[0], lambda: 0.0)
    for peer in peers[1:]:
        table.record_digest(
            digest_codec.Digest(peer, *(7, 1, 0, 0, 0, False, (), ()), ())
        )
    owner = table.find_owner(target_id)
    return names[0] if owner is None else owner.instance_id


def make_request(limit_per_s=1.0, max_wait_s=0.0):
    """Returns a request for a permit."""
    return permit_codec.PermitRequest(1, "t1", 1, limit_per_s, max_wait_s)


class Instance:
    """An instance on a simulated network."""

    def __init__(self, network, number, record):
        self.network = network
        self.record = record
        self.peer = digest_codec.Peer(f"i{number}", "a", "127.0.0.1", number)
        self.peers = peer_table.PeerTable(self.peer, anyio.current_time)
        self.targets = target_table.TargetTable()
        self.targets.put(record)
        self.limits = rate_limits.RateLimits(
            self.targets, anyio.current_time, self.report
        )
        self.permits = rate_permits.RatePermits(
            self.limits, self.peers.find_owner, self.send, anyio.current_time
        )
        self.sequence = 0

    def send(self, data, address):
        if address[1] not in self.network.dead:
            self.network.deliver(self, data, address)

    def report(self):
        """Sends the limits in a digest to all peers."""
        self.sequence += 1
        digest = digest_codec.Digest(
            self.peer,
            *(7, self.sequence, 0, 0, 0, False, (), ()),
            self.limits.reports(),
        )
        digest = digest_codec.decode(
            digest_codec.encode(digest, 0.0), 0.0
        ).ok_value
        for other in self.network.instances:
            if other is not self:
                self.send(digest, (other.peer.host, other.peer.port))

    def receive(self, data, address):
        if isinstance(data, digest_codec.Digest):
            if self.peers.record_digest(data):
                for limit in data.rate_limits:
                    self.limits.merge(limit)
        elif data.startswith(permit_codec.REQUEST):
            self.permits.receive_request(data, address)
        else:
            self.permits.receive_answer(data)


class Network:
    """Instances that send requests to one target with a limit.

    Args:
        count: Number of instances.
        limit_per_s: The limit.
        tasks: Runs deliveries and requests.
        behind: Numbers of the instances that know an earlier process of it.
    """

    def __init__(self, count, limit_per_s, tasks, behind=()):
        self.limit_per_s = limit_per_s
        self.dead = set()
        self.arrivals = []
        self.senders = []
        self._tasks = tasks
        self._rng = random.Random(count)
        self.instances = [
            Instance(self, number, TARGET if number in behind else LATER)
            for number in range(count)
        ]
        for instance in self.instances:
            instance.report()

    def deliver(self, sender, data, address):
        async def receive():
            await anyio.sleep(DELAY_S * (0.5 + self._rng.random()))
            self.instances[address[1]].receive(
                data, (sender.peer.host, sender.peer.port)
            )

        self._tasks.start_soon(receive)

    async def send_requests(self, pause_s):
        """Sends requests from random instances until cancelled."""
        while True:
            instance = self._rng.choice(self.instances)
            if instance.peer.port not in self.dead:
                self._tasks.start_soon(self.send_request, instance)
            await anyio.sleep(pause_s * 2 * self._rng.random())

    async def send_request(self, instance):
        target = instance.targets.find("t1")
        if target.permit_wait_s(anyio.current_time()):
            return
        if await instance.permits.acquire(instance.record, 0.0):
            self.arrivals.append(anyio.current_time())
            self.senders.append(instance.peer.port)
            await anyio.sleep(0.05)
            instance.limits.record_answer(
                instance.record, make_head(self.limit_per_s)
            )

    async def send_heartbeats(self):
        """Sends a digest of each live instance every second."""
        while True:
            for instance in self.instances:
                if instance.peer.port not in self.dead:
                    instance.report()
            await anyio.sleep(1.0)


class FleetLimitTest(unittest.TestCase):
    def run_fleet(self, count, limit_per_s, seconds, act=None, behind=()):
        """Runs a fleet; returns the arrivals after the limit has settled."""

        async def main():
            async with anyio.create_task_group() as tasks:
                self.network = Network(count, limit_per_s, tasks, behind)
                tasks.start_soon(self.network.send_heartbeats)
                await anyio.sleep(0.1)
                tasks.start_soon(self.network.send_requests, 0.02)
                if act:
                    tasks.start_soon(act)
                await anyio.sleep(seconds)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [at for at in self.network.arrivals if at > SETTLE_S]

    def test_limit_is_kept_and_used_by_any_number_of_instances(self):
        for count, limits in ((6, (0.5, 1.0, 10.0)), (9, (1.3,)), (86, (1.0,))):
            seconds = 10.0 if count == 86 else 20.0
            for limit_per_s in limits:
                with self.subTest(instances=count, limit=limit_per_s):
                    times = self.run_fleet(count, limit_per_s, seconds)
                    self.assertLessEqual(
                        most_in_a_window(times), allowed(limit_per_s)
                    )
                    expected = limit_per_s * (seconds - SETTLE_S)
                    self.assertGreater(len(times), 0.7 * expected - 1)

    def test_limit_is_kept_while_owners_die_in_turn(self):
        async def kill_owners():
            for _ in range(4):
                await anyio.sleep(5.0)
                survivor = next(
                    one
                    for one in self.network.instances
                    if one.peer.port not in self.network.dead
                )
                owner = survivor.peers.find_owner("t1") or survivor.peer
                self.network.dead.add(owner.port)

        for limit_per_s in (1.0, 10.0):
            with self.subTest(limit=limit_per_s):
                times = self.run_fleet(9, limit_per_s, 30.0, kill_owners)
                self.assertLessEqual(
                    most_in_a_window(times), allowed(limit_per_s)
                )
                self.assertGreater(times[-1], 25.0)

    def test_limit_is_kept_while_instances_know_an_earlier_process(self):
        # Guards against a second schedule of permits for a target that has
        # started again, while the store turns some instances away.
        names = [f"i{number}" for number in range(3)]
        owner = names.index(find_owner(names, "t1"))
        others = [number for number in range(3) if number != owner]
        for behind in ((others[0],), (owner,), tuple(others)):
            with self.subTest(behind=behind, owner=owner):
                times = self.run_fleet(3, 10.0, 20.0, behind=behind)
                self.assertLessEqual(most_in_a_window(times), allowed(10.0))
                expected = 10.0 * (20.0 - SETTLE_S)
                self.assertGreater(len(times), 0.7 * expected)
                for number in range(3):
                    served = self.network.senders.count(number)
                    self.assertGreater(served, 0.1 * expected, "starved")

    def test_limit_is_kept_while_owners_die_that_know_different_processes(self):
        # Guards against schedules that differ after the owner has changed.
        async def kill_owner():
            await anyio.sleep(8.0)
            names = [one.peer.instance_id for one in self.network.instances]
            self.network.dead.add(names.index(find_owner(names, "t1")))

        times = self.run_fleet(6, 10.0, 25.0, kill_owner, behind=(0, 2, 4))
        self.assertLessEqual(most_in_a_window(times), allowed(10.0))
        self.assertGreater(times[-1], 24.0)

    def test_lower_limit_replaces_a_higher_one(self):
        async def lower():
            await anyio.sleep(10.0)
            self.network.limit_per_s = 1.0

        times = self.run_fleet(6, 20.0, 25.0, lower)
        late = [at for at in times if at > 10.0 + SETTLE_S]
        self.assertLessEqual(most_in_a_window(late), allowed(1.0))
        self.assertGreater(len(late), 6)

    def test_requests_are_unlimited_after_the_limit_has_ended(self):
        async def end():
            await anyio.sleep(10.0)
            self.network.limit_per_s = None

        times = self.run_fleet(6, 1.0, 20.0, end)
        self.assertGreater(len([at for at in times if at > 14.0]), 100)


class RateLimitsTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.table = target_table.TargetTable()
        self.table.put(TARGET)
        self.changes = []
        self.limits = rate_limits.RateLimits(
            self.table, self.clock, lambda: self.changes.append(1)
        )

    def test_new_process_under_the_same_id_has_no_limit(self):
        self.limits.record_answer(TARGET, make_head(1.0))
        reborn = gateway_parts.make_record(1, started_at_ms=2)
        self.table.put(reborn)
        self.assertIsNone(self.limits.rate(reborn))
        self.limits.merge(rate_limits.RateLimitReport("t1", 1, 1.0, 0.1, False))
        self.assertIsNone(self.limits.rate(reborn))

    def test_unsigned_or_failed_answer_does_not_end_a_limit(self):
        self.limits.record_answer(TARGET, make_head(1.0))
        for head in (
            make_head(None, is_signed=False),
            forwarding.ResponseHead(503, (), is_not_executed=True),
        ):
            self.limits.record_answer(TARGET, head)
            self.clock.now += 10.0
            self.assertEqual(self.limits.rate(TARGET), 1.0)

    def test_older_report_does_not_end_a_limit(self):
        self.limits.record_answer(TARGET, make_head(1.0))
        self.limits.merge(rate_limits.RateLimitReport("t1", 1, 1.0, 0.5, True))
        self.clock.now += 10.0
        self.assertEqual(self.limits.rate(TARGET), 1.0)

    def test_limit_is_reported_by_the_instance_that_received_it_last(self):
        self.limits.record_answer(TARGET, make_head(1.0))
        self.assertEqual(len(self.limits.reports()), 1)
        self.clock.now += 1.0
        self.limits.merge(rate_limits.RateLimitReport("t1", 1, 1.0, 0.1, False))
        self.assertEqual(self.limits.reports(), ())

    def test_only_changes_are_urgent(self):
        for limit_per_s in (1.0, 1.0, 2.0, None, None):
            self.limits.record_answer(TARGET, make_head(limit_per_s))
        self.assertEqual(len(self.changes), 3)


class PermitIssuerTest(unittest.TestCase):
    @seeds.STEADY
    @hypothesis.given(
        strategies.floats(0.1, 50.0),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 1.0), strategies.floats(0.0, 3.0)
            ),
            max_size=80,
        ),
    )
    def test_permits_of_any_window_are_within_the_rate(self, rate, asks):
        issuer = permit_issuing.PermitIssuer()
        now = 0.0
        times = []
        for pause_s, max_wait_s in asks:
            now += pause_s
            decision = issuer.issue(make_request(rate, max_wait_s), now)
            if decision.is_granted:
                self.assertLessEqual(decision.wait_s, max_wait_s)
                times.append(now + decision.wait_s)
        times.sort()
        self.assertLessEqual(
            most_in_a_window(times),
            math.ceil(rate * WINDOW_S) + permit_issuing.BURST_REQUESTS,
        )

    def test_limit_of_zero_still_allows_to_learn_its_end(self):
        issuer = permit_issuing.PermitIssuer()
        granted = [
            issuer.issue(make_request(0.0), float(now)).is_granted
            for now in range(41)
        ]
        self.assertEqual(sum(granted), 5)

    def test_first_permit_is_available_at_once(self):
        for number in range(100):
            issuer = permit_issuing.PermitIssuer()
            decision = issuer.issue(make_request(1.3), 1000.0 + number / 7)
            self.assertTrue(decision.is_granted)

    def test_raised_limit_is_used_without_delay(self):
        issuer = permit_issuing.PermitIssuer()
        issuer.issue(make_request(0.1), 0.0)
        self.assertTrue(issuer.issue(make_request(10.0), 0.2).is_granted)

    def test_limits_that_differ_between_instances_free_no_permit(self):
        # Guards against a schedule that starts anew with each request of an
        # instance that knows another limit.
        issuer = permit_issuing.PermitIssuer()
        granted = sum(
            issuer.issue(
                make_request(5.0 if number % 2 else 10.0), number / 1000
            ).is_granted
            for number in range(4000)
        )
        self.assertLessEqual(granted, allowed(10.0))

    def test_table_is_bounded(self):
        issuer = permit_issuing.PermitIssuer()
        for number in range(permit_issuing.MAX_ISSUED_TARGETS + 10):
            issuer.issue(
                permit_codec.PermitRequest(1, f"t{number}", 1, 1.0, 0.0), 0.0
            )
        self.assertEqual(len(issuer), permit_issuing.MAX_ISSUED_TARGETS)


class CodecTest(unittest.TestCase):
    def test_malformed_messages_are_refused(self):
        request = permit_codec.encode_request(make_request())
        decision = permit_codec.encode_decision(
            1, permit_codec.PermitDecision(True, 0.5)
        )
        self.assertTrue(permit_codec.decode_request(request).is_ok())
        self.assertTrue(permit_codec.decode_decision(decision).is_ok())
        for data in (b"\2", b"\2garbage", b"\2" + b"\xff" * 60):
            self.assertTrue(permit_codec.decode_request(data).is_err(), data)
        for data in (b"\3garbage", b"\3" + b"\xff" * 60):
            self.assertTrue(permit_codec.decode_decision(data).is_err(), data)
        for rate in (math.nan, -1.0, math.inf):
            data = permit_codec.encode_request(make_request(rate))
            self.assertTrue(permit_codec.decode_request(data).is_err())


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.fleet = gateway_parts.Fleet(engines=1)

    def close(self, target_id, wait_s):
        """Limits a target without a permit for some time."""
        target = self.fleet.table.find(target_id)
        target.rate_limit = target_table.RateLimit(1.0, self.now)
        target.permit_expected_at = self.now + wait_s

    def choose(self, tokens=5000, **changes):
        demand = gateway_parts.make_demand(tokens, **changes)
        return self.fleet.placer.choose(demand, self.now)

    def test_target_without_permits_is_avoided(self):
        self.fleet = gateway_parts.Fleet(engines=2)
        self.close("t0", 0.7)
        for _ in range(20):
            chosen = self.choose()
            self.assertEqual(chosen.target.record.target_id, "t1")
            self.assertEqual(chosen.max_permit_wait_s, 0.0)

    def test_request_waits_for_a_permit_only_if_it_stays_on_time(self):
        self.close("t0", 0.1)
        chosen = self.choose(objective_left_s=0.5)
        self.assertIsInstance(chosen, placement.Placement)
        self.assertGreater(chosen.max_permit_wait_s, 0.1)
        self.close("t0", 2.0)
        refused = self.choose(objective_left_s=0.5)
        self.assertIsInstance(refused, placement.NoCapacity)
        self.assertFalse(refused.may_wait)
        self.assertAlmostEqual(refused.capacity_in_s, 2.0)

    def test_limited_engine_helps_no_other(self):
        self.fleet = gateway_parts.Fleet(engines=4)
        self.close("t1", 0.0)
        chosen = self.choose(200_000, objective_left_s=3.0)
        engines = {one.target.record.target_id for one in chosen.helpers}
        self.assertTrue(engines)
        self.assertNotIn("t1", engines)

    def test_limited_engines_help_with_a_prompt_that_fits_nowhere_else(self):
        self.fleet = gateway_parts.Fleet(engines=2)
        self.close("t0", 0.0)
        self.close("t1", 0.0)
        size = gateway_parts.LAW.memory_tokens + 1000
        chosen = self.choose(size, objective_left_s=3.0)
        self.assertIsInstance(chosen, placement.Placement)
        self.assertEqual(len(chosen.helpers), 1)

    def test_request_beyond_all_limits_is_refused_at_once(self):
        self.close("t0", 2.0)

        async def main():
            scheduler = scheduling.Scheduler(
                self.fleet.placer,
                lambda *_: None,
                lambda _: None,
                lambda: self.now,
                random.Random(1),
            )
            demand = gateway_parts.make_demand(time_left_s=10.0)
            return await scheduler.acquire(demand, 1)

        refusal = trio.run(main)
        self.assertIsInstance(refusal, scheduling.Refusal)
        self.assertEqual(refusal.reason, "all targets are at their rate limits")
        self.assertGreaterEqual(refusal.retry_after_s, 2.0)
        self.assertLessEqual(refusal.retry_after_s, 3.0)


if __name__ == "__main__":
    unittest.main()
