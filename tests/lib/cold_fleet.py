"""Plays permits for a cold target in a fleet of decision objects.

`python -m tests.lib.cold_fleet --seed 1 --seeds 300` plays seeds with lost,
late and reordered messages, owners that die or freeze, and fleets that are cut
into two halves, and prints what each gave. Time is simulated; there are no
sockets.
"""

import argparse
import bisect
import heapq
import itertools
import random
import sys

import attrs

from cardamomfork._internal.gateway.peers import cold_permits
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.peers import rate_permits
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import target_table
from tests.lib import gateway_parts

SIZES = (6, 78, 195)
WINDOW_S = 1.0
COLD_S = 60.0
COLD_FROM_S = 6.0
"""The target turns cold when the instances have known each other for longer
than a new owner issues nothing."""
LEARN_S = 0.5
"""Time within which all instances have read the target's entry."""
FAULT_S = 12.0
TARGET = gateway_parts.make_record(1, cold_remaining_s=COLD_S)
SETTINGS = gateway_parts.make_settings()
FAULTS = ("none", "kill", "freeze", "cut", "cut and kill")


@attrs.frozen
class Conditions:
    """Conditions of a run.

    Attributes:
        instances: Number of instances.
        cold_per_s: Requests a second that the cold target handles.
        demand_ratio: Requests a second that are wanted, as a ratio of that.
        loss: Share of messages that are lost.
        late: Share of messages that are late by up to `late_s`.
        late_s: Longest delay of late messages; they overtake each other.
        max_wait_s: Longest wait for a permit.
        fault: What fails at `FAULT_S`.
        fault_s: Duration of a freeze or a cut.
        length_s: Length of the run.
    """

    instances: int
    cold_per_s: float = 23.0
    demand_ratio: float = 4.0
    loss: float = 0.0
    late: float = 0.0
    late_s: float = 0.0
    max_wait_s: float = 0.0
    fault: str = "none"
    fault_s: float = 12.0
    length_s: float = 36.0

    @property
    def allowed(self):
        """Most requests that may reach the target within a second."""
        return self.cold_per_s * SETTINGS.cold_ratio + SETTINGS.cold_reserve


class Instance:
    """The decision objects of one instance."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.peer = digest_codec.Peer(f"i{number}", "a", "127.0.0.1", number)
        clock = fleet.clock
        self.peers = peer_table.PeerTable(self.peer, clock)
        self.targets = target_table.TargetTable()
        self.cold = cold_targets.ColdTargets(self.targets, clock)
        self.cold.apply_services(
            {
                "engines": attrs.evolve(
                    gateway_parts.ENGINES,
                    cold_per_s=fleet.conditions.cold_per_s,
                )
            }
        )
        self.limits = rate_limits.RateLimits(self.targets, clock)
        self.authority = cold_permits.OwnerAuthority(self.peers, clock)
        self.permits = cold_permits.ColdPermits(
            self.cold, self.authority, SETTINGS
        )
        self.sequence = 0
        self.is_dead = False
        self.frozen_until = 0.0
        self.queued = []

    @property
    def target(self):
        return self.targets.find("t1")

    def learn(self):
        """Reads the target's entry."""
        self.targets.put(TARGET)
        self.cold.record_entry(TARGET, 5, is_start_seen=True)

    def make_digest(self):
        self.sequence += 1
        return digest_codec.Digest(
            self.peer, 7, self.sequence, 0, 0, 0, False, (), ()
        )


class ColdFleet:
    """A simulated fleet that sends requests to one cold target."""

    def __init__(self, conditions, seed):
        self.conditions = conditions
        self.now = 0.0
        self.arrivals = []
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._sides = {}
        self.instances = [
            Instance(self, number) for number in range(conditions.instances)
        ]
        self._heartbeat_s = (
            peer_links.HEARTBEAT_S
            if conditions.instances <= peer_links.SMALL_FLEET_MAX_INSTANCES
            else peer_links.LARGE_FLEET_HEARTBEAT_S
        )

    def clock(self):
        return self.now

    def run(self):
        """Plays the run; returns the most arrivals within a second."""
        for one in self.instances:
            self._at(self._rng.random() * 0.3, one, self._beat, one)
            self._at(COLD_FROM_S + self._rng.random() * LEARN_S, one, one.learn)
        self._at(COLD_FROM_S, None, self._arrive)
        self._at(FAULT_S, None, self._fail)
        while self._events and self._events[0][0] < self.conditions.length_s:
            at, _, instance, act, arguments = heapq.heappop(self._events)
            self.now = max(self.now, at)
            self._perform(instance, act, arguments)
        return self.most_in_a_window()

    def most_in_a_window(self):
        times = sorted(self.arrivals)
        return max(
            (
                bisect.bisect_left(times, start + WINDOW_S) - index
                for index, start in enumerate(times)
            ),
            default=0,
        )

    def used_share(self, since, until):
        """Returns the share of the target's rate that was used."""
        count = sum(since <= at < until for at in self.arrivals)
        return count / (until - since) / self.conditions.cold_per_s

    def _at(self, at, instance, act, *arguments):
        heapq.heappush(
            self._events, (at, next(self._numbers), instance, act, arguments)
        )

    def _perform(self, instance, act, arguments):
        """Performs an event; a frozen instance performs it when it thaws."""
        if instance is not None and instance.is_dead:
            return
        if instance is not None and self.now < instance.frozen_until:
            self._at(instance.frozen_until, instance, act, *arguments)
            return
        act(*arguments)

    def _delay_s(self):
        """Returns the delay of a message, or None if it is lost."""
        conditions = self.conditions
        draw = self._rng.random()
        if draw < conditions.loss:
            return None
        if draw < conditions.loss + conditions.late:
            return self._rng.random() * conditions.late_s
        return 0.001 + 0.005 * self._rng.random()

    def _deliver(self, sender, recipient, act, *arguments):
        """Sends a message, which may be lost or late."""
        delay_s = self._delay_s()
        if delay_s is not None and self._are_connected(sender, recipient):
            self._at(self.now + delay_s, recipient, act, *arguments)

    def _are_connected(self, one, other):
        return self._sides.get(one.number, 0) == self._sides.get(
            other.number, 0
        )

    def _beat(self, instance):
        """Observes the fleet and sends a digest to all others."""
        instance.authority.observe()
        instance.peers.expire()
        digest = instance.make_digest()
        for other in self.instances:
            if other is not instance and not other.is_dead:
                self._deliver(
                    instance, other, other.peers.record_digest, digest
                )
        self._at(self.now + self._heartbeat_s, instance, self._beat, instance)

    def _arrive(self):
        """A request arrives at a random instance."""
        instance = self._rng.choice(self.instances)
        self._perform_request(instance)
        demand_per_s = self.conditions.cold_per_s * self.conditions.demand_ratio
        self._at(
            self.now + self._rng.expovariate(demand_per_s), None, self._arrive
        )

    def _perform_request(self, instance):
        if (
            instance.is_dead
            or self.now < instance.frozen_until
            or instance.target is None
        ):
            return
        if instance.target.permit_wait_s(self.now) > self.conditions.max_wait_s:
            return
        request = permit_codec.PermitRequest(
            next(self._numbers),
            "t1",
            TARGET.started_at_ms,
            instance.limits.rate(TARGET),
            self.conditions.max_wait_s,
        )
        owner = instance.authority.find_owner("t1")
        answered = []
        if owner is None:
            decision = instance.permits.decide(request, self.now)
            self._decided(instance, self.now, answered, decision)
            return
        self._deliver(
            instance,
            self.instances[owner.port],
            self._receive_request,
            self.instances[owner.port],
            instance,
            request,
            self.now,
            answered,
        )
        self._at(
            self.now + rate_permits.ANSWER_TIMEOUT_S,
            instance,
            self._time_out,
            instance,
            answered,
        )

    def _receive_request(self, owner, asking, request, asked_at, answered):
        decision = owner.permits.decide(request, self.now)
        if decision is None:
            raise AssertionError("the target is not cold")
        self._deliver(
            owner,
            asking,
            self._decided,
            asking,
            asked_at,
            answered,
            decision,
        )

    def _time_out(self, instance, answered):
        if not answered:
            answered.append(None)
            instance.limits.record_refusal(
                TARGET, rate_permits.NO_ANSWER_WAIT_S
            )

    def _decided(self, instance, asked_at, answered, decision):
        if answered:
            return
        answered.append(decision)
        if not decision.is_granted:
            instance.limits.record_refusal(TARGET, decision.wait_s)
            return
        expires_at = asked_at + decision.wait_s + cold_permits.PERMIT_LIFETIME_S
        # A connection is usually open; opening one may take long.
        preparing_s = self._rng.random() if self._rng.random() < 0.05 else 0.002
        self._at(
            self.now + decision.wait_s + preparing_s,
            instance,
            self._send,
            expires_at,
        )

    def _send(self, expires_at):
        if self.now <= expires_at:
            self.arrivals.append(self.now + 0.001 + 0.004 * self._rng.random())

    def _find_owner(self):
        """Returns the instance that a majority asks for permits."""
        owners = [
            owner.port if owner is not None else one.number
            for one in self.instances
            if not one.is_dead
            for owner in [one.authority.find_owner("t1")]
        ]
        return self.instances[max(owners, key=owners.count)]

    def _fail(self):
        """Begins the fault."""
        fault = self.conditions.fault
        if "cut" in fault:
            self._sides = {
                one.number: self._rng.randrange(2) for one in self.instances
            }
            self._at(FAULT_S + self.conditions.fault_s, None, self._heal)
        if "kill" in fault:
            self._find_owner().is_dead = True
        if fault == "freeze":
            self._find_owner().frozen_until = self.now + self.conditions.fault_s

    def _heal(self):
        self._sides = {}


def draw_conditions(seed, instances=None):
    """Returns random conditions for a seed."""
    rng = random.Random(seed)
    return Conditions(
        instances=instances or rng.choice(SIZES),
        cold_per_s=rng.choice((0.5, 3.0, 10.0, 23.0, 60.0)),
        demand_ratio=rng.choice((1.5, 4.0, 10.0)),
        loss=rng.choice((0.0, 0.02, 0.1, 0.2)),
        late=rng.choice((0.0, 0.05, 0.2)),
        late_s=rng.choice((0.1, 0.5, 2.0)),
        max_wait_s=rng.choice((0.0, 0.3, 3.0)),
        fault=rng.choice(FAULTS),
        fault_s=rng.uniform(1.0, 18.0),
    )


def main():
    """Plays the seeds; returns 1 if one exceeds the bound."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--instances", type=int)
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        conditions = draw_conditions(seed, arguments.instances)
        fleet = ColdFleet(conditions, seed)
        most = fleet.run()
        used = fleet.used_share(COLD_FROM_S + 1, conditions.length_s)
        broken += most > conditions.allowed
        print(
            f"seed {seed}: most {most} in {WINDOW_S:g} s, allowed"
            f" {conditions.allowed:g},"
            f" used {used:.2f}, {conditions}",
            flush=True,
        )
    print(f"{arguments.seeds} seeds, {broken} beyond the bound")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
