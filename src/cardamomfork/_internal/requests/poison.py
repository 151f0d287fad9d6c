"""Detects and quarantines requests that crash the targets that run them.

Requests are identified by fingerprint. A request that was running on a target
when the target died becomes a suspect. It stays one until it finishes or until
`suspicion.SUSPICION_TTL_S` has passed. A suspect is held back until the peers
have had time to report their own deaths and runs of it. Then it runs isolated:
no other suspect runs on the same target. A suspect that was running on two
different targets that died is quarantined, that is, refused for some time. So
is one under which targets died three times, even if they are one target that
restarts.
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
"""Number of different targets whose deaths quarantine a suspect."""
MIN_REPEATED_DEATHS_TO_QUARANTINE = 3
"""Number of deaths that quarantine a suspect if some are of the same target. It
is higher, since the target may be the cause of two."""
SAME_DEATH_TOLERANCE_S = 4.0
"""Times of one death, as observed by several instances, differ by less."""
INITIAL_QUARANTINE_S = 3600.0
MAX_QUARANTINE_S = 86_400.0
GOSSIP_ROUND_TRIP_S = 4.0
"""Time for gossip to reach the peers and for their reply to arrive."""
PUSH_ROUND_TRIP_S = 1.5
"""As `GOSSIP_ROUND_TRIP_S`, if new deaths are pushed to all peers at once."""
HOLD_JITTER_S = 0.5
LOST_ATTEMPT_HOLD_S = 1.0
"""Time a lost request is held while its target's liveness is checked."""
LOST_ATTEMPT_RETENTION_S = 15.0
"""Time after an attempt is lost in which its target's death counts for it."""
BURST_WINDOW_S = 5.0
MIN_BURST_DEATHS = 5
"""At least this many targets dying within `BURST_WINDOW_S` form a burst.

A burst is ascribed to a common cause instead of the requests that were running.
"""


@attrs.define
class PoisonCounters:
    """Counters of the poison guard of one instance.

    Attributes:
        deaths: Targets that died while they ran requests.
        bursts: Deaths that were ignored as part of a burst.
        suspected: Fingerprints that became suspects on this instance.
        isolated: Attempts of suspects that were started.
        cleared: Suspects that were cleared because they finished.
        quarantined: Quarantines that this instance started.
    """

    deaths: int = 0
    bursts: int = 0
    suspected: int = 0
    isolated: int = 0
    cleared: int = 0
    quarantined: int = 0


class PoisonGuard:
    """Limits how many targets a single request can crash.

    Call `admit` before each attempt, `started` when it is sent and `ended`
    when it ends. After a lost attempt, check its target on a new connection
    and call `target_died` or `target_survived`.
    """

    def __init__(
        self, rng: random.Random, peer_round_trip_s: float = GOSSIP_ROUND_TRIP_S
    ) -> None:
        """Initializes a guard without suspects.

        Args:
            rng: Random generator for jitter, which keeps two instances from
                running the same request at the same moment.
            peer_round_trip_s: Time for an update to reach the peers and for
                their reply to arrive, in seconds.
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
        """Suspects by key, least recently changed first.

        Call `mark_changed` after a change to a suspect.
        """
        return self._suspects

    @property
    def changes(self) -> int:
        """The number of changes to suspects so far."""
        return self._change_count

    def admit(self, fingerprint: bytes, now: float) -> suspicion.Decision:
        """Decides whether a request may run now."""
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
        """Returns when the caller of a lost request should resend it.

        By this time the peers have received the target's death. A request
        that is resent earlier is held until then.
        """
        suspect = self._suspects.get(fingerprint[: suspicion.KEY_BYTES])
        return now if suspect is None else max(suspect.held_until, now)

    def isolation_target(
        self,
        fingerprint: bytes,
        targets: frozenset[identifiers.TargetId],
        now: float,
    ) -> identifiers.TargetId | None:
        """Returns the target on which a suspect may run now, if any.

        Rendezvous hashing assigns each suspect to one target. Among the
        suspects of a target, the one with the lowest key runs. Instances that
        know the same suspects therefore never run two of them on one target.

        Args:
            fingerprint: Fingerprint of the suspect.
            targets: Available targets of the suspect's service.
            now: Current time in seconds.

        Returns:
            The target, or None if another suspect has to run there first.
        """
        if not targets:
            return None
        if targets != self._targets:
            self._targets = targets
            self._isolation_targets.clear()
        key = fingerprint[: suspicion.KEY_BYTES]
        target_id = self._assigned_target(key)
        competing = [
            other
            for other, suspect in self._suspects.items()
            if other != key
            and now >= suspect.quarantined_until
            and suspect.count_recent_deaths(now) > 0
            and self._assigned_target(other) == target_id
        ]
        running_keys = self._running_attempts.on_target(target_id)
        is_first = all(key < other for other in competing)
        is_busy = any(other in running_keys for other in competing)
        return target_id if is_first and not is_busy else None

    def _assigned_target(self, key: bytes) -> identifiers.TargetId:
        """Returns the target that a suspect is assigned to."""
        target_id = self._isolation_targets.get(key)
        if target_id is None:
            target_id = identifiers.TargetId(
                rendezvous.owner(key.hex(), self._targets) or ""
            )
            self._isolation_targets[key] = target_id
            while len(self._isolation_targets) > MAX_SUSPECTS:
                self._isolation_targets.pop(next(iter(self._isolation_targets)))
        return target_id

    def is_suspect(self, key: bytes, now: float) -> bool:
        """Returns whether a key belongs to a suspect."""
        suspect = self._suspects.get(key)
        return suspect is not None and suspect.count_recent_deaths(now) > 0

    def is_running(self, key: bytes) -> bool:
        """Returns whether this instance runs a request with this key."""
        return self._running_attempts.is_running(key)

    def started(
        self, fingerprint: bytes, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Records that an attempt is sent to a target."""
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
        """Records that an attempt ended.

        Args:
            fingerprint: Fingerprint of the request.
            target_id: Target on which the attempt ran.
            now: Current time in seconds.
            finished: Whether the target survived the attempt, that is, ended
                its answer or confirmed its cancellation.
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

    def attempt_abandoned(
        self, fingerprint: bytes, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Records that the caller left during an attempt.

        The request is not held back, but it is suspected if evidence of its
        target's death follows.
        """
        key = fingerprint[: suspicion.KEY_BYTES]
        if self._running_attempts.remove(key, target_id):
            bounded_tables.put_newest(
                self._lost_attempts, (target_id, key), now, MAX_LOST_ATTEMPTS
            )

    def has_lost_attempts(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether attempts on a target were lost or abandoned."""
        return any(lost_on == target_id for lost_on, _ in self._lost_attempts)

    def attempt_discarded(
        self, fingerprint: bytes, target_id: identifiers.TargetId
    ) -> None:
        """Removes a started attempt without clearing or suspecting it."""
        key = fingerprint[: suspicion.KEY_BYTES]
        self._running_attempts.remove(key, target_id)

    def target_survived(self, target_id: identifiers.TargetId) -> None:
        """Records that a target is alive although attempts on it were lost."""
        for lost in [a for a in self._lost_attempts if a[0] == target_id]:
            del self._lost_attempts[lost]
            self._held_until.pop(lost[1], None)

    def target_died(self, target_id: identifiers.TargetId, now: float) -> None:
        """Records a target's death and suspects the requests it was running."""
        ran = {
            key
            for (lost_on, key), at in self._lost_attempts.items()
            if lost_on == target_id and now - at <= LOST_ATTEMPT_RETENTION_S
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
        """Adds a target's death to a suspect.

        Args:
            key: Key of the suspect, which is created if it doesn't exist.
            target_id: The target that died.
            at: Monotonic time of the death in seconds.
            weight: One divided by the number of requests that ran there.
            now: Current time in seconds.
        """
        suspect = self.get_or_create(key)
        if suspect.count_recent_deaths(now) == 0:
            self.counters.suspected += 1
        previous = suspect.deaths.get(target_id)
        if previous is not None and at - previous > SAME_DEATH_TOLERANCE_S:
            suspect.earlier_deaths = [
                *suspect.earlier_deaths,
                previous,
            ][-MIN_REPEATED_DEATHS_TO_QUARANTINE:]
        suspect.deaths[target_id] = at
        suspect.weight += weight
        hold_s = self._peer_round_trip_s + self._rng.random() * HOLD_JITTER_S
        suspect.held_until = max(suspect.held_until, now + hold_s)
        self._quarantine(suspect, now)
        self.mark_changed(key)

    def get_or_create(self, key: bytes) -> suspicion.Suspect:
        """Returns the suspect with a key, creating it if there is none.

        At `MAX_SUSPECTS`, evicts the least recently changed suspect.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = suspicion.Suspect()
            while len(self._suspects) >= MAX_SUSPECTS:
                self._suspects.popitem(last=False)
            self._suspects[key] = suspect
            self._suspects.move_to_end(key, last=False)
        return suspect

    def mark_changed(self, key: bytes) -> None:
        """Marks a suspect as changed, so that gossip sends it to the peers."""
        self._change_count += 1
        self._suspects[key].change_number = self._change_count
        self._suspects.move_to_end(key)

    def drop_expired(self, now: float) -> None:
        """Drops expired suspects and lost attempts; call it periodically."""
        for lost, at in list(self._lost_attempts.items()):
            if now - at > LOST_ATTEMPT_RETENTION_S:
                del self._lost_attempts[lost]
                self._held_until.pop(lost[1], None)
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
        """Starts a quarantine if a suspect has enough recent deaths."""
        if (
            suspect.count_recent_deaths(now) < MIN_DEATHS_TO_QUARANTINE
            and suspect.count_all_recent_deaths(now)
            < MIN_REPEATED_DEATHS_TO_QUARANTINE
        ):
            return
        if now < suspect.quarantined_until:
            return
        length_s = INITIAL_QUARANTINE_S * 2.0**suspect.quarantines
        suspect.quarantined_until = now + min(length_s, MAX_QUARANTINE_S)
        suspect.quarantines += 1
        self.counters.quarantined += 1
        exceptions.check_invariant(
            len(suspect.deaths) + len(suspect.earlier_deaths)
            >= MIN_DEATHS_TO_QUARANTINE,
            "a quarantine needs several deaths",
            sorted(suspect.deaths),
        )

    def _is_burst(
        self, target_id: identifiers.TargetId, ran: set[bytes], now: float
    ) -> bool:
        """Returns whether a death belongs to a burst with a common cause.

        A death with a known suspect on the target never counts as a burst.
        """
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
        """Clears a suspect whose target survived it."""
        suspect = self._suspects.get(key)
        if suspect is None or suspect.count_recent_deaths(now) == 0:
            return
        if now < suspect.quarantined_until:
            return
        suspect.cleared_at = now
        suspect.weight = 0.0
        self.counters.cleared += 1
        self.mark_changed(key)
