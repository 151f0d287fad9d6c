"""A caller's request as the system holds it."""

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
    """Which of the callers' interfaces a request came through."""

    COMPLETIONS = "completions"
    CHAT = "chat"
    CALL = "call"


@attrs.frozen
class Request:
    """An authenticated, checked request.

    Attributes:
        request_id: Name of the request, told to the caller.
        account: The client account that sent it.
        service: The service that it is for.
        api: The interface it came through.
        body: The body to send to a target, as bytes of JSON.
        prompt_tokens: Estimated length of the prompt in tokens.
        max_tokens: Most tokens to generate; 0 for a plain service's call.
        prefix_hashes: Chained hashes of the prompt's blocks, for the cache
            index; seeded with the account, so accounts never share one.
        model: Model, or `model:adapter`; empty for a plain service.
        urgency: RFC 9218 urgency, 0 to 7.
        worth: Weight of its success in goodput; positive.
        stream: Whether the caller asked for server-sent events.
        idempotent: Whether running it twice does no harm.
        idempotency_key: The caller's key; empty if none came.
        fingerprint: Hash of account, service and body (16 bytes).
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which it must have ended, in seconds.
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
