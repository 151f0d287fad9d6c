"""Decodes the operators' configuration from the platform's store."""

from __future__ import annotations

from typing import Annotated
from typing import Any

from loguru import logger
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.models import fleet
from cardamomfork._internal.platform import numbers

KEY = "op/config"
MS_PER_S = 1000.0
MAX_COLD_PER_S = 1e6
MAX_TIME_S = 1e7
"""Longest time of a timer; far beyond any sound one."""
MAX_COUNT = 2**31 - 1
MAX_NUMBER = 1e12
TOKEN_PAIRS_PER_UNIT = 1e6
CONTEXT_TOKENS_PER_UNIT = 1e3

_REPEAT_RULES = {
    "safe": fleet.RepeatPolicy.SAFE,
    "unsafe": fleet.RepeatPolicy.ONCE,
    "streaming": fleet.RepeatPolicy.STREAM,
}


class _Engine(msgspec.Struct, rename="camel"):
    """Timing and capacity of a service's engines; times in milliseconds."""

    slots: int = 8
    kv_capacity: int = 0
    """KV cache size in tokens, not bytes."""
    stride: int = 1
    step_ms: float = msgspec.field(name="step_ms", default=1.0)
    per_seq_ms: float = msgspec.field(name="per_seq_ms", default=0.0)
    context_per_k: float = msgspec.field(name="context_per_k", default=0.0)
    """Milliseconds per step for each 1,000 tokens of a decoding context."""
    read_per_s: float = msgspec.field(name="read_per_s", default=100_000.0)
    pairs_per_m: float = msgspec.field(name="pairs_per_m", default=0.0)
    """Milliseconds per million token pairs in prefill attention."""
    chunk: int = 2048
    usual: dict[str, float] = {}
    """Mean lengths in tokens; `answer` is the output length."""
    hop_ms: float = 0.0


class _Service(msgspec.Struct, rename="camel"):
    """A service; fields that request handling does not use are omitted."""

    name: str
    max_connections: int = 64
    engine: _Engine | None = None
    cold_start_s: Any = msgspec.field(name="coldStartS", default=None)
    cold_per_s: Any = msgspec.field(name="coldPerS", default=None)


class _Backend(msgspec.Struct):
    """One service of a route with weighted services."""

    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    """A route; `kind` determines whether requests may be retried."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 1
    service: str = ""
    backends: list[_Backend] = []
    max_attempts: int = 1
    allow_anonymous: bool = False
    stream_resume: bool = False
    target_gap_ms: float = 0.0
    """Maximum pause between stream events; a limit, not an objective."""
    allowed_regions: list[str] | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    """A client account."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Limits(msgspec.Struct, rename="camel"):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 16_777_216
    idle_timeout_ms: float = 30_000.0
    header_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct, rename="camel"):
    """The top-level document of the configuration."""

    # The range in messages between instances; -1 stands for none.
    version: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


@decoding.decoder("configuration")
def decode(
    value: bytes, revision: int
) -> result.Result[fleet.FleetConfiguration, str]:
    """Decodes a configuration, or returns an error that describes the fault.

    Args:
        value: Stored bytes.
        revision: Store revision of the value.
    """
    # The store accepts unknown fields, however deeply they are nested.
    decoded = decoding.decode_shallow_json(value, _Configuration, strict=False)
    if isinstance(decoded, result.Err):
        return result.Err(f"malformed configuration: {decoded.err_value}")
    configuration = decoded.ok_value
    routes = tuple(_make_route(route) for route in configuration.routes)
    for tenant in configuration.tenants:
        _check_account_name(tenant.name)
    return result.Ok(
        fleet.FleetConfiguration(
            version=configuration.version,
            revision=revision,
            routes=routes,
            services={
                service.name: fleet.Service(
                    service.name,
                    _clamp_count(service.max_connections),
                    _make_cost_model(service.engine),
                    min(
                        _parse_field(service, "cold_start_s"),
                        numbers.MAX_COLD_S,
                    ),
                    min(_parse_field(service, "cold_per_s"), MAX_COLD_PER_S),
                )
                for service in configuration.services
            },
            accounts=tuple(
                fleet.ClientAccount(
                    tenant.name,
                    tuple(tenant.api_keys),
                    tenant.priority,
                    _make_regions(tenant.allowed_regions),
                )
                for tenant in configuration.tenants
            ),
            limits=fleet.CallerLimits(
                _clamp_count(configuration.limits.max_header_bytes),
                _clamp_count(configuration.limits.max_body_bytes),
                _to_seconds(configuration.limits.idle_timeout_ms),
                _to_seconds(configuration.limits.header_timeout_ms),
            ),
        )
    )


def _parse_field(service: _Service, name: str) -> float:
    """Returns a number of a service; 0 if it is absent or malformed."""
    value = getattr(service, name)
    if value is None:
        return 0.0
    number = numbers.parse(value)
    if number is None:
        logger.warning(
            "malformed field",
            name=name,
            service=service.name,
            detail=numbers.describe(value),
        )
        return 0.0
    return number


def _check_account_name(name: str) -> None:
    """Checks that an account name can be sent in a header.

    Raises:
        ValueError: The name contains control characters.
    """
    if not name.isprintable():
        raise ValueError(f"account name contains control characters: {name!r}")


def _make_route(route: _Route) -> fleet.Route:
    """Converts a route to the project's type."""
    service_weights = [
        fleet.ServiceWeight(
            one.service, numbers.clamp(one.weight, 0.0, MAX_NUMBER)
        )
        for one in route.backends
    ]
    if route.service:
        service_weights.append(fleet.ServiceWeight(route.service, 1.0))
    return fleet.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        rule=_REPEAT_RULES[route.kind],
        timeout_s=_to_seconds(route.timeout_ms),
        objective_s=_to_seconds(route.target_latency_ms),
        priority=route.priority,
        service_weights=tuple(service_weights),
        max_attempts=max(_clamp_count(route.max_attempts), 1),
        needs_key=not route.allow_anonymous,
        may_resume=route.stream_resume,
        max_gap_s=_to_seconds(route.target_gap_ms),
        allowed_regions=_make_regions(route.allowed_regions),
    )


def _to_seconds(milliseconds: float) -> float:
    """Converts a time to seconds that a timer can wait."""
    return numbers.clamp(milliseconds / MS_PER_S, 0.0, MAX_TIME_S)


def _clamp_count(value: int) -> int:
    """Limits a count to what the code and messages can carry."""
    return min(max(value, 0), MAX_COUNT)


def _clamp(value: float) -> float:
    """Limits a cost or a size, so that sums and products stay finite."""
    return numbers.clamp(value, 0.0, MAX_NUMBER)


def _make_regions(names: list[str] | None) -> frozenset[str] | None:
    """Returns the allowed regions; None for any, if none is named."""
    return frozenset(names) if names else None


def _make_cost_model(engine: _Engine | None) -> fleet.EngineCostModel | None:
    """Returns an engine's cost model; None for a plain service."""
    if engine is None or engine.kv_capacity <= 0:
        return None
    usual: dict[str, Any] = engine.usual
    return fleet.EngineCostModel(
        slots=max(_clamp_count(engine.slots), 1),
        memory_tokens=_clamp_count(engine.kv_capacity),
        step_s=_clamp(engine.step_ms) / MS_PER_S,
        sequence_step_s=_clamp(engine.per_seq_ms) / MS_PER_S,
        context_token_step_s=_clamp(engine.context_per_k)
        / MS_PER_S
        / CONTEXT_TOKENS_PER_UNIT,
        prefill_rate_tokens_per_s=max(_clamp(engine.read_per_s), 1.0),
        attention_pair_s=_clamp(engine.pairs_per_m)
        / MS_PER_S
        / TOKEN_PAIRS_PER_UNIT,
        chunk_tokens=max(_clamp_count(engine.chunk), 1),
        steps_per_event=max(_clamp_count(engine.stride), 1),
        typical_prompt_tokens=int(_clamp(usual.get("prompt", 1000))),
        typical_output_tokens=int(_clamp(usual.get("answer", 500))),
        remote_memory_step_s=_clamp(engine.hop_ms) / MS_PER_S,
    )
