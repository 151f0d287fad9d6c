"""Checks callers' submissions and turns them into requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import result
import xxhash

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests

if TYPE_CHECKING:
    from cardamomfork._internal.requests import directory


@attrs.frozen
class Submission:
    """A parsed and validated request from a caller.

    Attributes:
        account: The authenticated client account.
        api: The API that the caller used.
        service: Name of the service for a call, otherwise of the model.
        body: The body as JSON bytes.
        prompt_tokens: Estimated length of the prompt in tokens.
        max_tokens: Maximum number of tokens to generate.
        prefix_hashes: Chained hashes of the prompt's blocks.
        stream: Whether the caller requested server-sent events.
        idempotency_key: The idempotency key; empty if none was sent.
        timeout_s: Requested timeout in seconds, or None.
        urgency: Requested RFC 9218 urgency, or None.
    """

    account: identifiers.AccountName
    api: requests.Api
    service: str
    body: bytes = attrs.field(repr=False)
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...] = attrs.field(default=(), repr=False)
    stream: bool = False
    idempotency_key: str = attrs.field(default="", repr=False)
    timeout_s: float | None = None
    urgency: int | None = None


class Admission:
    """Checks submissions against services and accounts."""

    def __init__(self, service_directory: directory.ServiceDirectory) -> None:
        """Initializes the check.

        Args:
            service_directory: Directory of configured services and accounts.
        """
        self._directory = service_directory

    def admit(
        self, submission: Submission, now: float
    ) -> result.Result[requests.Request, outcomes.Refusal]:
        """Returns the request of a submission, or the reason to refuse it."""
        account = self._directory.account(submission.account)
        service = self._find_service(submission)
        if service is None or account is None:
            return _refuse(
                outcomes.RefusalReason.UNKNOWN_SERVICE,
                f"{submission.service!r} is not served here.",
            )
        refusal = _find_refusal(submission, service, account)
        if refusal is not None:
            return result.Err(refusal)
        return result.Ok(_make_request(submission, service, account, now))

    def _find_service(
        self, submission: Submission
    ) -> configuration.Service | None:
        """Returns the service of a submission, or None if there is none.

        Calls go to plain services and prompts to model services.
        """
        if submission.api is requests.Api.CALL:
            service = self._directory.service(submission.service)
            kind = configuration.ServiceKind.PLAIN
        else:
            service = self._directory.service_of_model(submission.service)
            kind = configuration.ServiceKind.MODEL
        if service is None or service.kind is not kind:
            return None
        return service


def _find_refusal(
    submission: Submission,
    service: configuration.Service,
    account: configuration.ClientAccount,
) -> outcomes.Refusal | None:
    """Returns the refusal of a submission, or None if it is allowed."""
    if account.services and service.name not in account.services:
        return outcomes.refuse(
            outcomes.RefusalReason.FORBIDDEN,
            f"This account may not call {service.name!r}.",
        )
    if submission.prompt_tokens > service.max_prompt_tokens:
        return outcomes.refuse(
            outcomes.RefusalReason.PROMPT_TOO_LARGE,
            f"The prompt has about {submission.prompt_tokens} tokens;"
            f" {service.name!r} takes {service.max_prompt_tokens}.",
        )
    timeout_s = submission.timeout_s
    if timeout_s is not None and timeout_s > service.max_timeout_s:
        return outcomes.refuse(
            outcomes.RefusalReason.INVALID,
            f"Request-Timeout is {timeout_s:g} s; {service.name!r} allows at"
            f" most {service.max_timeout_s:g} s.",
        )
    return None


def _make_request(
    submission: Submission,
    service: configuration.Service,
    account: configuration.ClientAccount,
    now: float,
) -> requests.Request:
    """Creates the request of an allowed submission."""
    urgency = submission.urgency
    if urgency is None:
        urgency = requests.Urgency.NORMAL
    is_plain = service.kind is configuration.ServiceKind.PLAIN
    return requests.Request(
        request_id=identifiers.new_request_id(),
        account=account.name,
        service=service.name,
        api=submission.api,
        body=submission.body,
        prompt_tokens=submission.prompt_tokens,
        max_tokens=submission.max_tokens,
        arrived_at=now,
        deadline=now + (submission.timeout_s or service.default_timeout_s),
        prefix_hashes=submission.prefix_hashes,
        model="" if is_plain else _resolve_model(submission.service, service),
        urgency=max(urgency, account.urgency),
        worth=account.worth,
        stream=submission.stream,
        idempotent=service.idempotent,
        idempotency_key=submission.idempotency_key,
        fingerprint=fingerprint(account.name, service.name, submission.body),
    )


def fingerprint(account: str, service: str, body: bytes) -> bytes:
    """Returns the 16-byte hash of an account, service and body."""
    digest = xxhash.xxh3_128()
    digest.update(f"{account}\n{service}\n".encode())
    digest.update(body)
    return digest.digest()


def _resolve_model(requested: str, service: configuration.Service) -> str:
    """Returns the model to run.

    A service's own name selects the first of its models.
    """
    if requested in service.models or not service.models:
        return requested
    return service.models[0]


def _refuse(
    reason: outcomes.RefusalReason, detail: str
) -> result.Err[outcomes.Refusal]:
    """Returns the refusal of a submission as an error."""
    return result.Err(outcomes.refuse(reason, detail))
