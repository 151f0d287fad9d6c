"""Tests of the commands that need no daemon, and of the table output."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import main
from cardamomfork._internal.cli import output

CODE = exit_codes.ExitCode


def run_command(*arguments):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main.run(list(arguments))
    return code, out.getvalue(), err.getvalue()


class CommandTest(unittest.TestCase):
    def test_help_names_every_command(self):
        code, out, _ = run_command("--help")
        self.assertEqual(code, CODE.OK)
        for name in {**main.COMMANDS, **main.GROUPS}:
            self.assertIn(name, out)
            self.assertEqual(run_command(name, "--help")[0], CODE.OK, name)

    def test_unknown_command_is_a_usage_error(self):
        self.assertEqual(run_command("mesure")[0], CODE.USAGE)
        self.assertEqual(run_command("measure", "--seed", "x")[0], CODE.USAGE)

    def test_measure(self):
        code, out, _ = run_command("measure")
        self.assertIn("keys", out)
        code, out, _ = run_command("measure", "keys", "--smallest")
        self.assertEqual(code, CODE.OK)
        self.assertIn("us a check of a known key", out)
        code, _, err = run_command("measure", "kyes")
        self.assertEqual(code, CODE.NOT_FOUND)
        self.assertIn("did you mean 'keys'?", err)

    def test_explain_prints_the_lines_of_one_request(self):
        lines = [
            '12.3 node {"time":"2","message":"request ended",'
            '"request_id":"a1","status":503,"reason":"no target"}',
            '{"time":"1","message":"attempt ended","request_id":"a1"}',
            '{"time":"1","message":"request ended","request_id":"b2"}',
            "no json with a1",
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            path.write_text("\n".join(lines))
            code, out, _ = run_command("explain", "a1", str(path))
            self.assertEqual(code, CODE.OK)
            self.assertLess(out.index("attempt"), out.index("no target"))
            self.assertNotIn("b2", out)
            self.assertEqual(
                run_command("explain", "c3", str(path))[0], CODE.NOT_FOUND
            )
            missing = str(pathlib.Path(folder, "none"))
            self.assertNotEqual(
                run_command("explain", "a1", missing)[0], CODE.OK
            )

    def test_check_config(self):
        code, sample, _ = run_command("check-config", "--sample")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "d.ini")
            path.write_text(sample)
            self.assertEqual(run_command("check-config", str(path))[0], CODE.OK)
            path.write_text(sample + "\n[caller]\nport = x\n")
            code, out, err = run_command("check-config", str(path))
            self.assertEqual((code, out), (CODE.FINDINGS, ""))
            self.assertIn("[caller]: unknown section", err)
            _, out, _ = run_command(
                "check-config", str(path), "--output", "json"
            )
            (finding,) = json.loads(out)["findings"]
            self.assertEqual(finding["path"], "[caller]")

    def test_completion(self):
        code, out, _ = run_command("completion", "bash")
        self.assertEqual(code, CODE.OK)
        self.assertIn("check-config", out)


class TableTest(unittest.TestCase):
    def test_cells_are_aligned_and_truncated(self):
        table = output.Table(
            ("name", "size"), (("a", 5), ("b\n" + "c" * 99, 1234))
        )
        lines = table.to_text().splitlines()
        self.assertTrue(lines[1].endswith("     5"))
        self.assertEqual(len(lines), 3)
        self.assertLess(max(map(len, lines)), 80)
        self.assertEqual(table.to_objects()[0], {"name": "a", "size": 5})


if __name__ == "__main__":
    unittest.main()
