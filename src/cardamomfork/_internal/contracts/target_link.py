"""Interface of the links to targets."""

from __future__ import annotations

import http
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import result

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets

EVENT_STREAM = "text/event-stream"


@attrs.frozen
class TargetCall:
    """One attempt's call to a target.

    Attributes:
        attempt_id: Id of the attempt, echoed by the target in its answer.
        path: HTTP path, such as `/v1/completions`.
        body: JSON body.
        urgency: RFC 9218 urgency, passed on to the engine.
        timeout_s: Time left for the whole answer, in seconds.
        resume_offset: Number of answer bytes already received, at which an
            engine resumes the answer.
        reservation: Name of the engine memory reservation to use.
        cache_salt: Salt that separates the cache entries of accounts, or
            empty.
        part_tokens: If not 0, the engine computes only this many tokens from
            the start of the prompt, holds them under the reservation and
            answers with a `HeldPart` in JSON.
    """

    attempt_id: identifiers.AttemptId
    path: str
    body: bytes = attrs.field(repr=False)
    urgency: int
    timeout_s: float
    resume_offset: int = 0
    reservation: str = ""
    cache_salt: str = ""
    part_tokens: int = 0


@attrs.frozen
class HeldPart:
    """Answer to a call for a part of a prompt.

    Attributes:
        prefix_hash: Hash by which the part's KV cache is exported.
        tokens: Number of prompt tokens up to the end of the part.
    """

    prefix_hash: int
    tokens: int


@attrs.frozen
class AnswerHead:
    """Head of a target's answer.

    Attributes:
        attempt_id: Id of the attempt, as echoed by the target.
        status: HTTP status.
        content_type: Media type.
        length: Length of the body in bytes, or None for a stream.
    """

    attempt_id: identifiers.AttemptId
    status: int
    content_type: str
    length: int | None = None

    @property
    def is_event_stream(self) -> bool:
        """Whether it is the head of a stream of server-sent events."""
        media_type = self.content_type.partition(";")[0].strip().lower()
        return self.status == http.HTTPStatus.OK and media_type == EVENT_STREAM


class ByteSink(Protocol):
    """Receives the bytes of an answer as they arrive."""

    def write(self, data: bytes) -> None:
        """Accepts bytes without blocking; pauses its source when it is full."""
        ...


class TargetStream(Protocol):
    """An answer being received: raw bytes from the requested offset."""

    @property
    def head(self) -> AnswerHead:
        """The head of the answer."""
        ...

    async def receive(self) -> result.Result[bytes, targets.TargetFault]:
        """Returns received bytes; `b""` at the confirmed end of the answer."""
        ...

    async def relay(
        self, sink: ByteSink
    ) -> result.Result[None, targets.TargetFault]:
        """Passes bytes to a sink as they arrive, until the confirmed end.

        An alternative to `receive` without a task switch for each chunk.
        """
        ...

    def pause(self) -> None:
        """Stops reading from the target and suspends the idle timeout."""
        ...

    def resume(self) -> None:
        """Resumes reading from the target."""
        ...

    async def close(self) -> None:
        """Releases the connection, or closes it if the answer has not ended."""
        ...


class TargetLink(Protocol):
    """A link to one target."""

    @property
    def target(self) -> targets.Target:
        """The target that the link is connected to."""
        ...

    async def call(
        self, call: TargetCall
    ) -> result.Result[TargetStream, targets.TargetFault]:
        """Sends a call and waits for the head of the answer.

        A fault of kind `UNREACHABLE` or `REFUSED` proves that the call did not
        run.
        """
        ...

    async def cancel(
        self, attempt_id: identifiers.AttemptId
    ) -> result.Result[bool, targets.TargetFault]:
        """Cancels an attempt.

        The call is idempotent and should be repeated until it returns True.

        Returns:
            True if the attempt's memory is free, False if that is not known.
        """
        ...

    async def reservations(
        self,
    ) -> result.Result[tuple[str, ...], targets.TargetFault]:
        """Lists the names of the reservations that the engine holds."""
        ...

    async def release(
        self, reservation: str
    ) -> result.Result[bool, targets.TargetFault]:
        """Frees a reservation and its memory; True if this is confirmed."""
        ...

    async def load(
        self,
    ) -> result.Result[targets.LoadReport, targets.TargetFault]:
        """Fetches a load report."""
        ...

    async def cache_events(
        self, after_sequence: int
    ) -> result.Result[tuple[targets.CacheEvent, ...], targets.TargetFault]:
        """Fetches the retained cache events after a sequence number.

        A negative number requests the whole cache as one event.
        """
        ...

    async def export_kv(
        self, reservation: str, prefix_hash: int
    ) -> result.Result[str, targets.TargetFault]:
        """Exports the KV cache of a prefix; returns the import handle."""
        ...

    async def import_kv(
        self, reservation: str, handle: str, source: targets.Target
    ) -> result.Result[int, targets.TargetFault]:
        """Imports KV cache from another engine; returns its token count."""
        ...

    async def order(
        self, action: str, arguments: dict[str, str], fencing: int
    ) -> result.Result[None, targets.TargetFault]:
        """Sends an order to the engine.

        An engine that checks fencing numbers refuses an outdated one.
        """
        ...
