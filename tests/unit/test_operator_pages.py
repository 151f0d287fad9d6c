"""The operators' pages agree with commands, exit codes and settings."""

import json
import pathlib
import re
import unittest

from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import main
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.configuration import validation
from cardamomfork._internal.settings import sections

PAGES = pathlib.Path(__file__).parents[2] / "docs" / "operators"


def read(name):
    return (PAGES / f"{name}.md").read_text()


class OperatorPagesTest(unittest.TestCase):
    def test_change_set_has_no_findings(self):
        text = read("services-and-accounts")
        start = text.index("    [\n")
        data = text[start : text.index("    ]\n") + 6].encode()
        json.loads(data)
        changes = change_sets.parse(data, "page").unwrap()
        decoded = [
            (c.kind, c.name, codec.decode(c.kind, c.name, c.body).unwrap())
            for c in changes
        ]
        held = replica.ConfigurationReplica()
        self.assertEqual(validation.check_changes(decoded, held), ())

    def test_exit_codes(self):
        rows = re.findall(r"^\| (\d+) \|", read("services-and-accounts"), re.M)
        self.assertEqual(
            [int(row) for row in rows], [int(c) for c in exit_codes.ExitCode]
        )

    def test_commands_exist(self):
        known = {**main.COMMANDS, **main.GROUPS}
        found = set()
        for page in PAGES.glob("*.md"):
            found |= set(
                re.findall(
                    r"(?:`|    |^)cardamomfork ([a-z-]+)",
                    page.read_text(),
                    re.M,
                )
            )
        self.assertGreater(len(found), 10)
        self.assertLessEqual(found, set(known))

    def test_sections_of_the_settings(self):
        rows = re.findall(r"^\| `\[(\w+)\]`", read("settings"), re.M)
        self.assertEqual(rows, list(sections.SECTIONS))


if __name__ == "__main__":
    unittest.main()
