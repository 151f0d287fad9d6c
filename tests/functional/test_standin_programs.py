"""Tests the stand-ins as separate processes."""

import json
import subprocess
import sys
import unittest

import httpcore

PROGRAM = "cardamomfork._internal.standins.programs"


class StandinProgramTest(unittest.TestCase):
    def start(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", PROGRAM, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, json.loads(process.stdout.readline())["port"]

    def test_service_reports_each_execution(self):
        process, port = self.start("service")
        url = f"http://127.0.0.1:{port}/calls"
        answer = httpcore.request("POST", url, content=b'{"a": 1}')
        self.assertEqual(json.loads(answer.content), {"run": 1})
        line = json.loads(process.stdout.readline())
        self.assertEqual(line, {"run": 1, "body": '{"a": 1}'})

    def test_engine_answers_a_prompt(self):
        _, port = self.start("engine", "--model", "m")
        body = json.dumps({"model": "m", "prompt": "x", "max_tokens": 2})
        url = f"http://127.0.0.1:{port}/v1/completions"
        answer = httpcore.request("POST", url, content=body.encode())
        self.assertEqual(answer.status, 200)
        text = json.loads(answer.content)["choices"][0]["text"]
        self.assertEqual(text, "word0 word1 ")
