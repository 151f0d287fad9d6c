"""Graceful stops (SIGTERM) of real daemons under load."""

import time
import unittest

from tests.lib import fleet_load
from tests.lib import process_fleet

RECOVERY_S = 1.0
STOP_TIMEOUT_S = 30.0


class PlannedStopTest(unittest.TestCase):
    def test_simultaneous_graceful_stops_without_store_interrupt_no_request(
        self,
    ):
        with process_fleet.running() as fleet:
            with fleet_load.FleetLoad(fleet) as load:
                time.sleep(RECOVERY_S)
                self.stop_gracefully(fleet, load, fleet.daemons[:1])
                with fleet.store.paused():
                    self.stop_gracefully(fleet, load, fleet.daemons[1:])
                time.sleep(RECOVERY_S)
            fleet_load.check_bookings(self, fleet, load)
            self.assertEqual(load.problems, [])
            self.assertEqual(load.counts["cut"], 0, load.counts)
            self.assertEqual(load.counts["cut stream"], 0, load.counts)
            self.assertGreater(load.counts["whole"], 10, load.counts)

    def stop_gracefully(self, fleet, load, programs):
        """Removes daemons from the load balancer, stops and restarts them."""
        stopping_ports = {
            fleet.ports[fleet.daemons.index(one)] for one in programs
        }
        load.ports = [port for port in load.ports if port not in stopping_ports]
        for program in programs:
            program.process.terminate()
        for program in programs:
            self.assertEqual(program.process.wait(STOP_TIMEOUT_S), 0)
        for program in programs:
            program.start()
        load.ports = list(fleet.ports)


if __name__ == "__main__":
    unittest.main()
