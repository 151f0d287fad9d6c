"""Composes envelopes of participants' payloads within the byte budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.contracts import peering as peering_contract

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.instances import byte_budget
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances

MAX_ENVELOPE_BYTES = 4500

# Fraction of the remaining bytes that a topic may use, in order of urgency.
_BUDGET_FRACTIONS = {
    gossip.Topic.LEAVING: 0.5,
    gossip.Topic.MEMBERSHIP: 0.5,
    gossip.Topic.CONFIGURATION: 0.6,
    gossip.Topic.POISON: 0.4,
    gossip.Topic.CLAIMS: 0.4,
    gossip.Topic.LIMITS: 0.6,
    gossip.Topic.LOAD: 1.0,
}


class EnvelopeComposer:
    """Collects payloads of participants and delivers those of peers."""

    def __init__(
        self,
        participants: Sequence[gossip.Participant],
        budget: byte_budget.ByteBudget,
    ) -> None:
        """Initializes the composer.

        Args:
            participants: Components that gossip, at most one per topic.
            budget: Byte budget of all envelopes.

        Raises:
            ValueError: Two participants have the same topic.
        """
        by_topic = {
            participant.topic: participant for participant in participants
        }
        if len(by_topic) < len(participants):
            raise ValueError("two participants have the same topic")
        self._participants = {
            topic: by_topic[topic]
            for topic in _BUDGET_FRACTIONS
            if topic in by_topic
        }
        self._budget = budget
        self.bytes_by_topic = dict.fromkeys(self._participants, 0)

    def compose(
        self,
        sender: instances.Instance,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,
        now: float,
    ) -> peering_contract.Envelope | None:
        """Composes an envelope and charges the budget for it.

        The envelope may have no sections: it still proves that its sender is
        alive.

        Args:
            sender: The local instance.
            peer: Recipient.
            scope: Whether the recipient is in the local data centre.
            now: Monotonic time, in seconds.

        Returns:
            The envelope; None if it exceeds the budget.
        """
        remaining_bytes = min(self._budget.available(now), MAX_ENVELOPE_BYTES)
        remaining_bytes -= peering_contract.ENVELOPE_OVERHEAD_BYTES
        sections = []
        for topic, participant in self._participants.items():
            remaining_bytes -= peering_contract.SECTION_OVERHEAD_BYTES
            section_budget = int(remaining_bytes * _BUDGET_FRACTIONS[topic])
            if section_budget <= 0:
                break
            payload = participant.collect(peer, scope, section_budget, now)
            if not payload:
                remaining_bytes += peering_contract.SECTION_OVERHEAD_BYTES
                continue
            remaining_bytes -= len(payload)
            self.bytes_by_topic[topic] += len(payload)
            sections.append(peering_contract.Section(topic, payload))
        envelope = peering_contract.Envelope(sender, tuple(sections))
        if not self._budget.spend(envelope.size_bytes, now):
            return None
        return envelope

    def compose_one(
        self,
        sender: instances.Instance,
        peer: identifiers.InstanceId,
        topic: gossip.Topic,
        now: float,
    ) -> peering_contract.Envelope | None:
        """Composes an envelope of one topic, even if it overdraws the budget.

        Returns:
            The envelope; None if the topic has no updates for the peer.
        """
        payload = self._participants[topic].collect(
            peer, gossip.Scope.DATA_CENTRE, MAX_ENVELOPE_BYTES, now
        )
        if not payload:
            return None
        section = peering_contract.Section(topic, payload)
        envelope = peering_contract.Envelope(sender, (section,))
        self._budget.charge(envelope.size_bytes, now)
        self.bytes_by_topic[topic] += len(payload)
        return envelope

    def deliver(self, envelope: peering_contract.Envelope, now: float) -> None:
        """Delivers each payload to its participant; skips unknown topics.

        Raises:
            ExceptionGroup: Participants failed; all others got their payload.
        """
        errors: list[Exception] = []
        for section in envelope.sections:
            participant = self._participants.get(section.topic)
            if participant is None:
                continue
            try:
                participant.absorb(
                    envelope.sender.instance_id, section.payload, now
                )
            except Exception as error:  # noqa: BLE001  # Others go on.
                errors.append(error)
        if errors:
            raise ExceptionGroup("payloads of a peer", errors)
