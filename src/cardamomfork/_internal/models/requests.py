"""A caller's request after authentication and validation."""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import identifiers


class Urgency(enum.IntEnum):
    """RFC 9218 urgency: 0 is the most urgent, 7 the least."""

    INTERACTIVE = 1
    NORMAL = 3
    BATCH = 6


class Api(enum.StrEnum):
    """The HTTP API that a request was sent to."""

    COMPLETIONS = "completions"
    CHAT = "chat"
    CALL = "call"


@attrs.frozen
class Request:
    """An authenticated, validated request.

    Attributes:
        request_id: Id of the request, returned to the caller.
        account: The client account that sent it.
        service: The service that it calls.
        api: The API that it was sent to.
        body: The body to send to a target, as JSON.
        prompt_tokens: Estimated length of the prompt in tokens.
        max_tokens: Most tokens to generate; 0 for a call of a plain service.
        prefix_hashes: Chained hashes of the prompt's blocks, for the prefix
            cache index. The account seeds them, so that accounts never share
            cached blocks.
        model: Model, or `model:adapter`; empty for a plain service.
        urgency: RFC 9218 urgency, 0 to 7.
        worth: Weight of the request in goodput if it succeeds; positive.
        stream: Whether the caller asked for server-sent events.
        idempotent: Whether it may run more than once.
        idempotency_key: The caller's idempotency key; empty if none was sent.
        fingerprint: Hash of account, service and body (16 bytes).
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which it must end, in seconds.
    """

    request_id: identifiers.RequestId
    account: identifiers.AccountName
    service: identifiers.ServiceName
    api: Api
    body: bytes = attrs.field(repr=False)
    prompt_tokens: int
    max_tokens: int
    arrived_at: float
    deadline: float
    prefix_hashes: tuple[int, ...] = attrs.field(default=(), repr=False)
    model: str = ""
    urgency: int = Urgency.NORMAL
    worth: float = 1.0
    stream: bool = False
    idempotent: bool = True
    idempotency_key: str = attrs.field(default="", repr=False)
    fingerprint: bytes = attrs.field(default=b"", repr=False)
