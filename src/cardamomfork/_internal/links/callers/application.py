"""ASGI application of the caller API."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING
import urllib.parse

import attrs
from loguru import logger
import result

from cardamomfork._internal.links.callers import body_reader
from cardamomfork._internal.links.callers import headers as caller_headers
from cardamomfork._internal.links.callers import prompt_requests
from cardamomfork._internal.links.callers import responses
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.requests import records
    from cardamomfork._internal.requests import service as service_module
    from cardamomfork._internal.telemetry import exporting

CALLS_PREFIX = "/v1/services/"
CALLS_SUFFIX = "/calls"
REQUESTS_PREFIX = "/v1/requests/"
_PROMPT_PATHS = {
    "/v1/completions": requests.Api.COMPLETIONS,
    "/v1/chat/completions": requests.Api.CHAT,
}
_OK = 200
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_UNAVAILABLE = 503


class Authenticator(Protocol):
    """Authenticates callers by their API keys."""

    def verify(
        self, bearer: str, now_wall: float
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Returns the account that a key belongs to, or a refusal."""
        ...


@attrs.frozen
class CallerApplication:
    """Routes HTTP requests by path and serves the simple endpoints itself.

    Attributes:
        prompt_handler: Handles prompts and calls.
        service: Knows whether this instance is draining, and counts refused
            input.
        table: Records of requests.
        authenticator: Checks API keys.
        clock: Wall clock, for the expiry of keys.
        data_centre: Data centre of this instance.
        scrape: Returns the metrics for `/metrics`; None disables the path.
    """

    prompt_handler: prompt_requests.PromptHandler
    service: service_module.RequestService
    table: records.RecordTable
    authenticator: Authenticator
    clock: clock_contract.Clock
    data_centre: identifiers.DataCentreId
    scrape: Callable[[], exporting.Scrape] | None = None

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Handles one HTTP request."""
        if scope["type"] != "http":
            return
        response_started = False

        async def tracking_send(message: dict[str, Any]) -> None:
            nonlocal response_started
            response_started = True
            await send(message)

        responder = responses.Responder(
            tracking_send, identifiers.new_request_id(), self.data_centre
        )
        asgi = prompt_requests.AsgiRequest(scope, receive, tracking_send)
        try:
            await self._route(asgi, responder)
        except body_reader.CallerDisconnectedError:
            logger.bind(request_id=responder.request_id).debug(
                "caller disconnected before its request was complete"
            )
        except Exception:
            logger.bind(request_id=responder.request_id).exception(
                "unhandled exception while handling the request"
            )
            if response_started:
                raise
            await responder.problem(_refuse_internal())

    async def _route(
        self, asgi: prompt_requests.AsgiRequest, responder: responses.Responder
    ) -> None:
        """Dispatches a request by its path."""
        path = asgi.scope["path"]
        if path == "/healthz":
            await responder.json(_OK, {"alive": True})
        elif path == "/readyz":
            await self._send_readiness(responder)
        elif path == "/metrics" and self.scrape is not None:
            scraped = self.scrape()
            content_type = scraped.content_type.encode()
            await responder.body(_OK, content_type, scraped.body)
        elif path in _PROMPT_PATHS or _is_calls_path(path):
            await self._run_request(asgi, responder, path)
        elif path.startswith(REQUESTS_PREFIX):
            await self._send_request_state(asgi, responder, path)
        else:
            await responder.problem(
                _refuse_input(f"There is nothing at {path[:200]!r}."),
                status=_NOT_FOUND,
                close=True,
            )

    async def _send_readiness(self, responder: responses.Responder) -> None:
        """Sends the readiness status that load balancers poll."""
        ready = not self.service.draining
        status = _OK if ready else _UNAVAILABLE
        await responder.json(status, {"ready": ready})

    async def _run_request(
        self,
        asgi: prompt_requests.AsgiRequest,
        responder: responses.Responder,
        path: str,
    ) -> None:
        """Authenticates the caller and runs its prompt or call."""
        account = await self._authenticate(asgi, responder, "POST")
        if account is None:
            return
        api = _PROMPT_PATHS.get(path, requests.Api.CALL)
        name = ""
        if api is requests.Api.CALL:
            name = path[len(CALLS_PREFIX) : -len(CALLS_SUFFIX)]
        await self.prompt_handler.handle(asgi, responder, account, api, name)

    async def _send_request_state(
        self,
        asgi: prompt_requests.AsgiRequest,
        responder: responses.Responder,
        path: str,
    ) -> None:
        """Sends the recorded state of one of the account's requests."""
        account = await self._authenticate(asgi, responder, "GET")
        if account is None:
            return
        request_id = urllib.parse.unquote(path[len(REQUESTS_PREFIX) :])
        record = self.table.find(identifiers.RequestId(request_id), account)
        if record is None:
            refusal = outcomes.Refusal(
                outcomes.Outcome.UNKNOWN,
                outcomes.RefusalReason.INVALID,
                "This instance knows no such request of this account.",
            )
            await responder.problem(refusal, status=_NOT_FOUND)
            return
        members = {
            "request_id": record.request_id,
            "service": record.service,
            "state": record.state.value,
            "outcome": record.outcome.value,
            "reason": record.reason.value if record.reason else None,
            "data_centre": self.data_centre,
        }
        await responder.json(_OK, members)

    async def _authenticate(
        self,
        asgi: prompt_requests.AsgiRequest,
        responder: responses.Responder,
        method: str,
    ) -> identifiers.AccountName | None:
        """Returns the caller's account, or sends a refusal and returns None."""
        if asgi.scope["method"] != method:
            await responder.problem(
                _refuse_input(f"Use {method} here."),
                status=_METHOD_NOT_ALLOWED,
                close=True,
            )
            return None
        bearer = caller_headers.read_bearer(asgi.scope["headers"])
        verify_result = self.authenticator.verify(bearer, self.clock.wall())
        if isinstance(verify_result, result.Err):
            self.service.record_refused_input(verify_result.err_value)
            await responder.problem(verify_result.err_value, close=True)
            return None
        return verify_result.ok_value


def _is_calls_path(path: str) -> bool:
    """Returns whether a path is the calls path of a plain service."""
    name = path.removeprefix(CALLS_PREFIX).removesuffix(CALLS_SUFFIX)
    return path == f"{CALLS_PREFIX}{name}{CALLS_SUFFIX}" and "/" not in name


def _refuse_internal() -> outcomes.Refusal:
    """Returns the refusal for an unhandled exception."""
    return outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.RefusalReason.INTERNAL,
        "A fault of this program ended the request; please report its id.",
    )


def _refuse_input(detail: str) -> outcomes.Refusal:
    """Returns the refusal of a request with a wrong path or method."""
    return outcomes.refuse(outcomes.RefusalReason.INVALID, detail)
