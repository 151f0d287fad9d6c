"""Messages with which an instance sends a request over a peer.

The body of such a message is the encoded request for the target. The peer sends
it on as it is, and the target's answer comes back with its status, headers and
body. A header of the answer says whether the peer or the target has answered.
"""

from __future__ import annotations

import hmac
import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import decoding
from cardamomfork._internal.models import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

PATH = "/forward"
MS_PER_S = 1000.0
MAX_TIME_LEFT_S = 120.0
"""Bound of the time for which a peer holds a request."""
MAX_INTEGER = 2**63 - 1
BUSY_STATUS = 503
"""Also sent by the peer's HTTP server, which then has read nothing."""

_AUTHORIZATION = b"authorization"
_SCHEME = b"Bearer "
_SENDER = b"forward-from"
_REQUEST_ID = b"forward-request-id"
_TARGET_ID = b"forward-target"
_TARGET_STARTED_AT = b"forward-target-started-ms"
_TIME_LEFT = b"forward-time-left-ms"
_RUNS_ONCE = b"forward-once"
_IS_HEAD = b"forward-head"
_OUTCOME = b"forward-outcome"
_ANSWERED = b"answered"

_Pairs = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class ForwardedRequest:
    """A request that an instance sends over a peer.

    Attributes:
        sender_id: Id of the instance.
        request_id: Id of the caller's request; empty for orders to a target.
        target_id: Id of the target.
        target_started_at_ms: Start of its process, in Unix milliseconds.
        time_left_s: Time after which the sender gives it up, in seconds.
        runs_once: Whether it must not run twice.
        is_head: Whether it is a HEAD request, whose answer has no body.
    """

    sender_id: str
    request_id: str
    target_id: str
    target_started_at_ms: int
    time_left_s: float
    runs_once: bool
    is_head: bool


def encode_request(
    request: ForwardedRequest, secret: str, encoded: bytes
) -> bytes:
    """Returns the message that carries an encoded request to a peer."""
    time_left_s = min(max(request.time_left_s, 0.0), MAX_TIME_LEFT_S)
    lines = (
        b"POST %b HTTP/1.1" % PATH.encode(),
        b"host: peer",
        _AUTHORIZATION + b": " + _SCHEME + secret.encode(),
        _SENDER + b": " + request.sender_id.encode(),
        _REQUEST_ID + b": " + request.request_id.encode("latin-1"),
        _TARGET_ID + b": " + request.target_id.encode(),
        b"%b: %d" % (_TARGET_STARTED_AT, request.target_started_at_ms),
        b"%b: %d" % (_TIME_LEFT, time_left_s * MS_PER_S),
        b"%b: %d" % (_RUNS_ONCE, request.runs_once),
        b"%b: %d" % (_IS_HEAD, request.is_head),
        b"content-length: %d" % len(encoded),
    )
    return b"\r\n".join(lines) + b"\r\n\r\n" + encoded


@decoding.register
def decode_request(headers: _Pairs) -> ForwardedRequest | None:
    """Decodes the head of such a message; returns None if it is malformed."""
    values = dict(headers)
    try:
        return ForwardedRequest(
            sender_id=values[_SENDER].decode(),
            request_id=values[_REQUEST_ID].decode("latin-1"),
            target_id=values[_TARGET_ID].decode(),
            target_started_at_ms=_parse_int(values[_TARGET_STARTED_AT]),
            time_left_s=min(
                max(_parse_int(values[_TIME_LEFT]) / MS_PER_S, 0.0),
                MAX_TIME_LEFT_S,
            ),
            runs_once=values[_RUNS_ONCE] == b"1",
            is_head=values[_IS_HEAD] == b"1",
        )
    except Exception:  # noqa: BLE001
        return None


def _parse_int(value: bytes) -> int:
    """Parses an integer of 64 bits.

    Raises:
        ValueError: The value is malformed.
    """
    number = int(value)
    if abs(number) > MAX_INTEGER:
        raise ValueError("integer out of range")
    return number


def is_authorized(headers: _Pairs, secrets: Iterable[str]) -> bool:
    """Returns whether a message bears one of the secrets of the fleet."""
    given = dict(headers).get(_AUTHORIZATION, b"")
    return any(
        hmac.compare_digest(given, _SCHEME + secret.encode())
        for secret in secrets
    )


def content_length(headers: _Pairs) -> float:
    """Returns the length of a message's body; infinite if it is unknown."""
    try:
        return int(dict(headers)[b"content-length"])
    except (KeyError, ValueError):
        return math.inf


def encode_fault(
    fault: forwarding.PeerFault, retry_after_s: float | None = None
) -> _Pairs:
    """Returns the headers of a peer's own answer.

    Args:
        fault: Why the peer has not passed the request on.
        retry_after_s: Time until the target wants requests, in seconds, or
            None.
    """
    headers = [(_OUTCOME, fault.value.encode()), (b"content-length", b"0")]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return tuple(headers)


def encode_answer_headers(head: forwarding.ResponseHead) -> _Pairs:
    """Returns the headers of a target's answer."""
    headers = [pair for pair in head.headers if pair[0] != _OUTCOME]
    headers.append((_OUTCOME, _ANSWERED))
    return tuple(headers)


def decode_answer(
    status: int,
    pairs: Iterable[tuple[bytes, bytes]],
    decode: Callable[
        [int, Iterable[tuple[bytes, bytes]]], forwarding.ResponseHead
    ],
) -> forwarding.ResponseHead:
    """Decodes the head of an answer to such a message.

    Args:
        status: HTTP status.
        pairs: Names and values; names are in lower case.
        decode: Decodes the head of a target's answer.
    """
    headers = tuple(pairs)
    outcome = dict(headers).get(_OUTCOME)
    head = decode(status, [pair for pair in headers if pair[0] != _OUTCOME])
    if outcome == _ANSWERED:
        return head
    return attrs.evolve(head, peer_fault=_decode_fault(status, outcome))


def _decode_fault(status: int, outcome: bytes | None) -> forwarding.PeerFault:
    """Returns why a peer has answered itself."""
    try:
        return forwarding.PeerFault((outcome or b"").decode("latin-1"))
    except ValueError:
        if outcome is None and status == BUSY_STATUS:
            return forwarding.PeerFault.BUSY
        return forwarding.PeerFault.LOST
