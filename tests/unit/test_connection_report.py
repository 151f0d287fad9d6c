"""Operators see which connections the limits closed, in a bounded log."""

import unittest

from loguru import logger

from cardamomfork._internal.gateway.serving import connection_report
from cardamomfork._internal.links import connection_limits
from cardamomfork._internal.links import connection_table
from cardamomfork._internal.links import held_memory


class _Connection:
    def evict(self):
        pass


class ConnectionReportTest(unittest.TestCase):
    def test_closed_connections_are_logged_once_a_second(self):
        table = connection_table.ConnectionTable(
            connection_limits.ConnectionLimits(max_connections=1), lambda: 0.0
        )
        report = connection_report.ConnectionReport(
            {"callers": table}, held_memory.make_memory()
        )
        records = []
        sink = logger.add(lambda message: records.append(message.record))
        self.addCleanup(logger.remove, sink)
        for now in (0.0, 0.5, 0.9, 1.0, 1.1, 2.5):
            for _ in range(3):
                table.add(_Connection())
            report.log(now)
        self.assertEqual(
            [record["extra"]["count"] for record in records], [2, 9, 6]
        )
        self.assertEqual(
            report.dump()["callers"],
            {"open": 1, "evicted": 17, "refused": 0, "statuses": {}},
        )
        table.count_refusal(431)
        report.log(4.0)
        self.assertEqual(records[-1]["extra"]["count"], 1)
        self.assertEqual(report.dump()["callers"]["statuses"], {"431": 1})


if __name__ == "__main__":
    unittest.main()
