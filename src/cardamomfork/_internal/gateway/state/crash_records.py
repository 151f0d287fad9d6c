"""Crashes of targets under one suspect: a request or a part of its prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.state import crash_attribution


@attrs.frozen
class Crash:
    """A crash of a target while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request or of a part of its prompt.
        target_id: The target.
        started_at_ms: Start of the target's process, in Unix milliseconds. A
            target may restart under its id and crash again.
    """

    fingerprint: int
    target_id: str
    started_at_ms: int

    @property
    def process(self) -> crash_attribution.Process:
        """The target's process."""
        return (self.target_id, self.started_at_ms)


@attrs.frozen
class CrashReport:
    """A crash as it is sent to peers.

    Attributes:
        crash: The crash.
        is_refuted: Whether the request or part is known not to be the cause.
    """

    crash: Crash
    is_refuted: bool = False


@attrs.define
class Evidence:
    """What is known of a crash.

    Attributes:
        recorded_at: Time at which it was recorded.
        is_refuted: Whether the suspect was not its cause.
    """

    recorded_at: float
    is_refuted: bool


@attrs.define
class CrashRecord:
    """Crashes of targets under one suspect.

    Attributes:
        evidence: What is known of each crash, oldest first.
        local: Crashes that this instance confirmed or refuted.
        changed_at: Time of the last change.
    """

    evidence: dict[Crash, Evidence] = attrs.field(factory=dict)
    local: set[Crash] = attrs.field(factory=set)
    changed_at: float = 0.0

    @property
    def count(self) -> int:
        """Number of crashes that are not refuted."""
        return sum(not known.is_refuted for known in self.evidence.values())

    @property
    def first_at(self) -> float:
        """Time of the first crash that is not refuted."""
        return min(
            known.recorded_at
            for known in self.evidence.values()
            if not known.is_refuted
        )

    @property
    def processes(self) -> frozenset[crash_attribution.Process]:
        """Processes of the crashes that are not refuted."""
        return frozenset(
            crash.process
            for crash, known in self.evidence.items()
            if not known.is_refuted
        )

    def reports(self, max_count: int) -> list[CrashReport]:
        """Returns reports of the newest crashes."""
        newest = list(self.evidence.items())[-max_count:]
        return [CrashReport(crash, known.is_refuted) for crash, known in newest]

    def local_reports(self, max_count: int) -> list[CrashReport]:
        """Returns reports of the crashes that peers may not know."""
        reports = [
            CrashReport(crash, known.is_refuted)
            for crash, known in self.evidence.items()
            if crash in self.local
        ]
        return reports[-max_count:]

    def refute(self, until: float, max_count: int) -> int:
        """Refutes crashes; returns their number.

        Args:
            until: Time until which they were recorded.
            max_count: Largest number to refute.
        """
        refutable = [
            (crash, known)
            for crash, known in self.evidence.items()
            if not known.is_refuted and known.recorded_at <= until
        ]
        if not refutable:
            return 0
        # Instances begin at different crashes, so that each refutes another.
        first = int(until * 1e6) % len(refutable)
        refuted = (refutable[first:] + refutable[:first])[:max_count]
        for crash, known in refuted:
            known.is_refuted = True
            self.local.add(crash)
        return len(refuted)
