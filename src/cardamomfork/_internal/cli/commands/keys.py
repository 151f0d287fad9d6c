"""`cardamomfork keys`: makes, rotates and ends keys."""

from __future__ import annotations

import time

import attrs
import cyclopts

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.cli import answers
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import edits
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.models import configuration

DEFAULT_CONNECTION = connection_module.Connection()
OVERLAP_S = 86_400.0
DAY_S = 86_400.0

app = cyclopts.App(name="keys")


@app.command
def operator(*, days: float = 0.0) -> exit_codes.ExitCode:
    """Make an operator's key and the line for the settings file.

    Parameters
    ----------
    days
        Days after which it ends; never if 0.
    """
    end = time.time() + days * DAY_S if days > 0 else None
    new = key_hashes.generate(end)
    print(f"key, shown only now:  {new.text}")
    print(f"line for [operators] keys:  {key_hashes.to_line(new.hashed)}")
    return exit_codes.ExitCode.OK


@app.command
def rotate(
    account: str,
    /,
    *,
    overlap: float = OVERLAP_S,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Give an account a new key; the old ones end after the overlap.

    Parameters
    ----------
    account
        Name of the client account.
    overlap
        How long the old keys stay valid, in seconds.
    connection
        How to reach an instance.
    """
    new = key_hashes.generate()

    def change(
        held: configuration.ClientAccount,
    ) -> configuration.ClientAccount:
        keys = key_hashes.rotate(held.keys, new.hashed, time.time(), overlap)
        return attrs.evolve(held, keys=keys)

    applied = edits.change_account(connection, account, change)
    if applied is None:
        return edits.missing(configuration.ObjectKind.ACCOUNT, account)
    code = answers.code_of(applied)
    if code is not exit_codes.ExitCode.OK:
        return answers.print_applied(applied, connection.output)
    if connection.output is output_module.Output.JSON:
        version = applied.accepted[0].version
        output_module.print_json({"key": new.text, "version": version})
    else:
        print(f"key of {account}, shown only now:  {new.text}")
    return code


@app.command
def revoke(
    account: str,
    key_id: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """End one of an account's keys at once.

    Parameters
    ----------
    account
        Name of the client account.
    key_id
        The part of the key before the dot.
    connection
        How to reach an instance.
    """

    def change(
        held: configuration.ClientAccount,
    ) -> configuration.ClientAccount | None:
        keys = tuple(key for key in held.keys if key.key_id != key_id)
        if len(keys) == len(held.keys):
            return None
        return attrs.evolve(held, keys=keys)

    applied = edits.change_account(connection, account, change)
    if applied is None:
        output_module.print_error(f"account {account!r} has no key {key_id!r}")
        return exit_codes.ExitCode.NOT_FOUND
    return answers.print_applied(applied, connection.output)


@app.command(name="list")
def list_keys(
    account: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """List an account's key ids and when they end.

    Parameters
    ----------
    account
        Name of the client account.
    connection
        How to reach an instance.
    """
    kind = configuration.ObjectKind.ACCOUNT
    held = edits.read(connection, kind, account)
    if held is None or not isinstance(held.value, configuration.ClientAccount):
        return edits.missing(kind, account)
    rows = tuple((key.key_id, key.not_after) for key in held.value.keys)
    output_module.print_table(
        output_module.Table(("key id", "not after"), rows), connection.output
    )
    return exit_codes.ExitCode.OK
