"""The outcomes of an attempt at a target."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import forwarding


class Failure(enum.Enum):
    """Why an attempt did not deliver the whole answer."""

    UNREACHABLE = "unreachable"
    """No connection could be opened; nothing was sent."""
    NO_PATH = "no_path"
    """This instance is cut off from all targets, and no peer helps; nothing was
    sent."""
    PEER_REFUSED = "peer_refused"
    """A peer did not pass the request on; nothing was sent."""
    NO_MEMORY = "no_memory"
    """Memory could not be reserved; nothing was sent."""
    BLOCKED = "blocked"
    """The request has crashed several targets; nothing was sent."""
    UNWANTED = "unwanted"
    """Since the target was chosen, it has asked for a rest or said that it
    leaves, its data centre must get no new work any more, or this process has
    too little time left; nothing was sent."""
    RATE_LIMITED = "rate_limited"
    """No permit was available for the target; nothing was sent."""
    NOT_RUN = "not_run"
    """The target stated that it did not run the request."""
    BROKEN = "broken"
    """The answer broke off or was not valid."""
    UNATTRIBUTED = "unattributed"
    """The answer may be that of another request on the connection."""
    SILENT = "silent"
    """No data arrived within the timeout."""
    FAILED = "failed"
    """The target answered with an error status."""


@attrs.frozen
class Delivered:
    """The whole answer was passed on to the caller.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@attrs.frozen
class Failed:
    """The attempt failed.

    Attributes:
        failure: The kind of failure.
        detail: Details for the log and the final answer.
        answer: Head of the target's own answer, if it came whole.
        body: Body of that answer.
        refusing_target: Id or address of the target that a refusal blames.
        is_misdirected: Whether another target now has the address.
        is_refused: Whether the target's machine refused the connection. That
            shows that a path leads there, and that no process listens.
        peer_fault: Why the peer that the request was sent over has answered
            itself, or None.
    """

    failure: Failure
    detail: str = ""
    answer: forwarding.ResponseHead | None = None
    body: bytes = b""
    refusing_target: str = ""
    is_misdirected: bool = False
    is_refused: bool = False
    peer_fault: forwarding.PeerFault | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the target may have crashed while it ran the request."""
        return self.failure in (Failure.BROKEN, Failure.SILENT)

    @property
    def is_known_not_run(self) -> bool:
        """Whether the target has not run the request and never will."""
        return self.failure in (
            Failure.UNREACHABLE,
            Failure.NO_PATH,
            Failure.PEER_REFUSED,
            Failure.NO_MEMORY,
            Failure.BLOCKED,
            Failure.UNWANTED,
            Failure.RATE_LIMITED,
            Failure.NOT_RUN,
        )


AttemptOutcome = Delivered | Failed
