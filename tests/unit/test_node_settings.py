"""Odd settings files give settings or a SettingsError, nothing else."""

import copy
import datetime
import math
import os
import pathlib
import tempfile
import threading
import unittest

import attrs
from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal.platform import node_settings

FILE = """
nodeName = "front-1"
zone = "rosenheim"
region = "bayern-sued"
portRange = [7340, 7355]
unknown = 1
[zones]
rosenheim = "bayern-sued"
kempten = "bayern-west"
[listen]
front = "10.1.0.40:8227"
readyAddr = "10.1.0.40:8220"
[limits]
memoryMb = 200
maxFds = 4200
[bounds]
drainTimeoutMs = 1500
graceS = 7
retryBudget = 0.1
budgetWindowS = 9
retrySlack = 90
holdMaxMs = 15000
evacuateMs = 5000
coldOver = 1.25
coldSlack = 4
[metrics]
port = 9000
[platform]
address = "10.200.1.7:8223"
"""
TABLE = node_settings.tomllib.loads(FILE)
NAMES = {("nodeName",), ("zone",)}
REQUIRED = {
    *NAMES,
    ("portRange",),
    ("listen",),
    ("listen", "front"),
    ("listen", "readyAddr"),
    ("platform",),
    ("platform", "address"),
}
FIELDS = tuple(
    path
    for name, value in TABLE.items()
    if name != "unknown"
    for path in (
        (name,),
        *((name, key) for key in value if isinstance(value, dict)),
    )
)


def make_nested():
    nested = []
    for _ in range(100_000):
        nested = [nested]
    return nested


ODD_VALUES = (
    *(math.nan, math.inf, -math.inf, -1, -1e300, 1e300, 10**25, 10**5000),
    *(True, [], {}, [[]], [{}], {"a": {"b": []}}, make_nested()),
    *(datetime.date(2026, 1, 1), datetime.time(1), [-1, 2], [70_000], [1.5]),
    *("\0", "\n", "x" * 100_000, "node..localhost:9", f"{'a' * 70}:9", ":1"),
    *("h:70000", "h:-1", "h:" + "9" * 5000, "h h:1", "ü\u200b:1", "h:", "1"),
)


def replace(path, value):
    table = copy.deepcopy(TABLE)
    inner = table
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = value
    return table


class OddFieldsTest(unittest.TestCase):
    def test_the_fields_of_these_tests_are_all_that_are_read(self):
        settings = node_settings.decode(TABLE)
        for field in attrs.fields(type(settings)):
            self.assertNotEqual(
                getattr(settings, field.name), field.default, field.name
            )

    def check_bounds(self, settings):
        for field in attrs.fields(type(settings)):
            value = getattr(settings, field.name)
            if field.name.endswith("_port"):
                self.assertTrue(0 <= value <= 65_535, field.name)
            if field.name.endswith(("_s", "_ratio", "_reserve")):
                self.assertTrue(0 <= (value or 0) <= 1e9, field.name)
        self.assertGreater(settings.memory_bytes, 0)
        self.assertGreater(settings.max_file_descriptors, 0)

    def test_odd_value_of_any_field_is_a_settings_error_or_its_default(self):
        for path in FIELDS:
            for index, value in enumerate(ODD_VALUES):
                with self.subTest(field=path, odd_value=index):
                    try:
                        settings = node_settings.decode(replace(path, value))
                    except exceptions.SettingsError:
                        self.assertIn(path, REQUIRED)
                        continue
                    self.check_bounds(settings)
                    if path in REQUIRED:
                        self.assertIn(path, NAMES)
                        self.assertIsInstance(value, str)

    def test_missing_optional_fields_have_their_defaults(self):
        required = {path[0] for path in REQUIRED}
        table = {name: TABLE[name] for name in required}
        settings = node_settings.decode(table)
        self.assertEqual((settings.stop_grace_s, settings.regions), (8, {}))
        for name in required:
            with self.assertRaisesRegex(exceptions.SettingsError, name):
                node_settings.decode(
                    {key: table[key] for key in required - {name}}
                )


class SettingsFileTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, "node.toml")
        self.file = node_settings.SettingsFile(self.path)
        self.lines = []
        handler = logger.add(self.lines.append, format="{message}")
        self.addCleanup(logger.remove, handler)

    def load(self, text):
        self.path.write_bytes(
            text if isinstance(text, bytes) else text.encode()
        )
        return self.file.load()

    def test_broken_file_is_a_settings_error(self):
        broken = (
            *("", "a = " + "[" * 100_000, f"a = {'9' * 5000}", "\0", "a = ["),
            *("a = 9999-99-99", "a = 1e999", b"\xff\xfe", "x" * 300_000),
            *(
                "[a]\n[a]",
                "a.b = 1\na = 2",
                'a = "\\ud800"',
                "a = " + "{b=" * 900,
            ),
        )
        for text in broken:
            with self.assertRaises(exceptions.SettingsError):
                self.load(text)
        self.path.unlink()
        with self.assertRaises(exceptions.SettingsError):
            self.file.load()
        self.path.mkdir()
        with self.assertRaises(exceptions.SettingsError):
            self.file.load()

    def test_named_pipe_in_place_of_the_file_does_not_block(self):
        os.mkfifo(self.path)
        errors = []

        def load():
            try:
                self.file.load()
            except exceptions.SettingsError as error:
                errors.append(error)

        thread = threading.Thread(target=load, daemon=True)
        thread.start()
        thread.join(2.0)
        self.assertEqual(len(errors), 1)

    def test_any_part_of_a_file_is_settings_or_a_settings_error(self):
        for length in range(len(FILE)):
            try:
                self.load(FILE[:length])
            except exceptions.SettingsError:
                continue
        self.assertEqual(self.load(FILE), node_settings.decode(TABLE))

    def test_malformed_field_keeps_its_last_sound_value(self):
        before = self.load(FILE)
        odd = FILE.replace(" 0.1", " []").replace('"bayern-west"', "7")
        self.assertEqual(self.load(odd), before)
        self.assertEqual(
            self.load(odd.replace("[limits]", "[a]")).max_file_descriptors, 4096
        )

    def test_malformed_field_of_an_unchanged_file_is_logged_once(self):
        for _ in range(3):
            self.load(FILE.replace("graceS = 7", "graceS = []"))
        self.assertEqual(len(self.lines), 1)


if __name__ == "__main__":
    unittest.main()
