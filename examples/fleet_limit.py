"""Three instances share a limit while one, and then all, receive load."""

from __future__ import annotations

import random

import anyio
import attrs

from cardamomfork.coordination import clocks
from cardamomfork.coordination import limits
from cardamomfork.coordination import membership

LIMIT_PER_S = 100.0
OFFERED_PER_S = 200.0
SETTLING_S = 4.0
MEASUREMENT_S = 3.0
BYTES_PER_S = 6000.0
ACCOUNT = limits.ClientAccount("bench", requests_per_s=LIMIT_PER_S)


@attrs.define
class LoadedInstance:
    """An instance's limiter and the number of requests it admitted."""

    limiter: limits.FleetLimiter
    peering: membership.Peering
    admitted: int = 0

    async def offer(self, seconds: float) -> None:
        """Offers requests at a constant rate."""
        clock = clocks.LoopClock()
        for _ in range(int(OFFERED_PER_S * seconds)):
            now = clock.monotonic()
            grant = self.limiter.admit(ACCOUNT.name, 100, now)
            if grant.is_ok():
                self.admitted += 1
                self.limiter.release(grant.unwrap(), now)
            await anyio.sleep(1 / OFFERED_PER_S)


def make_instance(
    instance: membership.Instance,
    instances: list[membership.Instance],
    network: membership.PeerNetwork,
) -> LoadedInstance:
    """Creates the components of an instance and serves it on the network."""
    rng = random.Random(instance.instance_id)
    clock = clocks.LoopClock()
    members = membership.Membership(instance, rng)
    members.hear_list(instances, 0.0)
    summaries = membership.DataCentreSummaries(members, clock, rng)
    reach = limits.Reach(members, summaries)
    table = limits.ClaimTable(reach)
    limiter = limits.FleetLimiter(reach, table)
    limiter.apply_account(ACCOUNT)
    gossip = limits.LimitsGossip(instance.instance_id, limiter, table, reach)
    peering = membership.Peering(
        members,
        summaries,
        [membership.MembershipGossip(members, summaries), gossip],
        membership.ByteBudget(BYTES_PER_S),
        clock,
        rng,
    )
    network.serve(instance, peering)
    return LoadedInstance(limiter, peering)


async def measure(loaded_instances: list[LoadedInstance]) -> float:
    """Returns the admitted fraction of the limit once shares converged."""
    for seconds in (SETTLING_S, MEASUREMENT_S):
        for instance in loaded_instances:
            instance.admitted = 0
        async with anyio.create_task_group() as group:
            for instance in loaded_instances:
                group.start_soon(instance.offer, seconds)
    return (
        sum(instance.admitted for instance in loaded_instances)
        / MEASUREMENT_S
        / LIMIT_PER_S
    )


async def main() -> None:
    """Applies load to one instance, then to all three."""
    instances = [
        membership.Instance(f"i{n}", "boot-1", "weilheim", f"i{n}", 8481)
        for n in range(3)
    ]
    network = membership.PeerNetwork()
    running_instances = [
        make_instance(instance, instances, network) for instance in instances
    ]
    async with anyio.create_task_group() as group:
        for instance, running in zip(instances, running_instances, strict=True):
            group.start_soon(running.peering.run, network.link(instance))
        print(
            "one busy gets nearly all:",
            await measure(running_instances[:1]) > 0.85,
        )
        total = await measure(running_instances)
        print("all busy stay near the limit:", 0.8 < total < 1.2)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
