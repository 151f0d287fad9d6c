"""Tests of fits and tables of the measurement reports."""

import unittest

from cardamomfork._internal.measure import reports


class SlopeTest(unittest.TestCase):
    def test_fit_and_bound(self):
        slope = reports.Slope(
            "us", "peers", ((1, 3.0), (2, 5.0), (4, 9.0)), 21.0, 8
        )
        self.assertAlmostEqual(slope.fit[0], 2.0)
        self.assertAlmostEqual(slope.fit[1], 1.0)
        self.assertAlmostEqual(slope.at_target, 17.0)
        self.assertAlmostEqual(slope.size_at_bound, 10.0)
        self.assertLess(slope.max_relative_error, 1e-9)

    def test_table_aligns(self):
        table = reports.Table("t", ("a", "bb"), (("10", "2"),))
        self.assertEqual(str(table), "t\n a  bb\n10   2")
