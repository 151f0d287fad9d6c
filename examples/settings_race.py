"""Concurrent edits: the later edit conflicts, and old versions are rejected."""

from __future__ import annotations

import anyio

from cardamomfork.coordination import clocks
from cardamomfork.coordination import configuration
from cardamomfork.coordination import stores

ACCOUNT = configuration.ObjectKind.ACCOUNT


def make_edit(rate: float, based_on: int) -> configuration.Edit:
    """Creates an edit of the account's rate limit."""
    account = configuration.ClientAccount("bench", requests_per_s=rate)
    return configuration.Edit(ACCOUNT, "bench", account, based_on)


async def main() -> None:
    """Writes an account, makes conflicting edits and replays an old version."""
    store = stores.MemoryStore(clocks.LoopClock())
    session = stores.StoreSession(store)
    replica = configuration.ConfigurationReplica()
    editor = configuration.ConfigurationEditor(session, replica)
    replica.subscribe(
        lambda change: print("in force:", change.value.requests_per_s)
    )

    first_verdict = (
        (await editor.apply([make_edit(5.0, 0)])).unwrap().verdicts[0]
    )
    await editor.apply([make_edit(7.0, first_verdict.version)])
    rejected = (
        await editor.apply([make_edit(9.0, first_verdict.version)])
    ).unwrap()
    conflict = rejected.verdicts[0]
    print("wanted:", conflict.edit.value.requests_per_s)
    print("stands:", conflict.current.value.requests_per_s)

    old_version = configuration.Versioned(
        ACCOUNT, "bench", first_verdict.version, make_edit(5.0, 0).value
    )
    print("an old version applies:", replica.apply(old_version))

    findings = await editor.apply([make_edit(-1.0, conflict.current.version)])
    for finding in findings.unwrap_err():
        print("finding:", finding)


if __name__ == "__main__":
    anyio.run(main)
