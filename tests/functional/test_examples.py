"""Runs every example and checks its output."""

import contextlib
import io
import pathlib
import runpy
import unittest

import anyio
import trio.testing

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

EXPECTED = {
    "lease": [
        "first holds the role: True",
        "second is refused: True",
        "first still believes to hold it: False",
        "the number has grown: True",
    ],
    "claim": [
        "booked now",
        "already done: pickup 17",
        "another body: key_reused",
    ],
    "members": [
        "live at first: 5",
        "live in the end: 4",
        "owner of the job is one of them: True",
    ],
    "fleet_limit": [
        "one busy gets nearly all: True",
        "all busy stay near the limit: True",
    ],
    "retry_budget": [
        "tries stay within the budget: True",
        "some were retried: True",
    ],
    "settings_race": [
        "in force: 5.0",
        "in force: 7.0",
        "wanted: 9.0",
        "stands: 7.0",
        "an old version applies: False",
        "finding: account/bench: requests_per_s: must be positive",
    ],
}


class ExampleTest(unittest.TestCase):
    def test_every_example_is_tested(self):
        names = {path.stem for path in EXAMPLES.glob("*.py")}
        self.assertEqual(names, set(EXPECTED))

    def test_output_of_each_example(self):
        for name, expected in EXPECTED.items():
            with self.subTest(name):
                main = runpy.run_path(str(EXAMPLES / f"{name}.py"))["main"]
                output = io.StringIO()
                clock = trio.testing.MockClock(autojump_threshold=0)
                with contextlib.redirect_stdout(output):
                    anyio.run(
                        main, backend="trio", backend_options={"clock": clock}
                    )
                self.assertEqual(output.getvalue().splitlines(), expected)


if __name__ == "__main__":
    unittest.main()
