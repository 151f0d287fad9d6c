"""Decides how the engines of a data centre are brought to their orders.

One instance holds a lease whose id is the fencing number. Engines that check
the number refuse those of earlier holders. For the others the holder waits
until the earlier lease and the longest message delay are over, reads back what
runs, and sends the order again until both agree; it goes on reading, so that
an order that an earlier holder sent before a long pause is corrected.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import Any

import attrs

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets
from cardamomfork._internal.targets import orders_engine
from cardamomfork._internal.targets import orders_models as models
from cardamomfork._internal.targets import orders_turns

MAX_ENGINES = 4096
MAX_VOID_PLANS = 64

_NOT_RUN = (
    targets.FaultKind.UNREACHABLE,
    targets.FaultKind.REFUSED,
    targets.FaultKind.REJECTED,
)


@attrs.define
class OrderCounters:
    """Steps and what they showed."""

    reads: int = 0
    sends: int = 0
    faults: int = 0
    corrections: int = 0
    ignored: int = 0


class OrderKeeper:
    """Brings the engines of one data centre to their orders."""

    def __init__(
        self,
        data_centre: identifiers.DataCentreId,
        timing: models.OrderTiming = models.OrderTiming(),  # noqa: B008
        budget: models.WeightBudget = models.WeightBudget(),  # noqa: B008
    ) -> None:
        """Starts without engines, orders or lease."""
        self._data_centre = data_centre
        self._timing = timing
        self._orders: dict[identifiers.TargetId, configuration.Order] = {}
        self._targets: dict[identifiers.TargetId, targets.Target] = {}
        self._engines: dict[identifiers.TargetId, orders_engine.Engine] = {}
        self._turns = orders_turns.Turns(budget)
        self._due: list[tuple[float, int, identifiers.TargetId]] = []
        self._tickets = itertools.count(1)
        self._waiting: dict[identifiers.TargetId, None] = {}
        self._fencing = 0
        self.counters = OrderCounters()

    @property
    def unsettled(self) -> int:
        """Engines that were not read to run their order."""
        return sum(e.settled_at is None for e in self._engines.values())

    @property
    def loading(self) -> int:
        """Engines that have a turn at the weight store."""
        return len(self._turns)

    def apply_order(self, order: configuration.Order, now: float) -> None:
        """Takes an engine's current order."""
        if order == self._orders.get(order.name):
            return
        if not self._has_room(self._orders, order.name):
            return
        self._orders[order.name] = order
        self._join(order.name, now)

    def remove_order(self, name: identifiers.TargetId) -> None:
        """Forgets an order; the engine keeps what it runs."""
        self._orders.pop(name, None)
        self._forget(name)

    def apply_target(self, target: targets.Target, now: float) -> None:
        """Takes an engine's configuration; those elsewhere are ignored."""
        if target.data_centre != self._data_centre:
            self.remove_target(target.target_id)
            return
        if not self._has_room(self._targets, target.target_id):
            return
        self._targets[target.target_id] = target
        self._join(target.target_id, now)

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Forgets an engine."""
        self._targets.pop(target_id, None)
        self._forget(target_id)

    def decide(
        self, now: float, holding: models.Holding | None
    ) -> models.Decision:
        """Returns the steps to take now.

        Args:
            now: Monotonic time in seconds.
            holding: The lease, or None while another instance holds it.
        """
        if holding is None or now >= holding.valid_until:
            return models.Decision((), None)
        if holding.fencing != self._fencing:
            self._begin(holding, now)
        self._turns.end_overdue(now)
        steps = self._start_waiting(now)
        steps += self._start_due(holding, now)
        wake_at = holding.valid_until
        if self._due:
            wake_at = min(wake_at, self._due[0][0])
        if self._waiting:
            wake_at = min(wake_at, self._turns.free_at())
        return models.Decision(tuple(steps), wake_at)

    def observe(
        self, step: models.Step, running: models.Running, now: float
    ) -> None:
        """Takes the answer to a read."""
        engine = self._engine_of(step)
        if engine is None:
            return
        engine.running = running
        if engine.agrees:
            self._settle(engine, now)
            return
        if engine.settled_at is not None:
            self.counters.corrections += 1
            engine.settled_at = None
        if engine.accepted == engine.order and now < engine.due_by:
            self._plan(engine, models.StepKind.READ, now + self._timing.poll_s)
        else:
            self._plan(engine, models.StepKind.SEND, now)

    def answered(self, step: models.Step, now: float) -> None:
        """Takes an engine's word that it accepted an order."""
        engine = self._engine_of(step)
        if engine is None:
            return
        engine.accepted = step.order
        engine.asserted = step.fencing
        engine.due_by = now + self._timing.switch_timeout_s
        if step.target_id in self._turns:
            engine.due_by = now + self._timing.load_timeout_s
            self._turns.take(step.target_id, now, engine.due_by)
        self._plan(engine, models.StepKind.READ, now)

    def failed(
        self, step: models.Step, fault: targets.TargetFault, now: float
    ) -> None:
        """Takes the fault of a step."""
        self.counters.faults += 1
        engine = self._engine_of(step)
        if engine is None:
            return
        engine.fault = f"{fault.kind.value}: {fault.detail}"
        pause = self._timing.first_backoff_s * 2.0**engine.failures
        engine.failures += 1
        if step.kind is models.StepKind.SEND and fault.kind in _NOT_RUN:
            self._turns.release(step.target_id)
        self._plan(
            engine,
            models.StepKind.READ,
            now + min(pause, self._timing.max_backoff_s),
        )

    def abandoned(self, step: models.Step, now: float) -> None:
        """Notes that a step was not taken, because the lease was over."""
        engine = self._engine_of(step)
        if engine is not None:
            self._plan(engine, models.StepKind.READ, now)

    @property
    def size(self) -> int:
        """Engines that have an order."""
        return len(self._engines)

    def describe(self) -> list[dict[str, Any]]:
        """Returns one row an engine, for the state dump."""
        return [
            {
                "target": engine.name,
                "action": engine.order.action.value,
                "model": engine.order.model,
                "version": engine.order.model_version,
                "role": engine.order.role,
                "settled": engine.settled_at is not None,
                "loading": engine.name in self._turns,
                "failures": engine.failures,
                "fault": engine.fault,
            }
            for engine in self._engines.values()
        ]

    def _forget(self, name: identifiers.TargetId) -> None:
        """Drops an engine and its turn."""
        self._engines.pop(name, None)
        self._waiting.pop(name, None)
        self._turns.release(name)

    def _has_room(
        self, table: dict[identifiers.TargetId, Any], name: identifiers.TargetId
    ) -> bool:
        """Tells whether a name fits into a table; counts it if not."""
        if name in table or len(table) < MAX_ENGINES:
            return True
        self.counters.ignored += 1
        return False

    def _join(self, name: identifiers.TargetId, now: float) -> None:
        """Makes or updates an engine once target and order are known."""
        order = self._orders.get(name)
        target = self._targets.get(name)
        if order is None or target is None:
            return
        engine = self._engines.get(name)
        if engine is None:
            engine = orders_engine.Engine(target, order)
            self._engines[name] = engine
            self._plan(engine, models.StepKind.READ, now)
            return
        if (engine.target, engine.order) == (target, order):
            return
        engine.target = target
        if engine.order != order:
            engine.order = order
            engine.settled_at = None
        if engine.ticket:
            self._plan(engine, models.StepKind.READ, now)

    def _begin(self, holding: models.Holding, now: float) -> None:
        """Starts anew under another lease: nothing read before counts."""
        self._fencing = holding.fencing
        self._turns.clear()
        self._waiting.clear()
        for engine in self._engines.values():
            engine.running = None
            engine.accepted = None
            engine.settled_at = None
            engine.failures = 0
            self._plan(engine, models.StepKind.READ, now)

    def _plan(
        self,
        engine: orders_engine.Engine,
        kind: models.StepKind,
        due_at: float,
    ) -> None:
        """Sets an engine's next step; an earlier plan is void."""
        self._waiting.pop(engine.name, None)
        engine.next_kind = kind
        engine.ticket = next(self._tickets)
        heapq.heappush(self._due, (due_at, engine.ticket, engine.name))
        if len(self._due) > 2 * len(self._engines) + MAX_VOID_PLANS:
            self._due = [plan for plan in self._due if self._is_live(plan)]
            heapq.heapify(self._due)

    def _is_live(self, plan: tuple[float, int, identifiers.TargetId]) -> bool:
        """Tells whether a plan is an engine's newest."""
        _, ticket, name = plan
        engine = self._engines.get(name)
        return engine is not None and engine.ticket == ticket

    def _start_due(
        self, holding: models.Holding, now: float
    ) -> list[models.Step]:
        """Starts the steps that are due; those without a turn wait."""
        steps = []
        while self._due and self._due[0][0] <= now:
            plan = heapq.heappop(self._due)
            if not self._is_live(plan):
                continue
            _, ticket, name = plan
            engine = self._engines[name]
            allowed_at = self._allowed_at(engine, holding)
            if allowed_at > now:
                heapq.heappush(self._due, (allowed_at, ticket, name))
            elif self._may_start(engine, now):
                steps.append(self._start(engine, now))
            else:
                self._waiting[name] = None
        return steps

    def _start_waiting(self, now: float) -> list[models.Step]:
        """Starts loads that waited for a turn, in the order they came."""
        steps = []
        while self._waiting and self._turns.is_free(now):
            name = next(iter(self._waiting))
            del self._waiting[name]
            steps.append(self._start(self._engines[name], now))
        return steps

    def _allowed_at(
        self, engine: orders_engine.Engine, holding: models.Holding
    ) -> float:
        """Returns the time before which a step must not be taken."""
        reads = engine.next_kind is models.StepKind.READ
        if reads or engine.target.checks_fencing:
            return holding.acquired_at
        drift = holding.ttl_s * self._timing.clock_drift
        delay = self._timing.max_message_delay_s
        return holding.acquired_at + drift + delay

    def _may_start(self, engine: orders_engine.Engine, now: float) -> bool:
        """Tells whether an engine needs no turn, has one or gets one."""
        reads = engine.next_kind is models.StepKind.READ
        if reads or not engine.needs_turn or engine.name in self._turns:
            return True
        return not self._waiting and self._turns.is_free(now)

    def _start(self, engine: orders_engine.Engine, now: float) -> models.Step:
        """Marks a step as under way."""
        engine.ticket = 0
        if engine.next_kind is models.StepKind.READ:
            self.counters.reads += 1
        else:
            self.counters.sends += 1
            if engine.needs_turn:
                delay = self._timing.max_message_delay_s
                self._turns.take(engine.name, now, now + delay)
        return models.Step(
            engine.next_kind, engine.name, engine.order, self._fencing
        )

    def _settle(self, engine: orders_engine.Engine, now: float) -> None:
        """Notes that an engine runs its order."""
        self._turns.release(engine.name)
        engine.failures = 0
        engine.fault = ""
        engine.due_by = -math.inf
        if engine.settled_at is None:
            engine.settled_at = now
        # An engine learns the new number only from an order.
        behind = engine.asserted != self._fencing
        if engine.target.checks_fencing and behind:
            self._plan(engine, models.StepKind.SEND, now)
        else:
            self._plan(
                engine, models.StepKind.READ, now + self._timing.steady_s
            )

    def _engine_of(self, step: models.Step) -> orders_engine.Engine | None:
        """Returns a step's engine, unless the step is of an earlier lease."""
        engine = self._engines.get(step.target_id)
        if engine is None or step.fencing != self._fencing:
            return None
        return engine
