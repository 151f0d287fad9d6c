"""What is known of a request that may crash targets, and whether it may run.

Times are seconds of the monotonic clock of the instance that holds the record.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers

KEY_BYTES = 8
"""Bytes of a request's fingerprint that tell suspects apart."""
SUSPICION_TTL_S = 600.0
"""Seconds for which a target's death counts against what ran there."""


class Verdict(enum.Enum):
    """What to do with a request."""

    UNRESTRICTED = "free"
    ISOLATED = "alone"
    """Run it where `isolation_target` says."""
    WAIT = "wait"
    """Ask again at `retry_at`."""
    QUARANTINED = "quarantined"
    """Refuse it until `retry_at`."""


@attrs.frozen
class Decision:
    """A verdict, and when to ask again.

    Attributes:
        verdict: What to do with the request.
        retry_at: Monotonic time in seconds; only with `WAIT` and `QUARANTINED`.
    """

    verdict: Verdict
    retry_at: float = 0.0


UNRESTRICTED = Decision(Verdict.UNRESTRICTED)
ISOLATED = Decision(Verdict.ISOLATED)


@attrs.define
class Suspect:
    """What is known of a fingerprint.

    Attributes:
        deaths: When which target died with it; monotonic seconds.
        weight: Sum of 1/n over the deaths, for n that ran there.
        cleared_at: When it last finished; deaths before do not count.
        held_until: Not run before.
        quarantined_until: Refused before.
        quarantines: How often it was quarantined.
        peer_run_until: Not run before; a peer said that it runs there.
        changed: The guard's count of changes at the record's last change.
    """

    deaths: dict[identifiers.TargetId, float] = attrs.field(factory=dict)
    weight: float = 0.0
    cleared_at: float = float("-inf")
    held_until: float = float("-inf")
    quarantined_until: float = float("-inf")
    quarantines: int = 0
    peer_run_until: float = float("-inf")
    change_number: int = 0

    def count_recent_deaths(self, now: float) -> int:
        """Returns how many different targets died with it lately."""
        since = max(self.cleared_at, now - SUSPICION_TTL_S)
        return sum(at > since for at in self.deaths.values())
