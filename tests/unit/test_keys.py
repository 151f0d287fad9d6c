"""Keys: hashing, rotation with overlap, limits on digests and tables."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.accounts import operator_keys
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import settings
from tests.lib import seeds

GENERATED_KEYS = [key_hashes.generate() for _ in range(6)]
REASON = outcomes.RefusalReason


def wrong_key(new, number=0):
    return f"{new.hashed.key_id}.{number:043d}"


class HashTest(unittest.TestCase):
    def test_secret_is_neither_stored_nor_shown(self):
        new = key_hashes.generate()
        secret = new.text.partition(".")[2]
        shown = repr(new) + repr(new.hashed) + key_hashes.to_line(new.hashed)
        self.assertNotIn(secret, shown)
        self.assertTrue(key_hashes.matches(secret, new.hashed))
        self.assertNotEqual(new.hashed.salt, GENERATED_KEYS[0].hashed.salt)

    def test_settings_line_round_trip(self):
        for end in (None, 1_800_000_000.0):
            hashed = key_hashes.generate(end).hashed
            line = key_hashes.to_line(hashed)
            self.assertEqual(key_hashes.from_line(line).unwrap(), hashed)
        self.assertTrue(key_hashes.from_line("a:b").is_err())
        new = key_hashes.generate()
        lines = (key_hashes.to_line(new.hashed),)
        verifier = operator_keys.make_verifier(
            settings.OperatorSettings(keys=lines)
        )
        self.assertTrue(verifier.verify(new.text, 0.0).is_ok())

    @seeds.STEADY
    @given(st.text(max_size=80))
    def test_arbitrary_text_is_refused(self, text):
        verifier = keys.KeyVerifier()
        verifier.apply_keys("a", (GENERATED_KEYS[0].hashed,))
        refusal = verifier.verify(text, 0.0).unwrap_err()
        self.assertEqual(refusal.reason, REASON.UNAUTHENTICATED)


class VerifierTest(unittest.TestCase):
    def setUp(self):
        self.verifier = keys.KeyVerifier()

    def test_rotation_overlaps(self):
        old, new = GENERATED_KEYS[:2]
        rotated = key_hashes.rotate((old.hashed,), new.hashed, 100.0, 50.0)
        self.verifier.apply_keys("a", rotated)
        for now, old_valid in ((120.0, True), (151.0, False)):
            self.assertEqual(
                self.verifier.verify(old.text, now).is_ok(), old_valid
            )
            self.assertTrue(self.verifier.verify(new.text, now).is_ok())
        rotated_twice = key_hashes.rotate(
            rotated, GENERATED_KEYS[2].hashed, 200.0, 50.0
        )
        self.assertEqual([k.not_after for k in rotated_twice], [250.0, None])

    def test_flood_of_wrong_secrets_computes_few_digests(self):
        good, other = GENERATED_KEYS[:2]
        self.verifier.apply_keys("a", (good.hashed,))
        self.verifier.apply_keys("b", (other.hashed,))
        self.verifier.verify(good.text, 0.0).unwrap()
        for number in range(500):
            self.verifier.verify(wrong_key(good, number), number / 1000)
        self.assertLessEqual(self.verifier.counters.digests, 7)
        self.assertGreater(self.verifier.counters.over_budget, 400)
        self.assertTrue(self.verifier.verify(good.text, 0.5).is_ok())
        self.assertTrue(self.verifier.verify(other.text, 0.5).is_ok())
        unknown = self.verifier.verify(
            wrong_key(GENERATED_KEYS[3]), 0.5
        ).unwrap_err()
        self.assertEqual(unknown.reason, REASON.UNAUTHENTICATED)

    def test_repeated_wrong_secret_costs_one_digest(self):
        self.verifier.apply_keys("a", (GENERATED_KEYS[0].hashed,))
        for _ in range(20):
            refusal = self.verifier.verify(
                wrong_key(GENERATED_KEYS[0]), 0.0
            ).unwrap_err()
            self.assertEqual(refusal.reason, REASON.UNAUTHENTICATED)
        self.assertEqual(self.verifier.counters.digests, 1)

    def test_key_of_two_accounts_has_the_same_owner_in_any_order(self):
        for order in (("a", "b"), ("b", "a")):
            verifier = keys.KeyVerifier()
            for name in order:
                verifier.apply_account(
                    configuration.ClientAccount(
                        name, (GENERATED_KEYS[0].hashed,)
                    )
                )
            self.assertEqual(
                verifier.verify(GENERATED_KEYS[0].text, 0).unwrap(), "a"
            )
            verifier.remove_account("a")
            self.assertEqual(
                verifier.verify(GENERATED_KEYS[0].text, 0).unwrap(), "b"
            )


class VerifierMachine(RuleBasedStateMachine):
    """The verifier agrees with a simple model and stays within its bounds."""

    def __init__(self):
        super().__init__()
        budget = keys.DigestBudget(1e9, 1e9, 1e9, 1e9)
        self.verifier = keys.KeyVerifier(budget, max_keys=5, max_verified=2)
        self.model = {}
        self.now = 0.0

    @rule(
        owner=st.sampled_from("abc"),
        chosen=st.sets(st.integers(0, 3), max_size=2),
        end=st.sampled_from([None, 5.0]),
    )
    def apply(self, owner, chosen, end):
        held = [
            configuration.HashedKey(
                GENERATED_KEYS[n].hashed.key_id,
                GENERATED_KEYS[n].hashed.salt,
                GENERATED_KEYS[n].hashed.digest,
                end,
            )
            for n in sorted(chosen)
        ]
        self.verifier.apply_keys(owner, held)
        self.model[owner] = {key.key_id: end for key in held}

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.now += seconds

    @rule(number=st.integers(0, 3), right=st.booleans())
    def verify(self, number, right):
        new = GENERATED_KEYS[number]
        text = new.text if right else wrong_key(new)
        key_id = new.hashed.key_id
        owners = sorted(o for o, held in self.model.items() if key_id in held)
        expected = None
        if owners and right:
            end = self.model[owners[0]][key_id]
            if end is None or self.now <= end:
                expected = owners[0]
        answer = self.verifier.verify(text, self.now)
        assert answer.ok() == expected, (answer, expected)

    @invariant()
    def tables_stay_within_bounds(self):
        for name, (size, bound) in self.verifier.sizes.items():
            assert size <= bound, name


VerifierMachineTest = VerifierMachine.TestCase
VerifierMachineTest.settings = seeds.STEADY


if __name__ == "__main__":
    unittest.main()
