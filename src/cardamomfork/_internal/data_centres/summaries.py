"""What each data centre is told of the others: its size and delegates.

A few instances of a data centre, its delegates, talk to delegates of others.
They publish a summary of their own data centre; within each the summaries of
all are passed on like other news, and the one with the later time wins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

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
REPUBLISH_S = 10.0
MAX_DATA_CENTRES = 64
MAX_CLOCK_SKEW_S = 60.0
"""Most seconds that a summary may be ahead of the local wall clock."""
UNREACHABLE_AFTER_S = 30.0
"""Seconds without a newer summary after which one is not reachable."""
_ARRAY_HEADER_BYTES = 5


class _PackedSummary(msgspec.Struct, array_like=True, frozen=True):
    """A summary on the wire."""

    data_centre: str
    published_at: float
    live: int
    delegates: list[records.PackedRecord]


@attrs.frozen
class Summary:
    """One data centre as the others see it.

    Attributes:
        data_centre: Which.
        published_at: Unix time at its delegate, in seconds.
        live: Instances that live there.
        delegates: Instances there to talk to.
        received_at: Monotonic time here at which it last changed.
    """

    data_centre: identifiers.DataCentreId
    published_at: float
    live: int
    delegates: tuple[instances.Instance, ...]
    received_at: float = 0.0


class DataCentreSummaries:
    """Summaries of all data centres, and the delegates of this one."""

    def __init__(
        self,
        members: membership.Membership,
        clock: clock_contract.Clock,
        rng: random.Random,
    ) -> None:
        """Takes this data centre's membership.

        Args:
            members: Table of instances; listed ones elsewhere are first
                contacts until a summary is heard.
            clock: Its wall time marks the summaries.
            rng: Chooses delegates to talk to.
        """
        self._members = members
        self._clock = clock
        self._rng = rng
        self._summaries: dict[identifiers.DataCentreId, Summary] = {}
        self._cursor = 0
        self.unreadable = 0

    @property
    def home(self) -> identifiers.DataCentreId:
        """This data centre."""
        return self._members.me.instance.data_centre

    @property
    def is_delegate(self) -> bool:
        """Whether this instance is a delegate of its data centre."""
        me = self._members.me.instance.instance_id
        return me in self._local_delegates()

    @property
    def known(self) -> Collection[Summary]:
        """The summaries held."""
        return self._summaries.values()

    def near_delegates(self) -> list[instances.Instance]:
        """Returns this data centre's delegates but for this instance."""
        me = self._members.me.instance.instance_id
        names = [name for name in self._local_delegates() if name != me]
        self._rng.shuffle(names)
        return self._known_instances(names)

    def get(self, data_centre: identifiers.DataCentreId) -> Summary | None:
        """Returns the summary of another data centre."""
        return self._summaries.get(data_centre)

    def reachable(self, now: float) -> list[identifiers.DataCentreId]:
        """Names the other data centres that were heard from lately."""
        return sorted(
            name
            for name, summary in self._summaries.items()
            if now - summary.received_at < UNREACHABLE_AFTER_S
        )

    def delegates(self, now: float) -> list[instances.Instance]:
        """Returns this data centre's delegates, then those of others heard.

        Instances that hear the same summaries return the same.
        """
        local_delegates = self._known_instances(self._local_delegates())
        names = [name for name in self.reachable(now) if name != self.home]
        remote_delegates = [self._summaries[name].delegates for name in names]
        return local_delegates + [
            instance for group in remote_delegates for instance in group
        ]

    def one_in_each(self, now: float) -> list[instances.Instance]:
        """Returns a delegate of each other data centre heard lately."""
        return [
            self._rng.choice(self._summaries[name].delegates)
            for name in self.reachable(now)
            if name != self.home and self._summaries[name].delegates
        ]

    def next_remote(self) -> instances.Instance | None:
        """Returns a delegate elsewhere to talk to; None unless a delegate.

        Goes round the other data centres; an instance that was only listed
        stands in where no summary has come yet or its delegates are gone.
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
        """Returns as many summaries as fit, a further part each time."""
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
        """Takes summaries; keeps the later one of each data centre."""
        try:
            received = msgspec.msgpack.decode(
                payload, type=list[_PackedSummary]
            )
            summaries = [_unpack(packed, now) for packed in received]
        except (msgspec.DecodeError, ValueError):
            self.unreadable += 1
            return
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
        """Names the delegates of this data centre."""
        return rendezvous.owners(
            f"delegate/{self.home}", self._members.staying(), DELEGATE_COUNT
        )

    def _known_instances(self, names: list[str]) -> list[instances.Instance]:
        """Returns the named instances that the membership table holds."""
        known_records = [
            self._members.record(identifiers.InstanceId(name)) for name in names
        ]
        return [record.instance for record in known_records if record]

    def _publish(self, now: float) -> None:
        """Renews this data centre's own summary if it is a delegate's turn."""
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
        # A clock set back must not hide this data centre from the others.
        published_at = max(
            wall_now, current.published_at + 0.001 if current else wall_now
        )
        self._summaries[self.home] = Summary(
            self.home, published_at, live, delegates, now
        )

    def _remote_contacts(
        self,
    ) -> dict[identifiers.DataCentreId, list[instances.Instance]]:
        """Returns instances to talk to, by other data centre."""
        contacts: dict[identifiers.DataCentreId, list[instances.Instance]] = {}
        for record in self._members.known():
            if record.instance.data_centre != self.home:
                contacts.setdefault(record.instance.data_centre, []).append(
                    record.instance
                )
        for name, summary in self._summaries.items():
            listed_instances = contacts.get(name, [])
            if name != self.home and summary.delegates:
                # Now and then a listed one: the delegates may all be gone.
                fallback = (
                    [self._rng.choice(listed_instances)]
                    if listed_instances
                    else []
                )
                contacts[name] = [*summary.delegates * 2, *fallback]
        return contacts


def _pack(summary: Summary) -> _PackedSummary:
    """Returns a summary's form on the wire."""
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
    """Reads a summary."""
    return Summary(
        identifiers.DataCentreId(packed.data_centre),
        packed.published_at,
        packed.live,
        tuple(records.unpack(record).instance for record in packed.delegates),
        now,
    )
