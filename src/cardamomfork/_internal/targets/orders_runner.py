"""Carries out the steps that the keeper of orders asks for."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.models import targets
from cardamomfork._internal.targets import orders_models as models

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.targets import orders

IDLE_S = 1.0
MAX_AT_ONCE = 32


class LeaseView(Protocol):
    """Where the runner sees whether this instance holds the lease."""

    @property
    def holding(self) -> models.Holding | None:
        """The lease, or None while another instance holds it."""
        ...


class LinkSource(Protocol):
    """Where the runner finds links to engines."""

    def find(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target, or None if there is none."""
        ...


@attrs.define
class OrderRunner:
    """Runs the keeper's steps while the lease is held.

    Attributes:
        keeper: Decides the steps.
        lease: Tells whether the lease is held.
        links: Links to the engines.
        clock: Its monotonic time bounds the lease.
        max_message_delay_s: Time limit of one exchange, in seconds.
    """

    keeper: orders.OrderKeeper
    lease: LeaseView
    links: LinkSource
    clock: clock_contract.Clock
    max_message_delay_s: float = 5.0
    _changed: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _limit: anyio.CapacityLimiter | None = attrs.field(default=None, init=False)

    def wake(self) -> None:
        """Asks the keeper at once, after an order or the lease changed."""
        self._changed.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        self._limit = anyio.CapacityLimiter(MAX_AT_ONCE)
        async with anyio.create_task_group() as group:
            while True:
                self._changed = anyio.Event()
                now = self.clock.monotonic()
                decision = self.keeper.decide(now, self.lease.holding)
                for step in decision.steps:
                    group.start_soon(self._take, step)
                pause = IDLE_S
                if decision.wake_at is not None:
                    pause = min(max(decision.wake_at - now, 0.0), IDLE_S)
                with anyio.move_on_after(pause):
                    await self._changed.wait()

    def _lease_lives(self, step: models.Step) -> bool:
        """Checks a step's lease against the monotonic clock."""
        holding = self.lease.holding
        return (
            holding is not None
            and holding.fencing == step.fencing
            and self.clock.monotonic() < holding.valid_until
        )

    async def _take(self, step: models.Step) -> None:
        """Takes one step and tells the keeper its end."""
        assert self._limit is not None  # noqa: S101
        async with self._limit:
            # The wait for a place may have outlived the lease.
            if self._lease_lives(step):
                await self._exchange(step)
            else:
                self.keeper.abandoned(step, self.clock.monotonic())
        self.wake()

    async def _exchange(self, step: models.Step) -> None:
        """Exchanges one message with an engine within the time limit."""
        link = self.links.find(step.target_id)
        if link is None:
            self._fail(step, targets.FaultKind.UNREACHABLE, "no link")
            return
        with anyio.move_on_after(self.max_message_delay_s) as scope:
            if step.kind is models.StepKind.READ:
                await self._read(link, step)
            else:
                await self._send(link, step)
        if scope.cancelled_caught:
            self._fail(step, targets.FaultKind.SILENT, "no answer in time")

    async def _read(
        self, link: target_link.TargetLink, step: models.Step
    ) -> None:
        """Reads what an engine runs."""
        answer = await link.load()
        now = self.clock.monotonic()
        if isinstance(answer, result.Err):
            self.keeper.failed(step, answer.err_value, now)
            return
        running = models.Running.of(answer.ok_value)
        self.keeper.observe(step, running, now)

    async def _send(
        self, link: target_link.TargetLink, step: models.Step
    ) -> None:
        """Sends an order."""
        logger.bind(
            target_id=step.target_id, kind=step.order.action.value
        ).info("order sent to engine")
        answer = await link.order(
            step.order.action.value, step.arguments, step.fencing
        )
        now = self.clock.monotonic()
        if isinstance(answer, result.Err):
            self.keeper.failed(step, answer.err_value, now)
        else:
            self.keeper.answered(step, now)

    def _fail(
        self, step: models.Step, kind: targets.FaultKind, detail: str
    ) -> None:
        """Tells the keeper of a fault that the link did not report."""
        fault = targets.TargetFault(kind, step.target_id, detail)
        self.keeper.failed(step, fault, self.clock.monotonic())
