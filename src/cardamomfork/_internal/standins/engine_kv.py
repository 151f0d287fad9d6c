"""KV export and import between stand-in engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore
import msgspec

from cardamomfork._internal.links.targets import extension

if TYPE_CHECKING:
    from cardamomfork._internal.standins import engine_memory
    from cardamomfork._internal.standins import http_exchange

_NOT_FOUND = 404
_GONE = 410


class KvTransfer:
    """KV export and import of one engine.

    A handle contains the boot id of the exporting engine, so it becomes invalid
    when that engine restarts.
    """

    def __init__(
        self, boot_id: str, memory: engine_memory.EngineMemory
    ) -> None:
        """Initializes the transfer with the engine's boot id and memory."""
        self._boot_id = boot_id
        self._memory = memory

    async def export(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Exports the KV tokens held under a reservation."""
        message = msgspec.json.decode(body, type=extension.ExportRequest)
        if message.reservation not in self._memory.reservations:
            await exchange.answer(_NOT_FOUND, b"{}")
            return
        users = self._memory.users_under(message.reservation)
        tokens = self._memory.imported_tokens(message.reservation)
        tokens += sum(self._memory.tokens_of(user) for user in users)
        handle = f"{self._boot_id}.{message.prefix_hash}.{tokens}"
        await exchange.send_json(extension.ExportAnswer(handle))

    async def import_kv(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Imports exported KV; fails if the exporter has restarted."""
        message = msgspec.json.decode(body, type=extension.ImportRequest)
        boot_id, _, tokens = message.handle.split(".")
        url = f"http://{message.host}:{message.port}{extension.LOAD_PATH}"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", url)
        report = msgspec.json.decode(
            response.content, type=extension.LoadAnswer
        )
        if report.boot_id != boot_id:
            await exchange.answer(_GONE, b"{}")
            return
        self._memory.record_import(message.reservation, int(tokens))
        held = self._memory.imported_tokens(message.reservation)
        await exchange.send_json(extension.ImportAnswer(held))
