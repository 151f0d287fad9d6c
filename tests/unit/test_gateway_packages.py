"""Tests that the gateway's packages import each other in one direction."""

import pathlib
import re
import unittest

GATEWAY = (
    pathlib.Path(__file__).resolve().parents[2]
    / "src"
    / "cardamomfork"
    / "_internal"
    / "gateway"
)
PACKAGES = (
    "store",
    "state",
    "choice",
    "connections",
    "requests",
    "crashes",
    "peers",
    "paths",
    "queueing",
    "serving",
    "wiring",
)
"""Each package may import those before it."""
IMPORT = re.compile(
    r"^\s*from cardamomfork\._internal\.gateway(?:\.(\w+))? import (\w+)",
    re.MULTILINE,
)


class PackagesTest(unittest.TestCase):
    def test_every_package_has_a_place_in_the_order(self):
        found = {path.parent.name for path in GATEWAY.glob("*/__init__.py")}
        self.assertEqual(found, set(PACKAGES))

    def test_packages_import_only_earlier_packages(self):
        for position, package in enumerate(PACKAGES):
            allowed = PACKAGES[: position + 1]
            for path in sorted((GATEWAY / package).glob("*.py")):
                text = path.read_text(encoding="utf-8")
                for imported, module in IMPORT.findall(text):
                    self.assertIn(imported, allowed, f"{path}: {module}")


if __name__ == "__main__":
    unittest.main()
