"""Detects whether targets crashed while they ran requests.

A request whose attempt is lost becomes a suspect. Its target is then checked on
a new connection at once, so that the evidence does not depend on other requests
that happen to go there. The end of a target's entry in the store is evidence
too: it shows crashes that the check cannot see, for example if the target has
restarted already.

A target's machine that refuses a connection shows that the target has ended. A
connection that does not open in time may be the fault of this instance's links,
so it shows that only while another target is reached.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal import supervision
from cardamomfork._internal.gateway.crashes import crash_log
from cardamomfork._internal.gateway.state import target_table

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.gateway.connections import outcomes
    from cardamomfork._internal.gateway.crashes import poison_guard
    from cardamomfork._internal.gateway.requests import exchanges
    from cardamomfork._internal.gateway.state import crash_attribution
    from cardamomfork._internal.models import fleet

TASK = "crash detector"
"""Name under which checks that fail are counted."""
MAX_CHECK_WAIT_S = 0.1
"""Longest time for which a request waits for a check before it is retried. A
crashed target usually refuses the connection within a round trip."""
SURVIVAL_S = 0.5
"""Time after the first event from which on a target that ends does so for
another reason than that it began to write."""
RECHECK_DELAY_S = 0.2
"""Time after which a new connection to a target must still be open. A target
that is crashing may accept one before the operating system closes its
sockets."""


class Connection(Protocol):
    """A connection to a target."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        ...


@attrs.define
class _Check:
    """A check of a target in progress.

    Attributes:
        record: The target.
        has_result: Set after the first result.
        must_repeat: Whether an attempt was lost since the last connection.
        is_in_doubt: Whether this instance's links may have been at fault.
    """

    record: fleet.TargetRecord
    has_result: anyio.Event = attrs.field(factory=anyio.Event)
    must_repeat: bool = False
    is_in_doubt: bool = False


class CrashDetector:
    """Collects evidence of crashes and reports it to the guard."""

    def __init__(
        self,
        guard: poison_guard.PoisonGuard,
        table: target_table.TargetTable,
        connect: Callable[
            [fleet.TargetRecord],
            Awaitable[result.Result[Connection, outcomes.Failed]],
        ],
        clock: Callable[[], float],
        on_crash: Callable[[], None],
        confirm_reach: Callable[[], Awaitable[bool]] | None = None,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the detector.

        Args:
            guard: Records of requests that crash targets.
            table: The known targets and their health.
            connect: Opens a new connection to a target, or tells why not.
            clock: Monotonic time.
            on_crash: Called after a crash was confirmed.
            confirm_reach: Returns whether some target can be reached; if not,
                silence of another one shows nothing about it. None if targets
                are always reachable.
            supervisor: Counts checks that fail; None for one of its own.
        """
        self._guard = guard
        self._table = table
        self._connect = connect
        self._clock = clock
        self._on_crash = on_crash
        self._confirm_reach = confirm_reach
        self._supervisor = supervisor or supervision.Supervisor()
        self._unreachable: deque[fleet.TargetRecord] = deque()
        self._checks: dict[crash_attribution.Process, _Check] = {}
        self._requested: deque[_Check] = deque()
        self._has_requests = anyio.Event()

    async def run(self) -> None:
        """Checks targets on which attempts were lost, until cancelled."""
        # Checks that were interrupted by a failure are repeated.
        self._requested = deque(self._checks.values())
        self._has_requests.set()
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_requests.wait()
                self._has_requests = anyio.Event()
                while self._requested:
                    tasks.start_soon(
                        self._supervisor.run_once,
                        TASK,
                        self._check,
                        self._requested.popleft(),
                    )
                while self._unreachable:
                    tasks.start_soon(
                        self._supervisor.run_once,
                        TASK,
                        self._confirm_connect_failure,
                        self._unreachable.popleft(),
                    )

    def attempt_lost(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        reason: str,
        *,
        has_written: bool = False,
        may_check: bool = True,
    ) -> None:
        """Records an attempt without a complete answer; checks its target.

        Args:
            exchange: The request.
            record: The target.
            reason: How the attempt was lost.
            has_written: Whether the target had written for `SURVIVAL_S`.
            may_check: Whether this instance may connect to the target.
        """
        if not self._add_suspect(exchange, record, reason, has_written):
            return
        if not may_check:
            return
        check = self._checks.get(_process_key(record))
        if check is not None:
            check.must_repeat = True
            return
        check = _Check(record)
        self._checks[_process_key(record)] = check
        self._requested.append(check)
        self._has_requests.set()

    def attempt_abandoned(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        *,
        has_written: bool = False,
    ) -> None:
        """Records an attempt whose caller left before the answer was complete.

        The target is not checked: nothing shows that it may have crashed.
        """
        self._add_suspect(exchange, record, "caller left", has_written)

    def attempt_survived(
        self, exchange: exchanges.Exchange, began_at: float
    ) -> None:
        """Records that a target has written for `SURVIVAL_S`, or completely.

        Args:
            exchange: The request.
            began_at: Time of the first event.
        """
        if exchange.parts:
            refuted_count = self._guard.record_writing(
                exchange.parts.values(), began_at, self._clock()
            )
            if refuted_count:
                exchange.log.crashes_refuted(
                    exchange.fingerprint, refuted_count
                )
                self._on_crash()

    def attempt_completed(
        self, exchange: exchanges.Exchange, first_at: float | None = None
    ) -> None:
        """Records an attempt that its target has answered completely.

        Args:
            exchange: The request.
            first_at: Time of the first event; None if there was none.
        """
        if first_at is not None:
            self.attempt_survived(exchange, first_at)
        refuted_count = self._guard.record_completion(
            exchange.fingerprint, self._clock()
        )
        if refuted_count:
            exchange.log.crashes_refuted(exchange.fingerprint, refuted_count)

    def target_unreachable(
        self, record: fleet.TargetRecord, *, is_refused: bool = False
    ) -> None:
        """Records that an attempt could not connect to a target.

        Args:
            record: The target.
            is_refused: Whether the target's machine refused the connection.
        """
        if is_refused or self._confirm_reach is None:
            self._confirm(record, "unreachable")
        elif self._guard.has_suspect(record):
            self._unreachable.append(record)
            self._has_requests.set()

    def discard_suspects(self, since: float) -> None:
        """Forgets attempts that were lost by this instance's links.

        Those at a target that is being checked count if the check is refused.

        Args:
            since: Monotonic time from which on attempts were lost.
        """
        for check in self._checks.values():
            check.is_in_doubt = True
        self._guard.discard_suspects(since, self._checks.keys())

    def target_ended(self, record: fleet.TargetRecord) -> None:
        """Records that a target's process has ended, as its entry shows."""
        if not record.is_leaving:
            self._confirm(record, "entry ended")

    async def wait_for_check(self, record: fleet.TargetRecord) -> None:
        """Waits for a target's check, at most `MAX_CHECK_WAIT_S`."""
        check = self._checks.get(_process_key(record))
        if check is not None:
            with anyio.move_on_after(MAX_CHECK_WAIT_S):
                await check.has_result.wait()

    def _add_suspect(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        reason: str,
        has_written: bool,
    ) -> bool:
        """Makes a request a suspect; returns False if its target is leaving.

        The end of a target that is leaving is planned.
        """
        current = self._table.find(record.target_id)
        if current is not None and current.record.is_leaving:
            return False
        suspects = [exchange.fingerprint]
        if not has_written:
            suspects += exchange.parts.values()
        for suspect in suspects:
            self._guard.add_suspect(suspect, record, self._clock())
        exchange.log.crash_suspected(
            exchange.fingerprint,
            record.target_id,
            reason,
            exchange.parts,
        )
        return True

    async def _check(self, check: _Check) -> None:
        """Checks a target and records a crash if it is unreachable."""
        is_interrupted = False
        try:
            failed = await self._find_connect_failure(check)
            if failed is not None:
                await self._record_unreachable(check.record, failed)
            if check.is_in_doubt:
                self._guard.discard_suspects_of(_process_key(check.record))
        except anyio.get_cancelled_exc_class():
            is_interrupted = True
            raise
        finally:
            if not is_interrupted:
                del self._checks[_process_key(check.record)]
            check.has_result.set()

    async def _confirm_connect_failure(
        self, record: fleet.TargetRecord
    ) -> None:
        """Records a crash of a target to which an attempt didn't connect."""
        try:
            await self._confirm_silent(record, "unreachable")
        except anyio.get_cancelled_exc_class():
            self._unreachable.append(record)
            raise

    async def _record_unreachable(
        self, record: fleet.TargetRecord, failed: outcomes.Failed
    ) -> None:
        """Pauses a target that a check could not reach, and records a crash."""
        if self._table.record_signal(
            record.target_id,
            target_table.HealthSignal.UNREACHABLE,
            self._clock(),
        ):
            logger.warning(
                "target paused",
                target_id=record.target_id,
                reason="unreachable after a lost attempt",
                detail=failed.detail,
            )
        if failed.is_refused:
            self._confirm(record, "check refused")
        else:
            await self._confirm_silent(record, "check failed")

    async def _confirm_silent(
        self, record: fleet.TargetRecord, kind: str
    ) -> None:
        """Records a crash, unless this instance reaches no target at all."""
        if self._confirm_reach is None or await self._confirm_reach():
            self._confirm(record, kind)

    async def _find_connect_failure(
        self, check: _Check
    ) -> outcomes.Failed | None:
        """Returns why a target is unreachable; None if it isn't.

        One that accepts and closes connections twice counts as reachable: it
        may have too many.
        """
        was_closed = False
        while True:
            check.must_repeat = False
            opened = await self._connect(check.record)
            if isinstance(opened, result.Err):
                return opened.err_value
            check.has_result.set()
            await anyio.sleep(RECHECK_DELAY_S)
            if check.must_repeat:
                continue
            if opened.ok_value.is_open or was_closed:
                return None
            was_closed = True

    def _confirm(self, record: fleet.TargetRecord, kind: str) -> None:
        """Counts a target's crash against the requests that it ran."""
        confirmed = self._guard.confirm_crash(record, self._clock())
        for crash in confirmed:
            crash_log.crash_confirmed(
                crash, self._guard.crash_count(crash.fingerprint), kind
            )
        if confirmed:
            self._on_crash()


def has_survived(first_at: float | None, now: float) -> bool:
    """Returns whether a target has written for `SURVIVAL_S`.

    Args:
        first_at: Time of the first event, or None.
        now: Monotonic time.
    """
    return first_at is not None and now - first_at >= SURVIVAL_S


def _process_key(record: fleet.TargetRecord) -> crash_attribution.Process:
    """Returns the key of a target's process."""
    return (record.target_id, record.started_at_ms)
