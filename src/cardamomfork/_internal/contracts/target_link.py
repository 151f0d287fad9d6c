"""What a link to a target offers: every thing the engines can do."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import result

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets


@attrs.frozen
class TargetCall:
    """One attempt's call to a target.

    Attributes:
        attempt_id: Echoed by the target on its answer.
        path: HTTP path, such as `/v1/completions`.
        body: JSON body.
        urgency: RFC 9218 urgency handed to the engine.
        timeout_s: Time left for the whole answer, in seconds.
        resume_offset: Bytes of the answer's stream already held; an engine
            that resumes starts there.
        reservation: Name of the memory reservation that the stream is under.
        cache_salt: Keeps the cache entries of accounts apart; empty for none.
        part_tokens: Compute only the prompt's first so many tokens, hold them
            under the reservation and answer with a `HeldPart` in JSON; 0 for
            a whole answer.
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
        prefix_hash: What to export the part's KV cache by.
        tokens: Tokens of the prompt up to the end of the part.
    """

    prefix_hash: int
    tokens: int


@attrs.frozen
class AnswerHead:
    """Head of a target's answer.

    Attributes:
        attempt_id: The attempt that the target says it answers.
        status: HTTP status.
        content_type: Media type.
        length: Length of the body in bytes, or None for a stream.
    """

    attempt_id: identifiers.AttemptId
    status: int
    content_type: str
    length: int | None = None


class ByteSink(Protocol):
    """Where the bytes of an answer go as they come."""

    def write(self, data: bytes) -> None:
        """Takes bytes; never waits, and stops its source when it is full."""
        ...


class TargetStream(Protocol):
    """An answer on its way: raw bytes in order from the asked offset."""

    @property
    def head(self) -> AnswerHead:
        """The head of the answer."""
        ...

    async def receive(self) -> result.Result[bytes, targets.TargetFault]:
        """Returns the bytes that came; `b""` at the proved whole end."""
        ...

    async def relay(
        self, sink: ByteSink
    ) -> result.Result[None, targets.TargetFault]:
        """Passes the bytes to a sink as they come, until the proved end.

        Used in place of `receive`; costs no task switch for each chunk.
        """
        ...

    def pause(self) -> None:
        """Stops reading from the target; the idle bound stops too."""
        ...

    def resume(self) -> None:
        """Reads from the target again."""
        ...

    async def close(self) -> None:
        """Gives the connection back, or drops it before the end."""
        ...


class TargetLink(Protocol):
    """A link to one target."""

    @property
    def target(self) -> targets.Target:
        """The target at its far end."""
        ...

    async def call(
        self, call: TargetCall
    ) -> result.Result[TargetStream, targets.TargetFault]:
        """Sends a call and waits for the head of the answer.

        A fault of kind `UNREACHABLE` or `REFUSED` proves that it did not run.
        """
        ...

    async def cancel(
        self, attempt_id: identifiers.AttemptId
    ) -> result.Result[bool, targets.TargetFault]:
        """Cancels an attempt; True once its memory is free, False if unknown.

        Idempotent: repeat it until it gives True.
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
        """Frees a reservation and all under it; True once confirmed."""
        ...

    async def load(
        self,
    ) -> result.Result[targets.LoadReport, targets.TargetFault]:
        """Reads the load report."""
        ...

    async def cache_events(
        self, after_sequence: int
    ) -> result.Result[tuple[targets.CacheEvent, ...], targets.TargetFault]:
        """Reads the cache events after a sequence number, as far as kept.

        A negative number asks for the whole cache, as one event.
        """
        ...

    async def export_kv(
        self, reservation: str, prefix_hash: int
    ) -> result.Result[str, targets.TargetFault]:
        """Exports a prefix's KV cache; returns the handle to import it by."""
        ...

    async def import_kv(
        self, reservation: str, handle: str, source: targets.Target
    ) -> result.Result[int, targets.TargetFault]:
        """Imports KV cache from another engine; returns the tokens held."""
        ...

    async def order(
        self, action: str, arguments: dict[str, str], fencing: int
    ) -> result.Result[None, targets.TargetFault]:
        """Gives an order; an engine that checks refuses an old number."""
        ...
