"""Membership table: which instances are alive. Performs no I/O.

An instance that does not answer a probe is first suspected, and declared dead
`SUSPICION_TIMEOUT_S` later, so that it can refute the suspicion with a higher
incarnation. Of two records of an instance the one with the later boot id wins,
then the higher incarnation, then the worse health. A stale record therefore
never replaces a newer one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.instances import records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances

PROBE_PERIOD_S = 1.0
SUSPICION_TIMEOUT_S = 4.0
"""Time after which a suspected instance is declared dead."""
DEAD_RETENTION_S = 900.0
"""Time after which the record of a dead instance is removed."""
PAUSE_THRESHOLD_S = 3.0
"""Time between two ticks above which this process counts as paused."""
DEAD_PROBE_PERIODS = 5
"""Periods from one probe of a dead peer to the next."""
MAX_RECORDS = 2048


@attrs.define
class MembershipCounters:
    """Counters of membership changes.

    Attributes:
        suspected: Suspicions raised by the local instance.
        declared_dead: Instances declared dead by the local instance.
        refuted: Reports about the local instance that it refuted.
        stale_reports: Received records that were older than the held one.
    """

    suspected: int = 0
    declared_dead: int = 0
    refuted: int = 0
    stale_reports: int = 0


class Membership:
    """Table of the instances that the local instance knows."""

    def __init__(
        self,
        me: instances.Instance,
        rng: random.Random,
        max_records: int = MAX_RECORDS,
    ) -> None:
        """Initializes a table that holds only the local instance.

        Args:
            me: The local instance.
            rng: Random generator for the choice of peers to probe.
            max_records: Maximum number of instances; dead ones are evicted
                first.
        """
        self._me = records.Record(me)
        self._rng = rng
        self._max_records = max_records
        self._records: dict[identifiers.InstanceId, records.Record] = {
            me.instance_id: self._me
        }
        self._record_changed_at: dict[identifiers.InstanceId, float] = {}
        self._probe_order: list[identifiers.InstanceId] = []
        self._period_count = 0
        self._last_tick_at: float | None = None
        self._subscribers: list[Callable[[records.Record], None]] = []
        self._superseded_by: identifiers.BootId | None = None
        self.counters = MembershipCounters()

    @property
    def me(self) -> records.Record:
        """Record of the local instance."""
        return self._me

    @property
    def superseded_by(self) -> identifiers.BootId | None:
        """Later boot id that was reported for this instance, or None.

        Either this process's clock was behind when it started, or two
        processes have the same instance identifier.
        `superseded_boot.warn_superseded` logs it.
        """
        return self._superseded_by

    def subscribe(self, callback: Callable[[records.Record], None]) -> None:
        """Registers a callback for each record that changes or is removed."""
        self._subscribers.append(callback)

    def record(
        self, instance_id: identifiers.InstanceId
    ) -> records.Record | None:
        """Returns the record of an instance; None if it is unknown."""
        return self._records.get(instance_id)

    def age(
        self, instance_id: identifiers.InstanceId, now: float
    ) -> float | None:
        """Returns the seconds since a peer's record changed.

        Returns:
            The seconds; None for unknown instances and for the local
            instance, whose record is always current.
        """
        changed_at = self._record_changed_at.get(instance_id)
        if changed_at is None or instance_id == self._me.instance.instance_id:
            return None
        return now - changed_at

    def known(
        self, data_centre: identifiers.DataCentreId | None = None
    ) -> list[records.Record]:
        """Returns the records of one or all data centres, including dead."""
        return [
            record
            for record in self._records.values()
            if data_centre in (None, record.instance.data_centre)
        ]

    def live(
        self, data_centre: identifiers.DataCentreId | None = None
    ) -> list[instances.Instance]:
        """Returns the instances that are not dead, including this one."""
        return [
            record.instance
            for record in self.known(data_centre)
            if record.health is not records.Health.DEAD
        ]

    def staying(self) -> list[identifiers.InstanceId]:
        """Returns the local instances that are neither dead nor leaving."""
        local_data_centre = self._me.instance.data_centre
        return [
            record.instance.instance_id
            for record in self.known(local_data_centre)
            if record.health is not records.Health.DEAD and not record.leaving
        ]

    def next_probe(self) -> instances.Instance | None:
        """Returns the peer to probe in this period; None if there is none.

        Iterates over the live peers of the data centre, in a new random order
        each round. Every `DEAD_PROBE_PERIODS` periods a dead peer is probed,
        so that both sides of a healed partition find each other. Every second
        period a suspected peer is probed, so that it can refute the suspicion
        in time.
        """
        self._period_count += 1
        suspected = self._peers(records.Health.SUSPECT)
        if suspected and self._period_count % 2:
            return self._rng.choice(suspected).instance
        if self._period_count % DEAD_PROBE_PERIODS == 0:
            dead = self._peers(records.Health.DEAD)
            if dead:
                return self._rng.choice(dead).instance
        while True:
            if not self._probe_order:
                self._probe_order = [
                    record.instance.instance_id
                    for record in self._peers(
                        records.Health.ALIVE, records.Health.SUSPECT
                    )
                ]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            record = self._records.get(self._probe_order.pop())
            if record and record.health is not records.Health.DEAD:
                return record.instance

    def helpers(
        self, subject: identifiers.InstanceId, count: int
    ) -> list[instances.Instance]:
        """Returns random live peers for indirect probes of an instance.

        Args:
            subject: The instance to probe; not among the returned peers.
            count: Maximum number of peers.
        """
        candidates = [
            record.instance
            for record in self._peers(records.Health.ALIVE)
            if record.instance.instance_id != subject
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def probe_succeeded(self, subject: instances.Instance, now: float) -> None:
        """Restarts the suspicion timeout of an instance that answered.

        The suspicion itself remains until the instance refutes it with a
        higher incarnation, which also reaches the other instances.

        Args:
            subject: Instance that answered, directly or through a helper.
            now: Monotonic time, in seconds.
        """
        current = self._records.get(subject.instance_id)
        if current is None or current.health is not records.Health.SUSPECT:
            return
        if current.instance.boot_id == subject.boot_id:
            self._record_changed_at[subject.instance_id] = now

    def probe_failed(self, subject: instances.Instance, now: float) -> None:
        """Suspects an instance that no direct or indirect probe reached."""
        current = self._records.get(subject.instance_id)
        if current is None or current.health is not records.Health.ALIVE:
            return
        if current.instance.boot_id == subject.boot_id:
            self.counters.suspected += 1
            self._replace(
                attrs.evolve(current, health=records.Health.SUSPECT), now
            )

    def tick(self, now: float) -> None:
        """Expires suspicions and dead records; call once per period.

        Args:
            now: Monotonic time, in seconds.
        """
        last_tick_at, self._last_tick_at = self._last_tick_at, now
        elapsed_s = now - last_tick_at if last_tick_at is not None else 0.0
        if elapsed_s > PAUSE_THRESHOLD_S:
            # This process was paused and could not receive refutations, so
            # all suspicions start again.
            for record in self.known():
                if record.health is records.Health.SUSPECT:
                    self._record_changed_at[record.instance.instance_id] = now
        for record in self.known():
            age = now - self._record_changed_at.get(
                record.instance.instance_id, now
            )
            if (
                record.health is records.Health.SUSPECT
                and age >= SUSPICION_TIMEOUT_S
            ):
                self.counters.declared_dead += 1
                dead = attrs.evolve(record, health=records.Health.DEAD)
                self._replace(dead, now)
            if record.health is records.Health.DEAD and (
                age >= DEAD_RETENTION_S
            ):
                self._remove(record)

    def hear(self, heard: records.Record, now: float) -> bool:
        """Merges a received record; returns whether the table changed."""
        if heard.instance.instance_id == self._me.instance.instance_id:
            return self._handle_local_report(heard, now)
        current = self._records.get(heard.instance.instance_id)
        merged = records.merge(current, heard)
        if merged == current:
            self.counters.stale_reports += heard != current
            return False
        if current is None and not self._ensure_capacity(heard):
            return False
        self._replace(merged, now)
        return True

    def hear_list(
        self, listed: Iterable[instances.Instance], now: float
    ) -> None:
        """Merges the platform's instance list, which may be outdated.

        Adds instances that are unknown or have a later boot id. The list
        neither revives a dead instance nor declares one dead. Instances of
        other data centres are known from the list alone, so those that are
        not listed are removed.

        Args:
            listed: Instances of all data centres.
            now: Monotonic time, in seconds.
        """
        listed = tuple(listed)
        listed_ids = {instance.instance_id for instance in listed}
        local_data_centre = self._me.instance.data_centre
        for record in self.known():
            elsewhere = record.instance.data_centre != local_data_centre
            if elsewhere and record.instance.instance_id not in listed_ids:
                self._remove(record)
        for instance in listed:
            current = self._records.get(instance.instance_id)
            if current is None or instance.boot_id > current.instance.boot_id:
                self.hear(records.Record(instance), now)

    def listen_on(self, port: int) -> None:
        """Sets the local instance's port; call before the first exchange."""
        updated = attrs.evolve(self._me.instance, port=port)
        self._me = attrs.evolve(self._me, instance=updated)
        self._replace(self._me, 0.0)

    def leave(self, now: float) -> None:
        """Marks the local instance as leaving, for all peers to see."""
        self._raise_incarnation(self._me.incarnation + 1, now, leaving=True)

    def _handle_local_report(
        self, reported: records.Record, now: float
    ) -> bool:
        """Refutes a report that the local instance is not alive."""
        if reported.instance.boot_id > self._me.instance.boot_id:
            self._superseded_by = reported.instance.boot_id
            return False
        if reported.instance.boot_id < self._me.instance.boot_id:
            self.counters.stale_reports += 1
            return False
        is_unhealthy = reported.health is not records.Health.ALIVE
        if reported.incarnation < self._me.incarnation or (
            reported.incarnation == self._me.incarnation and not is_unhealthy
        ):
            return False
        self.counters.refuted += 1
        self._raise_incarnation(
            reported.incarnation + 1, now, leaving=self._me.leaving
        )
        return True

    def _raise_incarnation(
        self, incarnation: int, now: float, leaving: bool
    ) -> None:
        """Replaces the local record with one of a higher incarnation."""
        updated = attrs.evolve(
            self._me, incarnation=incarnation, leaving=leaving
        )
        self._me = updated
        self._replace(updated, now)

    def _peers(self, *health: records.Health) -> list[records.Record]:
        """Returns the local peers with a given health, sorted by identifier."""
        me = self._me.instance
        return sorted(
            (
                record
                for record in self.known(me.data_centre)
                if record.health in health
                and record.instance.instance_id != me.instance_id
            ),
            key=lambda record: record.instance.instance_id,
        )

    def _replace(self, record: records.Record, now: float) -> None:
        """Replaces a record with a newer one and notifies the subscribers."""
        name = record.instance.instance_id
        current = self._records.get(name)
        exceptions.check_invariant(
            current is None or record.order >= current.order,
            "a stale record never replaces a newer one",
            name,
        )
        self._records[name] = record
        self._record_changed_at[name] = now
        self._notify(record)

    def _notify(self, record: records.Record) -> None:
        """Notifies the subscribers of a changed or removed record."""
        for subscriber in tuple(self._subscribers):
            subscriber(record)

    def _remove(self, record: records.Record) -> None:
        """Removes the record of an instance and notifies the subscribers."""
        del self._records[record.instance.instance_id]
        self._record_changed_at.pop(record.instance.instance_id, None)
        self._notify(record)

    def _ensure_capacity(self, reported: records.Record) -> bool:
        """Evicts the instance dead for longest if the table is full.

        Returns:
            Whether there is capacity for the new record.
        """
        if len(self._records) < self._max_records:
            return True
        dead = [
            record
            for record in self.known()
            if record.health is records.Health.DEAD
        ]
        if not dead or reported.health is records.Health.DEAD:
            return False
        self._remove(
            min(
                dead,
                key=lambda record: self._record_changed_at.get(
                    record.instance.instance_id, 0.0
                ),
            )
        )
        return True
