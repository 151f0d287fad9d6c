"""One caller's prompt or call, from its body to its answer."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.links.callers import bodies
from cardamomfork._internal.links.callers import headers as caller_headers
from cardamomfork._internal.links.callers import problems
from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.links.callers import reading
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
class Asgi:
    """The three things ASGI hands over for one request."""

    scope: dict[str, Any]
    receive: Callable[[], Awaitable[dict[str, Any]]]
    send: Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class PromptExchange:
    """Takes prompts and calls to the request service.

    Attributes:
        service: Runs the requests.
        admission_rules: Makes requests of what callers send.
        heartbeats: Keeps idle streams alive.
        clock: The loop's clock.
        callers: Bounds of size and time.
    """

    service: service_module.RequestService
    admission_rules: admission.Admission
    heartbeats: sinks.Heartbeats
    clock: clock_contract.Clock
    callers: settings.CallerSettings

    async def handle(
        self,
        asgi: Asgi,
        responder: responses.Responder,
        account: identifiers.AccountName,
        api: requests.Api,
        service_name: str = "",
    ) -> None:
        """Answers one request of an authenticated account."""
        head = caller_headers.check(asgi.scope["headers"])
        body = await reading.read_body(
            asgi.receive,
            asgi.scope["headers"],
            self.callers.max_body_bytes,
            self.callers.body_timeout_s,
        )
        if isinstance(body, result.Err):
            refused = body.err_value
            self.service.record_refused_input(refused.refusal)
            await responder.problem(
                refused.refusal, (), refused.status, close=True
            )
            return
        checked = bodies.check(api, body.ok_value)
        if isinstance(head, result.Err) or isinstance(checked, result.Err):
            found = [*(head.err() or ()), *(checked.err() or ())]
            invalid = _invalid(found)
            self.service.record_refused_input(invalid)
            await responder.problem(invalid, found)
            return
        submission = _make_submission(
            account, api, service_name, body.ok_value, checked.ok_value, head
        )
        await self._admit(asgi, responder, submission)

    async def _admit(
        self,
        asgi: Asgi,
        responder: responses.Responder,
        submission: admission.Submission,
    ) -> None:
        """Makes the request and runs it while its caller stays."""
        admitted = self.admission_rules.admit(
            submission, self.clock.monotonic()
        )
        if isinstance(admitted, result.Err):
            self.service.record_refused_input(admitted.err_value)
            await responder.problem(admitted.err_value)
            return
        request = admitted.ok_value
        named = attrs.evolve(responder, request_id=request.request_id)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_caller, asgi, tasks.cancel_scope)
            if request.stream:
                await self._stream(asgi, named, request)
            else:
                await self._answer(named, request)
            tasks.cancel_scope.cancel()

    async def _answer(
        self, responder: responses.Responder, request: requests.Request
    ) -> None:
        """Answers with a whole body."""
        ending = await self.service.run(request, sinks.NullSink())
        if isinstance(ending, result.Err):
            await responder.problem(ending.err_value)
            return
        answer = ending.ok_value
        await responder.body(
            answer.status, answer.content_type.encode("latin-1"), answer.body
        )

    async def _stream(
        self,
        asgi: Asgi,
        responder: responses.Responder,
        request: requests.Request,
    ) -> None:
        """Answers with server-sent events; an error ends them as an event."""
        connection = asgi.scope["extensions"][protocol.SCOPE_KEY]
        sink = sinks.StreamSink(connection, asgi.send, responder.headers)
        self.heartbeats.add(sink)
        try:
            ending = await self.service.run(request, sink)
        finally:
            self.heartbeats.discard(sink)
        if isinstance(ending, result.Err):
            if not sink.opened:
                await responder.problem(ending.err_value)
                return
            members = problems.describe(
                ending.err_value, responder.request_id, responder.data_centre
            )
            sink.write(problems.error_event(members))
        await sink.finish()


async def _watch_caller(asgi: Asgi, scope: anyio.CancelScope) -> None:
    """Cancels the work of a caller that goes away."""
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
    checked: bodies.CheckedBody,
    head: result.Ok[caller_headers.CheckedHeaders],
) -> admission.Submission:
    """Puts together what headers and body ask for."""
    asked = head.ok_value
    hashes: tuple[int, ...] = ()
    if api is not requests.Api.CALL:
        seed = prompts.seed_of(account)
        hashes = prompts.hash_blocks(checked.text, seed)
    return admission.Submission(
        account=account,
        api=api,
        service=service_name or checked.model,
        body=body,
        prompt_tokens=prompts.estimate_tokens(checked.text),
        max_tokens=checked.max_tokens,
        prefix_hashes=hashes,
        stream=checked.stream,
        idempotency_key=asked.idempotency_key,
        timeout_s=asked.timeout_s,
        urgency=asked.urgency,
    )


def _invalid(found: list[findings.Finding]) -> outcomes.Refusal:
    """Makes the refusal of input with findings."""
    return outcomes.refuse(
        outcomes.RefusalReason.INVALID,
        f"The request has {len(found)} finding(s): {_first(found)}",
    )


def _first(found: list[findings.Finding]) -> str:
    """Returns the first finding as text."""
    return f"{found[0].place.path} {found[0].message}."
