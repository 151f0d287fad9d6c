"""Interface between the peering service and the links to other instances."""

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
    """One gossip message between two instances.

    Attributes:
        sender: The sending instance, with its boot id and address.
        sections: Payloads by topic.
    """

    sender: instances.Instance
    sections: tuple[Section, ...] = ()

    @property
    def size_bytes(self) -> int:
        """Upper bound of its encoded size, without TCP overhead."""
        payloads = sum(len(section.payload) for section in self.sections)
        section_overhead = SECTION_OVERHEAD_BYTES * len(self.sections)
        return ENVELOPE_OVERHEAD_BYTES + section_overhead + payloads


class PeerRequest(enum.IntEnum):
    """Kind of a request to a peer; the values are sent to peers."""

    COMMIT_CLAIM = 0
    """Commit an operation on a claim record that the callee owns."""
    FIND_UNUSED_RESERVATIONS = 1
    """Return which of the named reservations the callee does not use."""


class PeerFaultKind(enum.StrEnum):
    """Why an exchange with a peer failed."""

    UNREACHABLE = "unreachable"
    """No connection could be established."""
    SILENT = "silent"
    """No answer arrived in time, or the connection broke."""
    GARBLED = "garbled"
    """The answer could not be decoded."""


@attrs.frozen
class PeerFault:
    """A failed exchange."""

    kind: PeerFaultKind
    detail: str = ""


class PeerHandler(Protocol):
    """Handles incoming calls from peers."""

    def handle(self, envelope: Envelope) -> Envelope:
        """Processes a peer's envelope and returns the answer."""
        ...

    async def probe_for(self, subject: instances.Instance) -> bool:
        """Probes an instance on behalf of a peer; True if it answers."""
        ...

    def answer_page(self, request: bytes) -> bytes:
        """Returns a page of the configuration snapshot."""
        ...

    async def answer(self, question: int, payload: bytes) -> bytes:
        """Returns the answer to a peer request; b"" if there is none."""
        ...


class PeerLink(Protocol):
    """Calls other instances; each call has its own time limit."""

    async def exchange(
        self, peer: instances.Instance, envelope: Envelope, *, fresh: bool
    ) -> result.Result[Envelope, PeerFault]:
        """Sends an envelope and returns the answer.

        Args:
            peer: The instance to call.
            envelope: The message.
            fresh: Whether to replace the open connection by a new one.
        """
        ...

    async def probe_via(
        self, helper: instances.Instance, subject: instances.Instance
    ) -> result.Result[bool, PeerFault]:
        """Asks a helper instance whether it can reach another instance."""
        ...

    async def fetch_page(
        self, peer: instances.Instance, request: bytes
    ) -> result.Result[bytes, PeerFault]:
        """Fetches a page of a peer's configuration snapshot."""
        ...

    async def ask(
        self,
        peer: instances.Instance,
        question: PeerRequest,
        payload: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, PeerFault]:
        """Sends a request to a peer; the answer is b"" if it has none."""
        ...

    def forget(self, peer: instances.Instance) -> None:
        """Closes the connection to an instance that has left."""
        ...
