"""The loops that exchange envelopes with peers and so probe them.

Once a period it exchanges envelopes with one random peer of its data centre,
which is also the probe of that peer; a delegate talks to one other data centre
as well. `hurry` adds an exchange with a few peers at once, for news that must
spread within seconds. All that is told comes out of one byte budget.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import loguru

from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import envelopes
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import records
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence
    import contextlib
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import gossip
    from cardamomfork._internal.contracts import peering as peering_contract
    from cardamomfork._internal.data_centres import summaries
    from cardamomfork._internal.models import instances

    Answerer = Callable[[bytes], Awaitable[bytes]]

INDIRECT_PROBES = 3
HURRY_FANOUT = 2
HURRY_PAUSE_S = 0.05
HURRY_BYTES = 3000
MAX_HURRIED_PER_S = 5.0
REMOTE_PERIOD_S = 1.0
REMOTE_FANOUT = 3
SEEK_ALONE_S = 1.0
SEEK_S = 30.0


class Peering:
    """Runs the exchanges; also answers those of peers."""

    def __init__(
        self,
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
        participants: Sequence[gossip.Participant],
        budget: byte_budget.ByteBudget,
        clock: clock_contract.Clock,
        rng: random.Random,
    ) -> None:
        """Takes the parts that talk.

        Args:
            members: This data centre's instances.
            others: The other data centres.
            participants: Parts that gossip, at most one a topic.
            budget: Bytes that may be told.
            clock: Time.
            rng: Jitter and choices.
        """
        self._members = members
        self._others = others
        self._answerers: dict[int, Answerer] = {}
        self._envelopes = envelopes.EnvelopeExchanger(
            members, participants, budget, clock
        )
        self._clock = clock
        self._rng = rng
        self._link: peering_contract.PeerLink | None = None
        self._hurry = anyio.Event()
        self._push = anyio.Event()
        self._pushed: set[gossip.Topic] = set()
        self._pushed_far: set[gossip.Topic] = set()
        self._hurry_fanout = 1
        self._wants_delegate = False
        self._participants = participants
        members.subscribe(self._on_change)
        self.budget = budget
        self.counters = self._envelopes.counters

    @property
    def bytes_by_topic(self) -> dict[gossip.Topic, int]:
        """Payload bytes told, by topic."""
        return self._envelopes.bytes_by_topic

    def time_with(
        self, timed: Callable[[], contextlib.AbstractContextManager[None]]
    ) -> None:
        """Makes a context for each piece of work; nothing is awaited in it."""
        self._envelopes.time_with(timed)

    def hurry(self) -> None:
        """Asks for an exchange with a few peers soon."""
        self._hurry_fanout = HURRY_FANOUT
        self._hurry.set()

    def spread(self, topic: gossip.Topic) -> None:
        """Has a change known everywhere within seconds."""
        self.hurry()
        self.push_far(topic)

    def push(self, topic: gossip.Topic) -> None:
        """Has one topic's news told to all peers of the data centre now."""
        self._pushed.add(topic)
        self._push.set()

    def push_far(self, topic: gossip.Topic) -> None:
        """Has one topic's news told to a delegate of each data centre now.

        Only a delegate does so; what others hold reaches it by gossip.
        """
        if self._others.is_delegate:
            self._pushed_far.add(topic)
            self._push.set()

    def catch_up(self) -> None:
        """Asks for an exchange with one peer soon."""
        self._hurry.set()

    def ask_delegate(self) -> None:
        """Asks for an exchange with a delegate of this data centre soon."""
        self._wants_delegate = True
        self._hurry.set()

    async def run(self, link: peering_contract.PeerLink) -> None:
        """Runs until cancelled.

        Args:
            link: Calls peers; its server side calls `handle`.
        """
        self._link = link
        async with anyio.create_task_group() as group:
            group.start_soon(self._probe_loop, link, group)
            group.start_soon(self._remote_loop, link)
            group.start_soon(self._hurry_loop, link, group)
            group.start_soon(self._push_loop, link, group)

    async def seek(
        self,
        link: peering_contract.PeerLink,
        seeds: Sequence[tuple[str, int]],
    ) -> None:
        """Asks addresses from the settings, often only while alone.

        Args:
            link: Calls peers.
            seeds: Hosts and ports of peers to ask first.
        """
        me = self._members.me.instance
        while seeds:
            host, port = self._rng.choice(list(seeds))
            unknown = attrs.evolve(
                me,
                instance_id=identifiers.InstanceId(f"{host}:{port}"),
                host=host,
                port=port,
            )
            await self._envelopes.exchange(link, unknown, fresh=False)
            alone = len(self._members.live()) == 1
            period = SEEK_ALONE_S if alone else SEEK_S
            await anyio.sleep(period * self._rng.uniform(0.8, 1.2))

    def handle(
        self, envelope: peering_contract.Envelope
    ) -> peering_contract.Envelope:
        """Takes a peer's envelope and returns the answer."""
        return self._envelopes.handle(envelope)

    async def probe_for(self, subject: instances.Instance) -> bool:
        """Probes an instance on behalf of a peer, on a new connection."""
        if self._link is None:
            return False
        return await self._envelopes.exchange(self._link, subject, fresh=True)

    def answer_with(
        self, question: peering_contract.PeerRequest, answerer: Answerer
    ) -> None:
        """Sets what answers a question."""
        self._answerers[question] = answerer

    async def answer(self, question: int, payload: bytes) -> bytes:
        """Answers a peer's question; b"" if nothing here can."""
        answerer = self._answerers.get(question)
        if answerer is None:
            return b""
        try:
            return await answerer(payload)
        except Exception:  # noqa: BLE001 - a peer's bytes may be anything.
            self.counters.broken += 1
            loguru.logger.exception("question {} failed", question)
            return b""

    def answer_page(self, request: bytes) -> bytes:
        """Returns a part of the configuration's snapshot."""
        for participant in self._participants:
            answer = getattr(participant, "answer_page", None)
            if answer is not None:
                page = answer(request)
                self.budget.charge(len(page), self._clock.monotonic())
                return page
        return b""

    async def ask(self, peer: instances.Instance) -> bool:
        """Exchanges envelopes with a peer now, to hear how it stands."""
        if self._link is None:
            return False
        return await self._envelopes.exchange(self._link, peer, fresh=False)

    async def probe(
        self, link: peering_contract.PeerLink, peer: instances.Instance
    ) -> None:
        """Exchanges envelopes with a peer and judges it by the outcome.

        A connection that went silent proves nothing: the peer is called on a
        new one, then by others, before it is suspected.
        """
        reached = await self._envelopes.exchange(link, peer, fresh=False)
        if not reached:
            self.counters.silent += 1
            reached = await self._envelopes.exchange(link, peer, fresh=True)
            self.counters.renewed += reached
        if not reached:
            reached = await self._reach_through_others(link, peer)
            self.counters.indirect += reached
        now = self._clock.monotonic()
        if reached:
            self._members.probe_succeeded(peer, now)
        else:
            self._members.probe_failed(peer, now)
            link.forget(peer)

    async def _probe_loop(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Probes one peer a period; a slow probe delays no other."""
        while True:
            self._members.tick(self._clock.monotonic())
            peer = self._members.next_probe()
            if peer is not None:
                group.start_soon(self.probe, link, peer)
            jitter = self._rng.uniform(0.9, 1.1)
            await anyio.sleep(membership.PERIOD_S * jitter)

    async def _remote_loop(self, link: peering_contract.PeerLink) -> None:
        """Talks to one delegate of another data centre a period."""
        while True:
            await anyio.sleep(REMOTE_PERIOD_S * self._rng.uniform(0.9, 1.1))
            peer = self._others.next_remote()
            if peer is not None and not await self._envelopes.exchange(
                link, peer, fresh=False
            ):
                await self._envelopes.exchange(link, peer, fresh=True)

    async def _hurry_loop(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Tells a few random peers at once when asked to."""
        while True:
            await self._hurry.wait()
            await anyio.sleep(HURRY_PAUSE_S)
            await self._wait_for_bytes()
            self._hurry = anyio.Event()
            fanout, self._hurry_fanout = self._hurry_fanout, 1
            me = self._members.me.instance
            peers = self._members.helpers(me.instance_id, fanout)
            if self._wants_delegate:
                self._wants_delegate = False
                peers[-1:] = self._others.near_delegates()[:1]
            for peer in peers:
                group.start_soon(self._tell, link, peer)
            for _ in range(REMOTE_FANOUT):
                remote = self._others.next_remote()
                if remote is not None:
                    group.start_soon(self._tell, link, remote)
            await anyio.sleep(1.0 / MAX_HURRIED_PER_S)

    async def _push_loop(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Tells all peers near, or one in each data centre, when asked to."""
        while True:
            await self._push.wait()
            await anyio.sleep(HURRY_PAUSE_S)
            self._push = anyio.Event()
            near, self._pushed = self._pushed, set()
            far, self._pushed_far = self._pushed_far, set()
            now = self._clock.monotonic()
            me = self._members.me.instance
            for peer in self._members.live(me.data_centre) if near else ():
                if peer.instance_id != me.instance_id:
                    self._push_to(link, group, peer, near)
            for peer in self._others.one_in_each(now) if far else ():
                self._push_to(link, group, peer, far)

    def _push_to(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
        peer: instances.Instance,
        topics: set[gossip.Topic],
    ) -> None:
        """Starts to tell a peer some topics' news."""
        now = self._clock.monotonic()
        for topic in sorted(topics):
            envelope = self._envelopes.compose_one(peer, topic, now)
            if envelope is not None:
                group.start_soon(self._envelopes.send, link, peer, envelope)

    async def _wait_for_bytes(self) -> None:
        """Waits until news fits; before, an exchange would only cost."""
        while True:
            now = self._clock.monotonic()
            seconds = self.budget.seconds_until(HURRY_BYTES, now)
            if seconds <= 0:
                return
            await anyio.sleep(seconds)

    async def _tell(
        self, link: peering_contract.PeerLink, peer: instances.Instance
    ) -> None:
        """Exchanges envelopes without judging the peer."""
        await self._envelopes.exchange(link, peer, fresh=False)

    async def _reach_through_others(
        self, link: peering_contract.PeerLink, subject: instances.Instance
    ) -> bool:
        """Asks a few peers whether they reach an instance."""
        answers: list[bool] = []

        async def ask(helper: instances.Instance) -> None:
            answer = await link.probe_via(helper, subject)
            answers.append(answer.unwrap_or(False))

        helpers = self._members.helpers(subject.instance_id, INDIRECT_PROBES)
        async with anyio.create_task_group() as group:
            for helper in helpers:
                group.start_soon(ask, helper)
        return any(answers)

    def _on_change(self, record: records.Record) -> None:
        """Passes on what changed near: a refutation must beat the verdict."""
        home = self._members.me.instance.data_centre
        if record.instance.data_centre == home:
            self.hurry()
