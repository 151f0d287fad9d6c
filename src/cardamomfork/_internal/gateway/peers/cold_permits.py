"""Permits for requests to cold targets.

Cold targets crash above their rate, so their owner keeps two more rules, also
while instances die, freeze or are cut off from each other. It issues nothing
until all peers see the earlier owner as gone, and half of the rate while an
instance that it knows is silent, since that one may be in another part of the
fleet which has an owner of its own.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.peers import permit_issuing

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.peers import digest_codec
    from cardamomfork._internal.gateway.state import cold_targets
    from cardamomfork._internal.models import fleet

MAX_COLD_WAIT_S = 3.0
"""Longest time that a permit for a cold target lies in the future. Below the
`PEER_TIMEOUT_S` for which the next owner issues none, so that the permits of an
owner that is gone are used before."""
PERMIT_LIFETIME_S = 0.4
"""Time within which a request for a cold target must be sent after the time of
its permit. With a burst of 2, all permits of 1.4 s at full rate may arrive
within one second: 1.4 times the rate and 2, or 4 for the two halves of a fleet.
That is within 1.5 times the rate and 5."""
COLD_PARTS = 2
"""Parts of a fleet that are cut off from each other, each with an owner."""
MAX_STALL_S = 2.5
"""Time without an observation after which the process counts as frozen. The
owner observes each second at least. Another instance issues permits 8 s after
the last digest of this one at the earliest."""
UNKNOWN_TARGET_WAIT_S = 0.1
"""Time after which an instance asks again for a target that its owner does not
know yet."""
OTHER_OWNER_WAIT_S = 0.5
"""Time after which an instance asks again that has asked one that is not the
owner. A digest has then told it who is, or has told this one."""


@attrs.frozen
class Authority:
    """What an instance may issue for a cold target.

    Attributes:
        rate_share: Share of the rate that it may issue: 0, 0.5 or 1.
        wait_s: If it may issue nothing, the time until it may.
    """

    rate_share: float
    wait_s: float = 0.0


class OwnerAuthority:
    """Decides what this instance may issue for cold targets.

    It addresses a change of the owner under load: an owner that dies, freezes
    or is cut off has issued permits, or still does, when the next one takes
    over.
    """

    def __init__(
        self,
        peers: peer_table.PeerTable,
        clock: Callable[[], float],
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initializes the decision; it begins to observe the fleet.

        Args:
            peers: The other instances.
            clock: Monotonic time.
            is_leaving: Returns whether this instance is about to stop.
        """
        self._peers = peers
        self._clock = clock
        self._is_leaving = is_leaving
        self._observing_since = self._observed_at = clock()

    def observe(self) -> None:
        """Records that this instance runs; call it each second at least."""
        now = self._clock()
        if now - self._observed_at > MAX_STALL_S:
            self._observing_since = now
        self._observed_at = now

    def find_owner(self, target_id: str) -> digest_codec.Peer | None:
        """Returns the peer to ask for permits; None for this instance."""
        return self._peers.find_owner(target_id, among_peers=self._is_leaving())

    def decide(self, target_id: str) -> Authority:
        """Returns what this instance may issue for a cold target."""
        self.observe()
        now = self._clock()
        if self._is_leaving() or self._peers.find_owner(target_id) is not None:
            return Authority(0.0, OTHER_OWNER_WAIT_S)
        issues_from = peer_table.PEER_TIMEOUT_S + max(
            self._peers.owned_from(target_id), self._observing_since
        )
        if now < issues_from:
            return Authority(0.0, issues_from - now)
        if self._peers.has_silence_since(now - peer_table.PEER_TIMEOUT_S):
            return Authority(1.0 / COLD_PARTS)
        return Authority(1.0)


def cold_rate_per_s(per_s: float, settings: fleet.EntrySettings) -> float:
    """Returns the rate of the permits for a cold target.

    It is what the target handles, or less if the settings allow less.

    Args:
        per_s: Requests a second that the target handles.
        settings: Settings with the bound.
    """
    allowed = per_s * settings.cold_ratio + settings.cold_reserve
    allowed_per_s = (allowed - COLD_PARTS * permit_issuing.BURST_REQUESTS) / (
        1.0 + PERMIT_LIFETIME_S
    )
    return max(min(per_s, allowed_per_s), permit_issuing.MIN_RATE_PER_S)


class ColdPermits:
    """Decides about permits for cold targets that this instance is asked for.

    Unlike in `permit_issuing.PermitIssuer`, a higher rate does not shorten the
    pause after the last permit: the rate changes whenever an instance becomes
    silent or returns.
    """

    def __init__(
        self,
        cold: cold_targets.ColdTargets,
        authority: OwnerAuthority,
        settings: fleet.EntrySettings,
    ) -> None:
        """Initializes the decision without schedules.

        Args:
            cold: Decides until when targets are cold.
            authority: What this instance may issue.
            settings: Settings with the bound on requests to cold targets.
        """
        self._cold = cold
        self._authority = authority
        self._settings = settings
        self._available_at: OrderedDict[str, float] = OrderedDict()
        self._issued = 0
        self._refused = 0

    @property
    def authority(self) -> OwnerAuthority:
        """What this instance may issue."""
        return self._authority

    @property
    def issued(self) -> int:
        """Number of permits that have been issued."""
        return self._issued

    @property
    def refused(self) -> int:
        """Number of permits that have been refused."""
        return self._refused

    def __len__(self) -> int:
        """Returns the number of targets with a schedule."""
        return len(self._available_at)

    def update_settings(self, settings: fleet.EntrySettings) -> None:
        """Applies new settings."""
        self._settings = settings

    def decide(
        self, request: permit_codec.PermitRequest, now: float
    ) -> permit_codec.PermitDecision | None:
        """Returns the decision about a request; None if its target is warm.

        A target that is not known here gets no permit, since its rate isn't
        known either.
        """
        if self._cold.is_unknown(request.target_id, request.started_at_ms):
            self._refused += 1
            return permit_codec.PermitDecision(False, UNKNOWN_TARGET_WAIT_S)
        per_s = self._cold.find_permit_rate(
            request.target_id, request.started_at_ms, request.rate_per_s
        )
        if per_s is None:
            return None
        authority = self._authority.decide(request.target_id)
        if not authority.rate_share:
            self._refused += 1
            return permit_codec.PermitDecision(False, authority.wait_s)
        decision = self._issue(
            request,
            cold_rate_per_s(per_s, self._settings) * authority.rate_share,
            now,
        )
        self._issued += decision.is_granted
        self._refused += not decision.is_granted
        return decision

    def dump(self) -> dict[str, Any]:
        """Returns the state for a dump."""
        return {
            "issued": self._issued,
            "refused": self._refused,
            "targets": list(self._available_at),
        }

    def _issue(
        self, request: permit_codec.PermitRequest, rate_per_s: float, now: float
    ) -> permit_codec.PermitDecision:
        """Grants a permit if its time is within the requested wait."""
        available_at = self._available_at.get(request.target_id, now)
        wait_s = max(available_at - now, 0.0)
        if wait_s > min(request.max_wait_s, MAX_COLD_WAIT_S):
            return permit_codec.PermitDecision(False, wait_s)
        burst_s = (permit_issuing.BURST_REQUESTS - 1) / rate_per_s
        bounded_tables.put_newest(
            self._available_at,
            request.target_id,
            max(available_at, now - burst_s) + 1.0 / rate_per_s,
            permit_issuing.MAX_ISSUED_TARGETS,
        )
        return permit_codec.PermitDecision(True, wait_s)
