"""Sends responses to callers, except for streams."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal.links.callers import problems

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomfork._internal.models import findings
    from cardamomfork._internal.models import outcomes

JSON_MEDIA_TYPE = b"application/json"
BODY_PART_BYTES = 64 * 1024
REQUEST_ID_HEADER = b"x-request-id"
DATA_CENTRE_HEADER = b"x-data-centre"


@attrs.frozen
class Responder:
    """Sends the response to one request.

    Every response has the request id and the data centre in its headers.

    Attributes:
        send: ASGI's send for this response.
        request_id: Id of the request.
        data_centre: Data centre of this instance.
    """

    send: Callable[[dict[str, Any]], Awaitable[None]]
    request_id: str
    data_centre: str

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers of every response."""
        return [
            (REQUEST_ID_HEADER, self.request_id.encode()),
            (DATA_CENTRE_HEADER, self.data_centre.encode()),
        ]

    async def body(
        self,
        status: int,
        content_type: bytes,
        body: bytes,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Sends a response with a complete body."""
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-type", content_type),
                    (b"content-length", str(len(body)).encode()),
                    *self.headers,
                    *headers,
                ],
            }
        )
        # Sending in parts applies backpressure from a slow caller after each
        # part, and a caller that reads on does not hit the stall timeout.
        view = memoryview(body)
        for start in range(0, len(body), BODY_PART_BYTES):
            body_part = bytes(view[start : start + BODY_PART_BYTES])
            await self._send_part(body_part, more=True)
        await self._send_part(b"", more=False)

    async def _send_part(self, body_part: bytes, more: bool) -> None:
        """Sends one part of a body."""
        await self.send(
            {"type": "http.response.body", "body": body_part, "more_body": more}
        )

    async def json(self, status: int, members: dict[str, Any]) -> None:
        """Sends a JSON object."""
        await self.body(status, JSON_MEDIA_TYPE, msgspec.json.encode(members))

    async def problem(
        self,
        refusal: outcomes.Refusal,
        input_findings: Sequence[findings.Finding] = (),
        status: int = 0,
        close: bool = False,
    ) -> None:
        """Sends problem details.

        Args:
            refusal: Why the request was refused or failed.
            input_findings: Findings about the input.
            status: HTTP status; 0 for the default status of the refusal.
            close: Whether to close the connection, since unread bytes of the
                request may still arrive.
        """
        members = problems.make_problem(
            refusal, self.request_id, self.data_centre, input_findings, status
        )
        headers = []
        if refusal.retry_after_s is not None:
            retry_after = problems.retry_after_header(refusal.retry_after_s)
            headers.append((b"retry-after", retry_after))
        if close:
            headers.append((b"connection", b"close"))
        await self.body(
            members["status"],
            problems.MEDIA_TYPE,
            problems.encode(members),
            headers,
        )
