"""How instances reach each other, as the peering service uses it."""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import result

    from cardamomfork._internal.contracts import gossip
    from cardamomfork._internal.models import instances

ENVELOPE_OVERHEAD_BYTES = 256
SECTION_OVERHEAD_BYTES = 32


@attrs.frozen
class Section:
    """One participant's payload."""

    topic: gossip.Topic
    payload: bytes


@attrs.frozen
class Envelope:
    """All that one instance tells another at a time.

    Attributes:
        sender: Who tells it, with its boot id and address.
        sections: Payloads by topic.
    """

    sender: instances.Instance
    sections: tuple[Section, ...] = ()

    @property
    def size_bytes(self) -> int:
        """Most bytes that it takes on the wire, TCP's own left out."""
        payloads = sum(len(section.payload) for section in self.sections)
        section_overhead = SECTION_OVERHEAD_BYTES * len(self.sections)
        return ENVELOPE_OVERHEAD_BYTES + section_overhead + payloads


class PeerRequest(enum.IntEnum):
    """What one instance asks another; the numbers are on the wire."""

    COMMIT_CLAIM = 0
    """Commits an operation on a record of claims that the callee owns."""
    FIND_UNUSED_RESERVATIONS = 1
    """Which of the named reservations are not in use by the callee."""


class PeerFaultKind(enum.StrEnum):
    """How an exchange with a peer went wrong."""

    UNREACHABLE = "unreachable"
    """No connection came about."""
    SILENT = "silent"
    """Nothing came in time, or the connection broke."""
    GARBLED = "garbled"
    """The answer could not be read."""


@attrs.frozen
class PeerFault:
    """A failed exchange."""

    kind: PeerFaultKind
    detail: str = ""


class PeerHandler(Protocol):
    """What a link serves incoming calls with."""

    def handle(self, envelope: Envelope) -> Envelope:
        """Takes a peer's envelope and returns the answer."""
        ...

    async def probe_for(self, subject: instances.Instance) -> bool:
        """Probes an instance on behalf of a peer."""
        ...

    def answer_page(self, request: bytes) -> bytes:
        """Returns a part of the configuration's snapshot."""
        ...

    async def answer(self, question: int, payload: bytes) -> bytes:
        """Returns the answer to a question; b"" if it can't be given."""
        ...


class PeerLink(Protocol):
    """Calls to other instances; each ends within its own time limit."""

    async def exchange(
        self, peer: instances.Instance, envelope: Envelope, *, fresh: bool
    ) -> result.Result[Envelope, PeerFault]:
        """Sends an envelope and returns the answer.

        Args:
            peer: Whom to call.
            envelope: What to tell.
            fresh: Whether to drop the open connection and use a new one.
        """
        ...

    async def probe_via(
        self, helper: instances.Instance, subject: instances.Instance
    ) -> result.Result[bool, PeerFault]:
        """Asks a helper whether it reaches an instance."""
        ...

    async def fetch_page(
        self, peer: instances.Instance, request: bytes
    ) -> result.Result[bytes, PeerFault]:
        """Asks a peer for a part of its configuration's snapshot."""
        ...

    async def ask(
        self,
        peer: instances.Instance,
        question: PeerRequest,
        payload: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, PeerFault]:
        """Asks a peer a question; b"" if it has no answer."""
        ...

    def forget(self, peer: instances.Instance) -> None:
        """Closes the connection to an instance that is gone."""
        ...
