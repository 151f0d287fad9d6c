"""News of a leaving target reach every data centre at once."""

import unittest

import anyio

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time
from cardamomfork._internal.targets import leaving

CENTRES = 8
SETTLE_S = 30.0
AT_ONCE_S = 0.3


class SpreadTest(unittest.TestCase):
    def test_delegate_tells_every_data_centre_at_once(self):
        marks = {}

        def participants(members, _others):
            held = leaving.LeavingTargets()
            marks[members.me.instance.instance_id] = held
            return [held]

        async def scenario():
            ran = fleet.Fleet((2,) * CENTRES, 1, participants)
            async with anyio.create_task_group() as group:
                ran.start(group)
                await anyio.sleep(SETTLE_S)
                first = ran.members[0]
                held = marks[first.instance.instance_id]
                held.mark("t", leaving.Cause.SAID, "boot")
                first.peering.spread(gossip.Topic.LEAVING)
                await anyio.sleep(AT_ONCE_S)
                reached = {
                    member.instance.data_centre
                    for member in ran.members
                    if marks[member.instance.instance_id].is_leaving("t")
                }
                group.cancel_scope.cancel()
            return reached

        self.assertEqual(len(virtual_time.run(scenario)), CENTRES)


if __name__ == "__main__":
    unittest.main()
