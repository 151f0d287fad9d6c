"""Records of requests that may crash targets, and decisions on running them.

Times are seconds of this instance's monotonic clock.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers

KEY_BYTES = 8
"""Length of a suspect's key, which is a prefix of the fingerprint."""
SUSPICION_TTL_S = 600.0
"""Time for which a target's death counts against the requests on it."""


class Verdict(enum.Enum):
    """Whether and how a request may run."""

    UNRESTRICTED = "free"
    ISOLATED = "alone"
    """Run it only on the target that `PoisonGuard.isolation_target` returns."""
    WAIT = "wait"
    """Hold it back and decide again at `retry_at`."""
    QUARANTINED = "quarantined"
    """Refuse it until `retry_at`."""


@attrs.frozen
class Decision:
    """A verdict and the time until which it holds.

    Attributes:
        verdict: Whether and how the request may run.
        retry_at: Monotonic time in seconds; only with `WAIT` and `QUARANTINED`.
    """

    verdict: Verdict
    retry_at: float = 0.0


UNRESTRICTED = Decision(Verdict.UNRESTRICTED)
ISOLATED = Decision(Verdict.ISOLATED)


@attrs.define
class Suspect:
    """A request that was running on a target when the target died.

    Attributes:
        deaths: Time of the last death of each target that was running it.
        earlier_deaths: Times of earlier deaths of these targets, oldest first.
        weight: Sum of 1/n over the deaths, where n is the number of requests
            that ran on the target.
        cleared_at: Time at which it last finished; earlier deaths don't count.
        held_until: Time until which it is held back for the peers' updates.
        quarantined_until: Time until which it is refused.
        quarantines: Number of quarantines so far.
        peer_run_until: Time until which it is held back because a peer
            reported that it is running it.
        change_number: The guard's change count at the last change.
    """

    deaths: dict[identifiers.TargetId, float] = attrs.field(factory=dict)
    earlier_deaths: list[float] = attrs.field(factory=list)
    weight: float = 0.0
    cleared_at: float = float("-inf")
    held_until: float = float("-inf")
    quarantined_until: float = float("-inf")
    quarantines: int = 0
    peer_run_until: float = float("-inf")
    change_number: int = 0

    def count_recent_deaths(self, now: float) -> int:
        """Returns the number of different targets with a recent death."""
        since = max(self.cleared_at, now - SUSPICION_TTL_S)
        return sum(at > since for at in self.deaths.values())

    def count_all_recent_deaths(self, now: float) -> int:
        """Returns the number of recent deaths; a target may die repeatedly."""
        since = max(self.cleared_at, now - SUSPICION_TTL_S)
        return self.count_recent_deaths(now) + sum(
            at > since for at in self.earlier_deaths
        )
