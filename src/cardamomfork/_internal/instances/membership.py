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

PERIOD_S = 1.0
SUSPICION_S = 4.0
DEAD_RETENTION_S = 900.0
PAUSE_S = 3.0
RETRY_DEAD_PERIODS = 5
MAX_RECORDS = 2048


@attrs.define
class MembershipCounters:
    """What happened.

    Attributes:
        suspected: Suspicions raised here.
        declared_dead: Deaths declared here.
        refuted: Reports against this instance that it refuted.
        old_news: Reports that were older than what is held.
    """

    suspected: int = 0
    declared_dead: int = 0
    refuted: int = 0
    old_news: int = 0


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
        self._changed_at: dict[identifiers.InstanceId, float] = {}
        self._order: list[identifiers.InstanceId] = []
        self._periods = 0
        self._last_tick: float | None = None
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
        changed_at = self._changed_at.get(instance_id)
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
        mine = self._me.instance.data_centre
        return [
            record.instance.instance_id
            for record in self.known(mine)
            if record.health is not records.Health.DEAD and not record.leaving
        ]

    def next_probe(self) -> instances.Instance | None:
        """Returns whom to probe in this period.

        Goes round the live peers of the data centre in a random order, anew
        each round; every few periods one held for dead gets a try, so that
        two sides of a healed partition find each other. Every other period a
        suspected one is asked again, so that it can refute in time.
        """
        self._periods += 1
        suspected = self._peers(records.Health.SUSPECT)
        if suspected and self._periods % 2:
            return self._rng.choice(suspected).instance
        if self._periods % RETRY_DEAD_PERIODS == 0:
            dead = self._peers(records.Health.DEAD)
            if dead:
                return self._rng.choice(dead).instance
        while True:
            if not self._order:
                self._order = [
                    record.instance.instance_id
                    for record in self._peers(
                        records.Health.ALIVE, records.Health.SUSPECT
                    )
                ]
                self._rng.shuffle(self._order)
            if not self._order:
                return None
            record = self._records.get(self._order.pop())
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
        others = [
            record.instance
            for record in self._peers(records.Health.ALIVE)
            if record.instance.instance_id != subject
        ]
        return self._rng.sample(others, min(count, len(others)))

    def probe_succeeded(self, subject: instances.Instance, now: float) -> None:
        """Notes that an instance answered, directly or through another.

        Clears only a suspicion raised here; others learn it from the
        instance's own refutation.
        """
        held = self._records.get(subject.instance_id)
        if held is None or held.health is not records.Health.SUSPECT:
            return
        if held.instance.boot_id == subject.boot_id:
            self._changed_at[subject.instance_id] = now

    def probe_failed(self, subject: instances.Instance, now: float) -> None:
        """Suspects an instance that neither we nor others reached."""
        held = self._records.get(subject.instance_id)
        if held is None or held.health is not records.Health.ALIVE:
            return
        if held.instance.boot_id == subject.boot_id:
            self.counters.suspected += 1
            self._put(attrs.evolve(held, health=records.Health.SUSPECT), now)

    def tick(self, now: float) -> None:
        """Declares dead what stayed suspected; call once a period."""
        last, self._last_tick = self._last_tick, now
        paused = now - last if last is not None else 0.0
        if paused > PAUSE_S:
            # This process was paused, so it could have heard no refutation.
            for record in self.known():
                if record.health is records.Health.SUSPECT:
                    self._changed_at[record.instance.instance_id] = now
        for record in self.known():
            age = now - self._changed_at.get(record.instance.instance_id, now)
            if record.health is records.Health.SUSPECT and age >= SUSPICION_S:
                self.counters.declared_dead += 1
                dead = attrs.evolve(record, health=records.Health.DEAD)
                self._put(dead, now)
            if record.health is records.Health.DEAD and (
                age >= DEAD_RETENTION_S
            ):
                self._drop(record)

    def hear(self, heard: records.Record, now: float) -> bool:
        """Merges a report; returns whether it changed anything."""
        if heard.instance.instance_id == self._me.instance.instance_id:
            return self._hear_of_self(heard, now)
        held = self._records.get(heard.instance.instance_id)
        merged = records.merge(held, heard)
        if merged == held:
            self.counters.old_news += heard != held
            return False
        if held is None and not self._make_room(heard):
            return False
        self._put(merged, now)
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
        names = {instance.instance_id for instance in listed}
        home = self._me.instance.data_centre
        for record in self.known():
            elsewhere = record.instance.data_centre != home
            if elsewhere and record.instance.instance_id not in names:
                self._drop(record)
        for instance in listed:
            held = self._records.get(instance.instance_id)
            if held is None or instance.boot_id > held.instance.boot_id:
                self.hear(records.Record(instance), now)

    def listen_on(self, port: int) -> None:
        """Sets this instance's port, before anything is told of it."""
        moved = attrs.evolve(self._me.instance, port=port)
        self._me = attrs.evolve(self._me, instance=moved)
        self._put(self._me, 0.0)

    def leave(self, now: float) -> None:
        """Tells the others that this instance stops."""
        self._raise_incarnation(self._me.incarnation + 1, now, leaving=True)

    def _hear_of_self(self, heard: records.Record, now: float) -> bool:
        """Refutes a report that this life is not well."""
        if heard.instance.boot_id > self._me.instance.boot_id:
            self._superseded_by = heard.instance.boot_id
            return False
        if heard.instance.boot_id < self._me.instance.boot_id:
            self.counters.old_news += 1
            return False
        ill = heard.health is not records.Health.ALIVE
        if heard.incarnation < self._me.incarnation or (
            heard.incarnation == self._me.incarnation and not ill
        ):
            return False
        self.counters.refuted += 1
        self._raise_incarnation(
            heard.incarnation + 1, now, leaving=self._me.leaving
        )
        return True

    def _raise_incarnation(
        self, incarnation: int, now: float, leaving: bool
    ) -> None:
        """Replaces this instance's own record by a newer one."""
        newer = attrs.evolve(self._me, incarnation=incarnation, leaving=leaving)
        self._me = newer
        self._put(newer, now)

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

    def _put(self, record: records.Record, now: float) -> None:
        """Replaces a record by a newer one and tells the subscribers."""
        name = record.instance.instance_id
        held = self._records.get(name)
        exceptions.check_invariant(
            held is None or record.order >= held.order,
            "old news never wins",
            name,
        )
        self._records[name] = record
        self._changed_at[name] = now
        self._tell(record)

    def _tell(self, record: records.Record) -> None:
        """Tells the subscribers of a changed or forgotten record."""
        for subscriber in tuple(self._subscribers):
            subscriber(record)

    def _drop(self, record: records.Record) -> None:
        """Forgets an instance."""
        del self._records[record.instance.instance_id]
        self._changed_at.pop(record.instance.instance_id, None)
        self._tell(record)

    def _make_room(self, heard: records.Record) -> bool:
        """Forgets the longest dead if the table is full."""
        if len(self._records) < self._max_records:
            return True
        dead = [r for r in self.known() if r.health is records.Health.DEAD]
        if not dead or heard.health is records.Health.DEAD:
            return False
        self._drop(
            min(
                dead,
                key=lambda r: self._changed_at.get(r.instance.instance_id, 0.0),
            )
        )
        return True
