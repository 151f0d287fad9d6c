"""Cap'n Proto encoding of permits for requests to rate-limited targets."""

from __future__ import annotations

import math
from typing import Any

import attrs
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import packed_messages

REQUEST = b"\2"
DECISION = b"\3"
"""First byte of a datagram with a request or a decision."""
MAX_WAIT_S = 3600.0


@attrs.frozen
class PermitRequest:
    """A request for a permit.

    Attributes:
        number: Number that the decision repeats.
        target_id: The target.
        started_at_ms: Unix time of the start of its process.
        rate_per_s: Its limit in requests a second, as known to the sender.
        max_wait_s: Longest time until the permit may be used.
    """

    number: int
    target_id: str
    started_at_ms: int
    rate_per_s: float
    max_wait_s: float


@attrs.frozen
class PermitDecision:
    """The decision about a permit.

    Attributes:
        is_granted: Whether a request may be sent.
        wait_s: If granted, the time after which it may be sent; otherwise the
            time until a permit may be available.
    """

    is_granted: bool
    wait_s: float


def encode_request(request: PermitRequest) -> bytes:
    """Encodes a request as a datagram."""
    message = digest_codec.schema().PermitRequest.new_message(
        number=request.number,
        targetId=request.target_id,
        startedAtMs=request.started_at_ms,
        ratePerS=request.rate_per_s,
        maxWaitS=request.max_wait_s,
    )
    return REQUEST + bytes(message.to_bytes_packed())


@decoding.decoder("permit request")
def decode_request(data: bytes) -> result.Result[PermitRequest, str]:
    """Decodes a datagram with a request, or returns an error message."""
    return packed_messages.read(
        data[len(REQUEST) :],
        digest_codec.schema().PermitRequest,
        _decode_request,
    )


def _decode_request(message: Any) -> result.Result[PermitRequest, str]:
    """Creates a request from a message."""
    if not (_is_finite(message.ratePerS) and message.maxWaitS >= 0):
        return result.Err("malformed permit request: rate or wait")
    return result.Ok(
        PermitRequest(
            message.number,
            message.targetId,
            message.startedAtMs,
            message.ratePerS,
            min(message.maxWaitS, MAX_WAIT_S),
        )
    )


def encode_decision(number: int, decision: PermitDecision) -> bytes:
    """Encodes a decision as a datagram."""
    message = digest_codec.schema().PermitDecision.new_message(
        number=number,
        isGranted=decision.is_granted,
        waitS=decision.wait_s,
    )
    return DECISION + bytes(message.to_bytes_packed())


@decoding.decoder("permit decision")
def decode_decision(
    data: bytes,
) -> result.Result[tuple[int, PermitDecision], str]:
    """Decodes a datagram with a decision, or returns an error message."""
    return packed_messages.read(
        data[len(DECISION) :],
        digest_codec.schema().PermitDecision,
        _decode_decision,
    )


def _decode_decision(
    message: Any,
) -> result.Result[tuple[int, PermitDecision], str]:
    """Creates a decision from a message."""
    if not _is_finite(message.waitS):
        return result.Err("malformed permit decision: wait")
    return result.Ok(
        (
            message.number,
            PermitDecision(message.isGranted, min(message.waitS, MAX_WAIT_S)),
        )
    )


def _is_finite(value: float) -> bool:
    """Returns whether a number is finite and not negative."""
    return math.isfinite(value) and value >= 0
