"""How an attempt at a target ended, and what may follow."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import forwarding


class Failure(enum.Enum):
    """Why an attempt gave the caller nothing, or not all."""

    UNREACHABLE = "unreachable"
    """No connection; nothing was sent."""
    NO_MEMORY = "no_memory"
    """Memory could not be reserved; nothing was sent."""
    NOT_RUN = "not_run"
    """The target said that it did not run the request."""
    BROKEN = "broken"
    """The answer broke off, or was none."""
    SILENT = "silent"
    """Nothing came in time."""
    FAILED = "failed"
    """The target answered with a failure."""


@attrs.frozen
class Delivered:
    """The caller has the whole answer.

    Attributes:
        status: Its HTTP status.
    """

    status: int


@attrs.frozen
class Failed:
    """The attempt failed.

    Attributes:
        failure: Why.
        detail: What was seen.
        answer: The target's own answer, if a whole one came.
        body: Body of that answer.
        blamed_target: Another target that a refusal blames.
        is_misdirected: Whether another target has the address by now.
    """

    failure: Failure
    detail: str = ""
    answer: forwarding.AnswerHead | None = None
    body: bytes = b""
    blamed_target: str = ""
    is_misdirected: bool = False

    @property
    def is_known_not_run(self) -> bool:
        """Whether the request has not run there and never will."""
        return self.failure in (
            Failure.UNREACHABLE,
            Failure.NO_MEMORY,
            Failure.NOT_RUN,
        )


AttemptOutcome = Delivered | Failed
