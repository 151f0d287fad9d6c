"""Forwards a request: placement, attempts and the final answer."""

from __future__ import annotations

import functools
import http
import itertools
import math
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.choice import service_times
from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.queueing import retrying
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.requests import attempt
from cardamomfork._internal.gateway.requests import exchanges
from cardamomfork._internal.gateway.serving import outcome_recorder
from cardamomfork._internal.gateway.state import fingerprints
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.links import held_memory
from cardamomfork._internal.models import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway.crashes import poison_guard
    from cardamomfork._internal.gateway.paths import reservations
    from cardamomfork._internal.gateway.paths import target_paths
    from cardamomfork._internal.gateway.peers import rate_permits
    from cardamomfork._internal.gateway.queueing import retry_budget
    from cardamomfork._internal.gateway.state import data_centre_reach
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import rate_limits
    from cardamomfork._internal.gateway.state import regions
    from cardamomfork._internal.gateway.state import target_statements
    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet

FIRST_BYTE_TIMEOUT_FACTOR = 3.0
MIN_FIRST_BYTE_TIMEOUT_S = 1.0
"""An attempt that can be repeated times out after its predicted first token
time multiplied by the factor, but not before the minimum."""
IDLE_TIMEOUT_FACTOR = 3.0
MIN_IDLE_TIMEOUT_S = 1.75
"""The same for the time between two parts of an answer, which is based on the
maximum gap of the route."""

CUT_OFF = scheduling.Refusal(
    retrying.CUT_OFF_REASON, retrying.RETRY_AFTER_CUT_OFF_S
)


@attrs.define
class _Writing:
    """What a target has written in an attempt.

    Attributes:
        first_at: Time of its first event, or None.
        is_recorded: Whether it is recorded that it went on writing.
    """

    first_at: float | None = None
    is_recorded: bool = False


class Forwarder:
    """Forwards requests to targets; there is one per process."""

    def __init__(
        self,
        wire: platform_format.PlatformFormat,
        scheduler: scheduling.Scheduler,
        links: target_paths.Paths,
        table: target_table.TargetTable,
        load: load_view.LoadView,
        budget: retry_budget.RetryBudget,
        guard: poison_guard.PoisonGuard,
        detector: crash_detector.CrashDetector,
        reserver: reservations.MemoryReserver,
        limits: rate_limits.RateLimits,
        statements: target_statements.TargetStatements,
        permits: rate_permits.RatePermits,
        clock: Callable[[], float],
        on_answer_begun: Callable[[str], None],
        is_isolated: Callable[[], bool] = lambda: False,
        rules: regions.RegionRules | None = None,
        reach: data_centre_reach.DataCentreReach | None = None,
        stop: stopping.StopState | None = None,
        held_answers: held_memory.HeldMemory | None = None,
    ) -> None:
        """Initializes the forwarder.

        Args:
            wire: Names and formats of the platform.
            scheduler: Assigns placements.
            links: Opens connections to targets.
            table: The known targets and their health.
            load: The load of each target.
            budget: The retry budget of this instance.
            guard: Records of requests that crash targets.
            detector: Collects evidence of crashed targets.
            reserver: Reserves memory on engines.
            limits: Limits that targets put on the rate of requests.
            statements: What targets state about themselves.
            permits: Acquires permits for requests to limited targets.
            clock: Monotonic time.
            on_answer_begun: Called with the id of a job of this instance when
                its answer has begun.
            is_isolated: Returns whether this instance is cut off from all
                targets.
            rules: Regions in which requests may be served; None for any.
            reach: Decides which data centres are reached; None if all are.
            stop: Whether the process is stopping; None if it never does.
            held_answers: What is held of unfinished answers; None for an
                account of its own.
        """
        self._held_answers = (
            held_answers or held_memory.make_memory().target_answers
        )
        self._wire = wire
        self._scheduler = scheduler
        self._links = links
        self._load = load
        self._table = table
        self._retry_budget = budget
        self._guard = guard
        self._detector = detector
        self._decider = retrying.RetryDecider(budget, guard, clock)
        self._recorder = outcome_recorder.OutcomeRecorder(
            table, detector, clock, is_isolated, reach
        )
        self._reserver = reserver
        self._rate_limits = limits
        self._statements = statements
        self._permits = permits
        self._clock = clock
        self._on_answer_begun = on_answer_begun
        self._region_rules = rules
        self._stop = stop or stopping.StopState()
        # Request ids of callers need not be unique.
        self._job_numbers = itertools.count()

    async def forward(
        self, exchange: exchanges.Exchange
    ) -> exchanges.FinalAnswer | None:
        """Forwards a request.

        Returns:
            The final answer to send to the caller; None if a target's complete
            answer was passed on.
        """
        service = exchange.match.service.name
        self._retry_budget.count_request(service, self._clock())
        now = self._clock()
        block = self._guard.find_block(exchange.suspects, now)
        if block is not None:
            if not self._guard.start_trial(block, now):
                return exchanges.FinalAnswer(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    block.reason,
                    block.retry_after_s,
                )
            exchange.trial = block.cause
        while True:
            if self._links.is_cut_off:
                return self._refuse(exchange, CUT_OFF)
            demand = self._make_demand(exchange)
            chosen = await self._scheduler.acquire(
                demand,
                exchange.match.priority,
                fingerprints.of_account(exchange.match.account_name),
            )
            if isinstance(chosen, scheduling.Refusal):
                return self._refuse(exchange, chosen)
            try:
                outcome = await self._attempt(exchange, demand, chosen)
            finally:
                self._scheduler.release(demand.job_id)
            if isinstance(outcome, outcomes.Delivered):
                return None
            final = self._decider.after_failure(exchange, outcome)
            if final is not None:
                return await self._finish_failed(exchange, outcome, final)

    def _make_demand(self, exchange: exchanges.Exchange) -> demands.Demand:
        """Returns the requirements of the next attempt."""
        now = self._clock()
        route = exchange.match.route
        generation = exchange.request.generation or forwarding.Generation(0, 0)
        cost_model = exchange.match.service.cost_model
        output_tokens = generation.expected_output_tokens
        if cost_model is not None:
            written_tokens = (
                exchange.progress.events * cost_model.steps_per_event
            )
            output_tokens = max(
                output_tokens - written_tokens, cost_model.steps_per_event
            )
        late_at = exchange.arrived_at + route.objective_s
        return demands.Demand(
            job_id=str(next(self._job_numbers)),
            service=exchange.match.service,
            prompt_tokens=generation.prompt_tokens,
            output_tokens=output_tokens,
            max_gap_s=route.max_gap_s or math.inf,
            objective_left_s=late_at - now,
            time_left_s=exchange.deadline - now,
            excluded=frozenset(exchange.tried_target_ids),
            allowed_data_centres=self._find_allowed(exchange),
            find_allowed=functools.partial(self._find_allowed, exchange),
            may_have_run=exchange.possible_runs > 0
            or exchange.progress.has_started,
        )

    def _find_allowed(
        self, exchange: exchanges.Exchange
    ) -> frozenset[str] | None:
        """Returns the data centres that may serve a request; None for all."""
        if self._region_rules is None:
            return None
        return self._region_rules.allowed_data_centres(
            exchange.request, exchange.match
        )

    def _may_pass(self, exchange: exchanges.Exchange, data_centre: str) -> bool:
        """Returns whether a request may go over a peer in a data centre."""
        return self._region_rules is None or self._region_rules.may_pass(
            exchange.request, exchange.match, data_centre
        )

    def _find_unwanted(
        self,
        exchange: exchanges.Exchange,
        chosen: placement.Placement,
        peer_data_centre: str = "",
    ) -> str | None:
        """Returns what must not get a request any more, or None.

        Targets may have asked for a rest, orders and regions may have changed
        since the choice.

        Args:
            exchange: The request.
            chosen: Its placement.
            peer_data_centre: Data centre of the peer that it is sent over;
                empty if direct.
        """
        record = chosen.target.record
        if not self._statements.wants_requests(record):
            return record.target_id
        allowed = self._find_allowed(exchange)
        for one in (record, *(one.target.record for one in chosen.helpers)):
            if self._table.is_evacuated(one) or (
                allowed is not None and one.data_centre not in allowed
            ):
                return f"data centre of {one.target_id}"
        if peer_data_centre and not self._may_pass(exchange, peer_data_centre):
            return "region of the peer"
        return None

    def _find_exit(
        self, exchange: exchanges.Exchange, demand: demands.Demand
    ) -> str | None:
        """Returns why this process must not send a request any more, or None.

        It may have waited for a permit, for memory or for a connection.
        """
        now = self._clock()
        times = service_times.request_times(demand, exchange.deadline - now)
        if self._stop.may_send(times, now):
            return None
        return stopping.REFUSAL_REASON

    async def _attempt(
        self,
        exchange: exchanges.Exchange,
        demand: demands.Demand,
        chosen: placement.Placement,
    ) -> outcomes.AttemptOutcome:
        """Acquires a permit and the memory of a placement, then sends."""
        record = chosen.target.record
        permit = await self._permits.acquire(record, chosen.max_permit_wait_s)
        if permit is None:
            exchange.permits_refused += 1
            return outcomes.Failed(
                outcomes.Failure.RATE_LIMITED, record.target_id
            )
        unwanted = self._find_unwanted(exchange, chosen)
        if unwanted is not None:
            return outcomes.Failed(outcomes.Failure.UNWANTED, unwanted)
        async with self._reserver.hold(chosen) as held:
            if held.refused_by:
                exchange.tried_target_ids.update(held.refused_by)
                exchange.reservations_refused += 1
                return outcomes.Failed(
                    outcomes.Failure.NO_MEMORY, ", ".join(held.refused_by)
                )
            return await self._send(exchange, demand, chosen, held, permit)

    async def _send(
        self,
        exchange: exchanges.Exchange,
        demand: demands.Demand,
        chosen: placement.Placement,
        held: reservations.HeldReservations,
        permit: rate_permits.Permit,
    ) -> outcomes.AttemptOutcome:
        """Sends a request after its memory has been reserved."""
        record = chosen.target.record
        exchange.tried_target_ids.add(record.target_id)
        started_at = self._clock()
        opened = await self._links.acquire(
            record,
            runs_once=not exchange.match.route.may_repeat,
            request_id=exchange.request.request_id,
            time_left_s=exchange.deadline - started_at,
            may_pass=functools.partial(self._may_pass, exchange),
        )
        if isinstance(opened, result.Err):
            self._recorder.record(
                exchange, record, chosen, demand, opened.err_value, started_at
            )
            return opened.err_value
        connection = opened.ok_value
        # The request may have crashed other targets while it waited.
        block = self._guard.find_block(exchange.suspects, self._clock())
        if block is not None and block.cause != exchange.trial:
            self._links.release(record, connection)
            return outcomes.Failed(outcomes.Failure.BLOCKED, "not sent")
        unwanted = self._find_unwanted(
            exchange, chosen, connection.peer_data_centre
        ) or self._find_exit(exchange, demand)
        if unwanted is not None:
            self._links.release(record, connection)
            return outcomes.Failed(outcomes.Failure.UNWANTED, unwanted)
        if not self._permits.may_send(record, permit):
            self._links.release(record, connection)
            exchange.tried_target_ids.discard(record.target_id)
            exchange.permits_refused += 1
            return outcomes.Failed(
                outcomes.Failure.RATE_LIMITED, record.target_id
            )
        exchange.sent_attempts += 1
        exchange.possible_runs += 1
        writing = _Writing()
        outcome = await self._run_attempt(
            exchange, demand, chosen, held, connection, writing
        )
        if isinstance(outcome, outcomes.Failed):
            self._record_failure(exchange, record, connection, outcome)
        self._recorder.record(
            exchange,
            record,
            chosen,
            demand,
            outcome,
            started_at,
            writing.first_at,
            connection.peer_id,
        )
        if isinstance(outcome, outcomes.Failed) and outcome.is_lost:
            await self._detector.wait_for_check(record)
        return outcome

    async def _run_attempt(
        self,
        exchange: exchanges.Exchange,
        demand: demands.Demand,
        chosen: placement.Placement,
        held: reservations.HeldReservations,
        connection: target_paths.Connection,
        writing: _Writing,
    ) -> outcomes.AttemptOutcome:
        """Sends a request on a connection and passes its answer on."""
        record = chosen.target.record
        messages = connection.start(
            self._encode(exchange, chosen, held),
            exchange.request.request_id,
            is_head=exchange.request.method == b"HEAD",
        )

        def on_head(head: forwarding.ResponseHead) -> None:
            self._rate_limits.record_answer(record, head)
            self._statements.record_answer(record, head)

        def on_event() -> None:
            now = self._clock()
            if writing.first_at is None:
                writing.first_at = now
                self._load.mark_writing(demand.job_id, now)
                self._on_answer_begun(demand.job_id)
            elif not writing.is_recorded and crash_detector.has_survived(
                writing.first_at, now
            ):
                writing.is_recorded = True
                self._detector.attempt_survived(exchange, writing.first_at)

        delivery = attempt.Attempt(
            exchange.match.route,
            exchange.sink,
            exchange.progress,
            self._clock,
            on_head,
            on_event,
            self._held_answers,
        )
        is_ended = is_complete = False
        try:
            outcome = await delivery.run(
                connection, messages, self._make_timeouts(exchange, chosen)
            )
            is_ended = True
            is_complete = isinstance(outcome, outcomes.Delivered) or (
                outcome.is_known_not_run
                or outcome.failure is outcomes.Failure.FAILED
            )
        finally:
            if is_complete:
                self._links.release(record, connection)
            else:
                connection.abort()
            if not is_ended:
                self._recorder.record_abandoned(
                    exchange,
                    record,
                    has_written=writing.is_recorded,
                    peer_id=connection.peer_id,
                )
        return outcome

    def _record_failure(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        connection: target_paths.Connection,
        failed: outcomes.Failed,
    ) -> None:
        """Records which attempts count and which peer to avoid."""
        if failed.is_known_not_run:
            exchange.possible_runs -= 1
        fault = failed.peer_fault
        if fault is not None and not fault.is_sent:
            exchange.sent_attempts -= 1
            exchange.peers_refused += 1
            if not fault.is_about_target:
                exchange.tried_target_ids.discard(record.target_id)
        if connection.peer_id and (failed.is_lost or fault is not None):
            self._links.avoid(connection, failed.detail)

    def _encode(
        self,
        exchange: exchanges.Exchange,
        chosen: placement.Placement,
        held: reservations.HeldReservations,
    ) -> bytes:
        """Returns the encoded request for the target."""
        account = exchange.match.account
        last_event_id = exchange.progress.order.last_id
        helpers = tuple(
            forwarding.PrefillHelper(
                helper.target.record.target_id,
                helper.target.record.host,
                helper.target.record.port,
                held.find(helper.target.record.target_id),
            )
            for helper in chosen.helpers
        )
        sending = forwarding.Sending(
            target_id=chosen.target.record.target_id,
            account=account.name if account is not None else "",
            time_left_s=exchange.deadline - self._clock(),
            last_event_id=last_event_id if exchange.progress.events else None,
            helpers=helpers,
        )
        head = self._wire.encode_request(
            exchange.request, sending, len(exchange.body)
        )
        return head + exchange.body

    def _make_timeouts(
        self, exchange: exchanges.Exchange, chosen: placement.Placement
    ) -> attempt.AttemptTimeouts:
        """Returns the timeouts of the next attempt.

        An attempt that can't be followed by another runs to the deadline.
        """
        route = exchange.match.route
        if not route.may_repeat or exchange.possible_runs >= route.max_attempts:
            return attempt.AttemptTimeouts(
                math.inf, math.inf, exchange.deadline
            )
        return attempt.AttemptTimeouts(
            first_byte_s=max(
                FIRST_BYTE_TIMEOUT_FACTOR * chosen.first_token_s,
                MIN_FIRST_BYTE_TIMEOUT_S,
            ),
            idle_s=max(
                IDLE_TIMEOUT_FACTOR * route.max_gap_s, MIN_IDLE_TIMEOUT_S
            ),
            deadline=exchange.deadline,
            # Before its answer begins, a caller can still ask again itself.
            may_give_up=lambda: (
                not exchange.progress.has_started
                or self._decider.may_follow_silence(exchange)
            ),
        )

    async def _finish_failed(
        self,
        exchange: exchanges.Exchange,
        failed: outcomes.Failed,
        final: exchanges.FinalAnswer,
    ) -> exchanges.FinalAnswer | None:
        """Passes on the target's own error answer if it is complete.

        Returns:
            The final answer to send; None if the target's was passed on.
        """
        if failed.answer is None or exchange.progress.has_started:
            return final
        if (
            failed.answer.status in attempt.NOT_RUN_STATUSES
            and not exchange.match.route.may_repeat
        ):
            # The target has not stated that the request has not run.
            return final
        delivery = attempt.Attempt(
            exchange.match.route,
            exchange.sink,
            exchange.progress,
            self._clock,
            _ignore_head,
            _ignore_event,
            self._held_answers,
        )
        await delivery.forward_answer(failed.answer, failed.body)
        return None

    def _refuse(
        self, exchange: exchanges.Exchange, refusal: scheduling.Refusal
    ) -> exchanges.FinalAnswer:
        """Returns the final answer to a request without a placement."""
        if exchange.possible_runs:
            return exchanges.FinalAnswer(
                http.HTTPStatus.BAD_GATEWAY, refusal.reason
            )
        return exchanges.FinalAnswer(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            refusal.reason,
            refusal.retry_after_s,
        )


def _ignore_head(head: forwarding.ResponseHead) -> None:
    """Ignores the head of an answer."""


def _ignore_event() -> None:
    """Ignores an event."""
