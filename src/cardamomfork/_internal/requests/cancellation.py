"""Repeats cancellations until the engine confirms that memory is freed."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal import supervision

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers

BASE_DELAY_S = 0.05
MAX_DELAY_S = 5.0
MAX_TRIES = 60
MAX_PENDING = 10_000
TASK_NAME = "cancellations"
WORKER_COUNT = 8


@attrs.define
class _PendingCancel:
    """A cancellation that the engine has not confirmed."""

    link: target_link.TargetLink
    attempt_id: identifiers.AttemptId
    tries: int = 0
    is_confirmed: bool = False


@attrs.define
class CancelCounters:
    """Counts of cancellations by result."""

    confirmed: int = 0
    repeated: int = 0
    given_up: int = 0


class Canceller:
    """Cancels attempts in the background.

    If it gives up on a cancellation, the engine's home instance frees the
    memory later (see `reservation_sweep`).
    """

    def __init__(
        self,
        rng: random.Random,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes a canceller without pending cancellations.

        Args:
            rng: Random generator for backoff jitter.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._rng = rng
        self._pending: collections.deque[_PendingCancel] = collections.deque()
        self._work_added = anyio.Event()
        self._running_count = 0
        self.counters = CancelCounters()

    @property
    def sizes(self) -> dict[str, tuple[int, int]]:
        """Size and bound of each table, by name."""
        return {
            "cancels": (len(self._pending) + self._running_count, MAX_PENDING)
        }

    @property
    def is_idle(self) -> bool:
        """Whether no cancellation is pending or being sent."""
        return not self._pending and not self._running_count

    def describe(self) -> list[dict[str, Any]]:
        """Returns one row per queued cancellation."""
        return [
            {
                "attempt": cancel.attempt_id,
                "target": cancel.link.target.target_id,
                "tries": cancel.tries,
            }
            for cancel in self._pending
        ]

    def add(
        self,
        link: target_link.TargetLink,
        attempt_id: identifiers.AttemptId,
    ) -> None:
        """Queues a cancellation; gives up the oldest if the queue is full."""
        if len(self._pending) >= MAX_PENDING:
            self._pending.popleft()
            self.counters.given_up += 1
        self._pending.append(_PendingCancel(link, attempt_id))
        self._work_added.set()

    async def run(self) -> None:
        """Sends queued cancellations until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(WORKER_COUNT):
                tasks.start_soon(self._run_worker)

    async def _run_worker(self) -> None:
        """Sends queued cancellations one at a time."""
        while True:
            while not self._pending:
                await self._wait_for_work()
            cancel = self._pending.popleft()
            self._running_count += 1
            try:
                await self._send(cancel)
            except BaseException:
                # A restarted `run` goes on with it.
                self._pending.append(cancel)
                raise
            finally:
                self._running_count -= 1

    async def _wait_for_work(self) -> None:
        """Waits for the next cancellation; all workers share one event."""
        if self._work_added.is_set():
            self._work_added = anyio.Event()
        await self._work_added.wait()

    async def _try(self, cancel: _PendingCancel) -> None:
        """Sends a cancellation once and records whether it is confirmed."""
        answer = await cancel.link.cancel(cancel.attempt_id)
        cancel.is_confirmed = answer == result.Ok(True)

    async def _send(self, cancel: _PendingCancel) -> None:
        """Sends a cancellation once; requeues it if it is not confirmed."""
        await self._supervisor.run_once(TASK_NAME, self._try, cancel)
        if cancel.is_confirmed:
            self.counters.confirmed += 1
            return
        cancel.tries += 1
        if cancel.tries >= MAX_TRIES:
            self.counters.given_up += 1
            logger.bind(
                attempt_id=cancel.attempt_id,
                target_id=cancel.link.target.target_id,
            ).warning("cancel not confirmed")
            return
        self.counters.repeated += 1
        max_delay_s = min(MAX_DELAY_S, BASE_DELAY_S * 2**cancel.tries)
        await anyio.sleep(self._rng.uniform(0.0, max_delay_s))
        self._pending.append(cancel)
