"""Change sets: parsing from JSON, and comparison with objects in force."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings

if TYPE_CHECKING:
    from collections.abc import Iterable

KINDS = tuple(kind.value for kind in configuration.ObjectKind)
FIELDS = ("kind", "name", "based_on", "value")

Parsed = result.Result[
    tuple[interfaces.Change, ...], tuple[findings.Finding, ...]
]


def parse(data: bytes, source: str) -> Parsed:
    """Parses a change set: one change, a list, or `{"changes": [...]}`.

    Each change has `kind`, `name`, `based_on` (version that the change is based
    on; 0 or absent for a new object) and `value` (the object; null deletes it).

    Args:
        data: JSON text.
        source: File name used in findings.

    Returns:
        The changes, or all findings with their JSON paths.
    """
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        place = findings.Location(source, "$")
        return result.Err((findings.Finding(place, str(error)),))
    path = "$"
    if isinstance(decoded, dict) and "changes" in decoded:
        decoded = decoded["changes"]
        path = "$.changes"
    if isinstance(decoded, dict):
        decoded = [decoded]
    if not isinstance(decoded, list) or not decoded:
        place = findings.Location(source, path)
        message = "must be a change or a list of at least one change"
        return result.Err((findings.Finding(place, message),))
    return _parse_all(decoded, source, path)


def to_changes(
    objects: Iterable[configuration.Versioned],
) -> list[dict[str, Any]]:
    """Converts objects to the JSON values of a change set, for editing."""
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
    """Converts an object to plain JSON values."""
    return None if value is None else msgspec.to_builtins(value)


def make_change(
    value: configuration.ConfigurationObject, based_on: int
) -> interfaces.Change:
    """Returns the change that writes an object."""
    body = codec.encode(value)
    return interfaces.Change(codec.kind_of(value), value.name, based_on, body)


@attrs.frozen
class Difference:
    """A field that a change set would change.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        path: JSON path of the field.
        now: Value in force.
        then: Value in the change set.
    """

    kind: str
    name: str
    path: str
    now: Any
    then: Any


def compare(
    change: interfaces.Change, current: configuration.Versioned | None
) -> tuple[Difference, ...]:
    """Returns the fields in which a change differs from the object in force."""
    now = to_builtins(current.value) if current is not None else None
    then = _complete(change)
    found: list[Difference] = []
    _compare(change, "$", now, then, found)
    return tuple(found)


def _complete(change: interfaces.Change) -> Any:
    """Returns a change's value with defaults for omitted fields."""
    if change.body is None:
        return None
    decoded = codec.decode(change.kind, change.name, change.body)
    if decoded.is_err():
        return msgspec.json.decode(change.body)
    return to_builtins(decoded.unwrap())


def _compare(
    change: interfaces.Change,
    path: str,
    now: Any,
    then: Any,
    found: list[Difference],
) -> None:
    """Appends the differences at and below a path to `found`."""
    if now == then:
        return
    if isinstance(now, dict) and isinstance(then, dict):
        for key in sorted({*now, *then}):
            _compare(
                change, f"{path}.{key}", now.get(key), then.get(key), found
            )
        return
    found.append(Difference(change.kind.value, change.name, path, now, then))


def _parse_all(entries: list[Any], source: str, path: str) -> Parsed:
    """Parses a list of changes; collects all findings."""
    changes = []
    found: list[findings.Finding] = []
    seen: dict[tuple[str, str], int] = {}
    for index, entry in enumerate(entries):
        entry_path = f"{path}[{index}]"
        problems = _find_problems(entry)
        if not problems:
            key = (entry["kind"], entry["name"])
            if key in seen:
                problems = [("", f"changes the same object as [{seen[key]}]")]
            seen.setdefault(key, index)
        found += [
            findings.Finding(
                findings.Location(source, entry_path + field), message
            )
            for field, message in problems
        ]
        if not problems:
            changes.append(_to_change(entry))
    if found:
        return result.Err(tuple(found))
    return result.Ok(tuple(changes))


def _find_problems(entry: Any) -> list[tuple[str, str]]:
    """Checks the form of one change; returns (field path, message) pairs."""
    if not isinstance(entry, dict):
        return [("", "must be an object")]
    problems = [
        (f".{key}", f"unknown field; known fields are {', '.join(FIELDS)}")
        for key in entry
        if key not in FIELDS
    ]
    if entry.get("kind") not in KINDS:
        problems.append((".kind", f"must be one of {', '.join(KINDS)}"))
    name = entry.get("name")
    if not isinstance(name, str) or not name:
        problems.append((".name", "must be a non-empty string"))
    based_on = entry.get("based_on", 0)
    if type(based_on) is not int or based_on < 0:
        problems.append(
            (".based_on", "must be a version, or 0 for a new object")
        )
    if "value" not in entry:
        problems.append((".value", "is missing; null deletes the object"))
    elif not isinstance(entry["value"], dict | None):
        problems.append((".value", "must be an object, or null to delete"))
    return problems


def _to_change(entry: dict[str, Any]) -> interfaces.Change:
    """Converts a checked entry to a change."""
    value = entry["value"]
    body = None
    if value is not None:
        body = msgspec.json.encode({"name": entry["name"], **value})
    return interfaces.Change(
        configuration.ObjectKind(entry["kind"]),
        entry["name"],
        entry.get("based_on", 0),
        body,
    )
