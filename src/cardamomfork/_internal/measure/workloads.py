"""Deployments and request traces of the routing measurements.

Prompt lengths follow bounded Pareto distributions: 49 in 50 prompts have 1,000
to 100,000 tokens (exponent 0.8), 1 in 50 has 100,000 to 1,048,576 tokens
(exponent 1.0). Some requests continue an earlier request of their account and
share its prefix.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import requests
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.standins import engine_model

MIN_PROMPT_TOKENS = 1_000
LONG_PROMPT_TOKENS = 100_000
MAX_PROMPT_TOKENS = 1_048_576
SHORT_PROMPT_TOKENS = 16_000
LONG_PROMPT_FRACTION = 0.02
MEAN_OUTPUT_TOKENS = 250
MAX_OUTPUT_TOKENS = 2_000
FOLLOW_UP_FRACTION = 0.15
MAX_RECENT_PROMPTS = 200
BODY = b"{}"


@attrs.frozen
class Deployment:
    """A fleet of engines and its traffic.

    Attributes:
        name: Its name in the reports.
        service: The measured service.
        engines: Number of engines that serve it.
        link_s: One-way latency between instance and engine, in seconds.
        short_weight: Weight of a delay of short prompts relative to a delay of
            long prompts.
        account_fractions: Fraction of the requests of each account.
        long_worth: Worth of a request with a prompt over `LONG_PROMPT_TOKENS`;
            other requests have worth 1.
    """

    name: str
    service: identifiers.ServiceName
    engines: int
    link_s: float
    short_weight: float
    account_fractions: tuple[float, ...]
    long_worth: float


ACCOUNT_FRACTIONS = (0.3, 0.22, 0.15, 0.08, 0.07, 0.06, 0.05, 0.04, 0.02, 0.01)

PALETTENHILFE = Deployment(
    "Palettenhilfe",
    identifiers.ServiceName("assistant-pool"),
    20,
    0.0005,
    2.0,
    ACCOUNT_FRACTIONS,
    3.0,
)
CADEAUPOT = Deployment(
    "Cadeaupot",
    identifiers.ServiceName("cadeau-lm"),
    20,
    0.0015,
    1.0,
    ACCOUNT_FRACTIONS,
    5.0,
)


@attrs.frozen
class Arrival:
    """A request of a trace.

    Attributes:
        request: The request.
        output_tokens: Tokens of its answer.
        reusable_tokens: Prompt tokens that are a prefix of an earlier request.
    """

    request: requests.Request
    output_tokens: int
    reusable_tokens: int

    @property
    def is_long(self) -> bool:
        """Whether the prompt exceeds `LONG_PROMPT_TOKENS`."""
        return self.request.prompt_tokens > LONG_PROMPT_TOKENS

    @property
    def is_short(self) -> bool:
        """Whether the prompt is below `SHORT_PROMPT_TOKENS`."""
        return self.request.prompt_tokens < SHORT_PROMPT_TOKENS

    @property
    def is_batch(self) -> bool:
        """Whether the request has batch urgency, so that it may wait."""
        return self.request.urgency >= requests.Urgency.BATCH


def make_service(
    deployment: Deployment, parameters: engine_model.EngineParameters
) -> configuration.Service:
    """Returns the configuration of the deployment's service."""
    engines = [
        targets.Target(
            target_id=identifiers.TargetId(f"engine-{number}"),
            kind=targets.TargetKind.ENGINE,
            host="127.0.0.1",
            port=1,
            data_centre=identifiers.DataCentreId("here"),
            exports_kv=True,
            memory_tokens=parameters.memory_tokens,
            max_batch=parameters.max_batch,
        )
        for number in range(deployment.engines)
    ]
    return configuration.Service(
        name=deployment.service,
        kind=configuration.ServiceKind.MODEL,
        models=("model",),
        targets=tuple(engines),
    )


def engine_capacity_per_s(
    trace: Sequence[Arrival], parameters: engine_model.EngineParameters
) -> float:
    """Returns the most requests per second that one engine can serve.

    This counts the prefill of each whole prompt in full chunks, and the decode
    steps of its answer, each of which reads the request's own KV cache. It
    does not count savings by the prefix cache.
    """
    busy_s = sum(_engine_time_s(arrival, parameters) for arrival in trace)
    return len(trace) / busy_s


def _engine_time_s(
    arrival: Arrival, parameters: engine_model.EngineParameters
) -> float:
    """Returns the engine time that a request needs, in seconds."""
    tokens = arrival.request.prompt_tokens
    steps = tokens / parameters.chunk_tokens
    attended = tokens + tokens**2 / (2 * parameters.attention_tokens)
    step_s = (
        parameters.step_per_sequence_s
        + parameters.step_per_held_token_s * tokens
    )
    return (
        steps * parameters.step_s
        + attended / parameters.prefill_tokens_per_s
        + arrival.output_tokens * step_s
    )


def make_trace(
    deployment: Deployment,
    parameters: engine_model.EngineParameters,
    load: float,
    count: int,
    seed: int,
) -> list[Arrival]:
    """Returns requests that arrive at a fraction of the fleet's capacity.

    Args:
        deployment: The fleet.
        parameters: Parameters of its engines.
        load: Fraction of the capacity.
        count: Number of requests.
        seed: Seed of the trace; the same seed gives the same prompts at every
            load.
    """
    rng = random.Random(seed)
    generator = _RequestGenerator(deployment, parameters, rng)
    trace = [generator.draw(number) for number in range(count)]
    arrivals_per_s = (
        load * deployment.engines * engine_capacity_per_s(trace, parameters)
    )
    now = 0.0
    timed_arrivals = []
    for arrival in trace:
        now += rng.expovariate(arrivals_per_s)
        request = attrs.evolve(
            arrival.request,
            arrived_at=now,
            deadline=now + arrival.request.deadline,
        )
        timed_arrivals.append(attrs.evolve(arrival, request=request))
    return timed_arrivals


class _RequestGenerator:
    """Draws random requests, without times of arrival."""

    def __init__(
        self,
        deployment: Deployment,
        parameters: engine_model.EngineParameters,
        rng: random.Random,
    ) -> None:
        """Initializes the generator without earlier requests."""
        self._deployment = deployment
        self._block_tokens = parameters.block_tokens
        self._rng = rng
        self._recent: dict[str, list[requests.Request]] = {}

    def draw(self, number: int) -> Arrival:
        """Returns the next request; its deadline is relative to arrival."""
        rng = self._rng
        fractions = self._deployment.account_fractions
        (account,) = rng.choices(range(len(fractions)), fractions)
        name = identifiers.AccountName(f"account-{account}")
        recent_requests = self._recent.setdefault(name, [])
        tokens = _prompt_tokens(rng)
        hashes: tuple[int, ...] = ()
        reusable = 0
        if recent_requests and rng.random() < FOLLOW_UP_FRACTION:
            previous = rng.choice(recent_requests)
            reusable = len(previous.prefix_hashes) * self._block_tokens
            hashes = previous.prefix_hashes
            tokens = previous.prompt_tokens + min(tokens, MIN_PROMPT_TOKENS * 4)
        blocks = tokens // self._block_tokens - len(hashes)
        hashes += tuple(rng.getrandbits(63) for _ in range(blocks))
        request = self._request(number, name, tokens, hashes)
        if tokens <= LONG_PROMPT_TOKENS:
            recent_requests.append(request)
            del recent_requests[:-MAX_RECENT_PROMPTS]
        output_token_rate = 1.0 / (MEAN_OUTPUT_TOKENS - 16)
        output_tokens = 16 + int(
            min(rng.expovariate(output_token_rate), MAX_OUTPUT_TOKENS - 16)
        )
        return Arrival(request, output_tokens, reusable)

    def _request(
        self,
        number: int,
        account: identifiers.AccountName,
        tokens: int,
        hashes: tuple[int, ...],
    ) -> requests.Request:
        """Returns a request that arrives at time 0."""
        urgency = _urgency(self._rng, tokens)
        is_long = tokens > LONG_PROMPT_TOKENS
        return requests.Request(
            request_id=identifiers.RequestId(f"r{number}"),
            account=account,
            service=self._deployment.service,
            api=requests.Api.COMPLETIONS,
            body=BODY,
            prompt_tokens=tokens,
            max_tokens=MAX_OUTPUT_TOKENS,
            arrived_at=0.0,
            deadline=_timeout_s(urgency, is_long),
            prefix_hashes=hashes,
            model="model",
            urgency=urgency,
            worth=self._deployment.long_worth if is_long else 1.0,
        )


def _prompt_tokens(rng: random.Random) -> int:
    """Draws the length of a prompt, in tokens."""
    if rng.random() < LONG_PROMPT_FRACTION:
        return int(_pareto(rng, LONG_PROMPT_TOKENS + 1, MAX_PROMPT_TOKENS, 1.0))
    return int(_pareto(rng, MIN_PROMPT_TOKENS, LONG_PROMPT_TOKENS, 0.8))


def _pareto(
    rng: random.Random, low: float, high: float, exponent: float
) -> float:
    """Draws from a bounded Pareto distribution."""
    probability_mass = 1.0 - (low / high) ** exponent
    survival = 1.0 - rng.random() * probability_mass
    return min(low / survival ** (1.0 / exponent), high)


def _urgency(rng: random.Random, tokens: int) -> int:
    """Draws an urgency; long prompts are batch requests more often."""
    weights = (0.75, 0.2, 0.05)
    if tokens >= SHORT_PROMPT_TOKENS:
        weights = (0.3, 0.5, 0.2)
    if tokens > LONG_PROMPT_TOKENS:
        weights = (0.1, 0.5, 0.4)
    kinds = requests.Urgency
    order = (kinds.INTERACTIVE, kinds.NORMAL, kinds.BATCH)
    return rng.choices(order, weights)[0]


def _timeout_s(urgency: int, is_long: bool) -> float:
    """Returns the timeout that the caller sets, in seconds."""
    if urgency >= requests.Urgency.BATCH:
        return 900.0
    if is_long:
        return 240.0
    return 60.0 if urgency == requests.Urgency.NORMAL else 30.0
