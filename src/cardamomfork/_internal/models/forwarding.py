"""Requests, responses and attempts, independent of the wire format."""

from __future__ import annotations

import enum

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Generation:
    """The size of a request to a model engine.

    Attributes:
        prompt_tokens: Length of the prompt.
        max_output_tokens: Most tokens that the engine may generate.
        output_tokens_hint: The caller's estimate of the output length, or
            None.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int | None = None

    @property
    def expected_output_tokens(self) -> int:
        """Expected length of the output in tokens."""
        if self.output_tokens_hint is None:
            return self.max_output_tokens
        return min(self.output_tokens_hint, self.max_output_tokens)


@attrs.frozen
class CallerRequest:
    """A request from a caller.

    Attributes:
        request_id: Id of this attempt of the caller.
        method: HTTP method.
        target: Path and query, as sent.
        path: Path without the query.
        host: Host that the caller requested, in lower case, without the port.
        headers: Headers to forward unchanged.
        api_key: API key of the client account; empty if none was sent.
        time_limit_s: How long the caller waits, or None.
        last_event_id: Id of the event after which a stream resumes, or None.
        generation: Size of a model request; None for other requests.
        shared_parts: Ids of the parts of its prompt that other requests may
            share, in order.
        region: Region of the caller; empty if unknown. No header of the
            platform states it.
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
    shared_parts: tuple[str, ...] = ()
    region: str = ""


@attrs.frozen
class PrefillHelper:
    """A target that prefills a part of a prompt for another target.

    Attributes:
        target_id: Id of the helping target.
        host: Its IP address.
        port: Its TCP port.
        reservation_id: Id of its memory reservation; empty if there is none.
    """

    target_id: str
    host: str
    port: int
    reservation_id: str = ""


@attrs.frozen
class Sending:
    """Parameters that one attempt adds to the caller's request.

    Attributes:
        target_id: Id of the only target that may run the attempt.
        account: Name of the client account; empty if there is none.
        time_left_s: Time after which the target stops.
        last_event_id: Id of the event after which the stream resumes, or None.
        priority: Priority in the target's queue, from 0 (first) to 9.
        helpers: Targets that prefill parts of the prompt.
    """

    target_id: str
    account: str
    time_left_s: float
    last_event_id: int | None = None
    priority: int | None = None
    helpers: tuple[PrefillHelper, ...] = ()


class PeerFault(enum.Enum):
    """Why a peer could not pass a request on to a target."""

    UNAUTHORIZED = "unauthorized"
    MALFORMED = "malformed"
    STOPPING = "stopping"
    ISOLATED = "isolated"
    """The peer is cut off from all targets too."""
    BUSY = "busy"
    UNKNOWN_TARGET = "unknown_target"
    LEAVING_TARGET = "leaving_target"
    RESTING_TARGET = "resting_target"
    """The target has asked the peer for a rest."""
    UNREACHABLE_TARGET = "unreachable_target"
    LOST = "lost"
    """The target's answer broke off; it may have run the request."""
    UNATTRIBUTED = "unattributed"
    """The target's answer may be that of another request. Earlier builds take
    it for `LOST`."""

    @property
    def is_sent(self) -> bool:
        """Whether the request may have reached the target."""
        return self in (PeerFault.LOST, PeerFault.UNATTRIBUTED)

    @property
    def is_about_target(self) -> bool:
        """Whether another peer would say the same of the target."""
        return self in (
            PeerFault.UNKNOWN_TARGET,
            PeerFault.LEAVING_TARGET,
            PeerFault.RESTING_TARGET,
            PeerFault.LOST,
            PeerFault.UNATTRIBUTED,
        )


@attrs.frozen
class ResponseHead:
    """Status and headers of a target's response.

    Attributes:
        status: HTTP status.
        headers: Headers to forward to the caller.
        request_id: Id of the request that it answers; empty if not given.
        is_signed: Whether it has the target's signature.
        is_not_executed: Whether it states that the target did not run the
            request.
        refusing_target: Id or address of the target that refused, as named in
            a refusal.
        idle_timeout_s: Idle time after which the target closes the connection,
            or None.
        content_length: Length of the body, or None.
        closes: Whether the target closes the connection after the response.
        rate_limit_per_s: Requests a second that the target accepts from all
            instances together, or None if it names no limit.
        retry_after_s: Time for which the target wants no further request from
            this instance, or None.
        is_leaving: Whether it states that the target's process is about to
            end.
        peer_fault: Why a peer has answered instead of the target, or None.
        cold_remaining_s: Time for which the target states that it is cold; 0
            if it states that it is not, None if it states neither.
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
    rate_limit_per_s: float | None = None
    retry_after_s: float | None = None
    is_leaving: bool = False
    peer_fault: PeerFault | None = None
    cold_remaining_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
