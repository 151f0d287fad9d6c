"""Reads request bodies with limits on size and time."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

STATUS_PAYLOAD_TOO_LARGE = 413
STATUS_REQUEST_TIMEOUT = 408


MAX_DIGITS = 18
"""Digits of a content length that are compared."""


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request was complete."""


@attrs.frozen
class BodyRefusal:
    """The refusal of a body and its HTTP status."""

    status: int
    refusal: outcomes.Refusal


async def read_body(
    receive: Callable[[], Awaitable[dict[str, Any]]],
    headers: list[tuple[bytes, bytes]],
    max_bytes: int,
    timeout_s: float,
) -> result.Result[bytes, BodyRefusal]:
    """Reads a whole body.

    Args:
        receive: ASGI's receive.
        headers: The request's headers.
        max_bytes: Maximum size of the body.
        timeout_s: Time limit for the whole body, in seconds.

    Raises:
        CallerDisconnectedError: The caller disconnected.
    """
    content_length = dict(headers).get(b"content-length", b"")
    is_number = content_length.isdigit()
    if is_number and int(content_length[:MAX_DIGITS]) > max_bytes:
        return _refuse_too_large(max_bytes)
    parts: list[bytes] = []
    size = 0
    with anyio.move_on_after(timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > max_bytes:
                return _refuse_too_large(max_bytes)
            if not message.get("more_body"):
                return result.Ok(b"".join(parts))
    return result.Err(
        BodyRefusal(
            STATUS_REQUEST_TIMEOUT,
            outcomes.refuse(
                outcomes.RefusalReason.INVALID,
                f"The body did not come whole within {timeout_s:g} s.",
            ),
        )
    )


def _refuse_too_large(max_bytes: int) -> result.Err[BodyRefusal]:
    """Returns the refusal of a body over the size limit."""
    return result.Err(
        BodyRefusal(
            STATUS_PAYLOAD_TOO_LARGE,
            outcomes.refuse(
                outcomes.RefusalReason.PROMPT_TOO_LARGE,
                f"The body is longer than {max_bytes} bytes.",
            ),
        )
    )
