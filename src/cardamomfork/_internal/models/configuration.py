"""Configuration objects: services, client accounts, drains and orders.

Operators set them. Each object is stored as JSON under one key of the
platform's store; its version is the store's revision of its last change.
"""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets


class ObjectKind(enum.StrEnum):
    """Kinds of configuration objects; also the kind's part of a store key."""

    SERVICE = "service"
    ACCOUNT = "account"
    DRAIN = "drain"
    ORDER = "order"


class ServiceKind(enum.StrEnum):
    """Kinds of services."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class Service:
    """A service that callers can request.

    Attributes:
        name: Name of the service; callers of a model service may name the
            model instead.
        kind: Whether model engines or plain services serve it.
        models: Models (or `model:adapter`) that it serves; empty for a plain
            service.
        idempotent: Whether its calls may be repeated.
        targets: Targets that serve it.
        default_timeout_s: Time-out of a request that sets none, in seconds.
        max_timeout_s: Longest time-out that a request may set, in seconds.
        retry_budget: Retries allowed, as a fraction of recent first attempts.
        max_prompt_tokens: Longest prompt, in tokens.
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
    """The stored form of a client account's or an operator's key.

    Attributes:
        key_id: Public part of the key, by which the record is found.
        salt: Random salt, in hex.
        digest: scrypt digest of the secret part, in hex.
        not_after: Unix time after which the key is refused; None if it does
            not expire.
    """

    key_id: str
    salt: str = attrs.field(repr=False)
    digest: str = attrs.field(repr=False)
    not_after: float | None = None


@attrs.frozen
class ClientAccount:
    """A client account: its keys, limits and priority.

    Attributes:
        name: Name of the account.
        keys: Valid keys; a rotation has two at the same time.
        requests_per_s: Limit of requests per second, fleet-wide.
        prompt_tokens_per_s: Limit of prompt tokens per second, fleet-wide.
        max_concurrent: Limit of concurrently running requests, fleet-wide.
        max_queued: Limit of queued requests, fleet-wide.
        urgency: Lowest number (most urgent) that its requests may set.
        worth: Weight of its requests in goodput.
        services: Services that it may call; empty for all.
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
    """An operator's request that a target or instance gets no new work.

    Attributes:
        name: Target id or instance id.
        reason: The reason, for other operators.
    """

    name: str
    reason: str = ""


class OrderAction(enum.StrEnum):
    """The action that an order requests of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@attrs.frozen
class Order:
    """The state that an engine should reach; valid until changed.

    Attributes:
        name: Target id of the engine.
        action: Load a model, unload a model or change the role.
        model: Model, or `model:adapter`.
        model_version: Version of the weights.
        role: `prefill`, `decode` or `mixed`; only for `ROLE`.
    """

    name: identifiers.TargetId
    action: OrderAction
    model: str = ""
    model_version: str = ""
    role: str = ""


ConfigurationObject = Service | ClientAccount | Drain | Order


@attrs.frozen
class Versioned:
    """A configuration object with its version.

    Attributes:
        kind: Kind of the object.
        name: Name of the object, unique within the kind.
        version: The store's revision of the last change; revisions increase
            across all keys.
        value: The object, or None if it is deleted.
    """

    kind: ObjectKind
    name: str
    version: int
    value: ConfigurationObject | None
