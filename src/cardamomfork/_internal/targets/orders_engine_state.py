"""An engine as the keeper of orders sees it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import configuration
from cardamomfork._internal.targets import orders_models as models

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets


@attrs.define
class EngineState:
    """An engine that has an order.

    Attributes:
        target: The engine.
        order: What it should run.
        next_step_kind: The step that is due next.
        ticket: Names the plan of that step; 0 while a step is under way.
        running: What it ran when it was read last.
        accepted: The order that it accepted last from this holder.
        asserted: The fencing number that it accepted last.
        expected_by: When it should run the order that it accepted.
        failures: Failed steps in a row.
        fault: Detail of the last fault; empty once a step succeeds.
        settled_at: When it was first read to run the order, or None.
    """

    target: targets.Target
    order: configuration.Order
    next_step_kind: models.StepKind = models.StepKind.READ
    plan_id: int = 0
    observed: models.ObservedState | None = None
    accepted_order: configuration.Order | None = None
    accepted_fencing: int = 0
    expected_by: float = -math.inf
    failures: int = 0
    fault: str = ""
    settled_at: float | None = None

    @property
    def target_id(self) -> identifiers.TargetId:
        """Target id of the engine."""
        return self.target.target_id

    @property
    def matches_order(self) -> bool:
        """Whether it ran the order when it was read last."""
        return self.observed is not None and models.matches(
            self.order, self.observed, self.accepted_order
        )

    @property
    def loads_weights(self) -> bool:
        """Whether sending the order makes it load weights."""
        loads = self.order.action is configuration.OrderAction.LOAD
        return loads and not self.matches_order
