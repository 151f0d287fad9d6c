"""Summaries of data centres: instance count and delegates of each.

A few instances of each data centre are its delegates. They exchange envelopes
with delegates of other data centres and publish a summary of their own. Within
a data centre all summaries spread by gossip; of two summaries of the same data
centre the one that was published later wins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.instances import records
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Collection
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.models import instances

DELEGATE_COUNT = 2
"""Delegates per data centre."""
REPUBLISH_S = 10.0
"""Interval after which an unchanged summary is published again."""
MAX_DATA_CENTRES = 64
MAX_CLOCK_SKEW_S = 60.0
"""Maximum time that a summary may be ahead of the local wall clock."""
UNREACHABLE_AFTER_S = 30.0
"""Time without a newer summary after which a data centre is unreachable."""
_ARRAY_HEADER_BYTES = 5


class _PackedSummary(msgspec.Struct, array_like=True, frozen=True):
    """Wire format of a summary."""

    data_centre: str
    published_at: float
    live: int
    delegates: list[records.PackedRecord]


_decode_summaries = decoding.msgpack_rows_decoder(
    "summaries of data centres", _PackedSummary
)


@attrs.frozen
class Summary:
    """Summary of one data centre.

    Attributes:
        data_centre: Identifier of the data centre.
        published_at: Unix time at the publishing delegate, in seconds.
        live: Number of live instances.
        delegates: Instances that accept exchanges with other data centres.
        received_at: Monotonic local time at which this summary was received,
            in seconds.
    """

    data_centre: identifiers.DataCentreId
    published_at: float
    live: int
    delegates: tuple[instances.Instance, ...]
    received_at: float = 0.0


class DataCentreSummaries:
    """Holds the summaries of all data centres and selects delegates."""

    def __init__(
        self,
        members: membership.Membership,
        clock: clock_contract.Clock,
        rng: random.Random,
    ) -> None:
        """Initializes an empty set of summaries.

        Args:
            members: Membership table. Its instances of other data centres
                are the contacts until a summary is received.
            clock: Source of the summaries' wall-clock timestamps.
            rng: Random generator for the choice of delegates.
        """
        self._members = members
        self._clock = clock
        self._rng = rng
        self._summaries: dict[identifiers.DataCentreId, Summary] = {}
        self._cursor = 0
        self.unreadable = 0

    @property
    def home(self) -> identifiers.DataCentreId:
        """Identifier of the local data centre."""
        return self._members.me.instance.data_centre

    @property
    def is_delegate(self) -> bool:
        """Whether the local instance is a delegate of its data centre."""
        me = self._members.me.instance.instance_id
        return me in self._local_delegates()

    @property
    def known(self) -> Collection[Summary]:
        """All summaries, including the local one."""
        return self._summaries.values()

    def near_delegates(self) -> list[instances.Instance]:
        """Returns the local delegates, except this instance, shuffled."""
        me = self._members.me.instance.instance_id
        names = [name for name in self._local_delegates() if name != me]
        self._rng.shuffle(names)
        return self._known_instances(names)

    def get(self, data_centre: identifiers.DataCentreId) -> Summary | None:
        """Returns the summary of a data centre; None if there is none."""
        return self._summaries.get(data_centre)

    def reachable(self, now: float) -> list[identifiers.DataCentreId]:
        """Returns the data centres with a recent summary, sorted."""
        return sorted(
            name
            for name, summary in self._summaries.items()
            if now - summary.received_at < UNREACHABLE_AFTER_S
        )

    def delegates(self, now: float) -> list[instances.Instance]:
        """Returns the delegates of the local and all reachable data centres.

        Instances that hold the same summaries return the same delegates.
        """
        local_delegates = self._known_instances(self._local_delegates())
        names = [name for name in self.reachable(now) if name != self.home]
        remote_delegates = [self._summaries[name].delegates for name in names]
        return local_delegates + [
            instance for group in remote_delegates for instance in group
        ]

    def one_in_each(self, now: float) -> list[instances.Instance]:
        """Returns one random delegate of each reachable remote data centre."""
        return [
            self._rng.choice(self._summaries[name].delegates)
            for name in self.reachable(now)
            if name != self.home and self._summaries[name].delegates
        ]

    def next_remote(self) -> instances.Instance | None:
        """Returns a remote instance to exchange with, by round robin.

        Iterates over the remote data centres. Where there is no summary yet,
        or its delegates may be gone, an instance from the membership table is
        returned instead of a delegate.

        Returns:
            The instance; None if the local instance is no delegate or knows
            no remote instance.
        """
        if not self.is_delegate:
            return None
        contacts = self._remote_contacts()
        if not contacts:
            return None
        names = sorted(contacts)
        self._cursor = (self._cursor + 1) % len(names)
        return self._rng.choice(contacts[names[self._cursor]])

    def collect(self, budget_bytes: int, now: float) -> bytes:
        """Encodes as many summaries as fit, from a random start."""
        self._publish(now)
        names = sorted(self._summaries)
        encoded_summaries: list[msgspec.Raw] = []
        remaining_bytes = budget_bytes - _ARRAY_HEADER_BYTES
        start = self._rng.randrange(len(names)) if names else 0
        for offset in range(len(names)):
            name = names[(start + offset) % len(names)]
            data = msgspec.msgpack.encode(_pack(self._summaries[name]))
            if len(data) > remaining_bytes:
                break
            remaining_bytes -= len(data)
            encoded_summaries.append(msgspec.Raw(data))
        return (
            msgspec.msgpack.encode(encoded_summaries)
            if encoded_summaries
            else b""
        )

    def absorb(self, payload: bytes, now: float) -> None:
        """Merges received summaries; the later one of a data centre wins."""
        decoded = _decode_summaries(payload)
        if isinstance(decoded, result.Err):
            self.unreadable += 1
            return
        received, odd_count = decoded.ok_value
        self.unreadable += odd_count
        summaries = []
        for packed in received:
            try:
                summaries.append(_unpack(packed, now))
            except ValueError:
                self.unreadable += 1
        max_published_at = self._clock.wall() + MAX_CLOCK_SKEW_S
        for summary in summaries:
            current = self._summaries.get(summary.data_centre)
            is_newer = (
                current is None or current.published_at < summary.published_at
            )
            has_capacity = current or len(self._summaries) < MAX_DATA_CENTRES
            if (
                is_newer
                and has_capacity
                and summary.published_at <= max_published_at
            ):
                self._summaries[summary.data_centre] = summary

    def _local_delegates(self) -> list[str]:
        """Returns the identifiers of the local data centre's delegates."""
        return rendezvous.owners(
            f"delegate/{self.home}", self._members.staying(), DELEGATE_COUNT
        )

    def _known_instances(self, names: list[str]) -> list[instances.Instance]:
        """Returns those of the instances that the membership table holds."""
        known_records = [
            self._members.record(identifiers.InstanceId(name)) for name in names
        ]
        return [record.instance for record in known_records if record]

    def _publish(self, now: float) -> None:
        """Updates the local summary if it changed or is due; delegates only."""
        current = self._summaries.get(self.home)
        if not self.is_delegate:
            return
        delegates = tuple(self._known_instances(self._local_delegates()))
        live = len(self._members.live(self.home))
        wall_now = self._clock.wall()
        if (
            current
            and (current.live, current.delegates) == (live, delegates)
            and wall_now - current.published_at < REPUBLISH_S
        ):
            return
        # If the wall clock was set back, the new summary must still win over
        # the previous one.
        published_at = max(
            wall_now, current.published_at + 0.001 if current else wall_now
        )
        self._summaries[self.home] = Summary(
            self.home, published_at, live, delegates, now
        )

    def _remote_contacts(
        self,
    ) -> dict[identifiers.DataCentreId, list[instances.Instance]]:
        """Returns the candidates for an exchange by remote data centre."""
        contacts: dict[identifiers.DataCentreId, list[instances.Instance]] = {}
        for record in self._members.known():
            if record.instance.data_centre != self.home:
                contacts.setdefault(record.instance.data_centre, []).append(
                    record.instance
                )
        for name, summary in self._summaries.items():
            listed_instances = contacts.get(name, [])
            if name != self.home and summary.delegates:
                # A listed instance is a fallback: all delegates may be gone.
                fallback = (
                    [self._rng.choice(listed_instances)]
                    if listed_instances
                    else []
                )
                contacts[name] = [*summary.delegates * 2, *fallback]
        return contacts


def _pack(summary: Summary) -> _PackedSummary:
    """Converts a summary to its wire format."""
    return _PackedSummary(
        summary.data_centre,
        summary.published_at,
        summary.live,
        [
            records.pack(records.Record(instance))
            for instance in summary.delegates
        ],
    )


def _unpack(packed: _PackedSummary, now: float) -> Summary:
    """Converts a summary from its wire format.

    Raises:
        ValueError: A delegate's record is invalid.
    """
    return Summary(
        identifiers.DataCentreId(packed.data_centre),
        packed.published_at,
        packed.live,
        tuple(records.unpack(record).instance for record in packed.delegates),
        now,
    )
