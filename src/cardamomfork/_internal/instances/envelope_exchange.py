"""Exchanges envelopes with peers.

An envelope holds the payloads of the participants that fit the byte budget.
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
    """Counters of exchanges and probes.

    Attributes:
        exchanges: Exchanges that were answered.
        silent: Probes that failed on the existing connection.
        reconnected: Probes among these that succeeded on a new connection.
        indirect: Probes that succeeded only through a helper.
        budget_exhausted: Envelopes sent without sections because they
            exceeded the budget.
        handler_errors: Envelopes and requests whose handler raised an error.
    """

    exchanges: int = 0
    silent: int = 0
    reconnected: int = 0
    indirect: int = 0
    budget_exhausted: int = 0
    handler_errors: int = 0


class EnvelopeExchanger:
    """Composes and sends envelopes and delivers those of peers."""

    def __init__(
        self,
        members: membership.Membership,
        participants: Sequence[gossip.Participant],
        budget: byte_budget.ByteBudget,
        clock: clock_contract.Clock,
    ) -> None:
        """Initializes the exchanger.

        Args:
            members: Membership table, updated with the sender of each
                received envelope.
            participants: Components that gossip, at most one per topic.
            budget: Byte budget of all envelopes.
            clock: Source of monotonic time.
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
        """Payload bytes sent, by topic."""
        return self._composer.bytes_by_topic

    def time_with(
        self, timed: Callable[[], contextlib.AbstractContextManager[None]]
    ) -> None:
        """Sets a context manager that measures processing time.

        Args:
            timed: Returns a context manager. It is entered around the
                composition and delivery of envelopes; nothing is awaited
                inside it.
        """
        self._time_context = timed

    def handle(
        self, envelope: peering_contract.Envelope
    ) -> peering_contract.Envelope:
        """Processes a peer's envelope and returns the answer."""
        now = self._clock.monotonic()
        self._apply(envelope, now)
        return self._compose(envelope.sender, now)

    def compose_one(
        self, peer: instances.Instance, topic: gossip.Topic, now: float
    ) -> peering_contract.Envelope | None:
        """Composes an envelope of one topic; None if there is no update."""
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
        """Sends an envelope and processes the answer.

        Args:
            link: Client for calls to peers.
            peer: Recipient.
            fresh: Whether to open a new connection.

        Returns:
            Whether the peer itself answered.
        """
        envelope = self._compose(peer, self._clock.monotonic())
        answer = await link.exchange(peer, envelope, fresh=fresh)
        if isinstance(answer, result.Err):
            return False
        sender = answer.ok_value.sender
        self.counters.exchanges += 1
        self._apply(answer.ok_value, self._clock.monotonic())
        # Another instance may have the address now.
        return sender.instance_id == peer.instance_id

    async def send(
        self,
        link: peering_contract.PeerLink,
        peer: instances.Instance,
        envelope: peering_contract.Envelope,
    ) -> bool:
        """Sends a composed envelope; retries once on a new connection."""
        for fresh in (False, True):
            answer = await link.exchange(peer, envelope, fresh=fresh)
            if isinstance(answer, result.Ok):
                self._apply(answer.ok_value, self._clock.monotonic())
                return True
        return False

    def _compose(
        self, peer: instances.Instance, now: float
    ) -> peering_contract.Envelope:
        """Composes an envelope for a peer within the budget.

        If the budget is exhausted, the envelope has no sections and is not
        charged: it still probes the peer, or proves that the local instance
        is alive.
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
        """Delivers a peer's payloads; logs errors of their handlers."""
        sender = envelope.sender
        self._members.hear(records.Record(sender), now)
        try:
            with self._time_context():
                self._composer.deliver(envelope, now)
        except Exception:  # noqa: BLE001 - one payload must not stop the loop.
            self.counters.handler_errors += 1
            loguru.logger.exception(
                "could not process the envelope of peer {}", sender.instance_id
            )
