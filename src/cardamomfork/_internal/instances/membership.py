"""Which instances are alive: the table and its rules, without any I/O.

An instance that does not answer is suspected first and declared dead only
after a while, so that it can refute the suspicion by a higher incarnation.
Of two reports the one with the later boot id wins, then the higher
incarnation, then the worse health; so a stale report never wins.
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
DEAD_RETENTION_S = 900.0
PAUSE_THRESHOLD_S = 3.0
DEAD_PROBE_PERIODS = 5
MAX_RECORDS = 2048


@attrs.define
class MembershipCounters:
    """What happened.

    Attributes:
        suspected: Suspicions raised here.
        declared_dead: Deaths declared here.
        refuted: Reports against this instance that it refuted.
        stale_reports: Reports that were older than what is held.
    """

    suspected: int = 0
    declared_dead: int = 0
    refuted: int = 0
    stale_reports: int = 0


class Membership:
    """The instances that this one knows by name."""

    def __init__(
        self,
        me: instances.Instance,
        rng: random.Random,
        max_records: int = MAX_RECORDS,
    ) -> None:
        """Starts with this instance alone.

        Args:
            me: This instance.
            rng: Chooses whom to probe.
            max_records: Most instances held; dead ones go first.
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
        """This instance's own record."""
        return self._me

    @property
    def superseded_by(self) -> identifiers.BootId | None:
        """A later boot id heard for this instance's name, or None.

        Either this process' clock was behind at its start or two processes
        run under one name; `identity.warn_superseded` logs it.
        """
        return self._superseded_by

    def subscribe(self, callback: Callable[[records.Record], None]) -> None:
        """Calls back with each record that changes or was forgotten."""
        self._subscribers.append(callback)

    def record(
        self, instance_id: identifiers.InstanceId
    ) -> records.Record | None:
        """Returns the record of an instance."""
        return self._records.get(instance_id)

    def age(
        self, instance_id: identifiers.InstanceId, now: float
    ) -> float | None:
        """Returns the seconds since a peer's record changed; None for others.

        This instance's own record is always current.
        """
        changed_at = self._record_changed_at.get(instance_id)
        if changed_at is None or instance_id == self._me.instance.instance_id:
            return None
        return now - changed_at

    def known(
        self, data_centre: identifiers.DataCentreId | None = None
    ) -> list[records.Record]:
        """Returns the records of one data centre or all, dead ones too."""
        return [
            record
            for record in self._records.values()
            if data_centre in (None, record.instance.data_centre)
        ]

    def live(
        self, data_centre: identifiers.DataCentreId | None = None
    ) -> list[instances.Instance]:
        """Returns the instances not held for dead, this one among them."""
        return [
            record.instance
            for record in self.known(data_centre)
            if record.health is not records.Health.DEAD
        ]

    def staying(self) -> list[identifiers.InstanceId]:
        """Names the instances of this data centre that can take roles."""
        local_data_centre = self._me.instance.data_centre
        return [
            record.instance.instance_id
            for record in self.known(local_data_centre)
            if record.health is not records.Health.DEAD and not record.leaving
        ]

    def next_probe(self) -> instances.Instance | None:
        """Returns whom to probe in this period.

        Goes round the live peers of the data centre in a random order, anew
        each round; every few periods one held for dead gets a try, so that
        two sides of a healed partition find each other. Every other period a
        suspected one is asked again, so that it can refute in time.
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
            subject: Whom they are to probe; not among them.
            count: Most peers.
        """
        candidates = [
            record.instance
            for record in self._peers(records.Health.ALIVE)
            if record.instance.instance_id != subject
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def probe_succeeded(self, subject: instances.Instance, now: float) -> None:
        """Notes that an instance answered, directly or through another.

        Clears only a suspicion raised here; others learn it from the
        instance's own refutation.
        """
        current = self._records.get(subject.instance_id)
        if current is None or current.health is not records.Health.SUSPECT:
            return
        if current.instance.boot_id == subject.boot_id:
            self._record_changed_at[subject.instance_id] = now

    def probe_failed(self, subject: instances.Instance, now: float) -> None:
        """Suspects an instance that neither we nor others reached."""
        current = self._records.get(subject.instance_id)
        if current is None or current.health is not records.Health.ALIVE:
            return
        if current.instance.boot_id == subject.boot_id:
            self.counters.suspected += 1
            self._replace(
                attrs.evolve(current, health=records.Health.SUSPECT), now
            )

    def tick(self, now: float) -> None:
        """Declares dead what stayed suspected; call once a period."""
        last_tick_at, self._last_tick_at = self._last_tick_at, now
        elapsed_s = now - last_tick_at if last_tick_at is not None else 0.0
        if elapsed_s > PAUSE_THRESHOLD_S:
            # This process was paused, so it could have heard no refutation.
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
        """Merges a report; returns whether it changed anything."""
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
        """Takes the platform's list, which may be old.

        It seeds instances not known yet and brings later lives; it neither
        revives what is held for dead nor declares anything dead. Instances
        elsewhere are known by it alone, so those that it lacks are dropped.
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
        """Sets this instance's port, before anything is told of it."""
        updated = attrs.evolve(self._me.instance, port=port)
        self._me = attrs.evolve(self._me, instance=updated)
        self._replace(self._me, 0.0)

    def leave(self, now: float) -> None:
        """Tells the others that this instance stops."""
        self._raise_incarnation(self._me.incarnation + 1, now, leaving=True)

    def _handle_local_report(
        self, reported: records.Record, now: float
    ) -> bool:
        """Refutes a report that this life is not well."""
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
        """Replaces this instance's own record by a newer one."""
        updated = attrs.evolve(
            self._me, incarnation=incarnation, leaving=leaving
        )
        self._me = updated
        self._replace(updated, now)

    def _peers(self, *health: records.Health) -> list[records.Record]:
        """Returns the peers of this data centre in a state, by name."""
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
        """Replaces a record by a newer one and tells the subscribers."""
        name = record.instance.instance_id
        current = self._records.get(name)
        exceptions.check_invariant(
            current is None or record.order >= current.order,
            "old news never wins",
            name,
        )
        self._records[name] = record
        self._record_changed_at[name] = now
        self._notify(record)

    def _notify(self, record: records.Record) -> None:
        """Tells the subscribers of a changed or forgotten record."""
        for subscriber in tuple(self._subscribers):
            subscriber(record)

    def _remove(self, record: records.Record) -> None:
        """Forgets an instance."""
        del self._records[record.instance.instance_id]
        self._record_changed_at.pop(record.instance.instance_id, None)
        self._notify(record)

    def _ensure_capacity(self, reported: records.Record) -> bool:
        """Forgets the longest dead if the table is full."""
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
