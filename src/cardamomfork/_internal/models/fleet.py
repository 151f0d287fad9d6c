"""Configuration and targets of a fleet, and the settings of an instance.

All durations are in seconds; sizes are in tokens or bytes, as their names say.
"""

from __future__ import annotations

import enum

import attrs


class RepeatPolicy(enum.Enum):
    """Whether a route's requests may run more than once."""

    SAFE = "safe"
    """A request may run any number of times."""
    ONCE = "once"
    """A request runs at most once."""
    STREAM = "stream"
    """A request for an event stream runs once, unless it may be resumed."""


@attrs.frozen
class EngineCostModel:
    """Timing and capacity of a model engine.

    Attributes:
        slots: Requests that it processes concurrently.
        memory_tokens: Capacity of its KV memory, in tokens.
        step_s: Time of one step without any sequence.
        sequence_step_s: Time that each decoding sequence adds to a step.
        context_token_step_s: Time that each token in the context of a decoding
            sequence adds to a step.
        prefill_rate_tokens_per_s: Prompt tokens that it prefills per second.
        attention_pair_s: Time for the attention of a prompt token to one
            earlier token.
        chunk_tokens: Most prompt tokens that it prefills in a step.
        steps_per_event: Steps in a pass with decoding sequences; each pass
            sends one event.
        typical_prompt_tokens: Mean length of a prompt.
        typical_output_tokens: Mean length of an output.
        remote_memory_step_s: Time that memory on other engines adds to a step.
    """

    slots: int
    memory_tokens: int
    step_s: float
    sequence_step_s: float
    context_token_step_s: float
    prefill_rate_tokens_per_s: float
    attention_pair_s: float
    chunk_tokens: int
    steps_per_event: int
    typical_prompt_tokens: int
    typical_output_tokens: int
    remote_memory_step_s: float


@attrs.frozen
class Service:
    """A group of interchangeable targets.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a target accepts, from all callers
            together.
        cost_model: Cost model of its engines; None for a plain service.
        cold_start_s: Time for which a target is cold after its start.
        cold_per_s: Requests a second that a cold target handles, from all
            instances together; 0 if its targets are never cold.
    """

    name: str
    max_connections: int
    cost_model: EngineCostModel | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class ServiceWeight:
    """A service and its weight in the distribution of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests to one path prefix of a host are served.

    Attributes:
        name: Name of the route.
        host: Host that callers request.
        prefix: Prefix of the path, with a slash at both ends.
        rule: Whether requests may run more than once.
        timeout_s: Longest time for which a request is processed.
        objective_s: Latency objective: time to the answer, or to the first
            event of a stream.
        priority: Priority; 0 is served first.
        service_weights: Services that serve the route, with their weights.
        max_attempts: Most targets that may run one request.
        needs_key: Whether callers must send an API key.
        may_resume: Whether a stream may be resumed at another target.
        max_gap_s: Longest pause between events; 0 for no limit.
        allowed_regions: Regions in which requests may be served; None for any.
    """

    name: str
    host: str
    prefix: str
    rule: RepeatPolicy
    timeout_s: float
    objective_s: float
    priority: int
    service_weights: tuple[ServiceWeight, ...]
    max_attempts: int
    needs_key: bool
    may_resume: bool
    max_gap_s: float
    allowed_regions: frozenset[str] | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run at a second target."""
        return self.rule is RepeatPolicy.SAFE or (
            self.rule is RepeatPolicy.STREAM and self.may_resume
        )


@attrs.frozen
class ClientAccount:
    """An account on whose behalf callers send requests.

    Attributes:
        name: Name of the account; also sent to targets.
        api_keys: API keys of its callers.
        priority: Priority that overrides the route's; None if unset.
        allowed_regions: Regions in which its requests may be served; None for
            any.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests and on idle connections."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 16_777_216
    idle_timeout_s: float = 30.0
    header_timeout_s: float = 15.0


@attrs.frozen
class FleetConfiguration:
    """One version of the whole configuration.

    Attributes:
        version: Version number; increases with each change, not always by 1.
        revision: The store's revision of this version.
        routes: Routes, in the operators' order.
        services: Services by name.
        accounts: Client accounts; empty if callers need no key.
        limits: Limits on callers.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[ClientAccount, ...]
    limits: CallerLimits


@attrs.frozen
class TargetRecord:
    """The record with which a target registers itself.

    Attributes:
        target_id: Id of the target; may be reused after a restart.
        service: Name of the service that it belongs to.
        host: IP address.
        port: TCP port.
        data_centre: Data centre in which it runs.
        slots: Requests that it processes concurrently.
        is_leaving: Whether it accepts no new work.
        started_at_ms: Time of its start, in Unix milliseconds; 0 if unknown.
        cold_remaining_s: Time for which the target was still cold when it wrote
            the record, or None if the record doesn't state it.
    """

    target_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    started_at_ms: int = 0
    cold_remaining_s: float | None = None


@attrs.frozen
class EntrySettings:
    """Settings that an entry instance needs to start.

    Attributes:
        instance_id: Name of this instance.
        data_centre: Data centre in which it runs.
        host: IP address of all its sockets but the readiness port.
        caller_port: TCP port for callers.
        readiness_port: TCP port for the load balancer's readiness checks.
        readiness_host: IP address of the readiness port.
        peer_port: TCP and UDP port for other instances.
        metrics_port: TCP port for the metrics.
        store_host: IP address of the platform's store.
        store_port: TCP port of the platform's store.
        memory_bytes: Memory that the process may use.
        max_file_descriptors: File descriptors that the process may use.
        drain_timeout_s: Time within which new work for a leaving target must
            stop.
        stop_grace_s: Time from SIGTERM to SIGKILL.
        retry_ratio: Retries that a service may get, as a ratio of its requests.
        retry_reserve: Retries that a service may get in addition to that.
        retry_window_s: Window over which requests and retries are counted.
        max_reservation_s: Longest time for which engine memory may be reserved.
        evacuate_s: Time within which requests to a data centre in evacuation
            must stop; None if evacuations are not observed.
        region: Region in which it runs; empty if unknown.
        regions: Region of each data centre.
        cold_ratio: Requests that may reach a cold target within a second, as a
            ratio of those that it handles.
        cold_reserve: Requests that may reach it in addition to that.
    """

    instance_id: str
    data_centre: str
    host: str
    caller_port: int
    readiness_host: str
    readiness_port: int
    peer_port: int
    store_host: str
    store_port: int
    metrics_port: int = 9464
    memory_bytes: int = 300_000_000
    max_file_descriptors: int = 4096
    drain_timeout_s: float = 2.0
    stop_grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_reserve: float = 100.0
    retry_window_s: float = 10.0
    max_reservation_s: float = 20.0
    evacuate_s: float | None = None
    region: str = ""
    regions: dict[str, str] = attrs.field(factory=dict)
    cold_ratio: float = 1.5
    cold_reserve: float = 5.0
