"""A leaving mark reaches every data centre within a fraction of a second."""

import unittest

import anyio

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time
from cardamomfork._internal.targets import leaving

DATA_CENTRE_COUNT = 8
SETTLE_S = 30.0
MAX_SPREAD_S = 0.3


class SpreadTest(unittest.TestCase):
    def test_mark_reaches_every_data_centre_at_once(self):
        marks = {}

        def participants(members, _others):
            local_marks = leaving.LeavingTargets()
            marks[members.me.instance.instance_id] = local_marks
            return [local_marks]

        async def scenario():
            simulated_fleet = fleet.Fleet(
                (2,) * DATA_CENTRE_COUNT, 1, participants
            )
            async with anyio.create_task_group() as group:
                simulated_fleet.start(group)
                await anyio.sleep(SETTLE_S)
                first = simulated_fleet.members[0]
                local_marks = marks[first.instance.instance_id]
                local_marks.mark("t", leaving.Cause.SAID, "boot")
                first.peering.spread(gossip.Topic.LEAVING)
                await anyio.sleep(MAX_SPREAD_S)
                reached = {
                    member.instance.data_centre
                    for member in simulated_fleet.members
                    if marks[member.instance.instance_id].is_leaving("t")
                }
                group.cancel_scope.cancel()
            return reached

        self.assertEqual(len(virtual_time.run(scenario)), DATA_CENTRE_COUNT)


if __name__ == "__main__":
    unittest.main()
