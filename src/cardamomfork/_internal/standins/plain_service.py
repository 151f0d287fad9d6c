"""A simulated plain HTTP service that counts its executions."""

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
    """Fault injection switches.

    Attributes:
        refuse: Rejects every call with 503 without running it.
        lose_answers: Number of next calls that run and whose answers are
            lost.
        silent: Runs calls and never answers.
        fail: Runs every call and answers with status 500.
        delay_s: Duration of a call, in seconds.
        cut_answers: Number of next answers that are cut off after half of
            the body.
    """

    refuse: bool = False
    lose_answers: int = 0
    silent: bool = False
    fail: bool = False
    delay_s: float = 0.0
    cut_answers: int = 0


class StandinService:
    """ASGI application that answers each call with `{"run": n}`."""

    def __init__(
        self, on_run: Callable[[int, bytes], None] | None = None
    ) -> None:
        """Initializes the service.

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
        """Serves one call."""
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
        """Answers an executed call, subject to the fault switches."""
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
