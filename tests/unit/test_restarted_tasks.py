"""A restart in the middle of the work of a task loses nothing."""

import random
import unittest

import anyio
import result
import trio.testing

from cardamomfork._internal import supervision
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.gateway.crashes import crash_persistence
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import registration
from cardamomfork._internal.gateway.store import change_relay
from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.gateway.wiring import notifications
from cardamomfork._internal.standins import store
from tests.lib import gateway_parts

FINGERPRINT = 7
KEY = "crashes/one"


class FailingOnce:
    """Passes calls on; the first calls of some methods raise instead."""

    def __init__(self, inner, **failures):
        self._inner = inner
        self._failures = failures

    def __getattr__(self, name):
        method = getattr(self._inner, name)

        def call(*arguments, **options):
            if self._failures.get(name, 0):
                self._failures[name] -= 1
                raise KeyError(name)
            return method(*arguments, **options)

        return call


class Handler:
    """Keeps the entries that a follower passes on."""

    def __init__(self):
        self.entries = {}
        self.restored = []

    def store_restored(self, revision):
        self.restored.append(revision)

    def apply_snapshot(self, scan):
        self.entries = {entry.key: entry.value for entry in scan.entries}

    def apply_changes(self, batch):
        for entry in batch.entries:
            self.entries[entry.key] = entry.value

    def apply_relayed_change(self, change):
        self.entries[change.key] = change.value


class RestartedTasksTest(unittest.TestCase):
    def run_task(self, scenario):
        """Runs a scenario in virtual time with a store and a starter."""

        async def main():
            self.memory = store.MemoryStore(clock_contract.LoopClock())
            self.supervisor = supervision.Supervisor(
                random.Random(1), anyio.current_time
            )
            async with anyio.create_task_group() as tasks:

                def start(*arguments):
                    self.supervisor.start(
                        tasks, "one", *arguments, max_backoff_s=1.0
                    )

                await scenario(start)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def write(self, value):
        current = self.memory.read("p/a")
        version = current.version if current else store_contract.ABSENT
        self.memory.write("p/a", value, version, 0)

    # Crash reports

    def start_persistence(self, start, **failures):
        self.guard = poison_guard.PoisonGuard()
        self.persistence = crash_persistence.CrashPersistence(
            FailingOnce(store.StoreSession(self.memory), **failures),
            self.guard,
            "one",
            anyio.current_time,
            lambda _: None,
            lambda: None,
        )
        start(self.persistence.run)

    def crash(self):
        for number in range(poison_guard.MAX_CRASHES):
            target = gateway_parts.make_record(number)
            self.guard.add_suspect(FINGERPRINT, target, anyio.current_time())
            self.guard.confirm_crash(target, anyio.current_time())
        self.persistence.notify()

    def test_crashes_are_written_after_a_write_that_failed_unexpectedly(self):
        for method in ("grant_lease", "put"):

            async def scenario(start, method=method):
                self.start_persistence(start, **{method: 2})
                self.crash()
                await anyio.sleep(3.0)
                self.assertIsNotNone(self.memory.read(KEY), method)
                self.assertEqual(self.supervisor.failures["one"], 2)

            self.run_task(scenario)

    def test_crashes_stay_in_the_store_after_a_renewal_that_failed(self):
        async def scenario(start):
            self.start_persistence(start, renew_lease=1000)
            self.crash()
            for _ in range(30):
                await anyio.sleep(crash_persistence.LEASE_S / 10)
                self.memory.expire_leases()
                self.assertIsNotNone(self.memory.read(KEY))
            self.assertGreater(self.supervisor.failures["one"], 1)

        self.run_task(scenario)

    # Followers

    def start_follower(self, start, session, handler, **options):
        self.follower = follower.Follower(
            session,
            follower.Subscription("p/", 0.2, 0.3),
            handler,
            lambda _: None,
            lambda: True,
            random.Random(1),
            on_failure=lambda error: self.supervisor.record_failure(
                "one", error
            ),
            **options,
        )
        start(self.follower.run)

    def test_entry_is_followed_after_a_handler_that_failed(self):
        for method in ("apply_snapshot", "apply_changes"):

            async def scenario(start, method=method):
                handler = Handler()
                self.write(b"1")
                self.start_follower(
                    start,
                    store.StoreSession(self.memory),
                    FailingOnce(handler, **{method: 1}),
                )
                await anyio.sleep(0.3)
                self.write(b"2")
                await anyio.sleep(1.0)
                self.assertEqual(handler.entries, {"p/a": b"2"}, method)
                self.assertEqual(self.supervisor.failures["one"], 1)

            self.run_task(scenario)

    def test_updates_of_peers_apply_after_a_relay_that_failed(self):
        async def scenario(start):
            handler = Handler()
            relay = change_relay.ChangeRelay(
                lambda _: None, anyio.current_time, lambda _: False
            )
            self.start_follower(
                start,
                store.StoreSession(self.memory),
                handler,
                must_poll=lambda: not self.supervisor.failures["one"],
                relayed=follower.RelayedChanges(
                    FailingOnce(relay, record_changes=1), handler
                ),
            )
            await anyio.sleep(2.0)
            self.write(b"1")
            await anyio.sleep(0.02)
            self.assertEqual(self.supervisor.failures["one"], 1)
            revision = self.memory.revision
            change = change_relay.Change("p/a", b"2", revision + 1)
            update = change_relay.Update(revision, revision + 1, (change,))
            self.assertTrue(self.follower.apply_update(update))
            self.assertEqual(handler.entries, {"p/a": b"2"})

        self.run_task(scenario)

    # Configurations of peers

    def test_other_peer_is_asked_after_a_fetch_that_failed(self):
        fetched = []

        class State:
            version = 1
            is_store_lost = True

            def apply_fetched(self, configuration, peer_id):
                self.version = configuration
                return True

        class Transport:
            async def fetch(self, peer):
                fetched.append(peer.instance_id)
                await anyio.sleep(0.1)
                if len(fetched) == 1:
                    raise KeyError(peer)
                return result.Ok(2)

        async def scenario(start):
            state = State()
            fetcher = configuration_fetching.ConfigurationFetcher(
                state, Transport(), random.Random(1), lambda: None
            )
            for number in range(2):
                peer = digest_codec.Peer(str(number), "a", "127.0.0.1", 1)
                fetcher.note_peer(peer, 2)
            start(fetcher.run)
            await anyio.sleep(2.0)
            self.assertEqual(state.version, 2)
            self.assertEqual(len(set(fetched)), 2)

        self.run_task(scenario)

    # Registration

    def test_instance_registers_again_after_a_restart(self):
        async def scenario(start):
            peer = digest_codec.Peer("one", "a", "127.0.0.1", 1)

            class Table:
                known_count = 1
                add_entries = staticmethod(lambda entries: None)

            start(
                registration.maintain_registration,
                FailingOnce(
                    store.StoreSession(self.memory), renew_lease=1, scan=1
                ),
                peer,
                Table(),
                lambda _: None,
                random.Random(1),
            )
            await anyio.sleep(3 * registration.LEASE_S)
            self.memory.expire_leases()
            self.assertIsNotNone(self.memory.read("instances/one"))
            self.assertEqual(self.supervisor.failures["one"], 2)

        self.run_task(scenario)


class NotificationsTest(unittest.TestCase):
    def test_receivers_are_called_after_one_that_failed(self):
        called = []

        def fail():
            raise KeyError

        notification = notifications.Notification()
        notification.connect(fail)
        notification.connect(lambda: called.append(True))
        with self.assertRaises(KeyError):
            notification()
        self.assertEqual(called, [True])


if __name__ == "__main__":
    unittest.main()
