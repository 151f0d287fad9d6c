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
class Engine:
    """An engine that has an order.

    Attributes:
        target: The engine.
        order: What it should run.
        next_kind: The step that is due next.
        ticket: Names the plan of that step; 0 while a step is under way.
        running: What it ran when it was read last.
        accepted: The order that it accepted last from this holder.
        asserted: The fencing number that it accepted last.
        due_by: When it should run the order that it accepted.
        failures: Failed steps in a row.
        fault: Detail of the last fault; empty once a step succeeds.
        settled_at: When it was first read to run the order, or None.
    """

    target: targets.Target
    order: configuration.Order
    next_kind: models.StepKind = models.StepKind.READ
    ticket: int = 0
    running: models.Running | None = None
    accepted: configuration.Order | None = None
    asserted: int = 0
    due_by: float = -math.inf
    failures: int = 0
    fault: str = ""
    settled_at: float | None = None

    @property
    def name(self) -> identifiers.TargetId:
        """Target id of the engine."""
        return self.target.target_id

    @property
    def agrees(self) -> bool:
        """Whether it ran the order when it was read last."""
        return self.running is not None and models.matches(
            self.order, self.running, self.accepted
        )

    @property
    def needs_turn(self) -> bool:
        """Whether sending the order makes it load weights."""
        loads = self.order.action is configuration.OrderAction.LOAD
        return loads and not self.agrees
