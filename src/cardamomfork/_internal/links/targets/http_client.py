"""HTTP client for one target, which maps errors to target faults."""

from __future__ import annotations

import math
from typing import Any
from typing import TypeVar

import anyio
import httpcore
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.links.targets import connections
from cardamomfork._internal.links.targets import extension
from cardamomfork._internal.models import targets

CONNECT_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 5.0
KEEP_ALIVE_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 1024
MAX_IDLE_CONNECTIONS = 16
MAX_DRAINED_BYTES = 64 * 1024
MAX_CONTROL_ANSWER_BYTES = 4 * 1024 * 1024
MIN_ERROR_STATUS = 400
MAX_RETRY_AFTER_S = 86_400.0
MAX_LENGTH_DIGITS = 18

_T = TypeVar("_T")
_Headers = list[tuple[bytes, bytes]]


class TargetHttpClient:
    """Sends requests to one target over a connection pool."""

    def __init__(
        self, target: targets.Target, *, keeps_connections: bool = True
    ) -> None:
        """Initializes the client without a connection pool.

        The first request creates the pool, since an instance never calls most
        targets of a fleet.

        Args:
            target: The target.
            keeps_connections: Whether a connection carries several requests,
                one after the other.
        """
        self._target = target
        self._max_idle = MAX_IDLE_CONNECTIONS if keeps_connections else 0
        self._authority = f"{target.host}:{target.port}".encode()
        self._pool: httpcore.AsyncConnectionPool | None = None

    async def close(self) -> None:
        """Closes all connections."""
        if self._pool is not None:
            await self._pool.aclose()

    async def send(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: _Headers,
    ) -> result.Result[httpcore.Response, targets.TargetFault]:
        """Sends a request and waits for the head of the response.

        `UNREACHABLE` proves that no byte was written. After any other fault,
        the target may have received the request.
        """
        request = self._make_request(method, path, body, timeout_s, headers)
        try:
            pool = self._get_pool()
            return result.Ok(await pool.handle_async_request(request))
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            return self.make_fault(targets.FaultKind.UNREACHABLE, repr(error))
        except (httpcore.ReadTimeout, httpcore.WriteTimeout):
            return self.make_fault(
                targets.FaultKind.SILENT, "no answer in time"
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return self.make_fault(targets.FaultKind.LOST, repr(error))
        except ValueError as error:
            # The HTTP library does not list what it raises for an odd head.
            return self.make_fault(
                targets.FaultKind.GARBLED, decoding.describe(error)
            )

    def _get_pool(self) -> httpcore.AsyncConnectionPool:
        """Returns the connection pool; the first call creates it."""
        if self._pool is None:
            self._pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=self._max_idle,
                keepalive_expiry=KEEP_ALIVE_TIMEOUT_S,
                network_backend=connections.TargetNetworkBackend(),
            )
        return self._pool

    async def request_json(
        self,
        response_type: type[_T],
        method: str,
        path: str,
        message: Any = None,
    ) -> result.Result[_T, targets.TargetFault]:
        """Sends a JSON message and decodes the JSON response.

        Args:
            response_type: attrs class of the response.
            method: HTTP method.
            path: Path with the query string.
            message: attrs object to send; None for no body.
        """
        body = b"" if message is None else msgspec.json.encode(message)
        try:
            with anyio.fail_after(CONTROL_TIMEOUT_S):
                response_result = await self.send(
                    method, path, body, CONTROL_TIMEOUT_S, []
                )
                if isinstance(response_result, result.Err):
                    return response_result
                return await self._decode_response(
                    response_result.ok_value, response_type
                )
        except TimeoutError:
            return self.make_fault(
                targets.FaultKind.SILENT, "nothing came in time"
            )

    async def read_error(
        self, response: httpcore.Response
    ) -> targets.TargetFault:
        """Returns the fault for an error response.

        The target refused the call before running it if the response has the
        not-run header; otherwise the target may have run it.
        """
        headers = headers_by_lower_name(response)
        is_refused = extension.NOT_RUN_HEADER in headers
        kind = targets.FaultKind.REJECTED
        if is_refused:
            kind = targets.FaultKind.REFUSED
        await _drain_error_body(response)
        return targets.TargetFault(
            kind,
            self._target.target_id,
            f"the target answered with status {response.status}",
            response.status,
            parse_retry_after(headers.get(b"retry-after")),
        )

    def make_fault(
        self, kind: targets.FaultKind, detail: str, status: int = 0
    ) -> result.Err[targets.TargetFault]:
        """Returns a fault of this target."""
        return result.Err(
            targets.TargetFault(kind, self._target.target_id, detail, status)
        )

    async def _decode_response(
        self, response: httpcore.Response, response_type: type[_T]
    ) -> result.Result[_T, targets.TargetFault]:
        """Reads and decodes a JSON response."""
        if response.status >= MIN_ERROR_STATUS:
            return result.Err(await self.read_error(response))
        try:
            body = bytearray()
            async for part in response.aiter_stream():
                body += part
                if len(body) > MAX_CONTROL_ANSWER_BYTES:
                    return self.make_fault(
                        targets.FaultKind.GARBLED, "the answer is too long"
                    )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return self.make_fault(targets.FaultKind.LOST, repr(error))
        except httpcore.TimeoutException:
            return self.make_fault(
                targets.FaultKind.SILENT, "nothing came in time"
            )
        except ValueError as error:
            return self.make_fault(
                targets.FaultKind.GARBLED, decoding.describe(error)
            )
        else:
            decoded = decoding.decode_bounded_json(bytes(body), response_type)
            if isinstance(decoded, result.Err):
                return self.make_fault(
                    targets.FaultKind.GARBLED, decoded.err_value
                )
            return decoded
        finally:
            await response.aclose()

    def _make_request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: _Headers,
    ) -> httpcore.Request:
        """Returns a request with headers and timeouts."""
        url = httpcore.URL(
            scheme=b"http",
            host=self._target.host.encode(),
            port=self._target.port,
            target=path.encode(),
        )
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "pool": timeout_s,
            "read": timeout_s,
            "write": timeout_s,
        }
        return httpcore.Request(
            method,
            url,
            headers=[
                (b"host", self._authority),
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
                *headers,
            ],
            content=body,
            extensions={"timeout": timeouts},
        )


def headers_by_lower_name(response: httpcore.Response) -> dict[bytes, bytes]:
    """Returns the headers, keyed by lower-case name."""
    return {name.lower(): value for name, value in response.headers}


@decoding.register
def parse_retry_after(value: bytes | None) -> float | None:
    """Parses a Retry-After value in seconds; None for any other format."""
    try:
        seconds = float(value) if value else math.nan
    except ValueError:
        return None
    if math.isnan(seconds):
        return None
    return min(max(0.0, seconds), MAX_RETRY_AFTER_S)


@decoding.register
def parse_length(value: bytes | None) -> int | None:
    """Parses a content length; None for any other format."""
    if value is None or not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
        return None
    return int(value)


async def _drain_error_body(response: httpcore.Response) -> None:
    """Reads and discards an error body, so the connection can be reused.

    A body over `MAX_DRAINED_BYTES` or slower than `CONTROL_TIMEOUT_S` is not
    read to the end.
    """
    read = 0
    try:
        with anyio.move_on_after(CONTROL_TIMEOUT_S):
            async for chunk in response.aiter_stream():
                read += len(chunk)
                if read > MAX_DRAINED_BYTES:
                    break
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return
    finally:
        await response.aclose()
