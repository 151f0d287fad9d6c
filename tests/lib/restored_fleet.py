"""A simulated fleet whose store is restored from older copies.

The followers, the client of the store and the state of the instances are real;
the store, the network between peers and time are simulated.
`python -m tests.lib.restored_fleet --seed 1 --seeds 1000` runs seeds.
"""

import argparse
import collections
import json
import random
import sys

import anyio
import attrs
import result
import trio
import trio.testing

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.gateway.crashes import crash_persistence
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.peers import registration
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import store_handlers
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.gateway.store import change_relay
from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.gateway.wiring import store_side
from cardamomfork._internal.models import settings
from cardamomfork._internal.platform import store_calls
from cardamomfork._internal.platform import store_client
from cardamomfork._internal.platform import wire_format
from cardamomfork._internal.standins import platform_site
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import store_server
from tests.lib import gateway_parts

DATA_CENTRES = 3
SERVICE = "engines"
FINGERPRINT = 7
HEARTBEAT_S = 1.2
"""Interval at which an engine writes its entry if the store lacks it."""
SILENCE_S = 3 * HEARTBEAT_S
"""Time after which the store removes the entry of an engine that has gone."""
DIGEST_S = 0.5
DIGEST_LOSS = 0.2
APPLY_S = 2.0
"""Time from the acknowledgement of a change until it must be in force."""
STABLE_S = 3.0
"""Time after the return of the store from which that bound holds."""
REGISTER_S = 2.0
"""Time from the return of the store until all instances are registered."""
DRAIN_S = 2.0
"""Time after which a leaving engine must get no work."""
SAMPLE_S = 0.25
MAX_ANSWER_S = 0.02
WRITES_PER_S = 400
READS_PER_S = 2000


class StandinTransport:
    """Sends calls to a stand-in store without sockets."""

    def __init__(self, app, rng, count_call):
        self._app = app
        self._rng = rng
        self._count_call = count_call

    async def close(self):
        pass

    async def exchange(self, endpoint, call, progress):
        del endpoint
        progress.headers_started = True
        path, _, query = call.path.partition("?")
        self._count_call(call.method, call.path)
        messages = []

        async def receive():
            return {"body": call.body, "more_body": False}

        async def send(message):
            messages.append(message)

        await anyio.sleep(MAX_ANSWER_S / 2 * self._rng.random())
        scope = {"path": path, "query_string": query.encode()}
        await self._app(scope, receive, send)
        await anyio.sleep(MAX_ANSWER_S / 2 * self._rng.random())
        return store_calls.Response(
            messages[0]["status"],
            messages[1]["body"],
            store_calls.parse_era(dict(messages[0]["headers"])[b"store-era"]),
        )


class Instance:
    """An entry instance without callers."""

    def __init__(self, number, world):
        rng = random.Random(f"{world.seed} {number}")
        self.peer = digest_codec.Peer(
            f"entry-{number}", f"dc-{number % DATA_CENTRES}", "h", number
        )
        self.calls = collections.Counter()
        self.versions = []
        self.seen_gone = {}
        self.store = store_client.PlatformStore(
            settings.StoreSettings(("store:1",), 1.5, prefix=""),
            StandinTransport(world.app, rng, world.count_call),
        )
        self.table = target_table.TargetTable()
        self.state = fleet_state.FleetState(
            wire_format.WireFormat(), self.table, anyio.current_time
        )
        self.guard = poison_guard.PoisonGuard()
        self.persistence = crash_persistence.CrashPersistence(
            self.store,
            self.guard,
            self.peer.instance_id,
            anyio.current_time,
            self._on_answer,
            lambda: None,
        )
        self.peer_table = peer_table.PeerTable(self.peer, anyio.current_time)
        wire = wire_format.WireFormat()
        is_delegate = number < DATA_CENTRES
        is_poller = (
            number < DATA_CENTRES * peer_table.POLLERS_PER_DATA_CENTRE
            or world.instance_count < peer_table.MIN_FLEET_WITH_RELAYED_CHANGES
        )
        self.fetcher = configuration_fetching.ConfigurationFetcher(
            self.state,
            world,
            rng,
            self._on_fetched,
            self.peer.data_centre,
            lambda: not is_poller,
        )
        targets_handler = store_handlers.TargetsHandler(
            self.state, lambda: None
        )
        relay = change_relay.ChangeRelay(
            lambda updates: (
                world.send_updates(self, updates) if is_poller else None
            ),
            anyio.current_time,
            lambda in_scan: self.state.may_have_lapsed(in_scan=in_scan),
        )
        self.configuration, self.targets, self.crashes = [
            follower.Follower(
                self.store,
                subscription,
                handler,
                self._on_answer,
                lambda is_delegate=is_polling_often: is_delegate,
                rng,
                lambda polls=polls: polls,
                relayed,
            )
            for subscription, handler, is_polling_often, polls, relayed in (
                (
                    follower.Subscription(
                        wire.configuration_key,
                        store_side.CONFIGURATION_BATCH_DELAY_S,
                        store_side.CONFIGURATION_MAX_LAG_S,
                    ),
                    store_handlers.ConfigurationHandler(
                        self.state, self._on_applied, wire
                    ),
                    is_delegate,
                    is_poller,
                    None,
                ),
                (
                    follower.Subscription(
                        wire.targets_prefix,
                        store_side.TARGETS_BATCH_DELAY_S,
                        store_side.TARGETS_MAX_LAG_S,
                    ),
                    targets_handler,
                    is_delegate,
                    is_poller,
                    follower.RelayedChanges(relay, targets_handler),
                ),
                (
                    follower.Subscription(
                        crash_persistence.KEY_PREFIX,
                        crash_persistence.FOLLOWER_BATCH_DELAY_S,
                    ),
                    self.persistence,
                    False,
                    is_poller,
                    None,
                ),
            )
        ]
        self._rng = rng
        self._world = world

    def _on_answer(self, fault):
        if fault is None:
            self.state.store_regained()
        else:
            self.state.store_lost(
                str(fault.kind),
                is_silence=fault.kind is store_contract.StoreFaultKind.SILENT,
            )

    def _on_applied(self):
        self.versions.append(self.state.version)
        self._world.announce(self)

    def _on_fetched(self):
        self.configuration.note_received(self.state.revision)
        self._on_applied()

    def usable(self):
        """Returns ids and start times of the engines that may get work."""
        found = self.table.list_service(SERVICE, anyio.current_time())
        return {
            (target.record.target_id, target.record.started_at_ms)
            for target in found
        }

    def crash(self):
        """Confirms three crashes under one request."""
        now = anyio.current_time()
        for number in range(poison_guard.MAX_CRASHES):
            target = gateway_parts.make_record(100 + number)
            self.guard.add_suspect(FINGERPRINT, target, now)
            self.guard.confirm_crash(target, now)
        self.persistence.notify()

    async def run(self):
        """Follows the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            for run in (
                self.configuration.run,
                self.targets.run,
                self.crashes.run,
                self.persistence.run,
                self.fetcher.run,
                self._maintain,
            ):
                tasks.start_soon(run)
            tasks.start_soon(
                registration.maintain_registration,
                self.store,
                self.peer,
                self.peer_table,
                self._on_answer,
                self._rng,
            )

    async def _maintain(self):
        while True:
            await anyio.sleep(SAMPLE_S)
            self.state.expire()


@attrs.define
class Engine:
    """An engine that keeps its entry in the store.

    Attributes:
        number: Its number.
        starts: Number of its starts.
        is_leaving: Whether it has announced that it leaves.
        gone_at: Time at which it has left, or None.
    """

    number: int
    starts: int = 1
    is_leaving: bool = False
    gone_at: float | None = None

    @property
    def process_key(self):
        return f"t{self.number}", self.starts

    @property
    def key(self):
        return f"servers/t{self.number}"

    @property
    def value(self):
        fields = {
            "service": SERVICE,
            "address": f"10.0.0.1:{9000 + self.number}",
            "zone": "a",
            "slots": 8,
            "state": "draining" if self.is_leaving else "ready",
            "born": self.starts,
        }
        return json.dumps(fields).encode()


class World:
    """The store, its users and the faults of one run."""

    def __init__(self, seed, instances, engines=8):
        self.seed = seed
        self.rng = random.Random(seed)
        self.memory = store_standin.MemoryStore(clock.LoopClock())
        self.app = store_server.StoreApp(self.memory)
        self.calls = []
        self.target_calls = 0
        self.target_changes = 0
        self.configuration_calls = 0
        self.configuration_changes = 0
        self.problems = []
        self.instance_count = instances
        self.instances = [Instance(n, self) for n in range(instances)]
        self.engines = [Engine(n) for n in range(engines)]
        self.version = 0
        self.changed_at = 0.0
        self.returned_at = 0.0
        self.away_until = 0.0
        self.is_away = False
        self.is_settling = False
        self.first_copy = None

    def count_call(self, method, path):
        """Records a call to the store; the path includes its query."""
        self.calls.append((anyio.current_time(), method, path))
        self.target_calls += "prefix=servers" in path
        self.configuration_calls += "prefix=op" in path

    async def fetch(self, peer):
        """Returns the configuration of a peer; implements `Transport`."""
        await anyio.sleep(0.01)
        stored = self.instances[peer.port].state.stored
        return result.Ok(stored) if stored else result.Err("none")

    def write(self, key, value):
        """Writes a key, whatever it holds; None deletes it."""
        current = self.memory.read(key)
        expected = current.version if current else 0
        if value is None and current is None:
            return
        self.memory.write(key, value, expected, 0)

    def publish(self):
        """Writes the newest configuration."""
        value = platform_site.make_configuration(self.version, (), (), {})
        self.write(wire_format.WireFormat().configuration_key, value)
        self.changed_at = anyio.current_time()

    def change_configuration(self):
        """Writes a new version."""
        self.version += self.rng.randint(1, 3)
        self.publish()

    async def run_operator(self):
        """Writes new versions, and the newest again if the store lost it."""
        while True:
            await anyio.sleep(self.rng.choice((0.02, 0.1, 0.5, 1.0)))
            if self.is_away:
                continue
            key = wire_format.WireFormat().configuration_key
            wanted = platform_site.make_configuration(self.version, (), (), {})
            entry = self.memory.read(key)
            if entry is None or entry.value != wanted:
                if self.rng.random() < 0.5:
                    self.change_configuration()
                else:
                    self.publish()
            elif not self.is_settling and self.rng.random() < 0.1:
                self.change_configuration()

    async def write_other_keys(self):
        """Writes keys that no instance follows, which raises the revision."""
        while True:
            await anyio.sleep(self.rng.choice((0.005, 0.02, 0.1)))
            if not self.is_away:
                self.write("other/key", b"value")

    async def run_engine(self, engine):
        """Keeps an engine's entry; ends when it has left."""
        await anyio.sleep(HEARTBEAT_S * self.rng.random())
        while True:
            if not self.is_away:
                entry = self.memory.read(engine.key)
                if entry is None or entry.value != engine.value:
                    self.write(engine.key, engine.value)
                    self.changed_at = anyio.current_time()
            await anyio.sleep(HEARTBEAT_S)
            if self.is_settling or self.is_away or self.rng.random() > 0.1:
                continue
            if self.rng.random() < 0.5:
                engine.starts += 1
                continue
            if self.rng.random() < 0.5:
                engine.is_leaving = True
                self.write(engine.key, engine.value)
                self.changed_at = anyio.current_time()
                await anyio.sleep(DRAIN_S + self.rng.random())
            await self.wait_for_return()
            engine.gone_at = anyio.current_time()
            self.write(engine.key, None)
            self.changed_at = engine.gone_at
            return

    async def wait_for_return(self):
        """Waits until the store answers."""
        await anyio.sleep(max(self.away_until - anyio.current_time(), 0.0))

    async def run_expiry(self):
        """Removes the entries of engines that are silent."""
        while True:
            await anyio.sleep(0.2)
            now = anyio.current_time()
            for engine in self.engines:
                if (
                    engine.gone_at is not None
                    and not self.is_away
                    and now - max(engine.gone_at, self.returned_at) > SILENCE_S
                    and self.memory.read(engine.key)
                ):
                    self.write(engine.key, None)
                    self.changed_at = now

    async def restore(self, copy_age_s, away_s):
        """Restores the store from a copy of some seconds ago."""
        copied = self.memory.copy()
        if self.rng.random() < 0.2:
            copied = self.first_copy
        await anyio.sleep(copy_age_s)
        if self.rng.random() < 0.5:
            # Followers pause after a change and miss the restoration.
            self.change_configuration()
            await anyio.sleep(0.05)
        self.is_away = self.app.faults.down = away_s > 0
        self.memory.restore(copied)
        self.away_until = anyio.current_time() + away_s
        await anyio.sleep(away_s)
        self.is_away = self.app.faults.down = False
        self.returned_at = anyio.current_time()

    async def send_digests(self):
        """Tells each instance the positions of the others."""
        while True:
            await anyio.sleep(DIGEST_S)
            for sender in self.instances:
                for receiver in self.instances:
                    if (
                        sender is receiver
                        or self.rng.random() < DIGEST_LOSS
                        or (
                            len(self.instances) > 12 and self.rng.random() < 0.9
                        )
                    ):
                        continue
                    receiver.fetcher.note_peer(
                        sender.peer, sender.state.version
                    )
                    receiver.configuration.note_peer_revision(
                        sender.state.revision
                    )
                    receiver.targets.note_peer_revision(
                        sender.targets.last_change_revision
                    )
                    receiver.targets.note_peer_keys(sender.targets.known_keys)

    def announce(self, sender):
        """Sends the digest that follows a new configuration at once."""
        for receiver in self.instances:
            if sender is not receiver and self.rng.random() >= DIGEST_LOSS:
                receiver.fetcher.note_peer(sender.peer, sender.state.version)
                receiver.configuration.note_peer_revision(sender.state.revision)

    def send_updates(self, sender, updates):
        """Sends changes to the other instances of a data centre."""
        for receiver in self.instances:
            if (
                receiver is sender
                or receiver.peer.data_centre != sender.peer.data_centre
            ):
                continue
            for update in updates:
                if self.rng.random() >= DIGEST_LOSS:
                    receiver.targets.apply_update(update)

    async def watch_engines(self):
        """Records instances that use an engine that they knew was leaving."""
        while True:
            await anyio.sleep(SAMPLE_S)
            now = anyio.current_time()
            for instance in self.instances:
                usable = instance.usable()
                for engine in self.engines:
                    is_over = engine.is_leaving or engine.gone_at is not None
                    if not is_over:
                        continue
                    name = engine.process_key
                    if name not in usable:
                        instance.seen_gone.setdefault(name, now)
                    elif now - instance.seen_gone.get(name, now) > DRAIN_S:
                        self.problems.append(
                            f"{instance.peer.instance_id} uses {name} again"
                        )

    def check_registrations(self):
        """Records instances that are not in the store."""
        self.problems += [
            f"{instance.peer.instance_id} is not registered"
            for instance in self.instances
            if self.memory.read(
                registration.INSTANCE_KEY_PREFIX + instance.peer.instance_id
            )
            is None
        ]

    def check_targets(self):
        """Records instances that don't know all engines that may be used."""
        alive = {
            engine.process_key
            for engine in self.engines
            if engine.gone_at is None and not engine.is_leaving
        }
        for instance in self.instances:
            if not alive <= instance.usable():
                self.problems.append(
                    f"{instance.peer.instance_id}"
                    f" misses {sorted(alive - instance.usable())}"
                )

    def check_versions(self):
        """Records instances without the newest configuration."""
        self.problems += [
            f"{instance.peer.instance_id} has version"
            f" {instance.state.version} instead of {self.version}"
            for instance in self.instances
            if instance.state.version != self.version
        ]

    def check_current(self):
        """Records instances that differ from the store."""
        self.check_targets()
        self.check_versions()
        for instance in self.instances:
            name = instance.peer.instance_id
            if sorted(instance.versions) != instance.versions:
                self.problems.append(f"{name} went back: {instance.versions}")
        crash_keys = self.memory.read_prefix(crash_persistence.KEY_PREFIX)
        if not crash_keys.entries:
            self.problems.append("no crash report is in the store")

    def max_calls_per_s(self, method):
        """Returns the most calls of a method within one second."""
        times = [at for at, called, _ in self.calls if called == method]
        most = start = 0
        for end, at in enumerate(times):
            while at - times[start] > 1.0:
                start += 1
            most = max(most, end - start + 1)
        return most

    async def run_calm(self, changes=20, configuration_changes=0):
        """Changes targets, then the configuration; counts calls for each."""
        self.is_settling = True
        self.version = 1
        self.publish()
        async with anyio.create_task_group() as tasks:
            for engine in self.engines:
                tasks.start_soon(self.run_engine, engine)
            for instance in self.instances:
                tasks.start_soon(instance.run)
            tasks.start_soon(self.send_digests)
            await anyio.sleep(6.0)
            self.target_calls = 0
            for _ in range(changes):
                engine = self.rng.choice(self.engines)
                engine.starts += 1
                self.write(engine.key, engine.value)
                self.target_changes += 1
                await anyio.sleep(1.2)
            await anyio.sleep(APPLY_S)
            self.check_targets()
            self.configuration_calls = 0
            for _ in range(configuration_changes):
                self.change_configuration()
                self.configuration_changes += 1
                await anyio.sleep(APPLY_S)
                self.check_versions()
            tasks.cancel_scope.cancel()

    async def run(self, restorations=2):
        """Runs the fleet through some restorations; returns the problems."""
        self.version = 1
        self.publish()
        self.first_copy = self.memory.copy()
        async with anyio.create_task_group() as tasks:
            for engine in self.engines:
                tasks.start_soon(self.run_engine, engine)
            for instance in self.instances:
                tasks.start_soon(instance.run)
            for run in (
                self.run_operator,
                self.write_other_keys,
                self.run_expiry,
                self.send_digests,
                self.watch_engines,
            ):
                tasks.start_soon(run)
            await anyio.sleep(4.0)
            self.calls.clear()
            self.rng.choice(self.instances).crash()
            for _ in range(restorations):
                await anyio.sleep(2.0 * self.rng.random())
                await self.restore(
                    self.rng.choice((0.1, 0.3, 1.0, 6.0)) * self.rng.random(),
                    self.rng.choice((0.0, 0.05, 0.3, 1.0)),
                )
                self.is_settling = True
                await anyio.sleep(REGISTER_S)
                self.check_registrations()
                await anyio.sleep(STABLE_S - REGISTER_S)
                left_s = self.changed_at + APPLY_S - anyio.current_time()
                await anyio.sleep(max(left_s, 0.0))
                self.check_current()
                self.is_settling = False
            tasks.cancel_scope.cancel()
        return self.problems


def run_seed(seed, instances):
    """Runs one seed; returns the world after its end."""
    worlds = []
    # Trio shuffles the tasks that are ready, unless its generator is seeded.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)

    async def main():
        worlds.append(World(seed, instances))
        await worlds[0].run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return worlds[0]


def main():
    """Runs seeds; returns 1 if one shows a problem."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--instances", type=int, default=6)
    arguments = parser.parse_args()
    broken = 0
    kinds = collections.Counter()
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        world = run_seed(seed, arguments.instances)
        broken += bool(world.problems)
        for problem in set(world.problems):
            kinds[problem.split()[1]] += 1
        if world.problems:
            kinds_found = sorted({p.split()[1] for p in world.problems})
            print(
                f"seed {seed}: {kinds_found} {world.problems[:2]}", flush=True
            )
    print(f"{broken} of {arguments.seeds} seeds with problems: {dict(kinds)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
