"""Tests that wire names are confined to the adapter and the stand-ins."""

import pathlib
import re
import unittest

SOURCES = pathlib.Path(__file__).resolve().parents[2] / "src" / "cardamomfork"
ADAPTER = SOURCES / "_internal" / "platform"
STANDINS = SOURCES / "_internal" / "standins"
WIRE_NAMES = re.compile(
    r"x-cardamomfork-|/-/|\bkv-(key|range|watch|txn|lease|keep)|op/config"
    r"|\bservers/|holdMs|ttlMs|waitMs|storeRevision|apiKeys|targetLatencyMs"
    r"|kvCapacity|Not-Executed|At-Server|\bdrainTimeoutMs|\breadyAddr",
    re.IGNORECASE,
)


def list_sources():
    """Returns the files outside the adapter and the stand-ins."""
    return [
        path
        for path in sorted(SOURCES.rglob("*.py"))
        if ADAPTER not in path.parents and STANDINS not in path.parents
    ]


class BoundaryTest(unittest.TestCase):
    def test_wire_names_are_confined_to_the_adapter(self):
        for path in list_sources():
            found = WIRE_NAMES.search(path.read_text(encoding="utf-8"))
            self.assertIsNone(found, f"{path}: {found}")

    def test_only_composition_roots_import_the_adapter(self):
        importing = {
            path.relative_to(SOURCES / "_internal").as_posix()
            for path in list_sources()
            if "_internal.platform " in path.read_text(encoding="utf-8")
        }
        self.assertEqual(
            importing, {"composition/store_sessions.py", "gateway/daemon.py"}
        )

    def test_adapter_does_not_depend_on_the_gateway(self):
        for path in sorted(ADAPTER.glob("*.py")):
            text = path.read_text(encoding="utf-8")
            self.assertNotIn("_internal.gateway", text, path)
            self.assertNotIn("import random", text, path)


if __name__ == "__main__":
    unittest.main()
