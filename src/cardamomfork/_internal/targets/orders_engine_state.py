"""State of one engine in the order reconciler."""

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
    """State of an engine that has an order.

    Attributes:
        target: Configuration of the engine.
        order: The order that the engine should match.
        next_step_kind: Kind of the next scheduled step.
        plan_id: Id of the current plan; 0 while a step is in progress.
        observed: State in the latest read, or None.
        accepted_order: Order that the engine accepted last under this lease.
        accepted_fencing: Fencing number of the order accepted last.
        expected_by: Monotonic time by which the engine should match the order
            that it accepted.
        failures: Number of consecutive failed steps.
        fault: Detail of the last fault; cleared when the engine matches its
            order.
        settled_at: Monotonic time of the read in which the engine first
            matched its order, or None.
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
        """Whether the latest read shows that the engine matches its order."""
        return self.observed is not None and models.matches(
            self.order, self.observed, self.accepted_order
        )

    @property
    def loads_weights(self) -> bool:
        """Whether sending the order makes the engine load weights."""
        loads = self.order.action is configuration.OrderAction.LOAD
        return loads and not self.matches_order
