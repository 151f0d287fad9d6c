"""What operators set: services, client accounts, drains, orders, priorities.

Each object lives under one key in the platform's store, as JSON, and carries
the version that the store gave its last change.
"""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets


class ObjectKind(enum.StrEnum):
    """Kinds of configuration object; also the second part of a key."""

    SERVICE = "service"
    ACCOUNT = "account"
    DRAIN = "drain"
    ORDER = "order"


class ServiceKind(enum.StrEnum):
    """Model service or plain service."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class Service:
    """A service that callers name.

    Attributes:
        name: Its name; for a model service callers may also give the model.
        kind: Served by model engines or by plain services.
        models: Models (or `model:adapter`) it serves; empty if plain.
        idempotent: Whether its calls may be repeated.
        targets: Targets that serve it.
        default_timeout_s: Time for a request that names none, in seconds.
        max_timeout_s: Longest time a request may ask for, in seconds.
        retry_budget: Retries allowed as a share of recent first tries.
        max_prompt_tokens: Longest prompt in tokens.
    """

    name: identifiers.ServiceName
    kind: ServiceKind
    models: tuple[str, ...] = ()
    idempotent: bool = True
    targets: tuple[targets.Target, ...] = ()
    default_timeout_s: float = 60.0
    max_timeout_s: float = 3600.0
    retry_budget: float = 0.1
    max_prompt_tokens: int = 1_048_576


@attrs.frozen
class HashedKey:
    """A client account's or operator's key as it is stored.

    Attributes:
        key_id: Public part that finds the record.
        salt: Random salt, hex.
        digest: scrypt digest of the secret part, hex.
        not_after: Unix time after which it is refused, or None.
    """

    key_id: str
    salt: str = attrs.field(repr=False)
    digest: str = attrs.field(repr=False)
    not_after: float | None = None


@attrs.frozen
class ClientAccount:
    """A client account: its keys, limits and priority.

    Attributes:
        name: Its name.
        keys: Keys in force; two overlap during a rotation.
        requests_per_s: Requests a second, fleet-wide.
        prompt_tokens_per_s: Prompt tokens a second, fleet-wide.
        max_concurrent: Requests running at once, fleet-wide.
        max_queued: Requests waiting at once, fleet-wide.
        urgency: Lowest number (most urgent) it may ask for.
        worth: Weight of its requests in goodput.
        services: Services it may call; empty for all.
    """

    name: identifiers.AccountName
    keys: tuple[HashedKey, ...] = ()
    requests_per_s: float = 100.0
    prompt_tokens_per_s: float = 1_000_000.0
    max_concurrent: int = 1000
    max_queued: int = 1000
    urgency: int = 0
    worth: float = 1.0
    services: tuple[str, ...] = ()


@attrs.frozen
class Drain:
    """An operator's word that a target or instance takes no new work.

    Attributes:
        name: Target id or instance id.
        reason: Why, for the other operators.
    """

    name: str
    reason: str = ""


class OrderAction(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@attrs.frozen
class Order:
    """What an engine should run; kept until the operator changes it.

    Attributes:
        name: Target id of the engine.
        action: Load, unload or change role.
        model: Model, or `model:adapter`.
        model_version: Version of the weights.
        role: `prefill`, `decode` or `mixed`; for `ROLE` only.
    """

    name: identifiers.TargetId
    action: OrderAction
    model: str = ""
    model_version: str = ""
    role: str = ""


ConfigurationObject = Service | ClientAccount | Drain | Order


@attrs.frozen
class Versioned:
    """A configuration object as the store holds it.

    Attributes:
        kind: Which kind of object.
        name: Its name within the kind.
        version: The store's revision of its last change; grows over all keys.
        value: The object, or None once it is deleted.
    """

    kind: ObjectKind
    name: str
    version: int
    value: ConfigurationObject | None
