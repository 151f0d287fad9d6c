"""A small plain service over HTTP that counts its executions."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import msgspec

from cardamomfork._internal.links.targets import extension
from cardamomfork._internal.standins import http_exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


@attrs.define
class ServiceFaults:
    """Switches for faults.

    Attributes:
        refuse: Refuses every call without running it.
        lose_answers: Runs so many calls and loses their answers.
        silent: Runs calls and never answers.
        fail: Runs every call and answers with an error.
        delay_s: Time a call takes, in seconds.
        cut_answers: Sends half of so many answers.
    """

    refuse: bool = False
    lose_answers: int = 0
    silent: bool = False
    fail: bool = False
    delay_s: float = 0.0
    cut_answers: int = 0


class StandinService:
    """An ASGI application that answers `{"run": n}`."""

    def __init__(
        self, on_run: Callable[[int, bytes], None] | None = None
    ) -> None:
        """Starts with no execution.

        Args:
            on_run: Called with the number and body of each execution.
        """
        self._on_run = on_run
        self.runs = 0
        self.faults = ServiceFaults()

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Answers one call."""
        exchange = http_exchange.Exchange(scope, receive, send)
        request = await exchange.read()
        attempt_id = exchange.header(extension.ATTEMPT_ID_HEADER)
        if self.faults.refuse:
            refusal = [(extension.NOT_RUN_HEADER, b"1")]
            await exchange.answer(503, b"{}", attempt_id, refusal)
            return
        await anyio.sleep(self.faults.delay_s)
        self.runs += 1
        if self._on_run is not None:
            self._on_run(self.runs, request)
        body = msgspec.json.encode({"run": self.runs})
        await self._answer(exchange, attempt_id, body)

    async def _answer(
        self, exchange: http_exchange.Exchange, attempt_id: str, body: bytes
    ) -> None:
        """Answers, or fails to, after the execution."""
        if self.faults.silent:
            await exchange.wait_for_disconnect()
        elif self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await exchange.abort()
        elif self.faults.cut_answers > 0:
            self.faults.cut_answers -= 1
            await exchange.answer_truncated(body, attempt_id)
        elif self.faults.fail:
            await exchange.answer(500, b"{}", attempt_id)
        else:
            await exchange.answer(200, body, attempt_id)
