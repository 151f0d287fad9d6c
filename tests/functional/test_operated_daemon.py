"""Tests of the command-line tool against a running daemon process."""

import contextlib
import io
import json
import os
import pathlib
import re
import signal
import tempfile
import time
import unittest
from unittest import mock

from cardamomfork._internal import embedded
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import main
from tests.lib import daemons

POLL_INTERVAL_S = 0.1
CODE = exit_codes.ExitCode
PROMPT = {"model": "demo-model", "prompt": "Hello", "max_tokens": 2}


class OperatedDaemonTest(unittest.TestCase):
    def setUp(self):
        self.daemon = self.enterContext(daemons.running())
        variables = {
            "CARDAMOMFORK_ADDRESS": f"127.0.0.1:{self.daemon.operators_port}",
            "CARDAMOMFORK_KEY": embedded.OPERATOR_KEY,
        }
        self.enterContext(mock.patch.dict(os.environ, variables))

    def run_tool(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main.run([*arguments, "--output", "json"])
        self.assertEqual(code, CODE.OK, err.getvalue())
        return json.loads(out.getvalue())

    def test_created_account_is_served_until_its_key_is_revoked(self):
        account = {"kind": "account", "name": "bench", "based_on": 0}
        account["value"] = {"requests_per_s": 50.0}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "changes.json")
            path.write_text(json.dumps([account]))
            self.run_change("apply", str(path))
        rotated = self.run_change("keys", "rotate", "bench")
        key = rotated["key"]
        answer = self.daemon.request("POST", "/v1/completions", PROMPT, key)
        self.assertEqual(answer[0], 200)
        self.run_change("keys", "revoke", "bench", key.partition(".")[0])
        answer = self.daemon.request("POST", "/v1/completions", PROMPT, key)
        self.assertEqual(answer[0], 401)

    def test_drained_engine_takes_no_new_work(self):
        self.run_change("drain", "demo-engine", "--reason", "fan")
        headers = [("Request-Timeout", "1")]
        answer = self.daemon.request(
            "POST", "/v1/completions", PROMPT, headers=headers
        )
        self.assertEqual(json.loads(answer[2])["outcome"], "not_run")
        self.run_change("undrain", "demo-engine")
        answer = self.daemon.request("POST", "/v1/completions", PROMPT)
        self.assertEqual(answer[0], 200)

    def test_drained_instance_is_not_ready_until_undrained(self):
        for command, status in (("drain", 503), ("undrain", 200)):
            self.run_change(command, "instance-1")
            answer = self.daemon.request("GET", "/readyz")
            self.assertEqual(answer[0], status)

    def test_dump_on_request_and_by_signal(self):
        dumped = self.run_tool("dump")
        names = {table["name"] for table in dumped["tables"]}
        self.assertIn("fleet.configuration", names)
        self.daemon.process.send_signal(signal.SIGUSR1)
        for line in self.daemon.process.stderr:
            record = json.loads(line)
            if "tables" in record:
                break
        self.assertEqual({t["name"] for t in record["tables"]}, names)

    def scrape(self):
        status, headers, body = self.daemon.request("GET", "/metrics")
        self.assertEqual(status, 200)
        self.assertTrue(headers[b"content-type"].startswith(b"text/plain"))
        return body.decode()

    def test_scrape_counts_served_and_refused_requests(self):
        for body in (
            {**PROMPT, "stream": True},
            {**PROMPT, "model": "missing"},
            {**PROMPT, "stream": True, "max_tokens": 3},
        ):
            self.daemon.request("POST", "/v1/completions", body)
        self.daemon.request("POST", "/v1/completions", PROMPT, "wrong")
        self.daemon.request("POST", "/v1/completions", {"model": 1})
        text = self.scrape()
        for series, value in (
            (r'first_token_seconds_count\{.*prompt_length="<1k"', 2),
            (r'slowdown_count\{.*prompt_length="<1k"', 2),
            (r'requests_total\{.*outcome="done".*service="demo"', 2),
            (r'requests_total\{.*reason="unauthenticated".*service=""', 1),
            (r'requests_total\{.*reason="unknown_service".*service=""', 1),
            (r'requests_total\{.*reason="invalid".*service=""', 1),
            (r'goodput_total\{.*service="demo"', 2),
            (r'tries_total\{.*kind="first"', 2),
            (r'limit_decisions_total\{.*decision="admitted"', 2),
            ("queue_length", 0),
        ):
            found = re.search(rf"^cardamomfork_{series}.* (\S+)$", text, re.M)
            self.assertIsNotNone(found, series)
            self.assertEqual(float(found[1]), value, series)

    def test_page_names_the_exported_metrics_and_no_others(self):
        self.daemon.request(
            "POST", "/v1/completions", {**PROMPT, "stream": True}
        )
        text = self.scrape()
        while "loop_lag" not in text:
            # The event loop's lag is first measured some time after the start.
            time.sleep(POLL_INTERVAL_S)
            text = self.scrape()
        kinds = dict(re.findall(r"^# TYPE (\S+) (\w+)$", text, re.M))
        exported = {name for name in kinds if name.startswith("cardamomfork_")}
        page = pathlib.Path(__file__).parents[2] / "docs/operators/metrics.md"
        listed = re.findall(r"`(cardamomfork_\w+)`", page.read_text())
        self.assertEqual(set(listed), exported)

    def test_dump_covers_all_components_without_prompts_and_keys(self):
        prompt = {**PROMPT, "prompt": "unmistakable words", "stream": True}
        self.daemon.request("POST", "/v1/completions", prompt)
        self.run_change("drain", "demo-engine", "--reason", "fan")
        while not self.run_tool("dump", "targets.loads")["tables"][0]["rows"]:
            # The engine's load is polled periodically.
            time.sleep(POLL_INTERVAL_S)
        dumped = self.run_tool("dump")
        tables = {table["name"]: table for table in dumped["tables"]}
        for table in tables.values():
            self.assertEqual(table["fault"], "", table["name"])
            self.assertGreater(table["bound"], 0, table["name"])
            self.assertLessEqual(len(table["rows"]), table["size"])
        for name, column, value in (
            ("requests.ended", "outcome", "done"),
            ("requests.retry_budgets", "service", "demo"),
            ("targets.views", "target", "demo-engine"),
            ("targets.leaving", "causes", "drained"),
            ("targets.loads", "target", "demo-engine"),
            ("limits.accounts", "account", "demo"),
            ("fleet.instances", "state", "alive"),
            ("fleet.configuration", "kind", "service"),
            ("fleet.peer_bytes", "topic", "limits"),
        ):
            values = [row[column] for row in tables[name]["rows"]]
            self.assertIn(value, values, name)
        text = json.dumps(dumped)
        self.assertNotIn("unmistakable", text)
        self.assertNotIn(embedded.ACCOUNT_KEY, text)
        self.assertNotIn(embedded.OPERATOR_SECRET, text)

    def test_incidents_page_names_the_tables_of_the_dump(self):
        tables = {table["name"] for table in self.run_tool("dump")["tables"]}
        page = pathlib.Path(__file__).parents[2] / "docs/operators/incidents.md"
        listed = re.findall(
            r"^\| `([a-z]+\.[a-z_]+)` \|", page.read_text(), re.M
        )
        self.assertEqual(set(listed), tables)

    def test_daemon_survives_many_short_connections(self):
        for _ in range(40):
            self.run_tool("status")
        self.assertIsNone(self.daemon.process.poll())

    def run_change(self, *arguments):
        """Runs a command that writes objects; waits until they are in force."""
        answer = self.run_tool(*arguments)
        for accepted in answer.get("accepted", [answer]):
            self.run_tool("status", "--wait", str(accepted["version"]))
        return answer


if __name__ == "__main__":
    unittest.main()
