"""Validation of callers' input; it must not raise for any input."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from cardamomfork._internal.links.callers import bodies
from cardamomfork._internal.links.callers import headers
from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.models import requests
from tests.lib import seeds

_NAMES = strategies.sampled_from(
    [
        "model",
        "prompt",
        "messages",
        "stream",
        "max_tokens",
        "max_completion_tokens",
        "temperature",
        "role",
        "content",
        "tool_calls",
        "user",
    ]
)
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**20), 10**20)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5)
    | _NAMES,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(_NAMES, inner, max_size=8)
    ),
    max_leaves=20,
)


class CallerChecksTest(unittest.TestCase):
    """Every input is either accepted or reported with findings."""

    @seeds.STEADY
    @hypothesis.given(
        strategies.sampled_from(requests.Api),
        strategies.dictionaries(_NAMES, _JSON, max_size=8),
    )
    def test_any_object_is_checked(self, api, members):
        checked = bodies.check(api, json.dumps(members).encode())
        if checked.is_ok() and api is not requests.Api.CALL:
            self.assertTrue(checked.ok_value.model)
            self.assertGreaterEqual(checked.ok_value.max_tokens, 1)
        elif checked.is_err():
            self.assertTrue(checked.err_value)

    @seeds.STEADY
    @hypothesis.given(strategies.binary(max_size=50))
    def test_any_bytes_are_checked(self, data):
        bodies.check(requests.Api.CHAT, data)

    def test_lone_surrogate_is_checked(self):
        body = b'{"model":"m","prompt":"\\ud800"}'
        bodies.check(requests.Api.COMPLETIONS, body)

    @seeds.STEADY
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                [
                    b"authorization",
                    b"idempotency-key",
                    b"request-timeout",
                    b"priority",
                ]
            ),
            strategies.binary(max_size=20),
        )
    )
    def test_any_headers_are_checked(self, table):
        headers.check(table.items())
        headers.read_bearer(table.items())


class PrefixHashTest(unittest.TestCase):
    """Prompts share a hash only with a common prefix and account."""

    def test_hashes_chain_and_depend_on_the_account(self):
        block = b"a" * prompts.BLOCK_BYTES
        seed = prompts.account_seed("first")
        first_hashes = prompts.hash_blocks(block + block + b"rest", seed)
        second_hashes = prompts.hash_blocks(block + b"b" * 2000, seed)
        self.assertEqual(len(first_hashes), 2)
        self.assertEqual(first_hashes[0], second_hashes[0])
        self.assertNotEqual(first_hashes[1], second_hashes[1])
        other_account_hashes = prompts.hash_blocks(
            block, prompts.account_seed("second")
        )
        self.assertNotEqual(first_hashes[0], other_account_hashes[0])


if __name__ == "__main__":
    unittest.main()
