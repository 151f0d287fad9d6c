"""Fleet status: gossiped revisions, refreshed from lagging instances."""

import unittest

import anyio

from cardamomfork._internal.links.operators import fleet_status
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time


class FleetStatusTest(unittest.TestCase):
    """A refresh queries the instances that lag behind a version."""

    def test_lagging_instances_are_asked(self):
        virtual_time.run(self.scenario)

    async def scenario(self):
        simulated = fleet.Fleet([4, 3])
        member = simulated.members[0]
        received_revisions = member.peering._participants[1]
        status = fleet_status.FleetStatus(
            member.members,
            received_revisions,
            member.replica,
            member.peering.ask,
            simulated.clock,
        )
        async with anyio.create_task_group() as group:
            simulated.start(group)
            await anyio.sleep(5)
            simulated.kill(simulated.members[3])
            key = "/cardamomfork/config/drain/e1"
            simulated.store.write(key, b'{"name": "e1"}', 0, 0)
            version = simulated.store.revision
            await anyio.sleep(20)
            await status.refresh(version)
            by_instance = {s.instance_id: s for s in status.statuses()}
            self.assertEqual(len(by_instance), 7)
            dead = by_instance.pop(simulated.members[3].instance.instance_id)
            self.assertEqual(dead.state, instances.InstanceState.DEAD)
            self.assertEqual(
                {s.version for s in by_instance.values()},
                {version},
                by_instance,
            )
            self.assertLess(max(s.age_s for s in by_instance.values()), 21)
            group.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
