"""Blocks requests, and parts of prompts, that crash the targets that run them.

What a target runs is a suspect when its attempt at the target is lost: the
request, and each shared part of its prompt unless the target had written on it
for a while. If evidence of the target's end follows, the crash counts. Each
time that a target writes on a part and goes on, one crash under the part is
refuted: a part that crashes most targets is blocked, one that only ran beside
the cause is not. A request that completes was not the cause of any crash.
"""

from __future__ import annotations

from collections import OrderedDict
import itertools
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.gateway.crashes import crash_log
from cardamomfork._internal.gateway.state import crash_attribution
from cardamomfork._internal.gateway.state import crash_records
from cardamomfork._internal.gateway.state import fingerprints

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Container
    from collections.abc import Iterable

    from cardamomfork._internal.models import fleet

MAX_ENTRIES = 4096
MAX_WRITTEN_PARTS = 8192
MAX_KEPT_WRITINGS = 8
"""Writings on one part that can still refute a crash."""
WRITING_VALID_S = 1.0
"""Time before a crash in which a target may have begun to write on a part for
that to refute the crash. A part may become harmful after it has been sound."""
REPORT_DELAY_S = 0.5
"""Usual time from a crash until peers have a report of it."""
MAX_KEPT_CRASHES = 64
"""Crashes that are kept of one suspect."""
CRASH_CONFIRMATION_WINDOW_S = 15.0
"""Time after a lost attempt within which evidence of its target's end confirms
a crash. Covers the time until the entry of a crashed target lapses."""
MAX_CRASHES = crash_attribution.MAX_REQUEST_CRASHES
BLOCK_S = 3600.0
"""Time for which a block lasts after the last crash."""
OBJECTION_TIME_S = 1.5
"""Time from the first crash under a part until it may be blocked. In it, peers
that know the part as sound say so."""
TRIAL_DELAY_S = 10.0
"""Time without a crash after which a blocked part is tried once more."""
TRIAL_TIMEOUT_S = 15.0
"""Time after which a trial without a result is over."""
MAX_TRIALS = 2
MAX_RETRY_CRASHES = 2
"""Crashes under a part from which on its requests are not retried."""
UNCERTAIN_RETRY_AFTER_S = 1.0
"""Time after which to retry a request that has some suspects of a cause."""
SHARE_S = 15.0
"""Time for which peers are sent the crashes of a request that is not blocked.
Covers several digests, since single ones may be lost."""
MAX_SHARED_CRASHES = 32
"""Bounds the size of a digest and the time to decode it."""
MAX_SHARED_CRASHES_EACH = 8
"""Bounds the crashes of one suspect in a digest."""


@attrs.frozen
class Block:
    """Why a request must not be sent to targets.

    Attributes:
        cause: The suspects that it shares.
        remaining_s: Time until the block ends, in seconds.
        is_certain: Whether it has all of them.
    """

    cause: crash_attribution.Cause
    remaining_s: float
    is_certain: bool

    @property
    def retry_after_s(self) -> float:
        """Time after which a caller may try again, in seconds."""
        if self.is_certain:
            return self.remaining_s
        return min(self.remaining_s, UNCERTAIN_RETRY_AFTER_S)

    @property
    def reason(self) -> str:
        """Reason for the caller and the log."""
        if self.cause.has_request:
            return "crashed several targets"
        return "a part of its prompt crashed several targets"


@attrs.define
class _Trials:
    """Requests that were let through although their parts are blocked.

    Attributes:
        count: Their number.
        started_at: Start of the last one.
    """

    count: int = 0
    started_at: float = 0.0


class PoisonGuard:
    """Counts crashes of targets by suspect and blocks their causes."""

    def __init__(
        self, owns_trials: Callable[[int], bool] = lambda _: False
    ) -> None:
        """Initializes a guard without records.

        Args:
            owns_trials: Returns whether this instance, and no other, may try
                the part with a fingerprint again.
        """
        self._owns_trials = owns_trials
        self._suspects: OrderedDict[crash_records.Crash, float] = OrderedDict()
        # By fingerprint, least recently changed first.
        self._crashes: OrderedDict[int, crash_records.CrashRecord] = (
            OrderedDict()
        )
        # Starts of writings that have not refuted a crash yet, by part.
        self._writings: OrderedDict[int, tuple[float, ...]] = OrderedDict()
        self._causes: list[crash_attribution.Cause] = []
        self._judged_at: float | None = None
        self._rejudge_at = 0.0
        self._trials: dict[frozenset[int], _Trials] = {}

    @property
    def suspect_count(self) -> int:
        """Number of suspects without a confirmed crash."""
        return len(self._suspects)

    def crash_count(self, fingerprint: int) -> int:
        """Returns the number of crashes under a suspect."""
        record = self._crashes.get(fingerprint)
        return record.count if record else 0

    def blocked(self, now: float) -> list[int]:
        """Returns the fingerprints of the blocked requests and parts."""
        return sorted(
            fingerprint
            for cause in self._judge(now)
            for fingerprint in cause.suspects
        )

    def recent_crashes(self, now: float) -> list[crash_records.CrashReport]:
        """Returns the crashes to send to peers, at most `MAX_SHARED_CRASHES`.

        Blocked suspects, new crashes that this instance confirmed, and those
        that it refuted take turns, so that none crowds out the others.
        """
        blocked = dict.fromkeys(
            suspect for cause in self._judge(now) for suspect in cause.suspects
        )
        confirmed: list[int] = []
        refuted: list[int] = []
        for fingerprint, record in reversed(self._crashes.items()):
            if now - record.changed_at >= SHARE_S:
                break
            if record.local and fingerprint not in blocked:
                (confirmed if record.count else refuted).append(fingerprint)
        confirmed.sort(key=self.crash_count, reverse=True)
        shared: list[crash_records.CrashReport] = []
        for turn in itertools.zip_longest(blocked, confirmed, refuted):
            if len(shared) >= MAX_SHARED_CRASHES:
                break
            for fingerprint in turn:
                if fingerprint is None:
                    continue
                record = self._crashes[fingerprint]
                shared += (
                    record.reports(MAX_SHARED_CRASHES_EACH)
                    if fingerprint in blocked
                    else record.local_reports(MAX_SHARED_CRASHES_EACH)
                )
        return shared[:MAX_SHARED_CRASHES]

    def repeated_crashes(
        self, now: float, min_count: int
    ) -> list[crash_records.CrashReport]:
        """Returns the crashes of the suspects with at least `min_count`.

        Only blocked suspects and those with a new crash are included, at most
        `MAX_SHARED_CRASHES` crashes.
        """
        recent = {
            report.crash.fingerprint: None
            for report in self.recent_crashes(now)
        }
        repeated = [
            report
            for fingerprint in recent
            if self.crash_count(fingerprint) >= min_count
            for report in self._crashes[fingerprint].reports(
                MAX_SHARED_CRASHES_EACH
            )
        ]
        return repeated[:MAX_SHARED_CRASHES]

    def add_suspect(
        self, fingerprint: int, target: fleet.TargetRecord, now: float
    ) -> None:
        """Records that an attempt at a target was lost.

        Args:
            fingerprint: Fingerprint of its request or of a part.
            target: The target.
            now: Monotonic time.
        """
        self._drop_old_suspects(now)
        bounded_tables.put_newest(
            self._suspects,
            crash_records.Crash(
                fingerprint, target.target_id, target.started_at_ms
            ),
            now,
            MAX_ENTRIES,
        )

    def has_suspect(self, target: fleet.TargetRecord) -> bool:
        """Returns whether an attempt at a target's process was lost."""
        return any(
            crash.process == (target.target_id, target.started_at_ms)
            for crash in self._suspects
        )

    def discard_suspects(
        self,
        since: float,
        checked: Container[crash_attribution.Process] = (),
    ) -> None:
        """Forgets lost attempts that were not the targets' faults.

        Args:
            since: Monotonic time from which on attempts were lost.
            checked: Targets' processes whose checks are still to show whether
                they have ended; their lost attempts stay.
        """
        for crash, lost_at in list(self._suspects.items()):
            if lost_at >= since and crash.process not in checked:
                del self._suspects[crash]

    def discard_suspects_of(self, process: crash_attribution.Process) -> None:
        """Forgets the attempts that were lost at a target's process."""
        for crash in list(self._suspects):
            if crash.process == process:
                del self._suspects[crash]

    def confirm_crash(
        self, target: fleet.TargetRecord, now: float
    ) -> list[crash_records.Crash]:
        """Records that a target has ended; returns the confirmed crashes."""
        self._drop_old_suspects(now)
        confirmed = [
            crash
            for crash in self._suspects
            if crash.process == (target.target_id, target.started_at_ms)
        ]
        for crash in confirmed:
            del self._suspects[crash]
            self.record_crash(crash_records.CrashReport(crash), now)
            self._crashes[crash.fingerprint].local.add(crash)
        return confirmed

    def record_crash(
        self, report: crash_records.CrashReport, now: float, age_s: float = 0.0
    ) -> bool:
        """Records a crash that this instance or a peer has seen.

        Args:
            report: The crash.
            now: Monotonic time.
            age_s: Least time for which others have known it, in seconds.

        Returns:
            Whether the crash counts and was not known before.
        """
        crash = report.crash
        record = (
            self._crashes.get(crash.fingerprint) or crash_records.CrashRecord()
        )
        known = record.evidence.get(crash)
        is_refuted = report.is_refuted
        if known is None:
            is_objection = not is_refuted and self._take_writing(
                crash.fingerprint, now - REPORT_DELAY_S
            )
            is_refuted |= is_objection
            record.evidence[crash] = crash_records.Evidence(
                now - age_s, is_refuted
            )
            if is_objection:
                record.local.add(crash)
            while len(record.evidence) > MAX_KEPT_CRASHES:
                oldest = next(iter(record.evidence))
                del record.evidence[oldest]
                record.local.discard(oldest)
        elif report.is_refuted and not known.is_refuted:
            known.is_refuted = True
        else:
            return False
        self._put_changed(crash.fingerprint, record, now)
        return known is None and not is_refuted

    def record_writing(
        self, parts: Iterable[int], began_at: float, now: float
    ) -> int:
        """Records that a target writes on parts of a prompt without a crash.

        Args:
            parts: Fingerprints of the parts.
            began_at: Time at which it began to write.
            now: Monotonic time.

        Returns:
            The number of crashes that this refutes.
        """
        refuted_count = 0
        for fingerprint in parts:
            until = began_at + WRITING_VALID_S
            if self._refute(fingerprint, until, 1, now):
                refuted_count += 1
                continue
            unused = self._writings.get(fingerprint, ())
            bounded_tables.put_newest(
                self._writings,
                fingerprint,
                (*unused, began_at)[-MAX_KEPT_WRITINGS:],
                MAX_WRITTEN_PARTS,
            )
        return refuted_count

    def record_completion(self, fingerprint: int, now: float) -> int:
        """Refutes the crashes under a request that a target has completed.

        Returns:
            The number of crashes that counted before.
        """
        return self._refute(fingerprint, now, MAX_KEPT_CRASHES, now)

    def is_blocked(self, fingerprint: int, now: float) -> bool:
        """Returns whether a request or part is a suspect of a cause."""
        return self.block_remaining_s(fingerprint, now) > 0

    def block_remaining_s(self, fingerprint: int, now: float) -> float:
        """Returns the time in seconds until a block ends; 0 without a block."""
        if not any(fingerprint in cause.suspects for cause in self._judge(now)):
            return 0.0
        return max(self._crashes[fingerprint].changed_at + BLOCK_S - now, 0.0)

    def find_block(self, suspects: Collection[int], now: float) -> Block | None:
        """Returns why a request must not be sent; None if it may be.

        A request that has only some suspects of a cause may be sound. If a
        request as a whole is among them, it passes and adds to the evidence.

        Args:
            suspects: Fingerprints of the request and of its shared parts.
            now: Monotonic time.
        """
        held = frozenset(suspects)
        for cause in self._judge(now):
            is_certain = cause.suspects <= held
            if not (cause.suspects & held) or (
                cause.has_request and not is_certain
            ):
                continue
            changed_at = max(
                self._crashes[suspect].changed_at for suspect in cause.suspects
            )
            return Block(cause, changed_at + BLOCK_S - now, is_certain)
        return None

    def start_trial(self, block: Block, now: float) -> bool:
        """Returns whether a blocked request is let through, as a trial.

        There are few trials, one at a time and at one instance, since each may
        crash another target. A cause with more crashes gets none.
        """
        cause = block.cause
        if (
            cause.has_request
            or cause.crash_count > cause.max_crashes + 1
            or not self._owns_trials(min(cause.suspects))
        ):
            return False
        if block.is_certain and block.remaining_s > BLOCK_S - TRIAL_DELAY_S:
            return False
        trials = self._trials.setdefault(cause.suspects, _Trials())
        if trials.count >= MAX_TRIALS or (
            trials.count and now - trials.started_at < TRIAL_TIMEOUT_S
        ):
            return False
        trials.count += 1
        trials.started_at = now
        return True

    def may_retry(self, suspects: Iterable[int]) -> bool:
        """Returns whether another target is risked for a lost request."""
        return all(
            self.crash_count(suspect) < MAX_RETRY_CRASHES
            for suspect in suspects
            if fingerprints.is_part(suspect)
        )

    def _take_writing(self, fingerprint: int, crashed_at: float) -> bool:
        """Returns whether a writing refutes a crash, and uses it up."""
        valid = tuple(
            began_at
            for began_at in self._writings.get(fingerprint, ())
            if crashed_at - began_at <= WRITING_VALID_S
        )
        if not valid:
            return False
        self._writings[fingerprint] = valid[1:]
        return True

    def _refute(
        self, fingerprint: int, until: float, max_count: int, now: float
    ) -> int:
        """Refutes a suspect's crashes recorded until some time."""
        record = self._crashes.get(fingerprint)
        refuted_count = record.refute(until, max_count) if record else 0
        if record is not None and refuted_count:
            self._put_changed(fingerprint, record, now)
        return refuted_count

    def _judge(self, now: float) -> list[crash_attribution.Cause]:
        """Returns the causes in force."""
        if self._judged_at is not None and now < self._rejudge_at:
            return self._causes
        self._judged_at = now
        self._rejudge_at = now + BLOCK_S
        crashes = {}
        for fingerprint, record in reversed(self._crashes.items()):
            ends_at = record.changed_at + BLOCK_S
            if ends_at <= now:
                break
            if record.count >= MAX_CRASHES:
                crashes[fingerprint] = record.processes
                self._rejudge_at = min(self._rejudge_at, ends_at)
        causes = []
        for cause in crash_attribution.find_causes(crashes):
            first_at = min(
                self._crashes[suspect].first_at for suspect in cause.suspects
            )
            judge_at = first_at + OBJECTION_TIME_S
            if cause.has_request or now >= judge_at:
                causes.append(cause)
            else:
                self._rejudge_at = min(self._rejudge_at, judge_at)
        self._log_changes(causes)
        self._causes = causes
        self._trials = {
            cause.suspects: self._trials[cause.suspects]
            for cause in causes
            if cause.suspects in self._trials
        }
        return causes

    def _log_changes(self, causes: list[crash_attribution.Cause]) -> None:
        """Logs causes that are blocked now, and those that no longer are."""
        before = {cause.suspects for cause in self._causes}
        after = {cause.suspects for cause in causes}
        for cause in causes:
            if cause.suspects not in before:
                crash_log.cause_blocked(cause)
        for cause in self._causes:
            if cause.suspects not in after:
                crash_log.block_ended(cause)

    def _put_changed(
        self, fingerprint: int, record: crash_records.CrashRecord, now: float
    ) -> None:
        """Stores a record that has changed."""
        record.changed_at = now
        bounded_tables.put_newest(
            self._crashes, fingerprint, record, MAX_ENTRIES
        )
        self._judged_at = None

    def _drop_old_suspects(self, now: float) -> None:
        """Drops suspects that no evidence can confirm any more."""
        while self._suspects:
            crash, at = next(iter(self._suspects.items()))
            if now - at <= CRASH_CONFIRMATION_WINDOW_S:
                return
            del self._suspects[crash]
