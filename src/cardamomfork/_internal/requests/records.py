"""What is known of recent requests, for callers who ask later."""

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
    """How far a request got."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define
class Record:
    """One request as its caller may see it.

    Attributes:
        request_id: Its name.
        account: The account that sent it; no other may see it.
        service: The service that it is for.
        state: How far it got.
        target_id: Where it runs or ran last; empty before it ran.
        outcome: What is known of its run.
        reason: Why it ended without a result; None else.
        tokens: Events of the stream given out; about as many tokens.
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
    """Records of all open requests and of the last ended ones."""

    def __init__(self, max_ended: int = MAX_ENDED_RECORDS) -> None:
        """Starts empty.

        Args:
            max_ended: Most ended requests kept; the oldest goes first.
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
        """Size and bound of each table, by name."""
        return {"ended_requests": (len(self._ended), self._max_ended)}

    @property
    def open_records(self) -> Iterable[Record]:
        """The requests that have not ended, the oldest first."""
        return self._open.values()

    @property
    def ended_records(self) -> Iterable[Record]:
        """The ended requests still kept, the last ended first."""
        return reversed(self._ended.values())

    def begin(self, request: requests.Request) -> Record:
        """Starts the record of an admitted request."""
        record = Record(request.request_id, request.account, request.service)
        self._open[request.request_id] = record
        return record

    def end(
        self,
        record: Record,
        outcome: outcomes.Outcome,
        reason: outcomes.RefusalReason | None = None,
    ) -> None:
        """Notes a request's one end."""
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
        """Returns a request's record if it is the account's own."""
        record = self._open.get(request_id) or self._ended.get(request_id)
        if record is None or record.account != account:
            return None
        return record
