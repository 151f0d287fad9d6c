"""Loading of settings files and reporting of all findings."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies as st

from cardamomfork._internal.models import settings
from cardamomfork._internal.settings import loader
from cardamomfork._internal.settings import sections
from tests.lib import seeds

BROKEN = """\
[instance]
instance_id = Bad Name
data_centre = rosenheim
dran_timeout_s = 4

[callers]
host = localhost
port = 99999
port = 8480
max_body_bytes = many
tls_certificate = /nonexistent/server.pem

[caller]
port = 1

[peers]
seeds = 10.0.0.1:8481, somewhere:1
bytes_per_s = nan

[telemetry]
log_level = LOUD

[operators]
keys =
    0123abcd:00:11
    the-secret-itself
"""


class LoaderTest(unittest.TestCase):
    def test_sample_is_valid_and_lists_every_key(self):
        loaded = loader.load(loader.SAMPLE_PATH)
        self.assertEqual(
            loaded.unwrap(), settings.DaemonSettings(embedded=True)
        )
        lines = loader._index_lines(loader.SAMPLE_PATH.read_text()).line_numbers
        for name, section in sections.SECTIONS.items():
            for key in section.parsers:
                self.assertIn((name, key), lines)

    def test_all_findings_are_reported_with_lines(self):
        findings = loader.parse(BROKEN, "x.ini").unwrap_err()
        places = [(f.place.line, f.place.path) for f in findings]
        self.assertEqual(
            places,
            [
                (2, "[instance] instance_id"),
                (4, "[instance] dran_timeout_s"),
                (7, "[callers] host"),
                (9, "[callers] port"),
                (10, "[callers] max_body_bytes"),
                (11, "[callers] tls_certificate"),
                (13, "[caller]"),
                (17, "[peers] seeds"),
                (18, "[peers] bytes_per_s"),
                (21, "[telemetry] log_level"),
                (24, "[operators] keys"),
            ],
        )
        text = "\n".join(map(str, findings))
        self.assertIn("x.ini:4: [instance] dran_timeout_s", text)
        self.assertIn("did you mean 'drain_timeout_s'?", text)
        self.assertIn("did you mean 'callers'?", text)
        self.assertIn("is already set in line 8", text)
        self.assertNotIn("the-secret-itself", text)

    def test_conflicting_values(self):
        text = (
            "[callers]\nport = 7\n[peers]\nport = 7\n"
            f"[operators]\ntls_key = {__file__}\n"
        )
        findings = loader.parse(text, "x.ini").unwrap_err()
        self.assertEqual(
            [f.place.path for f in findings],
            ["[store] endpoints", "[peers] port", "[operators] tls_key"],
        )
        findings = loader.parse(text, "x.ini", embedded=True).unwrap_err()
        self.assertEqual(len(findings), 2)

    def test_malformed_lines(self):
        findings = loader.parse("port = 1\n[callers]\n", "x").unwrap_err()
        self.assertEqual(findings[0].place.line, 1)
        findings = loader.parse("[callers]\nport\nhost\n", "x").unwrap_err()
        self.assertEqual([f.place.line for f in findings], [2, 3])

    @seeds.STEADY
    @hypothesis.given(
        st.text(alphabet="[]=:;# \n\tportcalers*\0\r", max_size=60)
    )
    def test_any_text_gives_findings_with_lines(self, text):
        parsed = loader.parse(text, "x")
        for finding in parsed.unwrap_err():
            line = finding.place.line
            self.assertTrue(line is None or line >= 1, finding)

    def test_missing_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "no.ini")
            findings = loader.load(path).unwrap_err()
        self.assertIn("cannot be read", findings[0].message)


if __name__ == "__main__":
    unittest.main()
