"""Waiting requests of several accounts share the slots of a service."""

import collections
import random
import unittest

import anyio
import attrs
import hypothesis
from hypothesis import strategies

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.queueing import fair_order
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import fingerprints
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import peer_queues
from tests.lib import gateway_parts
from tests.lib import sharing_fleet

SMALL, LARGE, OTHER = (
    fingerprints.of_account(name) for name in ("small", "large", "other")
)
NOW = 100.0


@attrs.frozen
class Waiter:
    """A waiting request."""

    name: str
    account_id: int
    priority: int = 0
    enqueued_at: float = NOW
    demand: object = attrs.field(factory=gateway_parts.make_demand)


class OrderFixture:
    """An order over some engines."""

    def __init__(self, engines=2):
        self.fleet = gateway_parts.Fleet(engines)
        self.queues = peer_queues.PeerQueues()
        self.order = fair_order.FairOrder(
            self.fleet.table, self.fleet.load, self.queues
        )

    def run_peer_jobs(self, *jobs, peer="peer"):
        """Records jobs of a peer, each a target's number and an account."""
        self.fleet.load.replace_peer_jobs(
            peer,
            tuple(
                load_view.Job(
                    f"{peer}#{number}",
                    f"t{target}",
                    (),
                    5000,
                    1500,
                    0.25,
                    1.0,
                    0.0,
                    account_id=account_id,
                )
                for number, (target, account_id) in enumerate(jobs)
            ),
            NOW,
        )

    def names(self, *waiters, now=NOW, placed=()):
        """Returns the names in order; `placed` says which are placed."""
        shared = self.order.start_pass(waiters, now)
        found = []
        for one in shared:
            found.append(one.name)
            if one.name in placed:
                self.order.add(one, now)
                shared.record_placed(one)
        return found


class FairOrderTest(unittest.TestCase):
    def test_account_with_least_use_goes_first(self):
        fixture = OrderFixture()
        fixture.run_peer_jobs((0, LARGE), (1, LARGE), (1, SMALL))
        self.assertEqual(
            fixture.names(
                Waiter("a", LARGE), Waiter("b", LARGE), Waiter("c", SMALL)
            ),
            ["c", "a", "b"],
        )

    def test_placements_of_a_pass_count(self):
        # Guards against a pass that gives all free slots to one account.
        fixture = OrderFixture()
        self.assertEqual(
            fixture.names(
                *(Waiter(f"l{n}", LARGE) for n in range(3)),
                *(Waiter(f"s{n}", SMALL) for n in range(3)),
                placed=("l0", "l1", "l2", "s0", "s1", "s2"),
            ),
            ["l0", "s0", "l1", "s1", "l2", "s2"],
        )

    def test_priority_goes_first(self):
        fixture = OrderFixture()
        fixture.run_peer_jobs((0, LARGE))
        self.assertEqual(
            fixture.names(Waiter("a", LARGE), Waiter("b", SMALL, 1)),
            ["a", "b"],
        )

    def test_held_back_request_gets_every_fourth_slot(self):
        # Guards against a steady flow of urgent requests that holds back the
        # rest forever.
        fixture = OrderFixture()
        urgent = [Waiter(f"u{n}", LARGE) for n in range(9)]
        names = fixture.names(
            *urgent,
            Waiter("r0", SMALL, 2, NOW - 1.0),
            Waiter("r1", SMALL, 2, NOW - 1.0),
            Waiter("new", SMALL, 2),
            placed=[one.name for one in urgent] + ["r0", "r1", "new"],
        )
        self.assertEqual(
            names,
            [
                "u0",
                "u1",
                "u2",
                "r0",
                "u3",
                "u4",
                "u5",
                "r1",
                "u6",
                "u7",
                "u8",
                "new",
            ],
        )

    def test_two_accounts_above_their_share_do_not_keep_slots_free(self):
        # Guards against slots that nobody may take.
        fixture = OrderFixture(1)
        fixture.run_peer_jobs(*[(0, LARGE)] * 3, *[(0, SMALL)] * 3)
        fixture.queues.replace("peer", (), NOW)
        for account in (LARGE, SMALL):
            self.assertFalse(
                fixture.order.must_yield(gateway_parts.ENGINES, account, NOW)
            )

    def test_account_alone_never_yields(self):
        fixture = OrderFixture(1)
        fixture.run_peer_jobs(*[(0, LARGE)] * 8)
        fixture.queues.replace(
            "peer", (peer_queues.WaitingClass("engines", False, 9),), NOW
        )
        self.assertFalse(
            fixture.order.must_yield(gateway_parts.ENGINES, LARGE, NOW)
        )

    def test_large_account_yields_to_requests_that_wait_at_peers(self):
        fixture = OrderFixture(4)
        fixture.run_peer_jobs(*[(n % 4, LARGE) for n in range(25)], (0, SMALL))
        service = gateway_parts.ENGINES
        self.assertFalse(fixture.order.must_yield(service, LARGE, NOW))
        fixture.queues.replace(
            "peer", (peer_queues.WaitingClass("engines", False, 5),), NOW
        )
        self.assertTrue(fixture.order.must_yield(service, LARGE, NOW))
        self.assertFalse(fixture.order.must_yield(service, SMALL, NOW))
        later = NOW + load_view.PEER_JOBS_TTL_S + 0.1
        self.assertFalse(fixture.order.must_yield(service, LARGE, later))

    def test_claimed_use_is_clamped_to_slots(self):
        fixture = OrderFixture(2)
        fixture.run_peer_jobs(*[(0, LARGE)] * 4000, (1, SMALL))
        use = fixture.order.use(gateway_parts.ENGINES, LARGE, NOW)
        self.assertLessEqual(use, 0.5 + 1e-9)

    def test_claimed_waiting_requests_keep_a_quarter_free_at_most(self):
        fixture = OrderFixture(4)
        fixture.run_peer_jobs(*[(n % 4, LARGE) for n in range(20)], (0, SMALL))
        fixture.queues.replace(
            "peer",
            (peer_queues.WaitingClass("engines", True, 65535, 2**31),) * 64,
            NOW,
        )
        self.assertFalse(
            fixture.order.must_yield(gateway_parts.ENGINES, LARGE, NOW)
        )

    def test_tables_are_bounded(self):
        fixture = OrderFixture(2)
        for peer in range(25):
            fixture.run_peer_jobs(
                *((0, 1 + peer * 4000 + n) for n in range(4000)),
                peer=f"p{peer}",
            )
        service = gateway_parts.ENGINES
        fixture.order.use(service, LARGE, NOW)
        known = fixture.order._by_service[service.name]
        self.assertEqual(len(known.by_account), fair_order.MAX_ACCOUNTS)
        self.assertEqual(
            len(fixture.order.dump((service,), NOW)[service.name]),
            fair_order.MAX_DUMPED_ACCOUNTS,
        )
        queues = peer_queues.PeerQueues()
        one = peer_queues.WaitingClass("engines", False, 1)
        for number in range(peer_queues.MAX_PEERS + 10):
            queues.replace(f"p{number}", (one,) * 100, NOW)
        self.assertEqual(
            queues.count("engines", NOW),
            peer_queues.MAX_PEERS * peer_queues.MAX_CLASSES,
        )

    @hypothesis.given(strategies.text())
    def test_any_name_has_a_fingerprint(self, name):
        self.assertGreater(fingerprints.of_account(name), 0)
        self.assertLess(fingerprints.of_account(name), 2**64)

    def test_name_that_is_not_valid_unicode_has_a_fingerprint(self):
        self.assertGreater(fingerprints.of_account("\ud800"), 0)

    @hypothesis.given(strategies.data())
    def test_each_request_comes_up_once(self, data):
        fixture = OrderFixture()
        waiters = sorted(
            data.draw(
                strategies.lists(
                    strategies.builds(
                        Waiter,
                        strategies.uuids().map(str),
                        strategies.sampled_from((SMALL, LARGE, OTHER)),
                        strategies.integers(0, 2),
                        strategies.floats(NOW - 5.0, NOW),
                        strategies.just(gateway_parts.make_demand()),
                    ),
                    max_size=30,
                )
            ),
            key=lambda one: one.priority,
        )
        placed = {
            one.name for one in waiters if data.draw(strategies.booleans())
        }
        names = fixture.names(*waiters, placed=placed)
        self.assertEqual(
            collections.Counter(names),
            collections.Counter(one.name for one in waiters),
        )
        if len({one.account_id for one in waiters}) <= 1:
            self.assertEqual(names, [one.name for one in waiters])


class QueueFixture:
    """A scheduler that shares one engine with some slots."""

    def __init__(self, slots=2):
        self.clock = gateway_parts.Clock()
        self.fleet = gateway_parts.Fleet(0)
        self.fleet.table.put(gateway_parts.make_record(0, slots=slots))
        self.choices = 0
        choose = self.fleet.placer.choose

        def count_choice(*given):
            self.choices += 1
            return choose(*given)

        self.fleet.placer.choose = count_choice
        self.answers = {}

    def make_scheduler(self, *, is_fair):
        def commit(demand, chosen, now, account_id):
            self.fleet.run(
                chosen.target.record.target_id,
                demand.job_id,
                ends_at=now + 1.0,
                account_id=account_id,
            )

        return scheduling.Scheduler(
            self.fleet.placer,
            commit,
            self.fleet.load.end,
            self.clock,
            random.Random(1),
            fair_order.FairOrder(
                self.fleet.table, self.fleet.load, peer_queues.PeerQueues()
            )
            if is_fair
            else None,
        )

    async def ask(self, scheduler, job_id, account, **changes):
        demand = gateway_parts.make_demand(
            **({"job_id": job_id, "time_left_s": 60.0} | changes)
        )
        self.answers[job_id] = await scheduler.acquire(
            demand, 0, fingerprints.of_account(account)
        )


class SharedQueueTest(unittest.IsolatedAsyncioTestCase):
    async def test_freed_slots_alternate_between_accounts(self):
        fixture = QueueFixture()
        scheduler = fixture.make_scheduler(is_fair=True)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                for number in range(8):
                    tasks.start_soon(
                        fixture.ask, scheduler, f"l{number}", "large"
                    )
                    await anyio.wait_all_tasks_blocked()
                tasks.start_soon(fixture.ask, scheduler, "s0", "small")
                await anyio.wait_all_tasks_blocked()
                scheduler.release("l0")
                await anyio.wait_all_tasks_blocked()
                self.assertIsInstance(
                    fixture.answers["s0"], placement.Placement
                )
                tasks.cancel_scope.cancel()

    async def test_a_pass_makes_no_more_choices_than_without_sharing(self):
        # Guards against a choice for each of 200 waiting requests.
        choices = {}
        for is_fair in (False, True):
            fixture = QueueFixture()
            scheduler = fixture.make_scheduler(is_fair=is_fair)
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    for number in range(202):
                        tasks.start_soon(
                            fixture.ask,
                            scheduler,
                            f"j{number}",
                            f"a{number % 7}",
                        )
                    await anyio.wait_all_tasks_blocked()
                    self.assertEqual(scheduler.waiting, 200)
                    fixture.choices = 0
                    scheduler.dispatch_waiting()
                    choices[is_fair] = fixture.choices
                    tasks.cancel_scope.cancel()
        self.assertLessEqual(choices[True], choices[False])

    async def test_full_queue_makes_room_for_a_small_account(self):
        # Guards against an account that fills the queue and shuts out others.
        fixture = QueueFixture()
        scheduler = fixture.make_scheduler(is_fair=True)
        bound = scheduling.MAX_WAITING_REQUESTS
        scheduling.MAX_WAITING_REQUESTS = 10
        self.addCleanup(setattr, scheduling, "MAX_WAITING_REQUESTS", bound)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                for number in range(13):
                    fixture.clock.now += 0.001
                    tasks.start_soon(
                        fixture.ask, scheduler, f"l{number}", "large"
                    )
                    await anyio.wait_all_tasks_blocked()
                self.assertEqual(
                    fixture.answers["l12"].reason, "too many requests wait"
                )
                tasks.start_soon(fixture.ask, scheduler, "s0", "small")
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(
                    fixture.answers["l11"].reason, scheduling.SHARE_REASON
                )
                self.assertNotIn("s0", fixture.answers)
                self.assertEqual(scheduler.waiting, 10)
                tasks.cancel_scope.cancel()

    async def test_only_requests_within_their_share_are_reported(self):
        fixture = QueueFixture()
        scheduler = fixture.make_scheduler(is_fair=True)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                for name in ("large", "large", "small", "large", "other"):
                    tasks.start_soon(
                        fixture.ask, scheduler, f"{name}{id(name)}", name
                    )
                    await anyio.wait_all_tasks_blocked()
                tasks.start_soon(fixture.ask, scheduler, "long", "other")
                await anyio.wait_all_tasks_blocked()
                fixture.clock.now += 0.1
                self.assertEqual(
                    sum(one.count for one in scheduler.list_waiting()),
                    scheduler.waiting - 1,
                )
                tasks.cancel_scope.cancel()


class DigestTest(unittest.TestCase):
    def test_account_and_waiting_requests_are_sent(self):
        digest = digest_codec.Digest(
            digest_codec.Peer("one", "a", "127.0.0.1", 1),
            1,
            2,
            3,
            4,
            5,
            False,
            (
                load_view.Job(
                    "one#0",
                    "t1",
                    (),
                    1,
                    1,
                    0.25,
                    1.0,
                    NOW,
                    account_id=2**64 - 1,
                ),
            ),
            (),
            waiting=(peer_queues.WaitingClass("engines", True, 70_000, 2**40),)
            * 100,
        )
        decoded = digest_codec.decode(
            digest_codec.encode(digest, NOW), NOW
        ).unwrap()
        self.assertEqual(decoded.jobs[0].account_id, 2**64 - 1)
        self.assertEqual(
            decoded.waiting,
            (
                peer_queues.WaitingClass(
                    "engines",
                    True,
                    digest_codec.MAX_COUNT,
                    digest_codec.MAX_MS,
                ),
            )
            * peer_queues.MAX_CLASSES,
        )


class SharingFleetTest(unittest.TestCase):
    def play(self, instances, *accounts, seconds=5.0, seed=1, **changes):
        fleet = sharing_fleet.SharingFleet(instances, seed)
        for name, value in changes.items():
            setattr(fleet, name, value)
        return fleet.play(
            [
                sharing_fleet.Account(name, rate * fleet.capacity_per_s, **more)
                for name, rate, more in accounts
            ],
            seconds,
        )

    def check_small_account(self, instances, **changes):
        alone = self.play(instances, ("small", 0.15, {}))["small"]
        beside = self.play(
            instances, ("small", 0.15, {}), ("large", 1.5, {}), **changes
        )
        self.assertGreaterEqual(
            beside["small"].served_share, 0.9 * alone.served_share
        )
        return beside

    def test_small_account_is_served_as_alone_by_6_instances(self):
        # Guards against an account that asks ten times as much as another and
        # takes slots in proportion.
        self.check_small_account(6)

    def test_small_account_is_served_as_alone_by_69_instances(self):
        # Guards against a freed slot that is always taken before the instance
        # at which the small account waits hears of it.
        self.check_small_account(69)

    def test_large_account_gains_nothing_from_spreading(self):
        # Guards against an account that gets more by asking all instances than
        # by asking one. Completed requests are compared, since a run is too
        # short for those of the last seconds to end.
        loads = (("small", 0.15, {}), ("large", 1.5, {}))
        spread = self.play(69, *loads, seed=3, seconds=6.0)["large"]
        at_one = self.play(
            69,
            loads[0],
            ("large", 1.5, {"instances": 1}),
            seed=3,
            seconds=6.0,
        )["large"]
        self.assertLessEqual(spread.completed, 1.1 * at_one.completed)

    def test_each_half_of_a_divided_fleet_shares_what_it_knows(self):
        self.check_small_account(6, groups=2)

    def test_death_of_an_instance_with_waiting_requests(self):
        # Guards against slots that stay reserved for requests that are gone.
        beside = self.check_small_account(6, dies_at=2.0)
        self.assertGreater(beside["large"].served_share, 0.4)


if __name__ == "__main__":
    unittest.main()
