"""Draws the targets among which one request is placed in a large fleet.

The cost of a choice must hardly grow with the number of targets. For a short
prompt, some targets are drawn at random, half of them from the own data centre.
That also keeps instances that don't know of each other's latest placements from
choosing the same target. A long prompt gets the targets with the fewest jobs.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement_costs

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import target_table

MIN_SAMPLED_TARGETS = 64
"""Services with fewer targets are always compared as a whole."""
SHORT_CANDIDATES = 22
"""Candidates of a short prompt, drawn at random."""
LONG_LEAST_LOADED = 40
"""Candidates of a long prompt, which up to 16 targets read together."""
LONG_DRAWN = 512
"""Targets among which those are found."""


@attrs.frozen
class Sample:
    """Candidates for a request.

    Attributes:
        targets: Some usable targets of its service.
        is_random: Whether they were drawn at random, so that others may be
            much better.
    """

    targets: list[target_table.Target]
    is_random: bool


class CandidateSampler:
    """Draws candidates from the targets of a service."""

    def __init__(
        self,
        table: target_table.TargetTable,
        load: load_view.LoadView,
        data_centre: str,
        rng: random.Random,
        unreachable: Callable[[float], frozenset[str]] = lambda _: frozenset(),
    ) -> None:
        """Initializes the sampler.

        Args:
            table: The known targets.
            load: The load of each target.
            data_centre: The data centre of this instance.
            rng: Random generator.
            unreachable: Returns the data centres that are not reached at a
                time.
        """
        self._table = table
        self._load = load
        self._data_centre = data_centre
        self._rng = rng
        self._unreachable = unreachable

    def sample(self, demand: demands.Demand, now: float) -> Sample | None:
        """Returns some usable targets; None if all must be compared.

        That is so where targets limit the rate of requests: whether a request
        may wait for a permit depends on all targets of the service.
        """
        service = demand.service
        if (
            service.cost_model is None
            or self._table.count_service(service.name) < MIN_SAMPLED_TARGETS
        ):
            return None
        is_short = (
            engine_timing.prefill_s(service.cost_model, demand.prompt_tokens)
            <= placement_costs.SHORT_PREFILL_S
        )
        unreachable = self._unreachable(now)
        drawn = (
            self._draw(demand)
            if is_short
            else heapq.nsmallest(
                LONG_LEAST_LOADED,
                [
                    target
                    for target in self._window(
                        self._list_allowed(demand), LONG_DRAWN
                    )
                    if target.record.data_centre not in unreachable
                ],
                key=self._count_jobs,
            )
        )
        drawn = [
            target
            for target in drawn
            if target.is_usable(now)
            and not self._table.is_evacuated(target.record)
            and demand.allows(target.record.data_centre)
            and target.record.data_centre not in unreachable
            and target.record.target_id not in demand.excluded
            and not self._table.rest_left_s(target.record, now)
        ]
        if any(
            target.rate_limit is not None or target.is_cold(now)
            for target in drawn
        ):
            return None
        return Sample(drawn, is_random=is_short)

    def _count_jobs(self, target: target_table.Target) -> int:
        """Returns the number of jobs that a target works on."""
        return self._load.count_jobs(target.record.target_id)

    def _list_allowed(
        self, demand: demands.Demand
    ) -> tuple[target_table.Target, ...]:
        """Returns the targets in all data centres that a request allows."""
        service = demand.service.name
        allowed = demand.allowed_data_centres
        if allowed is None:
            return self._table.order_service(service, None)
        return tuple(
            target
            for data_centre in sorted(allowed)
            for target in self._table.order_service(service, data_centre)
        )

    def _draw(self, demand: demands.Demand) -> list[target_table.Target]:
        """Returns random targets of a service, half of them local."""
        half = SHORT_CANDIDATES // 2
        local = (
            self._table.order_service(demand.service.name, self._data_centre)
            if demand.allows(self._data_centre)
            else ()
        )
        drawn = {id(target): target for target in self._window(local, half)}
        everywhere = self._list_allowed(demand)
        for target in self._window(everywhere, SHORT_CANDIDATES - len(drawn)):
            drawn[id(target)] = target
        return list(drawn.values())

    def _window(
        self, targets: tuple[target_table.Target, ...], size: int
    ) -> tuple[target_table.Target, ...]:
        """Returns neighbours in an order, from a random one on."""
        if len(targets) <= size:
            return targets
        start = int(self._rng.random() * len(targets))
        window = targets[start : start + size]
        return window + targets[: size - len(window)]
