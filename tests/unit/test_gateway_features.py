"""Tests of the file that switches features of an entry instance."""

import pathlib
import tempfile
import unittest

import click.testing

from cardamomfork._internal import exceptions
from cardamomfork._internal.gateway import daemon
from cardamomfork._internal.models import settings
from cardamomfork._internal.settings import sections

ROOT = pathlib.Path(__file__).resolve().parents[2]


class FeaturesTest(unittest.TestCase):
    def load(self, data):
        with tempfile.NamedTemporaryFile(suffix=".ini") as file:
            file.write(data)
            file.flush()
            return daemon.load_features(file.name)

    def test_without_a_file_all_features_have_their_defaults(self):
        features = daemon.load_features(None)
        self.assertEqual(features, settings.EntryFeatures())
        self.assertFalse(features.sharing.fair_order)
        self.assertEqual(self.load(b""), features)

    def test_file_of_the_deployment_has_no_findings(self):
        features = daemon.load_features(str(ROOT / "deploy" / "entry.ini"))
        self.assertTrue(features.sharing.fair_order)

    def test_all_findings_are_reported_together(self):
        with self.assertRaises(exceptions.SettingsError) as raised:
            self.load(
                b"[sharing]\nfair_order = maybe\nfair_oder = 1\n[other]\nx=1\n"
            )
        lines = str(raised.exception).splitlines()
        self.assertEqual(len(lines), 3)
        self.assertIn(":2: [sharing] fair_order", lines[0])
        self.assertIn("did you mean 'fair_order'?", lines[1])
        self.assertIn("unknown section", lines[2])

    def test_unreadable_files_are_reported(self):
        for data in (b"\xff\xfe", b"fair_order = yes"):
            with self.assertRaises(exceptions.SettingsError):
                self.load(data)
        with self.assertRaises(exceptions.SettingsError):
            daemon.load_features("/nonexistent/entry.ini")

    def test_each_setting_is_on_the_operators_page(self):
        page = (ROOT / "docs" / "operators" / "scarce-room.md").read_text()
        for name, section in sections.FEATURE_SECTIONS.items():
            self.assertIn(f"`[{name}]`", page)
            for key in section.parsers:
                self.assertIn(f"`{key}`", page)

    def test_program_without_a_platform_says_why_it_cannot_start(self):
        ran = click.testing.CliRunner().invoke(
            daemon.main, ["--settings", "/nonexistent"], env={}
        )
        self.assertEqual(ran.exit_code, 1)


if __name__ == "__main__":
    unittest.main()
