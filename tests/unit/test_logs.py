"""Logs contain no secrets or prompts, whatever a log call passes."""

import io
import json
import logging
import unittest

from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal.telemetry import logs

SECRET = "q" * 43
KEY = f"0123456789abcdef.{SECRET}"
PROMPT = "Write an invitation for the class party"


class LogsTest(unittest.TestCase):
    def setUp(self):
        self.sink = io.StringIO()
        logs.configure("DEBUG", self.sink, instance_id="one")
        self.addCleanup(logging.basicConfig, handlers=[], force=True)
        self.addCleanup(logger.remove)

    def lines(self):
        return [json.loads(line) for line in self.sink.getvalue().splitlines()]

    def test_line_carries_request_id_and_reason(self):
        logger.bind(request_id="r1", reason="over_limit").info("refused")
        (line,) = self.lines()
        self.assertEqual(line["request_id"], "r1")
        self.assertEqual(line["reason"], "over_limit")
        self.assertEqual(line["instance_id"], "one")
        self.assertEqual(line["level"], "INFO")

    def test_secrets_and_prompts_are_not_logged(self):
        logger.bind(prompt=PROMPT, body=PROMPT.encode(), key=KEY).info("a")
        logger.info(f"header Authorization: Bearer {KEY}")
        logger.bind(account=KEY).info(f"key {KEY} refused")
        logging.getLogger("uvicorn").warning("bad body %s", PROMPT)
        try:
            body = {"prompt": PROMPT, "key": KEY}
            json.loads(body["prompt"])
        except ValueError:
            logger.exception("unreadable body")
        try:
            raise KeyError(PROMPT, KEY)
        except KeyError:
            logger.opt(exception=True).error("missing")
        text = self.sink.getvalue()
        self.assertEqual(len(self.lines()), 6)
        self.assertNotIn(SECRET, text)
        self.assertNotIn(PROMPT, text)

    def test_log_of_a_group_names_the_exceptions_in_it(self):
        inner = ExceptionGroup("inner", [RecursionError(PROMPT)])
        try:
            raise ExceptionGroup("outer", [inner, OSError(KEY)])
        except ExceptionGroup:
            logger.exception("ended by an error")
        (line,) = self.lines()
        causes = [one["type"] for one in line["exception"]["causes"]]
        self.assertEqual(causes, ["RecursionError", "OSError"])
        self.assertNotIn(PROMPT, self.sink.getvalue())

    def test_key_at_truncation_limit_is_not_logged(self):
        for limit in (logs.MAX_TEXT_CHARACTERS, logs.MAX_SCANNED_CHARACTERS):
            for shift in range(0, 160, 7):
                logger.info("x " * (limit // 2 - 40) + " " * shift + KEY)
                logger.info((KEY + " ") * 200 + " " * shift + KEY)
        self.assertNotIn(SECRET[:10], self.sink.getvalue())

    def test_project_errors_are_logged_with_text(self):
        try:
            raise exceptions.SettingsError("port 1 is taken.", "Pick another.")
        except exceptions.SettingsError:
            logger.exception("cannot start")
        (line,) = self.lines()
        self.assertIn("Pick another", line["exception"]["text"])
        self.assertIn("test_project_errors", line["exception"]["frames"][-1])


if __name__ == "__main__":
    unittest.main()
