"""Checks that the commands named in docs/CAPACITY.md exist and run."""

import importlib
import pathlib
import re
import unittest

from cardamomfork._internal.measure import reports

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
COMMAND = re.compile(r"cardamomfork measure ([a-z_]+)")


class CapacityPageTest(unittest.TestCase):
    def test_named_commands_run_at_their_smallest_size(self):
        names = sorted(set(COMMAND.findall(PAGE.read_text(encoding="utf-8"))))
        self.assertGreater(len(names), 5)
        for name in names:
            with self.subTest(command=name):
                module = importlib.import_module(
                    f"cardamomfork._internal.measure.{name}"
                )
                report = module.measure(reports.Options(smallest=True))
                self.assertIn(name, str(report))
