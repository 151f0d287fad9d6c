"""Kills and pauses of each real process in turn, under load.

The store is paused only: the platform's keeps what it holds, the stand-in
would not. Callers of a process that was killed or paused may see their
connection end; everybody else gets a whole answer or a typed end.
"""

import json
import time
import unittest

import httpcore

from tests.lib import fleet_load
from tests.lib import process_fleet

PAUSE_S = 1.5
RECOVERY_S = 1.0


def reservations(port):
    """What an engine still holds for attempts."""
    url = f"http://{process_fleet.HOST}:{port}/extension/reservations"
    return json.loads(httpcore.request("GET", url).content)


class ProcessFaultTest(unittest.TestCase):
    def test_no_promise_breaks_when_each_process_dies_or_stops(self):
        with process_fleet.running() as fleet:
            with fleet_load.FleetLoad(fleet) as load:
                time.sleep(RECOVERY_S)
                for program in [*fleet.daemons, *fleet.engines]:
                    self.strike(program)
                for program in fleet.programs:
                    with program.paused():
                        time.sleep(PAUSE_S)
                    time.sleep(RECOVERY_S)
            fleet_load.check_bookings(self, fleet, load)
            self.assertEqual(load.problems, [])
            self.assertGreater(load.counts["whole"], 10, load.counts)
            self.assertGreater(load.counts["booking done"], 10, load.counts)
            for port in fleet.engine_ports:
                freed = process_fleet.wait_until(
                    lambda port=port: not any(reservations(port).values()), 60.0
                )
                self.assertTrue(freed, reservations(port))

    def strike(self, program):
        """Kills a program and starts it again."""
        program.kill()
        time.sleep(RECOVERY_S)
        program.start()
        time.sleep(RECOVERY_S)


if __name__ == "__main__":
    unittest.main()
