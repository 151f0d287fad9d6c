"""Statuses of a fleet, asked of the instances that lag."""

import unittest

import anyio

from cardamomfork._internal.links.operators import fleet_status
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time


class StatusTest(unittest.TestCase):
    def test_lagging_instances_are_asked(self):
        virtual_time.run(self.scenario)

    async def scenario(self):
        made = fleet.Fleet([4, 3])
        asked = made.members[0]
        heard = asked.peering._participants[1]
        status = fleet_status.FleetStatus(
            asked.members,
            heard,
            asked.replica,
            asked.peering.ask,
            made.clock,
        )
        async with anyio.create_task_group() as group:
            made.start(group)
            await anyio.sleep(5)
            made.kill(made.members[3])
            key = "/cardamomfork/config/drain/e1"
            made.store.write(key, b'{"name": "e1"}', 0, 0)
            version = made.store.revision
            await anyio.sleep(20)
            await status.refresh(version)
            found = {s.instance_id: s for s in status.statuses()}
            self.assertEqual(len(found), 7)
            dead = found.pop(made.members[3].instance.instance_id)
            self.assertEqual(dead.state, instances.InstanceState.DEAD)
            self.assertEqual(
                {s.version for s in found.values()}, {version}, found
            )
            self.assertLess(max(s.age_s for s in found.values()), 21)
            group.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
