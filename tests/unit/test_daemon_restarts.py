"""A failing part of a daemon's task harms no other part and loses nothing."""

import pathlib
import random
import tempfile
import unittest
from unittest import mock

import anyio
from loguru import logger
import result

from cardamomfork._internal.configuration import replica
from cardamomfork._internal.links.callers import sinks
from cardamomfork._internal.links.peers import tls
from cardamomfork._internal.links.targets import engine_observer
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import cancellation
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import poison_gate
from cardamomfork._internal.requests import reservation_reclaimer
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import records
from cardamomfork._internal.standins import store
from cardamomfork._internal.standins import virtual_time
from tests.lib import certificates
from tests.lib import order_engines
from tests.unit import test_orders
from tests.unit import test_poison_gate

RECORD = "/claims/0"
DIGEST = b"digest"
CLOCK = virtual_time.VirtualClock()
LOST = test_poison_gate.make_fault(targets.FaultKind.LOST)
ENGINES = ("t0", "odd", "t2")


def make_claim(token):
    return records.ClaimOperation(DIGEST, token, b"body", 2**40)


SETTLED = records.SettleOperation(DIGEST, "a", "done", 200, b"answer")


class OddStore(store.StoreSession):
    """A session whose writes fail unexpectedly, or don't end."""

    fails = False
    gate = None

    async def put(self, *arguments, **options):
        if self.fails:
            raise RecursionError
        if self.gate is not None:
            await self.gate.wait()
        return await super().put(*arguments, **options)


class Link:
    """A link to an engine; the one named `odd` fails unexpectedly."""

    def __init__(self, target_id):
        self.target = targets.Target(
            target_id, targets.TargetKind.ENGINE, "127.0.0.1", 1, "dc"
        )
        self.calls = 0
        self.is_odd = target_id == "odd"
        self.delay_s = 0.0

    async def _call(self):
        self.calls += 1
        await anyio.sleep(self.delay_s)
        if self.is_odd:
            raise RecursionError

    async def load(self):
        await self._call()
        return result.Ok(
            targets.LoadReport(self.target.target_id, "b1", 0.0, 0, 0, 0, ())
        )

    async def cache_events(self, _):
        return result.Ok(())

    async def cancel(self, _):
        await self._call()
        return result.Ok(True)

    async def release(self, _):
        await self._call()
        return result.Ok(True)


class Listener:
    """Records the targets whose reports are observed."""

    def __init__(self):
        self.seen = []

    def observe_load(self, report, _):
        self.seen.append(report.target_id)


class Stream:
    """A stream; the odd one fails when it gets a heartbeat or expires."""

    def __init__(self, is_odd):
        self.active = False
        self.calls = 0
        self._is_odd = is_odd

    def idle_expired(self):
        self.calls += 1
        if self._is_odd:
            raise RecursionError

    async def send_heartbeat(self):
        self.idle_expired()


class Reservations:
    """Reservations of which some are to be released."""

    def __init__(self, names):
        self.names = set(names)

    def collect_due(self, _):
        return [Release(name) for name in sorted(self.names)]

    def collect_due_engines(self, *_):
        return ()

    def confirm(self, name):
        self.names.discard(name)


class Release:
    def __init__(self, name):
        self.name = name
        self.target_id = name


class Dependencies:
    def __init__(self, links):
        self.link = links.get

    def local_engines(self):
        return ()

    live_instances = local_engines


class RestartsTest(unittest.TestCase):
    def setUp(self):
        logger.remove()

    def run_beside(self, run, scenario):
        """Runs a scenario beside a task."""

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run)
                await scenario()
                tasks.cancel_scope.cancel()

        virtual_time.run(main)

    async def restart(self, run, middle, scenario):
        """Cancels a task in the middle of its work, then runs it again."""
        for part in (middle, scenario):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run)
                await part()
                tasks.cancel_scope.cancel()

    def make_committer(self):
        self.store = OddStore(store.MemoryStore(CLOCK))
        self.committer = committer.GroupCommitter(
            self.store, CLOCK, random.Random(1), 60.0
        )

    async def claim(self, token):
        answer = await self.committer.submit(RECORD, make_claim(token), 2.0)
        return answer.verdict

    async def check_outcome_is_stored(self):
        with anyio.fail_after(10.0):
            await self.committer.drain()
        self.assertEqual(self.committer.waiting, 0)
        self.assertEqual(await self.claim("b"), records.Verdict.STORED)

    def test_outcome_of_a_claim_is_kept_when_its_write_fails_unexpectedly(self):
        self.make_committer()

        async def scenario():
            await anyio.sleep(0.1)
            self.assertEqual(await self.claim("a"), records.Verdict.GRANTED)
            self.store.fails = True
            self.committer.submit_later(RECORD, SETTLED, 60.0)
            self.assertEqual(await self.claim("b"), records.Verdict.UNAVAILABLE)
            self.store.fails = False
            await self.check_outcome_is_stored()

        self.run_beside(self.committer.run, scenario)

    def test_outcome_of_a_claim_outlives_a_restart_of_the_commits(self):
        self.make_committer()

        async def middle():
            await anyio.sleep(0.1)
            await self.claim("a")
            self.store.gate = anyio.Event()
            self.committer.submit_later(RECORD, SETTLED, 60.0)
            await anyio.sleep(1.0)

        async def scenario():
            self.store.gate = None
            await self.check_outcome_is_stored()

        virtual_time.run(self.restart, self.committer.run, middle, scenario)

    def test_outcome_submitted_between_two_runs_is_stored(self):
        self.make_committer()

        async def middle():
            await anyio.sleep(0.1)
            await self.claim("a")

        async def main():
            await self.restart(self.committer.run, middle, middle)
            self.assertTrue(self.committer.submit_later(RECORD, SETTLED, 60.0))
            await self.restart(
                self.committer.run, self.check_outcome_is_stored, middle
            )

        virtual_time.run(main)

    def test_cancellation_that_fails_unexpectedly_is_repeated(self):
        odd, sound = Link("odd"), Link("t0")
        canceller = cancellation.Canceller(random.Random(1))

        async def scenario():
            canceller.add(odd, "a")
            canceller.add(sound, "b")
            await anyio.sleep(1.0)
            self.assertEqual(canceller.counters.confirmed, 1)
            odd.is_odd = False
            await anyio.sleep(10.0)
            self.assertEqual(canceller.counters.confirmed, 2)

        self.run_beside(canceller.run, scenario)

    def test_cancellation_in_progress_outlives_a_restart(self):
        link = Link("t0")
        link.delay_s = 5.0
        canceller = cancellation.Canceller(random.Random(1))

        async def middle():
            canceller.add(link, "a")
            await anyio.sleep(1.0)

        async def scenario():
            await anyio.sleep(6.0)
            self.assertEqual(canceller.counters.confirmed, 1)

        virtual_time.run(self.restart, canceller.run, middle, scenario)

    def test_target_check_that_ends_early_is_repeated(self):
        for is_odd in (True, False):
            with self.subTest(is_odd=is_odd):
                self.check_repeated_check(is_odd)

    def check_repeated_check(self, is_odd):
        key = test_poison_gate.FINGERPRINT[:8]
        link = test_poison_gate.FakeLink()
        link.is_up = False
        link.delay_s = 5.0
        sound_load = link.load

        async def odd_load():
            raise RecursionError

        guard = poison.PoisonGuard(random.Random(1))
        gate = poison_gate.PoisonGate(
            guard, CLOCK, lambda _: frozenset({"t1"}), odd_load
        )
        if is_odd:
            link.load = odd_load

        async def middle():
            request = test_poison_gate.FakeRequest(test_poison_gate.FINGERPRINT)
            guarded = gate.attempt_started(request, link)
            gate.attempt_ended(guarded, LOST)
            await anyio.sleep(1.0)
            link.load = sound_load

        async def scenario():
            await anyio.sleep(test_poison_gate.CHECK_S + 15.0)
            self.assertTrue(guard.is_suspect(key, anyio.current_time()))

        virtual_time.run(self.restart, gate.run, middle, scenario)

    def test_failure_at_one_engine_does_not_keep_others_from_observation(self):
        listener = Listener()

        class Links:
            links = tuple(map(Link, ENGINES))

        observer = engine_observer.EngineObserver(Links, listener, CLOCK)
        virtual_time.run(observer.poll_all)
        self.assertEqual(sorted(listener.seen), ["t0", "t2"])

    def test_failure_of_one_stream_keeps_no_other_from_its_heartbeat(self):
        for monitor in (idle.IdleMonitor(1.0), sinks.StreamHeartbeats(1.0)):
            streams = [Stream(is_odd=n == 1) for n in range(3)]
            for stream in streams:
                monitor.add(stream)
                stream.active = False

            async def scenario():
                await anyio.sleep(1.5)

            self.run_beside(monitor.run, scenario)
            self.assertEqual([s.calls for s in streams], [1, 1, 1])

    def test_failed_release_of_one_reservation_keeps_no_other_from_release(
        self,
    ):
        links = {name: Link(name) for name in ENGINES}
        held = Reservations(ENGINES)
        reclaimer = reservation_reclaimer.ReservationReclaimer(
            held, Reservations(()), Dependencies(links), CLOCK
        )

        async def scenario():
            await anyio.sleep(1.0)
            self.assertEqual(held.names, {"odd"})
            links["odd"].is_odd = False
            await anyio.sleep(1.0)
            self.assertEqual(held.names, set())

        self.run_beside(reclaimer.run, scenario)

    def test_odd_subscriber_keeps_no_other_from_a_configuration_change(self):
        seen = []
        held = replica.ConfigurationReplica()

        def fail(change):
            raise RecursionError

        held.subscribe(fail)
        held.subscribe(seen.append)
        changes = [
            configuration.Versioned(
                configuration.ObjectKind.DRAIN, name, version, None
            )
            for version, name in enumerate("ab", 1)
        ]
        self.assertTrue(held.apply_range(changes, 0, 2))
        self.assertEqual(seen, changes)
        self.assertEqual(held.revision, 2)


class PeerTlsTest(unittest.TestCase):
    def test_files_that_change_again_during_a_reload_are_loaded_later(self):
        logger.remove()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        certificates.write(directory)
        files = settings_models.TlsSettings(
            f"{directory}/cert.pem",
            f"{directory}/key.pem",
            f"{directory}/cert.pem",
        )
        peer_tls = tls.PeerTls(files)
        certificates.write(directory)
        key = pathlib.Path(directory, "key.pem")
        text = key.read_text()
        with mock.patch.object(
            peer_tls._server_tls, "reload", return_value=True
        ):
            key.write_text("")
            self.assertFalse(peer_tls.reload())
        key.write_text(text)
        with mock.patch.object(
            peer_tls._server_tls, "reload", return_value=False
        ):
            self.assertTrue(peer_tls.reload())
            self.assertFalse(peer_tls.reload())


class OddOrderLink(order_engines.OrderLink):
    """A link whose calls fail unexpectedly or take long at first."""

    is_odd = False
    delay_s = 0.0

    async def load(self):
        await anyio.sleep(self.delay_s)
        if self.is_odd:
            raise RecursionError
        return await super().load()


class OrderRestartsTest(unittest.TestCase):
    def setUp(self):
        logger.remove()
        self.fake = order_engines.OrderEngine(
            order_engines.make_target("t0", True)
        )
        self.instance = test_orders.OrderInstance([self.fake])
        self.link = OddOrderLink(self.fake)
        self.instance.links["t0"] = self.link

    async def run_runner(self, part):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.instance.runner.run)
            await part()
            tasks.cancel_scope.cancel()

    async def begin(self):
        self.instance.order(test_orders.load_order("t0"))
        self.instance.grant_lease(1, valid_for_s=1000)
        await anyio.sleep(3.0)

    async def check_is_loaded(self):
        self.link.is_odd = False
        self.link.delay_s = 0.0
        await anyio.sleep(60.0)
        self.assertEqual(self.fake.models.get("m"), "v1")

    def test_order_whose_step_fails_unexpectedly_is_repeated(self):
        async def part():
            self.link.is_odd = True
            await self.begin()
            await self.check_is_loaded()

        virtual_time.run(self.run_runner, part)

    def test_order_in_progress_outlives_a_restart_of_the_runner(self):
        async def main():
            self.link.delay_s = 4.0
            await self.run_runner(self.begin)
            await self.run_runner(self.check_is_loaded)

        virtual_time.run(main)


if __name__ == "__main__":
    unittest.main()
