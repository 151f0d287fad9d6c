"""Kills and pauses each process of a fleet in turn, under load.

The store is only paused, because the stand-in is not persistent, unlike the
platform's store. Callers of a killed or paused process may lose their
connection; all others must get a complete response or a typed error.
"""

import json
import time
import unittest

import httpcore

from tests.lib import fleet_load
from tests.lib import process_fleet

PAUSE_S = 1.5
RECOVERY_S = 1.0


def fetch_reservations(port):
    """Returns the reservations that an engine holds for attempts."""
    url = f"http://{process_fleet.HOST}:{port}/extension/reservations"
    return json.loads(httpcore.request("GET", url).content)


class ProcessFaultTest(unittest.TestCase):
    def test_callers_get_correct_outcomes_when_processes_die_or_pause(self):
        with process_fleet.running() as fleet:
            with fleet_load.FleetLoad(fleet) as load:
                time.sleep(RECOVERY_S)
                for program in [*fleet.daemons, *fleet.engines]:
                    self.kill_and_restart(program)
                for program in fleet.programs:
                    with program.paused():
                        time.sleep(PAUSE_S)
                    time.sleep(RECOVERY_S)
            fleet_load.check_bookings(self, fleet, load)
            self.assertEqual(load.problems, [])
            self.assertGreater(load.counts["whole"], 10, load.counts)
            self.assertGreater(load.counts["booking done"], 10, load.counts)
            for port in fleet.engine_ports:
                is_released = process_fleet.wait_until(
                    lambda port=port: (
                        not any(fetch_reservations(port).values())
                    ),
                    60.0,
                )
                self.assertTrue(is_released, fetch_reservations(port))

    def kill_and_restart(self, program):
        """Kills a program and starts it again."""
        program.kill()
        time.sleep(RECOVERY_S)
        program.start()
        time.sleep(RECOVERY_S)


if __name__ == "__main__":
    unittest.main()
