"""Tests of a request that crashes each engine that runs it.

Real processes; engines are restarted by a supervisor.
"""

import asyncio
import unittest

from tests.lib import crashing_fleet

SECONDS = 12.0
RESTART_INTERVAL_S = 5.0


async def kill_all_instances_twice(deployment):
    """Kills and restarts all entry instances at the same time, twice."""
    for _ in range(2):
        await asyncio.sleep(RESTART_INTERVAL_S)
        for process in deployment.entries.values():
            await process.kill()
        for process in deployment.entries.values():
            await process.start()


class CrashingRequestTest(unittest.TestCase):
    def test_engines_that_restart_fast_do_not_hide_crashes(self):
        deployment, _ = asyncio.run(
            crashing_fleet.run(
                2, SECONDS, crashing_fleet.Options(pause_s=1.0, away_s=1.0)
            )
        )
        self.assertLessEqual(
            deployment.late_runs(), crashing_fleet.MAX_LATE_RUNS
        )

    def test_callers_of_all_instances_at_once_do_not_hide_crashes(self):
        # Guards against crashes of all engines at the same moment, which look
        # like a cut of the instances' links.
        for keeps_id in (True, False):
            with self.subTest(keeps_id=keeps_id):
                deployment, _ = asyncio.run(
                    crashing_fleet.run(
                        4,
                        SECONDS,
                        crashing_fleet.Options(
                            engines=3,
                            ledgers=0,
                            callers=3,
                            pause_s=0.5,
                            keeps_id=keeps_id,
                            path=f"{crashing_fleet.SINGLE_ATTEMPT_PATH}a",
                        ),
                    )
                )
                self.assertLessEqual(
                    deployment.late_runs(), crashing_fleet.MAX_LATE_RUNS
                )
                self.assertGreaterEqual(
                    len(deployment.crash_times()),
                    crashing_fleet.MAX_COUNTED_CRASHES,
                )

    def test_restarts_of_all_instances_do_not_forget_crashes(self):
        deployment, _ = asyncio.run(
            crashing_fleet.run(
                3,
                2 * SECONDS,
                crashing_fleet.Options(pause_s=0.5, away_s=1.0),
                kill_all_instances_twice,
            )
        )
        self.assertLessEqual(
            deployment.late_runs(), crashing_fleet.MAX_LATE_RUNS
        )


if __name__ == "__main__":
    unittest.main()
