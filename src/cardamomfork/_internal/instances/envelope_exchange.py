"""Exchanges of envelopes between this instance and its peers.

An envelope holds what the participants tell, as far as the byte budget goes.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs
import loguru
import result

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.contracts import peering as peering_contract
from cardamomfork._internal.instances import envelope_composer
from cardamomfork._internal.instances import records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import byte_budget
    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.models import instances


@attrs.define
class PeeringCounters:
    """What happened.

    Attributes:
        exchanges: Exchanges that came to an answer.
        silent: Exchanges that failed on an open connection.
        renewed: Of these, those that a new connection then carried.
        indirect: Peers reached only through others.
        unpaid: Envelopes not sent for want of budget.
        broken: Envelopes whose handling raised an error.
    """

    exchanges: int = 0
    silent: int = 0
    reconnected: int = 0
    indirect: int = 0
    budget_exhausted: int = 0
    handler_errors: int = 0


class EnvelopeExchanger:
    """Composes envelopes, sends them and hands on what peers tell."""

    def __init__(
        self,
        members: membership.Membership,
        participants: Sequence[gossip.Participant],
        budget: byte_budget.ByteBudget,
        clock: clock_contract.Clock,
    ) -> None:
        """Takes the parts that talk.

        Args:
            members: This data centre's instances; hears of each sender.
            participants: Parts that gossip, at most one a topic.
            budget: Bytes that may be told.
            clock: Time.
        """
        self._members = members
        self._composer = envelope_composer.EnvelopeComposer(
            participants, budget
        )
        self._clock = clock
        self._time_context: Callable[
            [], contextlib.AbstractContextManager[None]
        ] = contextlib.nullcontext
        self.counters = PeeringCounters()

    @property
    def bytes_by_topic(self) -> dict[gossip.Topic, int]:
        """Payload bytes told, by topic."""
        return self._composer.bytes_by_topic

    def time_with(
        self, timed: Callable[[], contextlib.AbstractContextManager[None]]
    ) -> None:
        """Makes a context for each piece of work; nothing is awaited in it."""
        self._time_context = timed

    def handle(
        self, envelope: peering_contract.Envelope
    ) -> peering_contract.Envelope:
        """Takes a peer's envelope and returns the answer."""
        now = self._clock.monotonic()
        self._apply(envelope, now)
        return self._compose(envelope.sender, now)

    def compose_one(
        self, peer: instances.Instance, topic: gossip.Topic, now: float
    ) -> peering_contract.Envelope | None:
        """Composes an envelope of one topic; None if there is no news."""
        local_instance = self._members.me.instance
        return self._composer.compose_one(
            local_instance, peer.instance_id, topic, now
        )

    async def exchange(
        self,
        link: peering_contract.PeerLink,
        peer: instances.Instance,
        *,
        fresh: bool,
    ) -> bool:
        """Sends an envelope and takes the answer; False on a fault."""
        envelope = self._compose(peer, self._clock.monotonic())
        answer = await link.exchange(peer, envelope, fresh=fresh)
        if isinstance(answer, result.Err):
            return False
        sender = answer.ok_value.sender
        self.counters.exchanges += 1
        self._apply(answer.ok_value, self._clock.monotonic())
        # Another instance may have taken the address over.
        return sender.instance_id == peer.instance_id

    async def send(
        self,
        link: peering_contract.PeerLink,
        peer: instances.Instance,
        envelope: peering_contract.Envelope,
    ) -> bool:
        """Sends an envelope and takes the answer; on a fault, once more."""
        for fresh in (False, True):
            answer = await link.exchange(peer, envelope, fresh=fresh)
            if isinstance(answer, result.Ok):
                self._apply(answer.ok_value, self._clock.monotonic())
                return True
        return False

    def _compose(
        self, peer: instances.Instance, now: float
    ) -> peering_contract.Envelope:
        """Composes an envelope for a peer, as far as the budget goes.

        One without sections, for which the budget is not charged, is still a
        probe, or shows that this instance lives.
        """
        local_instance = self._members.me.instance
        scope = gossip.Scope.FLEET
        if peer.data_centre == local_instance.data_centre:
            scope = gossip.Scope.DATA_CENTRE
        with self._time_context():
            envelope = self._composer.compose(
                local_instance, peer.instance_id, scope, now
            )
        self.counters.budget_exhausted += envelope is None
        if envelope is None:
            return peering_contract.Envelope(local_instance)
        return envelope

    def _apply(self, envelope: peering_contract.Envelope, now: float) -> None:
        """Hands a peer's payloads on; a broken one ends only itself."""
        sender = envelope.sender
        self._members.hear(records.Record(sender), now)
        try:
            with self._time_context():
                self._composer.deliver(envelope, now)
        except Exception:  # noqa: BLE001 - one payload must not end the loop.
            self.counters.handler_errors += 1
            loguru.logger.exception(
                "peer payload from {} failed", sender.instance_id
            )
