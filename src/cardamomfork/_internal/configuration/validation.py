"""Validates a change set as a whole and returns all findings."""

from __future__ import annotations

from collections.abc import Iterable
import functools
from typing import TYPE_CHECKING

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import index
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.configuration import replica

MAX_NAME_LENGTH = 200
MAX_URGENCY = 7
MAX_PORT = 65535
_ROLES = ("prefill", "decode", "mixed")

Change = tuple[
    configuration.ObjectKind, str, configuration.ConfigurationObject | None
]


def check_changes(
    changes: Sequence[Change], current: replica.ConfigurationReplica
) -> tuple[findings.Finding, ...]:
    """Validates changes against each other and the current configuration.

    Args:
        changes: Kind, name and new value (None to delete) of each object.
        current: The configuration before the changes.
    """
    found: list[findings.Finding] = []
    seen: set[tuple[configuration.ObjectKind, str]] = set()
    for kind, name, value in changes:
        if (kind, name) in seen:
            found.append(_make_finding(kind, name, "name", "stands twice"))
        seen.add((kind, name))
        if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
            found.append(
                _make_finding(
                    kind,
                    name,
                    "name",
                    f"must have 1 to {MAX_NAME_LENGTH} printable characters",
                )
            )
        if value is not None:
            found += _check_object(kind, name, value)
    after = _index_after(changes, current)
    for kind, name, value in changes:
        if value is not None:
            errors = _reference_errors(value, after)
        else:
            errors = _remaining_references(kind, name, after)
        found += [
            _make_finding(kind, name, path, text) for path, text in errors
        ]
    return tuple(found)


def _make_finding(
    kind: configuration.ObjectKind, name: str, path: str, message: str
) -> findings.Finding:
    """Returns a finding about one field of an object."""
    location = findings.Location(f"{kind.value}/{name}", path)
    return findings.Finding(location, message)


def _check_object(
    kind: configuration.ObjectKind,
    name: str,
    value: configuration.ConfigurationObject,
) -> list[findings.Finding]:
    """Validates one object without regard to other objects."""
    if codec.kind_of(value) is not kind:
        return [_make_finding(kind, name, "$", "is an object of another kind")]
    errors = list(_field_errors(value))
    if value.name != name:
        errors.append(("name", f"is {value.name!r} in the object"))
    if len(codec.encode(value)) > codec.MAX_OBJECT_BYTES:
        errors.append(("$", f"exceeds {codec.MAX_OBJECT_BYTES} bytes"))
    return [_make_finding(kind, name, path, text) for path, text in errors]


def _index_after(
    changes: Sequence[Change], current: replica.ConfigurationReplica
) -> index.ConfigurationIndex:
    """Returns the index of the configuration after the changes."""
    values = {(o.kind, o.name): o.value for o in current.objects()}
    values |= {(kind, name): value for kind, name, value in changes}
    after = index.ConfigurationIndex()
    for value in values.values():
        if value is not None:
            after.replace(None, value)
    return after


@functools.singledispatch
def _field_errors(value: object) -> Iterable[tuple[str, str]]:
    """Yields the field and the reason of each error in one object."""
    raise TypeError(type(value).__name__)


@_field_errors.register
def _service_field_errors(
    value: configuration.Service,
) -> Iterable[tuple[str, str]]:
    is_model = value.kind is configuration.ServiceKind.MODEL
    if is_model and not value.models:
        yield "models", "a model service needs at least one model"
    if not is_model and value.models:
        yield "models", "a plain service has none"
    if len(set(value.models)) < len(value.models):
        yield "models", "names a model twice"
    if not value.default_timeout_s > 0:
        yield "default_timeout_s", "must be positive"
    if not value.max_timeout_s >= value.default_timeout_s:
        yield "max_timeout_s", "is below default_timeout_s"
    if not 0 <= value.retry_budget <= 1:
        yield "retry_budget", "must lie between 0 and 1"
    if value.max_prompt_tokens <= 0:
        yield "max_prompt_tokens", "must be positive"
    yield from _targets_field_errors(value, is_model)


def _targets_field_errors(
    value: configuration.Service, is_model: bool
) -> Iterable[tuple[str, str]]:
    """Yields the errors in a service's targets."""
    seen: set[str] = set()
    for number, target in enumerate(value.targets):
        path = f"targets[{number}]"
        if target.target_id in seen:
            yield f"{path}.target_id", f"{target.target_id!r} stands twice"
        seen.add(target.target_id)
        for name, reason in _target_field_errors(target, is_model):
            yield f"{path}.{name}", reason


def _target_field_errors(
    target: targets.Target, is_model: bool
) -> Iterable[tuple[str, str]]:
    """Yields the errors in one target."""
    if not target.target_id:
        yield "target_id", "is empty"
    if (target.kind is targets.TargetKind.ENGINE) is not is_model:
        yield "kind", "does not fit the kind of the service"
    if not target.host:
        yield "host", "is empty"
    if not 0 < target.port <= MAX_PORT:
        yield "port", f"must lie between 1 and {MAX_PORT}"
    if not target.data_centre:
        yield "data_centre", "is empty"
    if target.memory_tokens < 0:
        yield "memory_tokens", "must not be negative"
    if target.max_batch <= 0:
        yield "max_batch", "must be positive"


@_field_errors.register
def _account_field_errors(
    value: configuration.ClientAccount,
) -> Iterable[tuple[str, str]]:
    for name in ("requests_per_s", "prompt_tokens_per_s", "worth"):
        if not getattr(value, name) > 0:
            yield name, "must be positive"
    for name in ("max_concurrent", "max_queued"):
        if getattr(value, name) < 0:
            yield name, "must not be negative"
    if not 0 <= value.urgency <= MAX_URGENCY:
        yield "urgency", f"must lie between 0 and {MAX_URGENCY}"
    ids = [key.key_id for key in value.keys]
    if len(set(ids)) < len(ids):
        yield "keys", "names a key id twice"
    for number, key in enumerate(value.keys):
        if not (key.key_id and key.salt and key.digest):
            yield f"keys[{number}]", "needs key_id, salt and digest"


@_field_errors.register
def _drain_field_errors(
    _value: configuration.Drain,
) -> Iterable[tuple[str, str]]:
    return ()


@_field_errors.register
def _order_field_errors(
    value: configuration.Order,
) -> Iterable[tuple[str, str]]:
    if value.action is configuration.OrderAction.ROLE:
        if value.role not in _ROLES:
            yield "role", f"must be one of {', '.join(_ROLES)}"
    elif not value.model:
        yield "model", "is empty"


@functools.singledispatch
def _reference_errors(
    value: object, _after: index.ConfigurationIndex
) -> Iterable[tuple[str, str]]:
    """Yields the field and the reason of dangling or clashing references."""
    raise TypeError(type(value).__name__)


@_reference_errors.register
def _service_reference_errors(
    value: configuration.Service, after: index.ConfigurationIndex
) -> Iterable[tuple[str, str]]:
    other_services = [
        s for s in after.services.values() if s.name != value.name
    ]
    services_by_model = {
        model: s.name for s in other_services for model in s.models
    }
    targets_by_id = {
        t.target_id: (t, s.name) for s in other_services for t in s.targets
    }
    for number, model in enumerate(value.models):
        if model in services_by_model:
            owner = services_by_model[model]
            yield f"models[{number}]", f"is served by service {owner!r}"
    for number, target in enumerate(value.targets):
        if target.target_id not in targets_by_id:
            continue
        other, owner = targets_by_id[target.target_id]
        if other != target:
            yield (
                f"targets[{number}]",
                f"{target.target_id!r} differs from the one of {owner!r}",
            )


@_reference_errors.register
def _account_reference_errors(
    value: configuration.ClientAccount, after: index.ConfigurationIndex
) -> Iterable[tuple[str, str]]:
    for number, service in enumerate(value.services):
        if service not in after.services:
            yield f"services[{number}]", f"no service {service!r}"
    owners_by_key_id = {
        key.key_id: account.name
        for account in after.accounts.values()
        if account.name != value.name
        for key in account.keys
    }
    for number, key in enumerate(value.keys):
        if key.key_id in owners_by_key_id:
            owner = owners_by_key_id[key.key_id]
            yield f"keys[{number}]", f"the id belongs to account {owner!r}"


@_reference_errors.register
def _drain_reference_errors(
    _value: configuration.Drain, _after: index.ConfigurationIndex
) -> Iterable[tuple[str, str]]:
    return ()


@_reference_errors.register
def _order_reference_errors(
    value: configuration.Order, after: index.ConfigurationIndex
) -> Iterable[tuple[str, str]]:
    engines = {
        target.target_id
        for service in after.services.values()
        for target in service.targets
        if target.kind is targets.TargetKind.ENGINE
    }
    if value.name not in engines:
        yield "name", f"no service has an engine {value.name!r}"


def _remaining_references(
    kind: configuration.ObjectKind,
    name: str,
    after: index.ConfigurationIndex,
) -> Iterable[tuple[str, str]]:
    """Yields errors for the objects that still refer to a deleted one."""
    if kind is not configuration.ObjectKind.SERVICE:
        return
    for account in after.accounts.values():
        if name in account.services:
            yield "name", f"account {account.name!r} still names it"
