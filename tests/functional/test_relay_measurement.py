"""The relay measurement runs, and its ways are told apart."""

import unittest

from cardamomfork._internal.measure import relay
from cardamomfork._internal.measure import reports


class RelayMeasurementTest(unittest.TestCase):
    """The smallest size gives a report of every way."""

    def test_smallest_size_reports_every_way(self):
        text = str(relay.measure(reports.Options(smallest=True)))
        for way in relay.RELAY_VARIANTS:
            self.assertIn(way, text)
        self.assertIn("us a token at 20 streams", text)


if __name__ == "__main__":
    unittest.main()
