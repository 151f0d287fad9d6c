"""Reconciles the engines of a data centre with their orders.

One instance per data centre holds a lease whose id is the fencing number.
Engines that check fencing numbers reject orders of earlier lease holders. To
other engines the lease holder sends no order until the previous lease and the
maximum message delay have expired. It reads the state of each engine and sends
the order until state and order match. It then continues to poll the engines:
if an earlier holder sent an order before a long pause and the order arrives
late, the next read detects the change and the current order is sent again.
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
from cardamomfork._internal.targets import orders_engine_state
from cardamomfork._internal.targets import orders_load_slots
from cardamomfork._internal.targets import orders_models as models

MAX_ENGINES = 4096
MAX_STALE_PLANS = 64

_NOT_EXECUTED_FAULTS = (
    targets.FaultKind.UNREACHABLE,
    targets.FaultKind.REFUSED,
    targets.FaultKind.REJECTED,
)


@attrs.define
class OrderCounters:
    """Counts of steps and their results.

    Attributes:
        reads: State reads started.
        sends: Orders sent.
        faults: Steps that failed.
        corrections: Reads in which an engine no longer matched its order.
        ignored: Orders and targets ignored because a table was full.
    """

    reads: int = 0
    sends: int = 0
    faults: int = 0
    corrections: int = 0
    ignored: int = 0


class OrderReconciler:
    """Decides the steps that make the engines of a data centre match orders."""

    def __init__(
        self,
        data_centre: identifiers.DataCentreId,
        timing: models.OrderTiming = models.OrderTiming(),  # noqa: B008
        budget: models.WeightStoreBudget = models.WeightStoreBudget(),  # noqa: B008
    ) -> None:
        """Initializes the reconciler without engines, orders or a lease.

        Args:
            data_centre: Targets of other data centres are ignored.
            timing: Intervals, time limits and backoff.
            budget: Limits on the load on the weight store.
        """
        self._data_centre = data_centre
        self._timing = timing
        self._orders: dict[identifiers.TargetId, configuration.Order] = {}
        self._targets: dict[identifiers.TargetId, targets.Target] = {}
        self._engines: dict[
            identifiers.TargetId, orders_engine_state.EngineState
        ] = {}
        self._load_slots = orders_load_slots.LoadSlots(budget)
        # Heap of (due time, plan id, target id); stale plans are skipped.
        self._plans: list[tuple[float, int, identifiers.TargetId]] = []
        self._plan_ids = itertools.count(1)
        # Used as an ordered set.
        self._waiting_for_slot: dict[identifiers.TargetId, None] = {}
        self._fencing = 0
        self.counters = OrderCounters()

    @property
    def unsettled(self) -> int:
        """Number of engines that have not been seen to match their order."""
        return sum(e.settled_at is None for e in self._engines.values())

    @property
    def loading(self) -> int:
        """Number of engines that hold a load slot."""
        return len(self._load_slots)

    def apply_order(self, order: configuration.Order, now: float) -> None:
        """Sets an engine's current order."""
        if order == self._orders.get(order.name):
            return
        if not self._has_capacity(self._orders, order.name):
            return
        self._orders[order.name] = order
        self._update_engine(order.name, now)

    def remove_order(self, target_id: identifiers.TargetId) -> None:
        """Removes an order; the engine's state stays as it is."""
        self._orders.pop(target_id, None)
        self._drop_engine(target_id)

    def apply_target(self, target: targets.Target, now: float) -> None:
        """Sets an engine's configuration; ignores other data centres."""
        if target.data_centre != self._data_centre:
            self.remove_target(target.target_id)
            return
        if not self._has_capacity(self._targets, target.target_id):
            return
        self._targets[target.target_id] = target
        self._update_engine(target.target_id, now)

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Removes an engine."""
        self._targets.pop(target_id, None)
        self._drop_engine(target_id)

    def decide(
        self, now: float, held_lease: models.HeldLease | None
    ) -> models.Decision:
        """Returns the steps to start now.

        Args:
            now: Monotonic time in seconds.
            held_lease: The lease, or None if this instance does not hold it.
        """
        if held_lease is None or now >= held_lease.valid_until:
            return models.Decision((), None)
        if held_lease.fencing != self._fencing:
            self._start_lease_term(held_lease, now)
        self._load_slots.release_expired(now)
        steps = self._start_waiting_loads(now)
        steps += self._start_due_steps(held_lease, now)
        wake_at = held_lease.valid_until
        if self._plans:
            wake_at = min(wake_at, self._plans[0][0])
        if self._waiting_for_slot:
            wake_at = min(wake_at, self._load_slots.next_free_at())
        return models.Decision(tuple(steps), wake_at)

    def on_state_read(
        self, step: models.Step, observed: models.ObservedState, now: float
    ) -> None:
        """Processes the result of a state read."""
        engine = self._current_engine(step)
        if engine is None:
            return
        engine.observed = observed
        if engine.matches_order:
            self._mark_settled(engine, now)
            return
        if engine.settled_at is not None:
            self.counters.corrections += 1
            engine.settled_at = None
        if engine.accepted_order == engine.order and now < engine.expected_by:
            self._schedule(
                engine, models.StepKind.READ, now + self._timing.loading_poll_s
            )
        else:
            self._schedule(engine, models.StepKind.SEND, now)

    def on_accepted(self, step: models.Step, now: float) -> None:
        """Records that an engine accepted an order."""
        engine = self._current_engine(step)
        if engine is None:
            return
        engine.accepted_order = step.order
        engine.accepted_fencing = step.fencing
        engine.expected_by = now + self._timing.switch_timeout_s
        if step.target_id in self._load_slots:
            engine.expected_by = now + self._timing.load_timeout_s
            self._load_slots.acquire(step.target_id, now, engine.expected_by)
        self._schedule(engine, models.StepKind.READ, now)

    def on_failed(
        self, step: models.Step, fault: targets.TargetFault, now: float
    ) -> None:
        """Records a failed step and schedules a read after a backoff delay."""
        self.counters.faults += 1
        engine = self._current_engine(step)
        if engine is None:
            return
        engine.fault = f"{fault.kind.value}: {fault.detail}"
        pause_s = self._timing.initial_backoff_s * 2.0**engine.failures
        engine.failures += 1
        if (
            step.kind is models.StepKind.SEND
            and fault.kind in _NOT_EXECUTED_FAULTS
        ):
            self._load_slots.release(step.target_id)
        self._schedule(
            engine,
            models.StepKind.READ,
            now + min(pause_s, self._timing.max_backoff_s),
        )

    def on_skipped(self, step: models.Step, now: float) -> None:
        """Records that a step was not run because its lease had expired."""
        engine = self._current_engine(step)
        if engine is not None:
            self._schedule(engine, models.StepKind.READ, now)

    def reschedule_lost(self, now: float) -> None:
        """Schedules a read of each engine that has no plan.

        A step that was started, and whose outcome will not be reported, would
        leave its engine without one until the next term of the lease.
        """
        planned = {plan[2] for plan in self._plans if self._is_current(plan)}
        for target_id, engine in self._engines.items():
            if target_id not in planned and (
                target_id not in self._waiting_for_slot
            ):
                self._schedule(engine, models.StepKind.READ, now)

    @property
    def size(self) -> int:
        """Number of engines that have an order."""
        return len(self._engines)

    def describe(self) -> list[dict[str, Any]]:
        """Returns one row per engine for the state dump."""
        return [
            {
                "target": engine.target_id,
                "action": engine.order.action.value,
                "model": engine.order.model,
                "version": engine.order.model_version,
                "role": engine.order.role,
                "settled": engine.settled_at is not None,
                "loading": engine.target_id in self._load_slots,
                "failures": engine.failures,
                "fault": engine.fault,
            }
            for engine in self._engines.values()
        ]

    def _drop_engine(self, target_id: identifiers.TargetId) -> None:
        """Removes an engine and releases its load slot."""
        self._engines.pop(target_id, None)
        self._waiting_for_slot.pop(target_id, None)
        self._load_slots.release(target_id)

    def _has_capacity(
        self,
        table: dict[identifiers.TargetId, Any],
        target_id: identifiers.TargetId,
    ) -> bool:
        """Returns whether a table accepts a name; counts rejected names."""
        if target_id in table or len(table) < MAX_ENGINES:
            return True
        self.counters.ignored += 1
        return False

    def _update_engine(
        self, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Adds or updates an engine if both its target and order are known."""
        order = self._orders.get(target_id)
        target = self._targets.get(target_id)
        if order is None or target is None:
            return
        engine = self._engines.get(target_id)
        if engine is None:
            engine = orders_engine_state.EngineState(target, order)
            self._engines[target_id] = engine
            self._schedule(engine, models.StepKind.READ, now)
            return
        if (engine.target, engine.order) == (target, order):
            return
        engine.target = target
        if engine.order != order:
            engine.order = order
            engine.settled_at = None
        if engine.plan_id:
            self._schedule(engine, models.StepKind.READ, now)

    def _start_lease_term(
        self, held_lease: models.HeldLease, now: float
    ) -> None:
        """Discards state observed under the previous lease."""
        self._fencing = held_lease.fencing
        self._load_slots.clear()
        self._waiting_for_slot.clear()
        for engine in self._engines.values():
            engine.observed = None
            engine.accepted_order = None
            engine.settled_at = None
            engine.failures = 0
            self._schedule(engine, models.StepKind.READ, now)

    def _schedule(
        self,
        engine: orders_engine_state.EngineState,
        kind: models.StepKind,
        due_at: float,
    ) -> None:
        """Schedules an engine's next step; this cancels the previous plan."""
        self._waiting_for_slot.pop(engine.target_id, None)
        engine.next_step_kind = kind
        engine.plan_id = next(self._plan_ids)
        heapq.heappush(self._plans, (due_at, engine.plan_id, engine.target_id))
        if len(self._plans) > 2 * len(self._engines) + MAX_STALE_PLANS:
            self._plans = [
                plan for plan in self._plans if self._is_current(plan)
            ]
            heapq.heapify(self._plans)

    def _is_current(
        self, plan: tuple[float, int, identifiers.TargetId]
    ) -> bool:
        """Returns whether a plan is the engine's latest."""
        _, plan_id, target_id = plan
        engine = self._engines.get(target_id)
        return engine is not None and engine.plan_id == plan_id

    def _start_due_steps(
        self, held_lease: models.HeldLease, now: float
    ) -> list[models.Step]:
        """Starts due steps; queues loads for which no slot is free."""
        steps = []
        while self._plans and self._plans[0][0] <= now:
            plan = heapq.heappop(self._plans)
            if not self._is_current(plan):
                continue
            _, plan_id, target_id = plan
            engine = self._engines[target_id]
            earliest_start = self._earliest_start(engine, held_lease)
            if earliest_start > now:
                heapq.heappush(
                    self._plans, (earliest_start, plan_id, target_id)
                )
            elif self._can_start(engine, now):
                steps.append(self._start_step(engine, now))
            else:
                self._waiting_for_slot[target_id] = None
        return steps

    def _start_waiting_loads(self, now: float) -> list[models.Step]:
        """Starts queued loads in FIFO order while slots are free."""
        steps = []
        while self._waiting_for_slot and self._load_slots.is_free(now):
            target_id = next(iter(self._waiting_for_slot))
            del self._waiting_for_slot[target_id]
            steps.append(self._start_step(self._engines[target_id], now))
        return steps

    def _earliest_start(
        self,
        engine: orders_engine_state.EngineState,
        held_lease: models.HeldLease,
    ) -> float:
        """Returns the earliest time at which a step may start.

        Until the maximum message delay and an allowance for clock drift have
        passed, an order of the previous lease holder can still arrive. Only
        engines that check fencing numbers reject it.
        """
        is_read = engine.next_step_kind is models.StepKind.READ
        if is_read or engine.target.checks_fencing:
            return held_lease.acquired_at
        drift_s = held_lease.ttl_s * self._timing.clock_drift_ratio
        delay_s = self._timing.max_message_delay_s
        return held_lease.acquired_at + drift_s + delay_s

    def _can_start(
        self, engine: orders_engine_state.EngineState, now: float
    ) -> bool:
        """Returns whether a step needs no load slot, has one or can get one."""
        is_read = engine.next_step_kind is models.StepKind.READ
        if (
            is_read
            or not engine.loads_weights
            or engine.target_id in self._load_slots
        ):
            return True
        return not self._waiting_for_slot and self._load_slots.is_free(now)

    def _start_step(
        self, engine: orders_engine_state.EngineState, now: float
    ) -> models.Step:
        """Starts an engine's next step and acquires a load slot if needed."""
        engine.plan_id = 0
        if engine.next_step_kind is models.StepKind.READ:
            self.counters.reads += 1
        else:
            self.counters.sends += 1
            if engine.loads_weights:
                delay_s = self._timing.max_message_delay_s
                self._load_slots.acquire(engine.target_id, now, now + delay_s)
        return models.Step(
            engine.next_step_kind, engine.target_id, engine.order, self._fencing
        )

    def _mark_settled(
        self, engine: orders_engine_state.EngineState, now: float
    ) -> None:
        """Records that an engine matches its order."""
        self._load_slots.release(engine.target_id)
        engine.failures = 0
        engine.fault = ""
        engine.expected_by = -math.inf
        if engine.settled_at is None:
            engine.settled_at = now
        # Only an order tells the engine the new fencing number.
        has_older_fencing = engine.accepted_fencing != self._fencing
        if engine.target.checks_fencing and has_older_fencing:
            self._schedule(engine, models.StepKind.SEND, now)
        else:
            self._schedule(
                engine, models.StepKind.READ, now + self._timing.steady_poll_s
            )

    def _current_engine(
        self, step: models.Step
    ) -> orders_engine_state.EngineState | None:
        """Returns a step's engine; None if its lease is not the current one."""
        engine = self._engines.get(step.target_id)
        if engine is None or step.fencing != self._fencing:
            return None
        return engine
