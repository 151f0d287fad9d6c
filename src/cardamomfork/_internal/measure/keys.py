"""Processor time of verifying known, new and wrong caller keys."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

ACCOUNT_COUNTS = (100, 400, 1600, 6500)
REQUESTS_PER_S = 50
CONTROL_BOUND_US_PER_S = 44_000.0
NEW_KEY_COUNT = 50
FLOOD_DURATION_S = 10
FLOOD_REQUESTS_PER_S = 2000


def measure(options: reports.Options) -> reports.Report:
    """Measures verification by number of accounts, and a flood of keys."""
    sizes = ACCOUNT_COUNTS[:1] if options.smallest else ACCOUNT_COUNTS
    known_key_us, memory = [], []
    for size in sizes:
        verifier, key_texts, held = _make_verifier(size)
        known_key_us.append((float(size), _time_known(verifier, key_texts)))
        memory.append((float(size), held))
    return reports.Report(
        "keys",
        (
            reports.Slope(
                "us a check of a known key",
                "accounts",
                tuple(known_key_us),
                None,
                float(ACCOUNT_COUNTS[-1]),
            ),
            reports.Slope(
                "bytes held by the verifier (tracemalloc)",
                "accounts",
                tuple(memory),
                None,
                float(ACCOUNT_COUNTS[-1]),
            ),
            _tabulate_costs(known_key_us[-1][1]),
            _tabulate_flood(1 if options.smallest else FLOOD_DURATION_S),
        ),
    )


def _make_verifier(
    count: int,
) -> tuple[keys.KeyVerifier, list[str], float]:
    """Makes a verifier of accounts with two keys each.

    Returns:
        The verifier, the texts of the new keys, and the bytes that the verifier
        holds after it has verified each of them.
    """
    new_keys = [
        (f"account-{number}", key_hashes.generate()) for number in range(count)
    ]
    old_keys = [
        attrs.evolve(new.hashed, key_id=f"{number:016x}")
        for number, (_, new) in enumerate(new_keys)
    ]
    gc.collect()
    tracemalloc.start()
    verifier = keys.KeyVerifier(keys.DigestBudget(1e9, 1e9, 1e9, 1e9))
    for (name, new), old in zip(new_keys, old_keys, strict=True):
        verifier.apply_keys(identifiers.AccountName(name), (old, new.hashed))
    for _, new in new_keys:
        verifier.verify(new.text, 0.0).unwrap()
    held = float(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    return verifier, [new.text for _, new in new_keys], held


def _time_known(verifier: keys.KeyVerifier, key_texts: list[str]) -> float:
    """Returns the processor time to verify a known key, in us."""
    rounds = max(20_000 // len(key_texts), 1)

    def check_all() -> None:
        for _ in range(rounds):
            for text in key_texts:
                verifier.verify(text, 0.0)

    return _time_us(check_all) / (rounds * len(key_texts))


def _tabulate_costs(known_us: float) -> reports.Table:
    """Compares the costs of a first and a later check at the target rate."""
    new_keys = [key_hashes.generate() for _ in range(NEW_KEY_COUNT)]
    first = _time_us(
        lambda: [
            key_hashes.matches(new.text.partition(".")[2], new.hashed)
            for new in new_keys
        ]
    )
    first_check_us = first / NEW_KEY_COUNT
    rows = [
        ("scrypt at each check", first_check_us),
        ("scrypt once, then a keyed hash", known_us),
    ]
    return reports.Table(
        f"at {REQUESTS_PER_S} requests/s (control bound"
        f" {CONTROL_BOUND_US_PER_S:.0f} us/s)",
        ("way", "us a check", "us a second"),
        tuple(
            (name, f"{cost:.2f}", f"{cost * REQUESTS_PER_S:.0f}")
            for name, cost in rows
        ),
    )


def _tabulate_flood(seconds: int) -> reports.Table:
    """Measures a flood of wrong secrets for one known key id."""
    new = key_hashes.generate()
    verifier = keys.KeyVerifier()
    account = configuration.ClientAccount(
        identifiers.AccountName("bench"), (new.hashed,)
    )
    verifier.apply_account(account)
    verifier.verify(new.text, 0.0).unwrap()
    key_id = new.hashed.key_id
    accepted = 0

    def flood() -> None:
        nonlocal accepted
        for step in range(seconds * FLOOD_REQUESTS_PER_S):
            now = step / FLOOD_REQUESTS_PER_S
            verifier.verify(f"{key_id}.{step:043d}", now)
            if step % FLOOD_REQUESTS_PER_S == 0:
                accepted += verifier.verify(new.text, now).is_ok()

    flood_us = _time_us(flood)
    rows = (
        ("processor time, us a second", f"{flood_us / seconds:.0f}"),
        ("scrypt digests a second", f"{verifier.counters.digests / seconds}"),
        ("right key accepted", f"{accepted} of {seconds}"),
    )
    return reports.Table(
        f"{FLOOD_REQUESTS_PER_S} distinct wrong secrets a second for one key"
        " id",
        ("quantity", "value"),
        rows,
    )


def _time_us(call: Callable[[], object]) -> float:
    """Returns the processor time of a call, in us."""
    start = time.process_time_ns()
    call()
    return (time.process_time_ns() - start) / 1000
