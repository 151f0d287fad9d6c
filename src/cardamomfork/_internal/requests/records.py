"""Records of open and recent requests, for status queries by callers."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests

MAX_ENDED_RECORDS = 20_000


class RequestState(enum.StrEnum):
    """Progress of a request."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define
class Record:
    """One request, as its caller may see it.

    Attributes:
        request_id: Id of the request.
        account: The account that sent it; other accounts may not see it.
        service: The requested service.
        state: Progress of the request.
        target_id: Target of its latest attempt, or empty.
        outcome: What is known about its run.
        reason: Why it ended without a result, or None.
        tokens: Number of streamed events, which approximates the number of
            tokens.
    """

    request_id: identifiers.RequestId
    account: identifiers.AccountName
    service: identifiers.ServiceName
    state: RequestState = RequestState.QUEUED
    target_id: str = ""
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN
    reason: outcomes.RefusalReason | None = None
    tokens: int = 0


class RecordTable:
    """Records of all open requests and of the most recently ended ones."""

    def __init__(self, max_ended: int = MAX_ENDED_RECORDS) -> None:
        """Initializes an empty table.

        Args:
            max_ended: Maximum number of ended requests to keep; the oldest is
                evicted first.
        """
        self._max_ended = max_ended
        self._open: dict[identifiers.RequestId, Record] = {}
        self._ended: collections.OrderedDict[identifiers.RequestId, Record] = (
            collections.OrderedDict()
        )

    @property
    def open_count(self) -> int:
        """The number of requests that have not ended."""
        return len(self._open)

    @property
    def sizes(self) -> dict[str, tuple[int, int]]:
        """Size and maximum size of each bounded table, by table name."""
        return {"ended_requests": (len(self._ended), self._max_ended)}

    @property
    def open_records(self) -> Iterable[Record]:
        """Records of requests that have not ended, oldest first."""
        return self._open.values()

    @property
    def ended_records(self) -> Iterable[Record]:
        """Records of ended requests, most recently ended first."""
        return reversed(self._ended.values())

    def begin(self, request: requests.Request) -> Record:
        """Adds the record of an admitted request."""
        record = Record(request.request_id, request.account, request.service)
        self._open[request.request_id] = record
        return record

    def end(
        self,
        record: Record,
        outcome: outcomes.Outcome,
        reason: outcomes.RefusalReason | None = None,
    ) -> None:
        """Records the end of a request; must be called once per request."""
        exceptions.check_invariant(
            self._open.pop(record.request_id, None) is record,
            "a request ends once",
            record.request_id,
        )
        record.state = RequestState.ENDED
        record.outcome = outcome
        record.reason = reason
        self._ended[record.request_id] = record
        if len(self._ended) > self._max_ended:
            self._ended.popitem(last=False)

    def find(
        self,
        request_id: identifiers.RequestId,
        account: identifiers.AccountName,
    ) -> Record | None:
        """Returns a request's record, or None if the account may not see it."""
        record = self._open.get(request_id) or self._ended.get(request_id)
        if record is None or record.account != account:
            return None
        return record
