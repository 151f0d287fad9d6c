"""Change sets: JSON files of changes, and their comparison with what is."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings

if TYPE_CHECKING:
    from collections.abc import Iterable

KINDS = tuple(kind.value for kind in configuration.ObjectKind)
FIELDS = ("kind", "name", "based_on", "value")

Parsed = result.Result[
    tuple[collaborators.Change, ...], tuple[findings.Finding, ...]
]


def parse(data: bytes, source: str) -> Parsed:
    """Parses a change set: one change, a list, or `{"changes": [...]}`.

    Each change has `kind`, `name`, `based_on` (version seen; 0 or absent for a
    new object) and `value` (the object; null deletes it).

    Returns:
        The changes, or every finding with its JSON path.
    """
    try:
        loaded = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        place = findings.Place(source, "$")
        return result.Err((findings.Finding(place, str(error)),))
    path = "$"
    if isinstance(loaded, dict) and "changes" in loaded:
        loaded = loaded["changes"]
        path = "$.changes"
    if isinstance(loaded, dict):
        loaded = [loaded]
    if not isinstance(loaded, list) or not loaded:
        place = findings.Place(source, path)
        message = "must be a change or a list of at least one change"
        return result.Err((findings.Finding(place, message),))
    return _parse_all(loaded, source, path)


def to_changes(
    objects: Iterable[configuration.Versioned],
) -> list[dict[str, Any]]:
    """Returns objects in the form of a change set, ready to be edited."""
    return [
        {
            "kind": each.kind.value,
            "name": each.name,
            "based_on": each.version,
            "value": to_builtins(each.value),
        }
        for each in objects
    ]


def to_builtins(value: configuration.ConfigurationObject | None) -> Any:
    """Returns an object as plain JSON values."""
    return None if value is None else msgspec.to_builtins(value)


def change_of(
    value: configuration.ConfigurationObject, based_on: int
) -> collaborators.Change:
    """Makes the change that writes an object."""
    body = codec.encode(value)
    return collaborators.Change(
        codec.kind_of(value), value.name, based_on, body
    )


@attrs.frozen
class Difference:
    """A field that a change set would change.

    Attributes:
        kind: Kind of the object.
        name: Its name.
        path: JSON path of the field.
        now: Value in force.
        then: Value of the change set.
    """

    kind: str
    name: str
    path: str
    now: Any
    then: Any


def compare(
    change: collaborators.Change, held: configuration.Versioned | None
) -> tuple[Difference, ...]:
    """Compares a change with what is in force."""
    now = to_builtins(held.value) if held is not None else None
    then = _complete(change)
    found: list[Difference] = []
    _compare(change, "$", now, then, found)
    return tuple(found)


def _complete(change: collaborators.Change) -> Any:
    """Returns a change's value with the defaults that it leaves out."""
    if change.body is None:
        return None
    decoded = codec.decode(change.kind, change.name, change.body)
    if decoded.is_err():
        return msgspec.json.decode(change.body)
    return to_builtins(decoded.unwrap())


def _compare(
    change: collaborators.Change,
    path: str,
    now: Any,
    then: Any,
    found: list[Difference],
) -> None:
    """Adds the differences below a path."""
    if now == then:
        return
    if isinstance(now, dict) and isinstance(then, dict):
        for key in sorted({*now, *then}):
            _compare(
                change, f"{path}.{key}", now.get(key), then.get(key), found
            )
        return
    found.append(Difference(change.kind.value, change.name, path, now, then))


def _parse_all(loaded: list[Any], source: str, path: str) -> Parsed:
    """Parses a list of changes and collects all findings."""
    changes = []
    found: list[findings.Finding] = []
    seen: dict[tuple[str, str], int] = {}
    for number, each in enumerate(loaded):
        where = f"{path}[{number}]"
        wrong = _check(each)
        if not wrong:
            key = (each["kind"], each["name"])
            if key in seen:
                wrong = [("", f"changes the same object as [{seen[key]}]")]
            seen.setdefault(key, number)
        found += [
            findings.Finding(findings.Place(source, where + field), message)
            for field, message in wrong
        ]
        if not wrong:
            changes.append(_to_change(each))
    if found:
        return result.Err(tuple(found))
    return result.Ok(tuple(changes))


def _check(each: Any) -> list[tuple[str, str]]:
    """Returns what is wrong with the form of one change, by field."""
    if not isinstance(each, dict):
        return [("", "must be an object")]
    wrong = [
        (f".{key}", f"unknown field; known are {', '.join(FIELDS)}")
        for key in each
        if key not in FIELDS
    ]
    if each.get("kind") not in KINDS:
        wrong.append((".kind", f"must be one of {', '.join(KINDS)}"))
    name = each.get("name")
    if not isinstance(name, str) or not name:
        wrong.append((".name", "must be a text that is not empty"))
    based_on = each.get("based_on", 0)
    if type(based_on) is not int or based_on < 0:
        wrong.append((".based_on", "must be a version, or 0 for a new object"))
    if "value" not in each:
        wrong.append((".value", "is missing; null deletes the object"))
    elif not isinstance(each["value"], dict | None):
        wrong.append((".value", "must be an object, or null to delete"))
    return wrong


def _to_change(each: dict[str, Any]) -> collaborators.Change:
    """Makes a change of a checked entry."""
    value = each["value"]
    body = None
    if value is not None:
        body = msgspec.json.encode({"name": each["name"], **value})
    return collaborators.Change(
        configuration.ObjectKind(each["kind"]),
        each["name"],
        each.get("based_on", 0),
        body,
    )
