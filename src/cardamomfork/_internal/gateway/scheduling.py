"""Requests that wait for a place, and the refusal of those that can't wait.

Waiting is for short peaks: places free up within the time that a request
still has. A request that can't begin in time is refused at once, with the
predicted time until there is room, spread so that callers don't all return
together.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.gateway import demands
from cardamomfork._internal.gateway import engine_law
from cardamomfork._internal.gateway import placement

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

MAX_WAITING = 2000
"""Requests that wait at one instance; more are refused."""
RECHECK_S = 0.05
"""Longest time until waiting requests are looked at again."""
NEWS_PAUSE_S = 0.01
"""Least time between two looks that news of peers brings: each look weighs all
engines for all that wait."""
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
RETURN_SPREAD = 0.5
"""Part by which the time to come back varies, so that returns spread."""


@attrs.frozen
class Refusal:
    """A request that gets no place.

    Attributes:
        reason: Why.
        retry_after_s: When there is likely room.
    """

    reason: str
    retry_after_s: float


@attrs.define(eq=False)
class _Waiter:
    """A request that waits.

    Attributes:
        demand: What it needs; times left count from `since`.
        priority: Rank; 0 goes first.
        since: Monotonic time of its arrival here.
        answer: What was decided, once it has been.
        decided: Set with the answer.
    """

    demand: demands.Demand
    priority: int
    since: float
    answer: placement.Placement | Refusal | None = None
    decided: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def order(self) -> tuple[int, float]:
        """Sorts by rank, then by the time at which it becomes late."""
        return (self.priority, self.since + self.demand.objective_left_s)

    def demand_at(self, now: float) -> demands.Demand:
        """Returns the demand with the times left now."""
        waited = now - self.since
        return attrs.evolve(
            self.demand,
            objective_left_s=self.demand.objective_left_s - waited,
            time_left_s=self.demand.time_left_s - waited,
        )


_Full = dict[tuple[str, frozenset[str]], placement.NoRoom]
"""Where no request finds room, by service and the targets that it excludes."""


class Scheduler:
    """Gives places to requests in order; one a process."""

    def __init__(
        self,
        placer: placement.Placer,
        commit: Callable[[demands.Demand, placement.Placement, float], None],
        withdraw: Callable[[str], None],
        clock: Callable[[], float],
        source: random.Random,
    ) -> None:
        """Takes what it decides with.

        Args:
            placer: Chooses places.
            commit: Called with each place given, before the next choice.
            withdraw: Called with the id of each job whose place is free again.
            clock: Monotonic time.
            source: Spreads the times to come back.
        """
        self._placer = placer
        self._commit = commit
        self._withdraw = withdraw
        self._clock = clock
        self._source = source
        self._waiting: list[_Waiter] = []
        self._looked_at = -RECHECK_S

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    async def acquire(
        self, demand: demands.Demand, priority: int
    ) -> placement.Placement | Refusal:
        """Returns a place, after a wait if need be, or a refusal at once."""
        waiter = _Waiter(demand, priority, self._clock())
        if self._waiting or not self._try(waiter, waiter.since, {}):
            if len(self._waiting) >= MAX_WAITING:
                return self._refuse("too many requests wait", 1.0)
            self._waiting.append(waiter)
            self._waiting.sort(key=lambda one: one.order)
            self.pump()
        try:
            while waiter.answer is None:
                with anyio.move_on_after(RECHECK_S):
                    await waiter.decided.wait()
                if waiter.answer is None:
                    self._look_again(RECHECK_S)
        except anyio.get_cancelled_exc_class():
            # A place may be given between the cancellation and this turn.
            if isinstance(waiter.answer, placement.Placement):
                self.release(demand.job_id)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
        return waiter.answer

    def release(self, job_id: str) -> None:
        """Takes back the place of a job that has ended, and gives it on."""
        self._withdraw(job_id)
        self.pump()

    def take_news(self) -> None:
        """Looks again after others' placements have changed."""
        self._look_again(NEWS_PAUSE_S)

    def pump(self) -> None:
        """Gives places to those that wait, in order."""
        now = self._clock()
        self._looked_at = now
        full: _Full = {}
        for waiter in list(self._waiting):
            if self._try(waiter, now, full):
                self._waiting.remove(waiter)
                waiter.decided.set()

    def _look_again(self, pause_s: float) -> None:
        """Looks at those that wait, unless that was done a moment ago."""
        if self._clock() - self._looked_at >= pause_s:
            self.pump()

    def _try(self, waiter: _Waiter, now: float, full: _Full) -> bool:
        """Decides on one request if that can be done now.

        Args:
            waiter: The request.
            now: Monotonic time.
            full: Where nobody finds room in this look; it is added to.
        """
        demand = waiter.demand_at(now)
        alike = (demand.service.name, demand.excluded)
        chosen = full.get(alike) or self._placer.choose(demand, now)
        if isinstance(chosen, placement.Placement):
            self._commit(demand, chosen, now)
            waiter.answer = chosen
            return True
        if chosen.is_for_all:
            full[alike] = chosen
        least = _least_service_s(demand)
        if chosen.room_in_s + least > demand.time_left_s:
            waiter.answer = self._refuse(chosen.reason, chosen.room_in_s)
            return True
        return False

    def _refuse(self, reason: str, room_in_s: float) -> Refusal:
        """Returns a refusal with a time to come back."""
        room = room_in_s if math.isfinite(room_in_s) else 1.0
        spread = 1.0 + RETURN_SPREAD * self._source.random()
        after = min(max(room, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refusal(reason, after * spread)


def _least_service_s(demand: demands.Demand) -> float:
    """Returns the time that the request takes at an idle target."""
    law = demand.service.law
    if law is None:
        return placement.TYPICAL_CALL_S
    return engine_law.reading_s(
        law, demand.prompt_tokens, placement.PARTS_CHOICES[-1]
    ) + engine_law.writing_s(law, demand.output_tokens, [demand.prompt_tokens])
