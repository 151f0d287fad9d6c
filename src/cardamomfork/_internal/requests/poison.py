"""Requests that crash each target that runs them.

A request is known by its fingerprint. Those that ran on a target when it died
are suspects until they finish elsewhere. A suspect waits until the peers have
had time to object, never shares a target with another suspect, and is
quarantined once it was on two different targets that died.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import bounded_tables
from cardamomfork._internal import exceptions
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import running_fingerprints
from cardamomfork._internal.requests import suspicion

if TYPE_CHECKING:
    import random

MAX_SUSPECTS = 8192
MAX_LOST_ATTEMPTS = 8192
MIN_DEATHS_TO_QUARANTINE = 2
INITIAL_QUARANTINE_S = 3600.0
MAX_QUARANTINE_S = 86_400.0
GOSSIP_ROUND_TRIP_S = 4.0
"""Seconds in which gossip reaches the peers and an objection comes back."""
PUSH_ROUND_TRIP_S = 1.5
"""The same where fresh deaths are pushed to all peers at once."""
HOLD_JITTER_S = 0.5
LOST_ATTEMPT_HOLD_S = 1.0
"""Seconds for which a lost request waits for the verdict on its target."""
LOST_ATTEMPT_RETENTION_S = 15.0
"""Seconds after its loss in which a target's death still counts for one."""
BURST_WINDOW_S = 5.0
MIN_BURST_DEATHS = 5
"""Targets that die so close together did not die of one request."""


@attrs.define
class PoisonCounters:
    """What happened.

    Attributes:
        deaths: Targets that died with requests on them.
        bursts: Deaths that were taken for a common cause.
        suspected: Fingerprints that became suspects here.
        isolated: Suspects that were started.
        cleared: Suspects that finished.
        quarantined: Quarantines begun here.
    """

    deaths: int = 0
    bursts: int = 0
    suspected: int = 0
    isolated: int = 0
    cleared: int = 0
    quarantined: int = 0


class PoisonGuard:
    """Keeps one body from taking down target after target.

    The service calls `admit` before each attempt, `started` and `ended` around
    it, and `target_died` or `target_survived` once a lost target was checked
    on a new connection.
    """

    def __init__(
        self, rng: random.Random, peer_round_trip_s: float = GOSSIP_ROUND_TRIP_S
    ) -> None:
        """Starts without suspects.

        Args:
            rng: Source of jitter, so that two instances that hold the same
                body do not run it at the same moment.
            peer_round_trip_s: Seconds in which news reaches the peers and an
                objection comes back.
        """
        self._rng = rng
        self._peer_round_trip_s = peer_round_trip_s
        self._suspects: OrderedDict[bytes, suspicion.Suspect] = OrderedDict()
        self._running_attempts = running_fingerprints.RunningFingerprints()
        self._lost_attempts: OrderedDict[
            tuple[identifiers.TargetId, bytes], float
        ] = OrderedDict()
        self._targets: frozenset[identifiers.TargetId] = frozenset()
        self._isolation_targets: dict[bytes, identifiers.TargetId] = {}
        self._held_until: OrderedDict[bytes, float] = OrderedDict()
        self._recent_deaths: dict[identifiers.TargetId, float] = {}
        self._change_count = 0
        self.counters = PoisonCounters()

    @property
    def suspects(self) -> OrderedDict[bytes, suspicion.Suspect]:
        """What is known, by fingerprint; `change` marks what one changes."""
        return self._suspects

    @property
    def changes(self) -> int:
        """How many changes there were."""
        return self._change_count

    def admit(self, fingerprint: bytes, now: float) -> suspicion.Decision:
        """Says whether a request may run now."""
        key = fingerprint[: suspicion.KEY_BYTES]
        held_until = self._held_until.get(key, now)
        if now < held_until:
            return suspicion.Decision(suspicion.Verdict.WAIT, held_until)
        suspect = self._suspects.get(key)
        if suspect is None:
            return suspicion.UNRESTRICTED
        if now < suspect.quarantined_until:
            return suspicion.Decision(
                suspicion.Verdict.QUARANTINED, suspect.quarantined_until
            )
        if suspect.count_recent_deaths(now) == 0:
            return suspicion.UNRESTRICTED
        wait_until = max(suspect.held_until, suspect.peer_run_until)
        if now < wait_until:
            return suspicion.Decision(suspicion.Verdict.WAIT, wait_until)
        if self._running_attempts.is_running(key):
            return suspicion.Decision(
                suspicion.Verdict.WAIT, now + LOST_ATTEMPT_HOLD_S
            )
        return suspicion.ISOLATED

    def retry_at(self, fingerprint: bytes, now: float) -> float:
        """Returns when the caller of a lost request should send it again.

        By then the peers know of the death; one that comes earlier waits.
        """
        suspect = self._suspects.get(fingerprint[: suspicion.KEY_BYTES])
        return now if suspect is None else max(suspect.held_until, now)

    def isolation_target(
        self,
        fingerprint: bytes,
        targets: frozenset[identifiers.TargetId],
        now: float,
    ) -> identifiers.TargetId | None:
        """Returns the target on which a suspect may run now.

        Each suspect has one place by rendezvous hash, and the first in line
        there runs; so instances that know the same suspects never put two on
        one target. None while it is another's turn.

        Args:
            fingerprint: The suspect.
            targets: Targets that serve it and are up.
            now: Current time in seconds.
        """
        if not targets:
            return None
        if targets != self._targets:
            self._targets = targets
            self._isolation_targets.clear()
        key = fingerprint[: suspicion.KEY_BYTES]
        place = self._assigned_target(key)
        competing = [
            other
            for other, suspect in self._suspects.items()
            if other != key
            and now >= suspect.quarantined_until
            and suspect.count_recent_deaths(now) > 0
            and self._assigned_target(other) == place
        ]
        runs = self._running_attempts.on_target(place)
        first = all(key < other for other in competing)
        busy = any(other in runs for other in competing)
        return place if first and not busy else None

    def _assigned_target(self, key: bytes) -> identifiers.TargetId:
        """Returns the target on which a suspect is to run."""
        place = self._isolation_targets.get(key)
        if place is None:
            place = identifiers.TargetId(
                rendezvous.owner(key.hex(), self._targets) or ""
            )
            self._isolation_targets[key] = place
            while len(self._isolation_targets) > MAX_SUSPECTS:
                self._isolation_targets.pop(next(iter(self._isolation_targets)))
        return place

    def is_suspect(self, key: bytes, now: float) -> bool:
        """Whether a fingerprint (its first bytes) is under suspicion."""
        suspect = self._suspects.get(key)
        return suspect is not None and suspect.count_recent_deaths(now) > 0

    def is_running(self, key: bytes) -> bool:
        """Whether a fingerprint (its first bytes) runs on any target."""
        return self._running_attempts.is_running(key)

    def started(
        self, fingerprint: bytes, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Notes that an attempt is sent."""
        key = fingerprint[: suspicion.KEY_BYTES]
        self._running_attempts.add(key, target_id)
        if self.is_suspect(key, now):
            self.counters.isolated += 1
            self.mark_changed(key)

    def ended(
        self,
        fingerprint: bytes,
        target_id: identifiers.TargetId,
        now: float,
        finished: bool,
    ) -> None:
        """Notes that an attempt ended.

        Args:
            fingerprint: The request's fingerprint.
            target_id: Where it ran.
            now: Current time in seconds.
            finished: Whether the target outlived it: it gave an end, or
                confirmed the cancel.
        """
        key = fingerprint[: suspicion.KEY_BYTES]
        if not self._running_attempts.remove(key, target_id):
            return
        if finished:
            self._clear(key, now)
            return
        bounded_tables.put_newest(
            self._lost_attempts, (target_id, key), now, MAX_LOST_ATTEMPTS
        )
        self._held_until[key] = now + LOST_ATTEMPT_HOLD_S
        while len(self._held_until) > MAX_LOST_ATTEMPTS:
            self._held_until.popitem(last=False)

    def attempt_discarded(
        self, fingerprint: bytes, target_id: identifiers.TargetId
    ) -> None:
        """Notes that an attempt which was started never ran on its target."""
        key = fingerprint[: suspicion.KEY_BYTES]
        self._running_attempts.remove(key, target_id)

    def target_survived(self, target_id: identifiers.TargetId) -> None:
        """Notes that a target that lost requests is alive."""
        for place in [p for p in self._lost_attempts if p[0] == target_id]:
            del self._lost_attempts[place]
            self._held_until.pop(place[1], None)

    def target_died(self, target_id: identifiers.TargetId, now: float) -> None:
        """Notes that a target died; what ran there becomes suspect."""
        ran = {
            key
            for (place, key), at in self._lost_attempts.items()
            if place == target_id and now - at <= LOST_ATTEMPT_RETENTION_S
        }
        ran.update(self._running_attempts.remove_all(target_id))
        self.target_survived(target_id)
        if not ran:
            return
        self.counters.deaths += 1
        if self._is_burst(target_id, ran, now):
            self.counters.bursts += 1
            return
        for key in sorted(ran):
            self.record_death(key, target_id, now, 1.0 / len(ran), now)

    def record_death(
        self,
        key: bytes,
        target_id: identifiers.TargetId,
        at: float,
        weight: float,
        now: float,
    ) -> None:
        """Adds a death to a fingerprint's record."""
        suspect = self.get_or_create(key)
        if suspect.count_recent_deaths(now) == 0:
            self.counters.suspected += 1
        suspect.deaths[target_id] = at
        suspect.weight += weight
        hold_s = self._peer_round_trip_s + self._rng.random() * HOLD_JITTER_S
        suspect.held_until = max(suspect.held_until, now + hold_s)
        self._quarantine(suspect, now)
        self.mark_changed(key)

    def get_or_create(self, key: bytes) -> suspicion.Suspect:
        """Returns a fingerprint's record; drops the oldest past the bound."""
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = suspicion.Suspect()
            while len(self._suspects) >= MAX_SUSPECTS:
                self._suspects.popitem(last=False)
            self._suspects[key] = suspect
            self._suspects.move_to_end(key, last=False)
        return suspect

    def mark_changed(self, key: bytes) -> None:
        """Marks a record as news for the peers."""
        self._change_count += 1
        self._suspects[key].change_number = self._change_count
        self._suspects.move_to_end(key)

    def drop_expired(self, now: float) -> None:
        """Drops records that no longer matter; call it now and then."""
        for place, at in list(self._lost_attempts.items()):
            if now - at > LOST_ATTEMPT_RETENTION_S:
                del self._lost_attempts[place]
                self._held_until.pop(place[1], None)
        old = [
            key
            for key, suspect in self._suspects.items()
            if suspect.count_recent_deaths(now) == 0
            and suspect.quarantined_until + suspicion.SUSPICION_TTL_S < now
            and suspect.cleared_at + suspicion.SUSPICION_TTL_S < now
        ]
        for key in old:
            del self._suspects[key]

    def _quarantine(self, suspect: suspicion.Suspect, now: float) -> None:
        """Begins a quarantine if there is enough against a fingerprint."""
        if suspect.count_recent_deaths(now) < MIN_DEATHS_TO_QUARANTINE:
            return
        if now < suspect.quarantined_until:
            return
        length_s = INITIAL_QUARANTINE_S * 2.0**suspect.quarantines
        suspect.quarantined_until = now + min(length_s, MAX_QUARANTINE_S)
        suspect.quarantines += 1
        self.counters.quarantined += 1
        exceptions.check_invariant(
            len(suspect.deaths) >= MIN_DEATHS_TO_QUARANTINE,
            "only two different targets' deaths quarantine",
            sorted(suspect.deaths),
        )

    def _is_burst(
        self, target_id: identifiers.TargetId, ran: set[bytes], now: float
    ) -> bool:
        """Whether many targets died at once, and none of a known suspect."""
        self._recent_deaths = {
            target: at
            for target, at in self._recent_deaths.items()
            if now - at <= BURST_WINDOW_S
        }
        self._recent_deaths[target_id] = now
        if len(self._recent_deaths) < MIN_BURST_DEATHS:
            return False
        return not any(self.is_suspect(key, now) for key in ran)

    def _clear(self, key: bytes, now: float) -> None:
        """Clears a suspect whose target outlived it."""
        suspect = self._suspects.get(key)
        if suspect is None or suspect.count_recent_deaths(now) == 0:
            return
        if now < suspect.quarantined_until:
            return
        suspect.cleared_at = now
        suspect.weight = 0.0
        self.counters.cleared += 1
        self.mark_changed(key)
