"""One HTTP exchange of a stand-in target."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.links.targets import extension

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence


@attrs.frozen
class Exchange:
    """An ASGI request with methods to answer it correctly or faultily."""

    scope: dict[str, Any]
    receive: Callable[[], Awaitable[dict[str, Any]]]
    send: Callable[[dict[str, Any]], Awaitable[None]]

    def header(self, name: bytes) -> str:
        """Returns a header's value; empty if it is absent."""
        headers: dict[bytes, bytes] = dict(self.scope["headers"])
        return headers.get(name, b"").decode("latin-1")

    async def read(self) -> bytes:
        """Reads the whole body."""
        parts = []
        more = True
        while more:
            message = await self.receive()
            parts.append(message.get("body", b""))
            more = message.get("more_body", False)
        return b"".join(parts)

    async def send_json(self, message: Any) -> None:
        """Answers with an object encoded as JSON."""
        await self.answer(200, msgspec.json.encode(message))

    async def answer(
        self,
        status: int,
        body: bytes,
        attempt_id: str = "",
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Answers with a complete JSON body."""
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", str(len(body)).encode()),
                    (extension.ATTEMPT_ID_HEADER, attempt_id.encode()),
                    *headers,
                ],
            }
        )
        await self.send({"type": "http.response.body", "body": body})

    async def answer_truncated(self, body: bytes, attempt_id: str) -> None:
        """Announces a complete body and closes after half of it."""
        await self.send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"application/json"),
                    (b"content-length", str(len(body)).encode()),
                    (extension.ATTEMPT_ID_HEADER, attempt_id.encode()),
                ],
            }
        )
        await self.send_part(body[: len(body) // 2])
        self.scope["extensions"][protocol.SCOPE_KEY].transport.close()
        await self.wait_for_disconnect()

    async def begin_stream(self, attempt_id: str) -> None:
        """Sends the head of an event stream."""
        await self.send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream"),
                    (extension.ATTEMPT_ID_HEADER, attempt_id.encode()),
                ],
            }
        )

    async def send_part(self, data: bytes) -> None:
        """Sends a part of a stream."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end_stream(self) -> None:
        """Ends a stream normally."""
        await self.send({"type": "http.response.body", "body": b""})

    async def abort(self) -> None:
        """Aborts the connection."""
        self.scope["extensions"][protocol.SCOPE_KEY].transport.abort()
        await self.wait_for_disconnect()

    async def wait_for_disconnect(self) -> None:
        """Waits without sending until the client disconnects."""
        await protocol.wait_for_disconnect(self.receive)
