"""Requests, answers and placements as the gateway sees them."""

from __future__ import annotations

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Generation:
    """What a request asks a model engine for.

    Attributes:
        prompt_tokens: Length of the prompt.
        max_output_tokens: Most tokens that may be written.
        output_tokens_hint: The caller's guess at the output, or None.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int | None = None

    @property
    def expected_output_tokens(self) -> int:
        """Tokens that the answer will probably have."""
        if self.output_tokens_hint is None:
            return self.max_output_tokens
        return min(self.output_tokens_hint, self.max_output_tokens)


@attrs.frozen
class CallerRequest:
    """A request as a caller sent it.

    Attributes:
        request_id: Names this attempt of the caller.
        method: HTTP method.
        target: Path and query, as sent.
        path: Path alone.
        host: Host that the caller named, lower case, without a port.
        headers: What is passed on as it is.
        api_key: Key of the client account; empty if none was shown.
        time_limit_s: How long the caller waits, or None.
        last_event_id: Event after which a stream goes on, or None.
        generation: Size of a model request; None for other requests.
    """

    request_id: str
    method: bytes
    target: bytes
    path: str
    host: str
    headers: Headers
    api_key: str = ""
    time_limit_s: float | None = None
    last_event_id: int | None = None
    generation: Generation | None = None


@attrs.frozen
class PrefillHelper:
    """A target that reads a part of a prompt for another.

    Attributes:
        target_id: The helping target.
        host: Its IP number.
        port: Its TCP port.
        reservation_id: Memory reserved there; empty if none is.
    """

    target_id: str
    host: str
    port: int
    reservation_id: str = ""


@attrs.frozen
class Sending:
    """What one attempt adds to the caller's request.

    Attributes:
        target_id: The only target that may run it.
        account: Name of the client account; empty if there is none.
        time_left_s: Time after which the target stops.
        last_event_id: Event after which the stream goes on, or None.
        priority: Rank in the target's queue, 0 first to 9.
        helpers: Targets that read parts of the prompt.
    """

    target_id: str
    account: str
    time_left_s: float
    last_event_id: int | None = None
    priority: int | None = None
    helpers: tuple[PrefillHelper, ...] = ()


@attrs.frozen
class ResponseHead:
    """Status and headers of a target's answer.

    Attributes:
        status: HTTP status.
        headers: What is passed on to the caller.
        request_id: The request that it answers; empty if it names none.
        is_signed: Whether it has the target's signature.
        is_not_executed: Whether the target says that it did not run the request.
        refusing_target: Id or address of the target that a refusal names.
        idle_timeout_s: Idle time after which the target closes, or None.
        content_length: Length of the body, or None.
        closes: Whether the target closes the connection after it.
    """

    status: int
    headers: Headers
    request_id: str = ""
    is_signed: bool = False
    is_not_executed: bool = False
    refusing_target: str = ""
    idle_timeout_s: float | None = None
    content_length: int | None = None
    closes: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
