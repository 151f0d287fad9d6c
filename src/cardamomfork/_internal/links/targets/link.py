"""HTTP link to one target, a model engine or a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

import anyio
import attrs
import result

from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.links.targets import extension
from cardamomfork._internal.links.targets import http_client
from cardamomfork._internal.links.targets import streams
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    import httpcore

    from cardamomfork._internal.links.targets import idle


@attrs.define
class LinkCounters:
    """Counters of all target links of a process.

    Attributes:
        calls: Attempts sent.
        crossed: Responses dropped because they belong to another attempt.
        faults: Failed calls by kind of fault.
    """

    calls: int = 0
    crossed: int = 0
    faults: dict[str, int] = attrs.field(factory=dict)


class HttpTargetLink:
    """Implements the `TargetLink` contract over HTTP/1.1."""

    def __init__(
        self,
        target: targets.Target,
        idle_monitor: idle.IdleMonitor,
        counters: LinkCounters,
    ) -> None:
        """Initializes the link without connections.

        Args:
            target: The target to connect to.
            idle_monitor: Idle timeouts of this process's streams.
            counters: Counters shared by all links of the process.
        """
        self._target = target
        self._idle_monitor = idle_monitor
        self._counters = counters
        self._call_client = http_client.TargetHttpClient(target)
        # A separate pool, so that cancels get through when all connections
        # for calls are busy or silent.
        self._control_client = http_client.TargetHttpClient(target)
        # Answers to control calls bear no id, so on a kept connection an
        # earlier answer that comes once more would confirm the wrong call.
        self._command_client = http_client.TargetHttpClient(
            target, keeps_connections=False
        )

    @property
    def target(self) -> targets.Target:
        """The target of this link."""
        return self._target

    async def close(self) -> None:
        """Closes all connections."""
        await self._call_client.close()
        await self._control_client.close()
        await self._command_client.close()

    async def call(
        self, call: target_link.TargetCall
    ) -> result.Result[target_link.TargetStream, targets.TargetFault]:
        """Sends a call and waits for the head of the response."""
        self._counters.calls += 1
        answer = await self._send_call(call)
        if isinstance(answer, result.Err):
            kind = answer.err_value.kind.value
            faults = self._counters.faults
            faults[kind] = faults.get(kind, 0) + 1
        return answer

    async def cancel(
        self, attempt_id: identifiers.AttemptId
    ) -> result.Result[bool, targets.TargetFault]:
        """Cancels an attempt; returns whether its memory is already free."""
        path = f"{extension.ATTEMPTS_PATH}/{_quote_path_segment(attempt_id)}"
        answer = await self._command_client.request_json(
            extension.FreedAnswer, "DELETE", path
        )
        return answer.map(lambda message: message.freed)

    async def reservations(
        self,
    ) -> result.Result[tuple[str, ...], targets.TargetFault]:
        """Returns the names of the engine's open reservations."""
        answer = await self._control_client.request_json(
            extension.ReservationsAnswer, "GET", extension.RESERVATIONS_PATH
        )
        return answer.map(lambda message: message.reservations)

    async def release(
        self, reservation: str
    ) -> result.Result[bool, targets.TargetFault]:
        """Frees a reservation and everything that runs under it.

        Returns:
            Whether the engine has confirmed that the memory is free.
        """
        path = (
            f"{extension.RESERVATIONS_PATH}/{_quote_path_segment(reservation)}"
        )
        answer = await self._command_client.request_json(
            extension.FreedAnswer, "DELETE", path
        )
        return answer.map(lambda message: message.freed)

    async def load(
        self,
    ) -> result.Result[targets.LoadReport, targets.TargetFault]:
        """Reads the load report; sets its time back by its age."""
        requested_at = anyio.current_time()
        answer = await self._control_client.request_json(
            extension.LoadAnswer, "GET", extension.LOAD_PATH
        )
        return answer.map(
            lambda message: targets.LoadReport(
                target_id=self._target.target_id,
                boot_id=identifiers.BootId(message.boot_id),
                measured_at=requested_at - message.age_s,
                queued_tokens=message.queued_tokens,
                running=message.running,
                free_tokens=message.free_tokens,
                models=message.models,
                leaving=message.leaving,
                versions=message.versions,
                role=message.role,
            )
        )

    async def cache_events(
        self, after_sequence: int
    ) -> result.Result[tuple[targets.CacheEvent, ...], targets.TargetFault]:
        """Reads the retained cache events after a sequence number."""
        path = f"{extension.CACHE_EVENTS_PATH}?after={after_sequence}"
        answer = await self._control_client.request_json(
            extension.CacheEventsAnswer, "GET", path
        )
        return answer.map(self._convert_events)

    async def export_kv(
        self, reservation: str, prefix_hash: int
    ) -> result.Result[str, targets.TargetFault]:
        """Exports the KV cache of a prefix; returns its import handle."""
        answer = await self._command_client.request_json(
            extension.ExportAnswer,
            "POST",
            extension.KV_EXPORT_PATH,
            extension.ExportRequest(reservation, prefix_hash),
        )
        return answer.map(lambda message: message.handle)

    async def import_kv(
        self, reservation: str, handle: str, source: targets.Target
    ) -> result.Result[int, targets.TargetFault]:
        """Imports KV cache from another engine; returns the tokens held."""
        answer = await self._command_client.request_json(
            extension.ImportAnswer,
            "POST",
            extension.KV_IMPORT_PATH,
            extension.ImportRequest(
                reservation, handle, source.host, source.port
            ),
        )
        return answer.map(lambda message: message.tokens)

    async def order(
        self, action: str, arguments: dict[str, str], fencing: int
    ) -> result.Result[None, targets.TargetFault]:
        """Sends an order; an engine that checks fencing refuses a stale one."""
        answer = await self._command_client.request_json(
            extension.OrderAnswer,
            "POST",
            extension.ORDERS_PATH,
            extension.Order(action, arguments, fencing),
        )
        return answer.map(lambda _: None)

    async def _send_call(
        self, call: target_link.TargetCall
    ) -> result.Result[target_link.TargetStream, targets.TargetFault]:
        """Sends a call; the response must echo the attempt id."""
        response_result = await self._call_client.send(
            "POST", call.path, call.body, call.timeout_s, _call_headers(call)
        )
        if isinstance(response_result, result.Err):
            return response_result
        response = response_result.ok_value
        headers = http_client.headers_by_lower_name(response)
        echoed_attempt_id = headers.get(
            extension.ATTEMPT_ID_HEADER, b""
        ).decode("latin-1")
        if echoed_attempt_id != call.attempt_id:
            await response.aclose()
            self._counters.crossed += 1
            return self._call_client.make_fault(
                targets.FaultKind.GARBLED,
                "the answer was to another attempt",
                response.status,
            )
        if response.status >= http_client.MIN_ERROR_STATUS:
            return result.Err(await self._call_client.read_error(response))
        return result.Ok(self._open_stream(call, response, headers))

    def _open_stream(
        self,
        call: target_link.TargetCall,
        response: httpcore.Response,
        headers: dict[bytes, bytes],
    ) -> target_link.TargetStream:
        """Returns the stream of a response whose head has arrived."""
        length = http_client.parse_length(headers.get(b"content-length"))
        head = target_link.AnswerHead(
            attempt_id=call.attempt_id,
            status=response.status,
            content_type=headers.get(b"content-type", b"").decode("latin-1"),
            length=length,
        )
        chunked = headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        if chunked and head.is_event_stream:
            return streams.EventStream(
                head,
                self._target.target_id,
                response,
                response.extensions["network_stream"],
                self._idle_monitor,
            )
        return streams.BodyStream(
            head,
            self._target.target_id,
            response,
            framed=chunked or length is not None,
        )

    def _convert_events(
        self, message: extension.CacheEventsAnswer
    ) -> tuple[targets.CacheEvent, ...]:
        """Converts cache events from the wire format."""
        return tuple(
            targets.CacheEvent(
                target_id=self._target.target_id,
                boot_id=identifiers.BootId(message.boot_id),
                sequence=entry.sequence,
                stored=entry.stored,
                evicted=entry.evicted,
                reset=entry.reset,
            )
            for entry in message.events
        )


def _call_headers(
    call: target_link.TargetCall,
) -> list[tuple[bytes, bytes]]:
    """Returns the request headers of a call."""
    headers = [
        (extension.ATTEMPT_ID_HEADER, call.attempt_id.encode()),
        (extension.RESUME_OFFSET_HEADER, str(call.resume_offset).encode()),
        (b"priority", f"u={call.urgency}".encode()),
        (b"request-timeout", f"{call.timeout_s:.3f}".encode()),
    ]
    if call.reservation:
        headers.append(
            (extension.RESERVATION_HEADER, call.reservation.encode())
        )
    if call.cache_salt:
        headers.append((extension.CACHE_SALT_HEADER, call.cache_salt.encode()))
    if call.part_tokens:
        part = str(call.part_tokens).encode()
        headers.append((extension.PART_TOKENS_HEADER, part))
    return headers


def _quote_path_segment(name: str) -> str:
    """Quotes a name for use as one path segment."""
    return urllib.parse.quote(name, safe="")
