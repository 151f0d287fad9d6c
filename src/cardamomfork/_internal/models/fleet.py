"""What operators set for a fleet behind entry instances, and its targets.

All durations are seconds, all sizes tokens or bytes, as the names say.
"""

from __future__ import annotations

import enum

import attrs


class RepeatPolicy(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    """A request may run any number of times."""
    ONCE = "once"
    """A request runs at most once."""
    STREAM = "stream"
    """A stream of events; runs once, unless it may be resumed."""


@attrs.frozen
class EngineCostModel:
    """How a model engine spends its time, and what it holds.

    Attributes:
        slots: Requests that it processes at once.
        memory_tokens: Tokens that its memory holds.
        step_s: Time of one token step, without any sequence.
        sequence_step_s: Time that each writing sequence adds to a step.
        context_token_step_s: Time that each token of a writer's context adds.
        prefill_rate_tokens_per_s: Prompt tokens read a second.
        attention_pair_s: Time for a pair of a prompt token and an earlier one.
        chunk_tokens: Most prompt tokens read in a step.
        steps_per_event: Steps in a pass that has writers; a pass is an event.
        typical_prompt_tokens: Mean length of a prompt.
        typical_output_tokens: Mean length of an answer.
        remote_memory_step_s: Time that a step gains for memory held elsewhere.
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
        name: The service's name.
        max_connections: Connections that a target accepts from all callers.
        cost_model: Cost model of its engines; None for a plain service.
    """

    name: str
    max_connections: int
    cost_model: EngineCostModel | None = None


@attrs.frozen
class ServiceWeight:
    """The part of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests to one prefix of a host are served.

    Attributes:
        name: The route's name.
        host: Host that callers name.
        prefix: Beginning of the path, with a slash at both ends.
        rule: What may be repeated.
        timeout_s: Longest time that a request is kept.
        objective_s: Time to the (first piece of the) answer.
        priority: Rank; 0 goes first.
        shares: Services, by weight.
        max_attempts: Most targets that may run one request.
        needs_key: Whether callers must show an API key.
        may_resume: Whether a stream may go on at another target.
        max_gap_s: Longest pause between events; 0 if none is set.
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run at a second target."""
        return self.rule is RepeatPolicy.SAFE or (
            self.rule is RepeatPolicy.STREAM and self.may_resume
        )


@attrs.frozen
class ClientAccount:
    """Who sends requests.

    Attributes:
        name: The account's name, which targets are told.
        api_keys: Keys that callers show.
        priority: Rank that goes before the route's; None if unset.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """What callers may send, and how long a connection may stay idle."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 16_777_216
    idle_timeout_s: float = 30.0


@attrs.frozen
class FleetConfiguration:
    """One version of all that operators set.

    Attributes:
        version: Grows with each change, in uneven steps.
        revision: The store's revision of this version.
        routes: Routes, in the operators' order.
        services: Services by name.
        accounts: Client accounts; empty if callers need no key.
        limits: Bounds on callers.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[ClientAccount, ...]
    limits: CallerLimits


@attrs.frozen
class TargetRecord:
    """A target as it registered itself.

    Attributes:
        target_id: Its name; may come back after a restart.
        service: The service that it belongs to.
        host: IP number.
        port: TCP port.
        data_centre: Where it runs.
        slots: Requests that it processes at once.
        is_leaving: Whether it takes no new work.
        started_at_ms: Time of its start, Unix milliseconds; 0 if unknown.
    """

    target_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    started_at_ms: int = 0


@attrs.frozen
class EntrySettings:
    """What an entry instance must know to start.

    Attributes:
        instance_id: Name of this instance.
        data_centre: Where it runs.
        host: IP number that all its sockets use.
        caller_port: TCP port for callers.
        readiness_port: TCP port on which the balancer asks for readiness.
        readiness_host: IP number of that port.
        peer_port: TCP and UDP port for other instances.
        metrics_port: TCP port of the metrics.
        store_host: IP number of the platform's store.
        store_port: TCP port of the platform's store.
        memory_bytes: Memory that the process may use.
        max_file_descriptors: Descriptors that the process may use.
        drain_timeout_s: Time within which a leaving target gets no more work.
        stop_grace_s: Time from SIGTERM to SIGKILL.
        retry_ratio: Repeats that a service may get, as a share of requests.
        retry_reserve: Repeats that a service may get beside that share.
        retry_window_s: Window in which both are counted.
        max_reservation_s: Longest time that engine memory may be reserved.
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
