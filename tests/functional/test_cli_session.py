"""Tests of commands against an operators' server in another thread."""

import contextlib
import io
import json
import os
import pathlib
import tempfile
import threading
import unittest
from unittest import mock

import anyio
import capnp

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import main
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links.operators import server
from cardamomfork._internal.models import settings
from tests.lib import operator_fixture

CODE = exit_codes.ExitCode
ACCOUNT = {
    "kind": "account",
    "name": "bench",
    "based_on": 0,
    "value": {"requests_per_s": 5.0},
}

ENGINE = {
    "target_id": "e1",
    "kind": "engine",
    "host": "127.0.0.1",
    "port": 1,
    "data_centre": "dc",
}
SERVICE = {
    "kind": "service",
    "name": "pool",
    "value": {"kind": "model", "models": ["m"], "targets": [ENGINE]},
}


class ServerThread(threading.Thread):
    """Runs the operators' server until `stop` is called."""

    def __init__(self):
        super().__init__()
        self.ready = threading.Event()
        self.port = 0

    def run(self):
        anyio.run(self.serve)

    async def serve(self):
        self.fixture = operator_fixture.make_fixture()
        self.token = anyio.lowlevel.current_token()
        self.stopped = anyio.Event()
        rpc_server = server.OperatorServer(
            settings.OperatorSettings(port=0),
            self.fixture.dependencies,
            clock.LoopClock(),
        )
        async with capnp.kj_loop(), anyio.create_task_group() as group:
            self.port = await group.start(rpc_server.run)
            group.start_soon(self.fixture.apply_store_changes)
            self.ready.set()
            await self.stopped.wait()
            group.cancel_scope.cancel()

    def wait_until_applied(self):
        anyio.from_thread.run(self.fixture.wait_until_applied, token=self.token)

    def stop(self):
        anyio.from_thread.run_sync(self.stopped.set, token=self.token)
        self.join()


class CliSessionTest(unittest.TestCase):
    def setUp(self):
        self.server = ServerThread()
        self.server.start()
        self.server.ready.wait()
        self.addCleanup(self.server.stop)
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        variables = {
            "CARDAMOMFORK_ADDRESS": f"127.0.0.1:{self.server.port}",
            "CARDAMOMFORK_KEY": operator_fixture.KEY.text,
        }
        stack.enter_context(mock.patch.dict(os.environ, variables))

    def run_tool(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main.run([str(each) for each in arguments])
        self.server.wait_until_applied()
        return code, out.getvalue(), err.getvalue()

    def write_change_set(self, *changes):
        path = self.folder / "changes.json"
        path.write_text(json.dumps(changes))
        return path

    def test_apply_diff_get_and_conflict(self):
        path = self.write_change_set(ACCOUNT)
        self.assertEqual(self.run_tool("diff", path)[0], CODE.DIFFERENT)
        code, out, _ = self.run_tool("apply", path, "--check")
        self.assertEqual(code, CODE.OK)
        self.assertIn("nothing was written", out)
        code, out, _ = self.run_tool("apply", path)
        self.assertEqual(code, CODE.OK)
        self.assertIn("status --wait 1", out)
        self.assertEqual(self.run_tool("diff", path)[0], CODE.OK)
        self.assertEqual(self.run_tool("status", "--wait", 1)[0], CODE.OK)
        waited = self.run_tool("status", "--wait", 9, "--timeout", 0.1)
        self.assertEqual(waited[0], CODE.TIMEOUT)
        changed = {**ACCOUNT, "value": {"requests_per_s": 7.0}}
        code, _, err = self.run_tool("apply", self.write_change_set(changed))
        self.assertEqual(code, CODE.CONFLICT)
        self.assertIn("based on version 0, but version 1 is in force", err)
        self.assertIn("$.requests_per_s: 5.0 -> 7.0", err)
        _, out, _ = self.run_tool("list", "account", "--output", "json")
        listed = json.loads(out)
        listed["changes"][0]["value"]["worth"] = 3.0
        path.write_text(json.dumps(listed))
        self.assertEqual(self.run_tool("apply", path)[0], CODE.OK)
        code, out, _ = self.run_tool("get", "account", "bench")
        self.assertIn("worth", out)
        self.assertEqual(
            self.run_tool("get", "service", "x")[0], CODE.NOT_FOUND
        )

    def test_apply_prints_every_finding(self):
        path = self.write_change_set(
            {"kind": "acount", "name": "a", "value": {}},
            {"kind": "drain", "name": "", "based_on": -1},
            {"kind": "drain", "name": "a", "value": [], "when": 4},
            ACCOUNT,
            ACCOUNT,
        )
        code, _, err = self.run_tool("apply", path)
        self.assertEqual(code, CODE.FINDINGS)
        for text in (
            "$[0].kind",
            "$[1].name",
            "$[1].based_on",
            "$[1].value: is missing",
            "$[2].when: unknown field",
            "$[2].value",
            "$[4]: changes the same object as [3]",
        ):
            self.assertIn(text, err)
        bad = {**ACCOUNT, "value": {"requests_per_s": "many"}}
        code, out, _ = self.run_tool(
            "apply", self.write_change_set(bad), "--output=json"
        )
        self.assertEqual(code, CODE.FINDINGS)
        self.assertIn("account/bench", json.loads(out)["findings"][0]["place"])

    def test_drain_undrain_and_order(self):
        for _ in range(2):
            code, _, _ = self.run_tool("drain", "e1", "--reason", "fan")
            self.assertEqual(code, CODE.OK)
        self.assertEqual(self.run_tool("undrain", "e1")[0], CODE.OK)
        self.assertEqual(self.run_tool("undrain", "e1")[0], CODE.NOT_FOUND)
        self.assertEqual(
            self.run_tool("order", "load", "e1", "m")[0], CODE.FINDINGS
        )
        self.assertEqual(
            self.run_tool("apply", self.write_change_set(SERVICE))[0], 0
        )
        for action in (("load", "m"), ("unload", "m"), ("role", "prefill")):
            code, _, _ = self.run_tool("order", action[0], "e1", action[1])
            self.assertEqual(code, CODE.OK)
        _, out, _ = self.run_tool("get", "order", "e1", "--output", "json")
        self.assertEqual(json.loads(out)["value"]["role"], "prefill")
        self.assertEqual(self.run_tool("order", "withdraw", "e1")[0], CODE.OK)

    def test_keys_are_shown_once_and_rotate(self):
        self.run_tool("apply", self.write_change_set(ACCOUNT))
        code, out, _ = self.run_tool("keys", "rotate", "bench")
        self.assertEqual(code, CODE.OK)
        first = out.split()[-1]
        _, out, _ = self.run_tool("keys", "rotate", "bench", "--overlap", 60)
        second = out.split()[-1]
        _, out, _ = self.run_tool("keys", "list", "bench", "--output", "json")
        ends = [row["not after"] for row in json.loads(out)]
        self.assertEqual([end is None for end in ends], [False, True])
        current = self.server.fixture.dependencies.replica.get(
            "account", "bench"
        )
        for text, hashed in zip(
            (first, second), current.value.keys, strict=False
        ):
            secret = key_hashes.split_key(text)[1]
            self.assertTrue(key_hashes.matches(secret, hashed))
        key_id = current.value.keys[0].key_id
        for code in (CODE.OK, CODE.NOT_FOUND):
            revoked = self.run_tool("keys", "revoke", "bench", key_id)
            self.assertEqual(revoked[0], code)
        _, out, _ = self.run_tool("accounts")
        self.assertIn("bench", out)
        self.assertNotIn(first.partition(".")[2], out)

    def test_dump_store_outage_and_wrong_key(self):
        code, out, _ = self.run_tool("dump")
        self.assertEqual(code, CODE.OK)
        self.assertIn("configuration: 0 of at most 50000", out)
        self.assertEqual(self.run_tool("dump", "x")[0], CODE.NOT_FOUND)
        self.server.fixture.session.faults.down = True
        code, _, err = self.run_tool("drain", "e1")
        self.assertEqual(code, CODE.UNAVAILABLE)
        self.assertIn("nothing of it was written", err)
        wrong = key_hashes.generate().text
        with mock.patch.dict(os.environ, {"CARDAMOMFORK_KEY": wrong}):
            code, out, err = self.run_tool("list")
        self.assertEqual(code, CODE.UNAUTHENTICATED)
        self.assertNotIn(wrong, out + err)


if __name__ == "__main__":
    unittest.main()
