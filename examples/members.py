"""Five instances monitor each other; one becomes unreachable."""

from __future__ import annotations

import random

import anyio

from cardamomfork.coordination import clocks
from cardamomfork.coordination import membership

TIMEOUT_S = 60.0
BYTES_PER_S = 6000.0


def make_instance(
    instance: membership.Instance, network: membership.PeerNetwork
) -> tuple[membership.Membership, membership.Peering]:
    """Creates the components of an instance and serves it on the network."""
    rng = random.Random(instance.instance_id)
    clock = clocks.LoopClock()
    members = membership.Membership(instance, rng)
    summaries = membership.DataCentreSummaries(members, clock, rng)
    peering = membership.Peering(
        members,
        summaries,
        [membership.MembershipGossip(members, summaries)],
        membership.ByteBudget(BYTES_PER_S),
        clock,
        rng,
    )
    network.serve(instance, peering)
    return members, peering


async def main() -> None:
    """Runs until all others have declared the unreachable instance dead."""
    names = [f"instance-{number}" for number in range(5)]
    instances = [
        membership.Instance(name, "boot-1", "weilheim", name, 8481)
        for name in names
    ]
    network = membership.PeerNetwork()
    nodes = [make_instance(instance, network) for instance in instances]
    async with anyio.create_task_group() as group:
        for instance, (members, peering) in zip(instances, nodes, strict=True):
            members.hear_list(instances, 0.0)
            group.start_soon(peering.run, network.link(instance))
        await anyio.sleep(2)
        print("live at first:", len(nodes[0][0].live()))
        network.down.add(names[4])
        with anyio.fail_after(TIMEOUT_S):
            while any(len(members.live()) > 4 for members, _ in nodes[:4]):
                await anyio.sleep(0.1)
        print("live in the end:", len(nodes[0][0].live()))
        owner = membership.owners("job", sorted(names[:4]), 1)
        print("owner of the job is one of them:", owner[0] in names[:4])
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
