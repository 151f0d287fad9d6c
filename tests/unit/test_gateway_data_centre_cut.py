"""A simulated fleet of 69 instances during a cut between data centres.

Only the decisions run: datagrams, connections and time are simulated.
"""

import functools
import heapq
import itertools
import random
import unittest

import attrs

from cardamomfork._internal.gateway.state import data_centre_reach

SIZES = {"sapporo-a": 23, "sapporo-b": 23, "asahikawa": 23}
MIN_FLEET = 13
TARGETS = 20
LATENCY_S = 0.0049
LOCAL_LATENCY_S = 0.0005
LOSS = 0.03
HEARTBEAT_S = 1.0
MIN_HEARTBEAT_GAP_S = 0.5
RELAY_MAX_SILENCE_S = 2.5
PEER_TIMEOUT_S = 4.0
SLOW_CONNECT_S = 0.15
CONNECT_TIMEOUT_S = 0.5
WARM_UP_S = 5.0
CUT_S = 5.0
CUT_OFF = "asahikawa"
SILENT = "silent"
REFUSED = "refused"
REQUESTS_PER_S = 57.3
SILENT_BOUND_S = 0.7
REFUSED_BOUND_S = 0.2
RETURN_BOUND_S = 0.5


@attrs.define
class Instance:
    """One instance of the fleet."""

    number: int
    data_centre: str
    reach: data_centre_reach.DataCentreReach
    heard: dict = attrs.field(factory=dict)
    sent_at: float = -1.0
    is_probing: bool = False
    refused_at: dict = attrs.field(factory=dict)


@attrs.frozen
class Choice:
    """A choice of a target or helper in another data centre."""

    at: float
    instance: Instance
    data_centre: str
    other: str


class Simulation:
    """Instances that send digests and choose targets."""

    def __init__(self, seed, cut_kind=None, cut_at=WARM_UP_S, cut_s=CUT_S):
        self.rng = random.Random(seed)
        self.cut_kind = cut_kind
        self.cut_at = cut_at
        self.cut_end = cut_at + cut_s
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.choices = []
        self.suspicions = []
        self.instances = []
        for data_centre, size in SIZES.items():
            for _ in range(size):
                number = len(self.instances)
                self.instances.append(
                    Instance(
                        number,
                        data_centre,
                        data_centre_reach.DataCentreReach(
                            data_centre,
                            MIN_FLEET,
                            lambda name, before: self.suspicions.append(
                                (self.now, name, before)
                            ),
                        ),
                    )
                )
        self.by_centre = {
            name: [one for one in self.instances if one.data_centre == name]
            for name in SIZES
        }
        for one in self.instances:
            self.at(self.rng.random() * 0.05, self.tick, one)
            self.at(self.rng.random() * HEARTBEAT_S, self.beat, one)

    def at(self, delay_s, call, *arguments):
        heapq.heappush(
            self.events,
            (self.now + delay_s, next(self.numbers), call, arguments),
        )

    def run_until(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        self.now = end

    def is_cut(self, one, other):
        return (
            self.cut_kind is not None
            and self.cut_at <= self.now < self.cut_end
            and one != other
            and CUT_OFF in (one, other)
        )

    # Digests

    def beat(self, one):
        if self.now - one.sent_at >= MIN_HEARTBEAT_GAP_S:
            self.send(one)
        # A loop that sleeps for a second is always a little late.
        self.at(HEARTBEAT_S + self.rng.random() * 0.004, self.beat, one)

    def send(self, one):
        one.sent_at = self.now
        for name, others in self.by_centre.items():
            if name == one.data_centre:
                continue
            active = [
                other
                for other in others
                if one.heard.get(other.number, 0.0)
                >= self.now - RELAY_MAX_SILENCE_S
            ]
            relays = [self.rng.choice(active)] if active else []
            direct = [
                other
                for other in others
                if not active
                or one.heard.get(other.number, 0.0) < self.now - PEER_TIMEOUT_S
            ]
            for other in (*relays, *direct):
                if self.is_cut(one.data_centre, name):
                    continue
                if self.rng.random() < LOSS:
                    continue
                self.at(LATENCY_S, self.receive, one, other, other in relays)

    def receive(self, sender, other, is_relay):
        others = self.by_centre[other.data_centre] if is_relay else [other]
        for one in others:
            one.heard[sender.number] = self.now
            one.reach.record_digest(
                sender.data_centre, str(sender.number), self.now, leaves=False
            )

    # Ticks and probes

    def tick(self, one):
        one.reach.tick(self.now, len(self.instances), len(self.instances))
        name = one.reach.next_probe(self.now)
        if name is not None and not one.is_probing:
            one.is_probing = True
            one.reach.start_probe(name, self.now)
            failed = one.reach.failed_targets(name, self.now)
            target = self.rng.choice(
                [
                    target
                    for target in self.targets(name)
                    if target not in failed
                ]
            )
            self.connect(
                one,
                name,
                target,
                data_centre_reach.PROBE_LIMIT_S,
                self.end_probe,
                self.now,
            )
        self.at(
            data_centre_reach.TICK_INTERVAL_S + self.rng.random() * 0.002,
            self.tick,
            one,
        )

    def end_probe(self, one, name, target, is_open, started_at):
        one.is_probing = False
        del target
        one.reach.end_probe(name, started_at, self.now, is_open=is_open)

    # Connections

    def targets(self, name):
        return [f"{name}-{number}" for number in range(TARGETS)]

    def connect(self, one, name, target, limit_s, on_end, *arguments):
        """Opens a connection, and calls `on_end` with the result."""
        is_local = name == one.data_centre
        round_trip_s = 2 * (LOCAL_LATENCY_S if is_local else LATENCY_S)
        is_cut = self.is_cut(one.data_centre, name)
        is_lost = not is_local and any(
            self.rng.random() < LOSS for _ in range(2)
        )
        report = functools.partial(self.report, one, name, target)
        end = functools.partial(on_end, one, name, target)
        if is_cut and self.cut_kind == REFUSED:
            self.at(LOCAL_LATENCY_S, functools.partial(report, is_refused=True))
            self.at(LOCAL_LATENCY_S, end, False, *arguments)
        elif is_cut or is_lost:
            self.at(SLOW_CONNECT_S, report)
            self.at(limit_s, report)
            self.at(limit_s, end, False, *arguments)
        else:
            self.at(round_trip_s, functools.partial(report, is_open=True))
            self.at(round_trip_s, end, True, *arguments)

    def report(self, one, name, target, *, is_open=False, is_refused=False):
        if is_open:
            one.reach.record_connected(name, self.now)
            return
        if is_refused:
            one.refused_at.setdefault(name, self.now)
        one.reach.record_failure(
            name, target, self.now, is_timeout=not is_refused
        )

    # Requests

    def load(self, interval):
        """Lets each instance place requests at intervals of a function."""
        for one in self.instances:
            self.at(interval(), self.place, one, interval)

    def place(self, one, interval):
        self.choose(one, ())
        self.at(interval(), self.place, one, interval)

    def choose(self, one, tried):
        """Chooses a target and a helper, and tries them."""
        usable = [
            name for name in SIZES if not one.reach.is_excluded(name, self.now)
        ]
        name = self.rng.choice(usable)
        target = self.rng.choice(self.targets(name))
        pairs = one.reach.pairs_apart(self.now)
        helper = self.rng.choice(
            [other for other in usable if frozenset((name, other)) not in pairs]
        )
        self.choices.append(Choice(self.now, one, name, helper))
        if len(tried) < 9:
            self.connect(
                one, name, target, CONNECT_TIMEOUT_S, self.end_attempt,
                helper, (*tried, target),
            )  # fmt: skip

    def end_attempt(self, one, name, target, is_open, helper, tried):
        if not is_open:
            self.choose(one, tried)
        elif self.is_cut(name, helper):
            one.reach.record_helper_refusal(
                name, helper, self.rng.choice(self.targets(helper)), self.now
            )
            self.choose(one, tried)

    def wrong_choices(self, bound):
        """Returns the choices across the cut made after a time in it.

        Args:
            bound: Returns the time for an instance and the data centres that
                it doesn't reach.
        """
        wrong = []
        for choice in self.choices:
            own = choice.instance.data_centre
            pairs = (
                (own, choice.data_centre),
                (own, choice.other),
                (choice.data_centre, choice.other),
            )
            crossed = [
                pair for pair in pairs if CUT_OFF in pair and pair[0] != pair[1]
            ]
            if (
                crossed
                and self.cut_at <= choice.at < self.cut_end
                and choice.at >= bound(choice.instance, crossed)
            ):
                wrong.append((choice.at, own, crossed))
        return wrong


class CutTest(unittest.TestCase):
    def check_return(self, simulation):
        """Checks that all data centres are in use again after the cut."""
        end = simulation.cut_end + RETURN_BOUND_S
        simulation.run_until(end)
        while simulation.now < end + 3.0:
            for one in simulation.instances:
                self.assertEqual(
                    one.reach.unreachable(simulation.now), frozenset()
                )
            simulation.run_until(simulation.now + 0.05)

    def poisson(self, simulation):
        rate = REQUESTS_PER_S / len(simulation.instances)
        return lambda: simulation.rng.expovariate(rate)

    def run_cut(self, seed, kind, interval=None):
        """Plays a cut until its end."""
        simulation = Simulation(seed, kind)
        simulation.load(interval or self.poisson(simulation))
        simulation.run_until(simulation.cut_end)
        return simulation

    def check_choices(self, simulation, bound_s):
        """Checks that no choice crosses the cut after a time."""
        bound = simulation.cut_at + bound_s
        self.assertEqual(simulation.wrong_choices(lambda *_: bound), [])
        # The load does cross the cut when it begins.
        self.assertTrue(simulation.wrong_choices(lambda *_: 0.0))

    def test_silent_cut_excludes_in_time_and_returns(self):
        # Requests must not wait for connections that hang.
        for seed in range(3):
            simulation = self.run_cut(seed, SILENT)
            self.check_choices(simulation, SILENT_BOUND_S)
            self.check_return(simulation)

    def test_refused_cut_excludes_in_time_under_heavy_load(self):
        # One request tried nine targets there, one after the other.
        for seed in range(2):
            simulation = self.run_cut(seed, REFUSED, lambda: 0.01)
            self.check_choices(simulation, REFUSED_BOUND_S)
            self.check_return(simulation)

    def test_refused_cut_excludes_soon_after_the_first_refusal(self):
        # At the rate of a real day an instance places one request a second,
        # so that nothing shows it the cut in the first 0.2 s.
        for seed in range(3):
            simulation = self.run_cut(seed, REFUSED)

            def bound(one, crossed, cut_at=simulation.cut_at):
                names = {name for pair in crossed for name in pair}
                first_at = min(
                    one.refused_at.get(name, cut_at + SILENT_BOUND_S)
                    for name in names
                )
                return first_at + REFUSED_BOUND_S

            self.assertEqual(simulation.wrong_choices(bound), [])
            self.check_choices(simulation, SILENT_BOUND_S)
            self.check_return(simulation)

    def test_packet_loss_causes_no_suspicion(self):
        # Excluding a third of the engines for nothing overloads the others.
        simulation = Simulation(1)
        simulation.load(self.poisson(simulation))
        simulation.run_until(300.0)
        self.assertEqual(simulation.suspicions, [])


if __name__ == "__main__":
    unittest.main()
