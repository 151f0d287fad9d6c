"""Runs the steps that the order reconciler returns."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal import supervision
from cardamomfork._internal.models import targets
from cardamomfork._internal.targets import orders_models as models

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.targets import orders_reconciler

MAX_IDLE_S = 1.0
MAX_CONCURRENT_STEPS = 32
TASK_NAME = "order runner"


class LeaseView(Protocol):
    """Read access to the lease that this instance may hold."""

    @property
    def held_lease(self) -> models.HeldLease | None:
        """The lease, or None if this instance does not hold it."""
        ...


class LinkLookup(Protocol):
    """Lookup of links to engines."""

    def find(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target, or None if there is none."""
        ...


@attrs.define
class OrderRunner:
    """Runs the reconciler's steps while this instance holds the lease.

    Attributes:
        reconciler: Decides the steps.
        lease: The lease that must be valid when a step starts.
        links: Links to the engines.
        clock: Monotonic clock against which the lease is checked.
        max_message_delay_s: Time limit of one exchange, in seconds.
        supervisor: Contains the failure of a step.
    """

    reconciler: orders_reconciler.OrderReconciler
    lease: LeaseView
    links: LinkLookup
    clock: clock_contract.Clock
    max_message_delay_s: float = 5.0
    supervisor: supervision.Supervisor = attrs.field(
        factory=supervision.Supervisor
    )
    _wake_event: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _step_limiter: anyio.CapacityLimiter | None = attrs.field(
        default=None, init=False
    )

    def wake(self) -> None:
        """Runs the reconciler at once, after a change of orders or lease."""
        self._wake_event.set()

    async def run(self) -> None:
        """Runs until cancelled.

        After a failure it may run again: engines whose step has no outcome
        are then read.
        """
        self.reconciler.reschedule_lost(self.clock.monotonic())
        self._step_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STEPS)
        async with anyio.create_task_group() as group:
            while True:
                self._wake_event = anyio.Event()
                now = self.clock.monotonic()
                decision = self.reconciler.decide(now, self.lease.held_lease)
                for step in decision.steps:
                    group.start_soon(self._run_step, step)
                pause_s = MAX_IDLE_S
                if decision.wake_at is not None:
                    pause_s = min(max(decision.wake_at - now, 0.0), MAX_IDLE_S)
                with anyio.move_on_after(pause_s):
                    await self._wake_event.wait()

    def _is_lease_valid(self, step: models.Step) -> bool:
        """Returns whether the lease of a step is held and has not expired."""
        held_lease = self.lease.held_lease
        return (
            held_lease is not None
            and held_lease.fencing == step.fencing
            and self.clock.monotonic() < held_lease.valid_until
        )

    async def _run_step(self, step: models.Step) -> None:
        """Runs one step and reports its outcome to the reconciler."""
        assert self._step_limiter is not None  # noqa: S101
        async with self._step_limiter:
            # The lease may have expired while the step waited for the limiter.
            if self._is_lease_valid(step):
                if not await self.supervisor.run_once(
                    TASK_NAME, self._exchange, step
                ):
                    self._report_fault(
                        step, targets.FaultKind.SILENT, "unexpected failure"
                    )
            else:
                self.reconciler.on_skipped(step, self.clock.monotonic())
        self.wake()

    async def _exchange(self, step: models.Step) -> None:
        """Sends one request to an engine, with a time limit for its answer."""
        link = self.links.find(step.target_id)
        if link is None:
            self._report_fault(step, targets.FaultKind.UNREACHABLE, "no link")
            return
        with anyio.move_on_after(self.max_message_delay_s) as scope:
            if step.kind is models.StepKind.READ:
                await self._read(link, step)
            else:
                await self._send(link, step)
        if scope.cancelled_caught:
            self._report_fault(
                step, targets.FaultKind.SILENT, "no answer in time"
            )

    async def _read(
        self, link: target_link.TargetLink, step: models.Step
    ) -> None:
        """Reads an engine's state and passes it to the reconciler."""
        answer = await link.load()
        now = self.clock.monotonic()
        if isinstance(answer, result.Err):
            self.reconciler.on_failed(step, answer.err_value, now)
            return
        observed = models.ObservedState.from_report(answer.ok_value)
        self.reconciler.on_state_read(step, observed, now)

    async def _send(
        self, link: target_link.TargetLink, step: models.Step
    ) -> None:
        """Sends an order to an engine."""
        logger.bind(
            target_id=step.target_id, kind=step.order.action.value
        ).info("order sent to engine")
        answer = await link.order(
            step.order.action.value, step.arguments, step.fencing
        )
        now = self.clock.monotonic()
        if isinstance(answer, result.Err):
            self.reconciler.on_failed(step, answer.err_value, now)
        else:
            self.reconciler.on_accepted(step, now)

    def _report_fault(
        self, step: models.Step, kind: targets.FaultKind, detail: str
    ) -> None:
        """Reports a fault that the link itself did not return."""
        fault = targets.TargetFault(kind, step.target_id, detail)
        self.reconciler.on_failed(step, fault, self.clock.monotonic())
