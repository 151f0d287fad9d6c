"""Handles a caller's prompt or call, from its body to its response."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.links.callers import bodies
from cardamomfork._internal.links.callers import body_reader
from cardamomfork._internal.links.callers import headers as caller_headers
from cardamomfork._internal.links.callers import problems
from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.links.callers import responses
from cardamomfork._internal.links.callers import sinks
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests
from cardamomfork._internal.requests import admission

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import findings
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import settings
    from cardamomfork._internal.requests import service as service_module


@attrs.frozen
class AsgiRequest:
    """The arguments of an ASGI application for one request."""

    scope: dict[str, Any]
    receive: Callable[[], Awaitable[dict[str, Any]]]
    send: Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class PromptHandler:
    """Validates prompts and calls and runs them in the request service.

    Attributes:
        service: Runs the requests.
        admission_rules: Turns submissions into requests, or refuses them.
        heartbeats: Sends heartbeats on idle streams.
        clock: The event loop's clock.
        callers: Limits on body size and read time.
    """

    service: service_module.RequestService
    admission_rules: admission.Admission
    heartbeats: sinks.StreamHeartbeats
    clock: clock_contract.Clock
    callers: settings.CallerSettings

    async def handle(
        self,
        asgi: AsgiRequest,
        responder: responses.Responder,
        account: identifiers.AccountName,
        api: requests.Api,
        service_name: str = "",
    ) -> None:
        """Handles one request of an authenticated account."""
        headers_result = caller_headers.check(asgi.scope["headers"])
        body = await body_reader.read_body(
            asgi.receive,
            asgi.scope["headers"],
            self.callers.max_body_bytes,
            self.callers.body_timeout_s,
        )
        if isinstance(body, result.Err):
            body_refusal = body.err_value
            self.service.record_refused_input(body_refusal.refusal)
            await responder.problem(
                body_refusal.refusal, (), body_refusal.status, close=True
            )
            return
        checked_result = bodies.check(api, body.ok_value)
        if isinstance(headers_result, result.Err) or isinstance(
            checked_result, result.Err
        ):
            input_findings = [
                *(headers_result.err() or ()),
                *(checked_result.err() or ()),
            ]
            refusal = _refuse_findings(input_findings)
            self.service.record_refused_input(refusal)
            await responder.problem(refusal, input_findings)
            return
        submission = _make_submission(
            account,
            api,
            service_name,
            body.ok_value,
            checked_result.ok_value,
            headers_result,
        )
        await self._admit_and_run(asgi, responder, submission)

    async def _admit_and_run(
        self,
        asgi: AsgiRequest,
        responder: responses.Responder,
        submission: admission.Submission,
    ) -> None:
        """Admits the request and runs it; cancels it if the caller leaves."""
        admission_result = self.admission_rules.admit(
            submission, self.clock.monotonic()
        )
        if isinstance(admission_result, result.Err):
            self.service.record_refused_input(admission_result.err_value)
            await responder.problem(admission_result.err_value)
            return
        request = admission_result.ok_value
        request_responder = attrs.evolve(
            responder, request_id=request.request_id
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, asgi, tasks.cancel_scope)
            if request.stream:
                await self._run_and_stream(asgi, request_responder, request)
            else:
                await self._run_and_send(request_responder, request)
            tasks.cancel_scope.cancel()

    async def _run_and_send(
        self, responder: responses.Responder, request: requests.Request
    ) -> None:
        """Runs the request and sends its response as one body."""
        run_result = await self.service.run(request, sinks.NullSink())
        if isinstance(run_result, result.Err):
            await responder.problem(run_result.err_value)
            return
        answer = run_result.ok_value
        await responder.body(
            answer.status, answer.content_type.encode("latin-1"), answer.body
        )

    async def _run_and_stream(
        self,
        asgi: AsgiRequest,
        responder: responses.Responder,
        request: requests.Request,
    ) -> None:
        """Runs the request and streams server-sent events.

        An error before the response head is sent as problem details, and a
        later one as the last event.
        """
        connection = asgi.scope["extensions"][protocol.SCOPE_KEY]
        sink = sinks.StreamSink(connection, asgi.send, responder.headers)
        self.heartbeats.add(sink)
        try:
            run_result = await self.service.run(request, sink)
        finally:
            self.heartbeats.discard(sink)
        if isinstance(run_result, result.Err):
            if not sink.opened:
                await responder.problem(run_result.err_value)
                return
            members = problems.make_problem(
                run_result.err_value,
                responder.request_id,
                responder.data_centre,
            )
            sink.write(problems.encode_error_event(members))
        await sink.finish()


async def _cancel_on_disconnect(
    asgi: AsgiRequest, scope: anyio.CancelScope
) -> None:
    """Cancels the scope when the caller disconnects."""
    while True:
        message = await asgi.receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def _make_submission(
    account: identifiers.AccountName,
    api: requests.Api,
    service_name: str,
    body: bytes,
    checked_body: bodies.CheckedBody,
    headers_result: result.Ok[caller_headers.CheckedHeaders],
) -> admission.Submission:
    """Builds a submission from the checked headers and body."""
    checked_headers = headers_result.ok_value
    hashes: tuple[int, ...] = ()
    if api is not requests.Api.CALL:
        seed = prompts.account_seed(account)
        hashes = prompts.hash_blocks(checked_body.text, seed)
    return admission.Submission(
        account=account,
        api=api,
        service=service_name or checked_body.model,
        body=body,
        prompt_tokens=prompts.estimate_tokens(checked_body.text),
        max_tokens=checked_body.max_tokens,
        prefix_hashes=hashes,
        stream=checked_body.stream,
        idempotency_key=checked_headers.idempotency_key,
        timeout_s=checked_headers.timeout_s,
        urgency=checked_headers.urgency,
    )


def _refuse_findings(
    found: list[findings.Finding],
) -> outcomes.Refusal:
    """Returns the refusal of input that has findings."""
    return outcomes.refuse(
        outcomes.RefusalReason.INVALID,
        f"The request has {len(found)} finding(s): {_describe_first(found)}",
    )


def _describe_first(found: list[findings.Finding]) -> str:
    """Returns the path and message of the first finding."""
    return f"{found[0].place.path} {found[0].message}."
