"""Checks that the relay measurement runs and reports each variant."""

import unittest

from cardamomfork._internal.measure import relay
from cardamomfork._internal.measure import reports


class RelayMeasurementTest(unittest.TestCase):
    """Runs the measurement at its smallest size."""

    def test_smallest_size_reports_every_variant(self):
        text = str(relay.measure(reports.Options(smallest=True)))
        for way in relay.RELAY_VARIANTS:
            self.assertIn(way, text)
        self.assertIn("us a token at 20 streams", text)


if __name__ == "__main__":
    unittest.main()
