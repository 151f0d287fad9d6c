"""Decides how the engines of a data centre are brought to their orders.

One instance holds a lease whose id is the fencing number. Engines that check
the number refuse those of earlier holders. For the others the holder waits
until the earlier lease and the longest message delay are over, reads back what
runs, and sends the order again until both agree; it goes on reading, so that
an order that an earlier holder sent before a long pause is corrected.
"""

from __future__ import annotations

import math
from typing import Any

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets
from cardamomfork._internal.targets import orders_models as models

MAX_ENGINES = 4096

_NOT_RUN = (
    targets.FaultKind.UNREACHABLE,
    targets.FaultKind.REFUSED,
    targets.FaultKind.REJECTED,
)


@attrs.define
class _Engine:
    """An engine that has an order.

    Attributes:
        target: The engine.
        order: What it should run.
        next_kind: The step that is due next.
        due_at: When it is due.
        busy: Whether a step is under way.
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
    due_at: float
    next_kind: models.StepKind = models.StepKind.READ
    busy: bool = False
    running: models.Running | None = None
    accepted: configuration.Order | None = None
    asserted: int = 0
    due_by: float = -math.inf
    failures: int = 0
    fault: str = ""
    settled_at: float | None = None

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

    def plan(self, kind: models.StepKind, due_at: float) -> None:
        """Sets the step that comes next."""
        self.busy = False
        self.next_kind = kind
        self.due_at = due_at


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
        self._budget = budget
        self._orders: dict[identifiers.TargetId, configuration.Order] = {}
        self._targets: dict[identifiers.TargetId, targets.Target] = {}
        self._engines: dict[identifiers.TargetId, _Engine] = {}
        self._turns: dict[identifiers.TargetId, float] = {}
        self._fencing = 0
        self._next_load_at = -math.inf
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
        self._end_turns(now)
        steps = []
        wake_at = holding.valid_until
        for engine in self._engines.values():
            if engine.busy:
                continue
            at = self._time_of(engine, holding, now)
            if at > now:
                wake_at = min(wake_at, at)
                continue
            steps.append(self._start(engine, now))
        exceptions.check_invariant(
            self.loading <= self._budget.loads_at_once,
            "loads stay within the weight store's budget",
            self._data_centre,
        )
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
            engine.plan(models.StepKind.READ, now + self._timing.poll_s)
        else:
            engine.plan(models.StepKind.SEND, now)

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
            self._turns[step.target_id] = engine.due_by
        engine.plan(models.StepKind.READ, now)

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
            self._turns.pop(step.target_id, None)
        engine.plan(
            models.StepKind.READ, now + min(pause, self._timing.max_backoff_s)
        )

    def abandoned(self, step: models.Step, now: float) -> None:
        """Notes that a step was not taken, because the lease was over."""
        engine = self._engine_of(step)
        if engine is not None:
            engine.plan(models.StepKind.READ, now)

    def describe(self) -> list[dict[str, Any]]:
        """Returns one row an engine, for the state dump."""
        return [
            {
                "target": engine.target.target_id,
                "action": engine.order.action.value,
                "model": engine.order.model,
                "version": engine.order.model_version,
                "role": engine.order.role,
                "settled": engine.settled_at is not None,
                "loading": engine.target.target_id in self._turns,
                "failures": engine.failures,
                "fault": engine.fault,
            }
            for engine in self._engines.values()
        ]

    def _forget(self, name: identifiers.TargetId) -> None:
        """Drops an engine and its turn."""
        self._engines.pop(name, None)
        self._turns.pop(name, None)

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
            self._engines[name] = _Engine(target, order, now)
            return
        if (engine.target, engine.order) == (target, order):
            return
        engine.target = target
        if engine.order != order:
            engine.order = order
            engine.settled_at = None
        if not engine.busy:
            engine.plan(models.StepKind.READ, now)

    def _begin(self, holding: models.Holding, now: float) -> None:
        """Starts anew under another lease: nothing read before counts."""
        self._fencing = holding.fencing
        self._turns.clear()
        for engine in self._engines.values():
            engine.running = None
            engine.accepted = None
            engine.settled_at = None
            engine.failures = 0
            engine.plan(models.StepKind.READ, now)

    def _end_turns(self, now: float) -> None:
        """Takes back the turns of loads that took too long."""
        over = [name for name, end in self._turns.items() if now >= end]
        for name in over:
            del self._turns[name]

    def _time_of(
        self, engine: _Engine, holding: models.Holding, now: float
    ) -> float:
        """Returns when an engine's next step may be taken."""
        if engine.next_kind is models.StepKind.READ:
            return engine.due_at
        at = engine.due_at
        if not engine.target.checks_fencing:
            drift = holding.ttl_s * self._timing.clock_drift
            delay = self._timing.max_message_delay_s
            at = max(at, holding.acquired_at + drift + delay)
        name = engine.target.target_id
        if not engine.needs_turn or name in self._turns:
            return at
        if self.loading >= self._budget.loads_at_once:
            return max(at, now + self._timing.poll_s)
        return max(at, self._next_load_at)

    def _start(self, engine: _Engine, now: float) -> models.Step:
        """Marks a step as under way."""
        engine.busy = True
        if engine.next_kind is models.StepKind.READ:
            self.counters.reads += 1
        else:
            self.counters.sends += 1
            self._take_turn(engine, now)
        return models.Step(
            engine.next_kind,
            engine.target.target_id,
            engine.order,
            self._fencing,
        )

    def _take_turn(self, engine: _Engine, now: float) -> None:
        """Gives an engine its turn at the weight store."""
        if not engine.needs_turn:
            return
        name = engine.target.target_id
        if name not in self._turns:
            self._next_load_at = now + self._budget.load_interval_s
        self._turns[name] = now + self._timing.max_message_delay_s

    def _settle(self, engine: _Engine, now: float) -> None:
        """Notes that an engine runs its order."""
        self._turns.pop(engine.target.target_id, None)
        engine.failures = 0
        engine.fault = ""
        engine.due_by = -math.inf
        if engine.settled_at is None:
            engine.settled_at = now
        # An engine learns the new number only from an order.
        behind = engine.asserted != self._fencing
        if engine.target.checks_fencing and behind:
            engine.plan(models.StepKind.SEND, now)
        else:
            engine.plan(models.StepKind.READ, now + self._timing.steady_s)

    def _engine_of(self, step: models.Step) -> _Engine | None:
        """Returns a step's engine, unless the step is of an earlier lease."""
        engine = self._engines.get(step.target_id)
        if engine is None or step.fencing != self._fencing:
            return None
        return engine
