"""`cardamomfork keys`: creates, rotates, revokes and lists keys."""

from __future__ import annotations

import time

import attrs
import cyclopts

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.cli import apply_results
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import object_edits
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.models import configuration

DEFAULT_CONNECTION = connection_module.Connection()
DEFAULT_OVERLAP_S = 86_400.0
DAY_S = 86_400.0

app = cyclopts.App(name="keys")


@app.command
def operator(*, days: float = 0.0) -> exit_codes.ExitCode:
    """Create an operator's key and its line for the settings file.

    Parameters
    ----------
    days
        Days until the key expires; 0 for no expiry.
    """
    expires_at = time.time() + days * DAY_S if days > 0 else None
    new_key = key_hashes.generate(expires_at)
    print(f"key, shown only once:  {new_key.text}")
    print(f"line for [operators] keys:  {key_hashes.to_line(new_key.hashed)}")
    return exit_codes.ExitCode.OK


@app.command
def rotate(
    account: str,
    /,
    *,
    overlap: float = DEFAULT_OVERLAP_S,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Create a new key for an account; old keys expire after the overlap.

    Parameters
    ----------
    account
        Name of the client account.
    overlap
        Seconds for which the old keys stay valid.
    connection
        How to reach an instance.
    """
    new_key = key_hashes.generate()

    def rotate_keys(
        current: configuration.ClientAccount,
    ) -> configuration.ClientAccount:
        keys = key_hashes.rotate(
            current.keys, new_key.hashed, time.time(), overlap
        )
        return attrs.evolve(current, keys=keys)

    apply_result = object_edits.change_account(connection, account, rotate_keys)
    if apply_result is None:
        return object_edits.report_missing(
            configuration.ObjectKind.ACCOUNT, account
        )
    code = apply_results.exit_code_for(apply_result)
    if code is not exit_codes.ExitCode.OK:
        return apply_results.print_apply_result(apply_result, connection.output)
    if connection.output is output_module.OutputFormat.JSON:
        version = apply_result.accepted[0].version
        output_module.print_json({"key": new_key.text, "version": version})
    else:
        print(f"key of {account}, shown only once:  {new_key.text}")
    return code


@app.command
def revoke(
    account: str,
    key_id: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Revoke one key of an account, with immediate effect.

    Parameters
    ----------
    account
        Name of the client account.
    key_id
        Id of the key: its part before the dot.
    connection
        How to reach an instance.
    """

    def remove_key(
        current: configuration.ClientAccount,
    ) -> configuration.ClientAccount | None:
        keys = tuple(key for key in current.keys if key.key_id != key_id)
        if len(keys) == len(current.keys):
            return None
        return attrs.evolve(current, keys=keys)

    apply_result = object_edits.change_account(connection, account, remove_key)
    if apply_result is None:
        output_module.print_error(f"account {account!r} has no key {key_id!r}")
        return exit_codes.ExitCode.NOT_FOUND
    return apply_results.print_apply_result(apply_result, connection.output)


@app.command(name="list")
def list_keys(
    account: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """List the key ids of an account and their expiry times.

    Parameters
    ----------
    account
        Name of the client account.
    connection
        How to reach an instance.
    """
    kind = configuration.ObjectKind.ACCOUNT
    current = object_edits.fetch_object(connection, kind, account)
    if current is None or not isinstance(
        current.value, configuration.ClientAccount
    ):
        return object_edits.report_missing(kind, account)
    rows = tuple((key.key_id, key.not_after) for key in current.value.keys)
    output_module.print_table(
        output_module.Table(("key id", "not after"), rows), connection.output
    )
    return exit_codes.ExitCode.OK
