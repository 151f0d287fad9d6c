"""Exchanges envelopes with peers periodically, which also probes them.

Once per period the local instance exchanges envelopes with one random peer of
its data centre; the exchange is also the failure detector's probe. A delegate
also exchanges envelopes with one remote data centre. `hurry` triggers immediate
exchanges with a few peers, for updates that must spread within seconds. All
traffic is charged to one byte budget.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import loguru

from cardamomfork._internal import supervision
from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import envelope_exchange
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

    RequestHandler = Callable[[bytes], Awaitable[bytes]]

INDIRECT_PROBE_COUNT = 3
URGENT_FANOUT = 2
BATCHING_DELAY_S = 0.05
"""Delay in which several urgent updates are combined into one exchange."""
MIN_URGENT_BUDGET_BYTES = 3000
"""Budget that must be available before an urgent exchange."""
MAX_URGENT_ROUNDS_PER_S = 5.0
REMOTE_PERIOD_S = 1.0
URGENT_REMOTE_FANOUT = 3
SEED_RETRY_INTERVAL_S = 1.0
"""Interval between calls to seeds while no peer is known."""
SEED_INTERVAL_S = 30.0
TASK_NAME = "peer exchanges"


class Peering:
    """Runs the exchanges and answers those of peers.

    Attributes:
        budget: Byte budget of all envelopes.
        counters: Counters of exchanges and probes.
    """

    def __init__(
        self,
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
        participants: Sequence[gossip.Participant],
        budget: byte_budget.ByteBudget,
        clock: clock_contract.Clock,
        rng: random.Random,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the service; `run` starts the exchanges.

        Args:
            members: Membership table.
            others: Summaries of the data centres.
            participants: Components that gossip, at most one per topic.
            budget: Byte budget of all envelopes.
            clock: Source of monotonic time.
            rng: Random generator for jitter and the choice of peers.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._members = members
        self._summaries = others
        self._request_handlers: dict[int, RequestHandler] = {}
        self._exchanger = envelope_exchange.EnvelopeExchanger(
            members, participants, budget, clock
        )
        self._clock = clock
        self._rng = rng
        self._link: peering_contract.PeerLink | None = None
        self._urgent_requested = anyio.Event()
        self._push_requested = anyio.Event()
        self._local_push_topics: set[gossip.Topic] = set()
        self._remote_push_topics: set[gossip.Topic] = set()
        self._urgent_fanout = 1
        self._delegate_requested = False
        self._participants = participants
        members.subscribe(self._on_membership_change)
        self.budget = budget
        self.counters = self._exchanger.counters

    @property
    def bytes_by_topic(self) -> dict[gossip.Topic, int]:
        """Payload bytes sent, by topic."""
        return self._exchanger.bytes_by_topic

    def time_with(
        self, timed: Callable[[], contextlib.AbstractContextManager[None]]
    ) -> None:
        """Sets a context manager that measures envelope processing time.

        Args:
            timed: Returns a context manager. It is entered around the
                composition and delivery of envelopes; nothing is awaited
                inside it.
        """
        self._exchanger.time_with(timed)

    def hurry(self) -> None:
        """Requests an exchange with a few peers soon."""
        self._urgent_fanout = URGENT_FANOUT
        self._urgent_requested.set()

    def spread(self, topic: gossip.Topic) -> None:
        """Requests that a topic's update reaches the fleet within seconds."""
        self.hurry()
        self.push_far(topic)

    def push(self, topic: gossip.Topic) -> None:
        """Pushes a topic's updates to all peers of the data centre now."""
        self._local_push_topics.add(topic)
        self._push_requested.set()

    def push_far(self, topic: gossip.Topic) -> None:
        """Pushes a topic's updates to one delegate of each data centre now.

        Does nothing unless the local instance is a delegate: the updates of
        other instances reach the delegates by gossip.
        """
        if self._summaries.is_delegate:
            self._remote_push_topics.add(topic)
            self._push_requested.set()

    def catch_up(self) -> None:
        """Requests an exchange with one peer soon."""
        self._urgent_requested.set()

    def ask_delegate(self) -> None:
        """Requests an exchange with a local delegate soon."""
        self._delegate_requested = True
        self._urgent_requested.set()

    async def run(self, link: peering_contract.PeerLink) -> None:
        """Runs the exchange loops until cancelled.

        Args:
            link: Client for calls to peers. The peer server calls `handle`.
        """
        self._link = link
        async with anyio.create_task_group() as group:
            for name, loop, arguments in (
                ("peer probes", self._probe_loop, (link, group)),
                ("remote exchanges", self._remote_loop, (link,)),
                ("urgent exchanges", self._urgent_loop, (link, group)),
                ("pushes", self._push_loop, (link, group)),
            ):
                self._supervisor.start(
                    group,
                    name,
                    loop,
                    *arguments,
                    max_backoff_s=supervision.PROMPT_MAX_BACKOFF_S,
                )

    async def seek(
        self,
        link: peering_contract.PeerLink,
        seeds: Sequence[tuple[str, int]],
    ) -> None:
        """Contacts the configured seed addresses until cancelled.

        While no peer is known, the interval is shorter.

        Args:
            link: Client for calls to peers.
            seeds: Hosts and ports of the seeds.
        """
        local_instance = self._members.me.instance
        while seeds:
            host, port = self._rng.choice(list(seeds))
            seed_peer = attrs.evolve(
                local_instance,
                instance_id=identifiers.InstanceId(f"{host}:{port}"),
                host=host,
                port=port,
            )
            await self._exchanger.exchange(link, seed_peer, fresh=False)
            is_alone = len(self._members.live()) == 1
            interval_s = SEED_RETRY_INTERVAL_S if is_alone else SEED_INTERVAL_S
            await anyio.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    def handle(
        self, envelope: peering_contract.Envelope
    ) -> peering_contract.Envelope:
        """Processes a peer's envelope and returns the answer."""
        return self._exchanger.handle(envelope)

    async def probe_for(self, subject: instances.Instance) -> bool:
        """Probes an instance on behalf of a peer, on a new connection."""
        if self._link is None:
            return False
        return await self._exchanger.exchange(self._link, subject, fresh=True)

    def answer_with(
        self, question: peering_contract.PeerRequest, answerer: RequestHandler
    ) -> None:
        """Registers the handler of a kind of peer request.

        Args:
            question: Kind of request.
            answerer: Returns the answer to a request's payload.
        """
        self._request_handlers[question] = answerer

    async def answer(self, question: int, payload: bytes) -> bytes:
        """Answers a peer request; b"" if there is no handler or it failed."""
        answerer = self._request_handlers.get(question)
        if answerer is None:
            return b""
        try:
            return await answerer(payload)
        except Exception:  # noqa: BLE001 - a peer's bytes may be anything.
            self.counters.handler_errors += 1
            loguru.logger.exception("peer request {} failed", question)
            return b""

    def answer_page(self, request: bytes) -> bytes:
        """Returns a page of the configuration snapshot."""
        for participant in self._participants:
            answer = getattr(participant, "answer_page", None)
            if answer is not None:
                page = answer(request)
                self.budget.charge(len(page), self._clock.monotonic())
                return page
        return b""

    async def ask(self, peer: instances.Instance) -> bool:
        """Exchanges envelopes with a peer now; returns whether it answered."""
        if self._link is None:
            return False
        return await self._exchanger.exchange(self._link, peer, fresh=False)

    async def probe(
        self, link: peering_contract.PeerLink, peer: instances.Instance
    ) -> None:
        """Probes a peer by an exchange and updates the membership table.

        A failed exchange may be the fault of the connection alone. The peer
        is therefore called on a new connection, then through helpers, before
        it is suspected.
        """
        reached = await self._exchanger.exchange(link, peer, fresh=False)
        if not reached:
            self.counters.silent += 1
            reached = await self._exchanger.exchange(link, peer, fresh=True)
            self.counters.reconnected += reached
        if not reached:
            reached = await self._probe_indirectly(link, peer)
            self.counters.indirect += reached
        now = self._clock.monotonic()
        if reached:
            self._members.probe_succeeded(peer, now)
        else:
            self._members.probe_failed(peer, now)
            link.forget(peer)

    def _start(
        self,
        group: anyio.abc.TaskGroup,
        function: Callable[..., Awaitable[object]],
        *arguments: Any,
    ) -> None:
        """Starts an exchange whose failure leaves the others as they are."""
        group.start_soon(
            self._supervisor.run_once, TASK_NAME, function, *arguments
        )

    async def _probe_loop(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Starts one probe per period; a slow probe doesn't delay the next."""
        while True:
            self._members.tick(self._clock.monotonic())
            peer = self._members.next_probe()
            if peer is not None:
                self._start(group, self.probe, link, peer)
            jitter = self._rng.uniform(0.9, 1.1)
            await anyio.sleep(membership.PROBE_PERIOD_S * jitter)

    async def _remote_loop(self, link: peering_contract.PeerLink) -> None:
        """Exchanges envelopes with one remote instance per period."""
        while True:
            await anyio.sleep(REMOTE_PERIOD_S * self._rng.uniform(0.9, 1.1))
            peer = self._summaries.next_remote()
            if peer is not None and not await self._exchanger.exchange(
                link, peer, fresh=False
            ):
                await self._exchanger.exchange(link, peer, fresh=True)

    async def _urgent_loop(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Exchanges envelopes with a few random peers on request."""
        while True:
            await self._urgent_requested.wait()
            await anyio.sleep(BATCHING_DELAY_S)
            await self._wait_for_budget()
            self._urgent_requested = anyio.Event()
            fanout, self._urgent_fanout = self._urgent_fanout, 1
            local_instance = self._members.me.instance
            peers = self._members.helpers(local_instance.instance_id, fanout)
            if self._delegate_requested:
                self._delegate_requested = False
                peers[-1:] = self._summaries.near_delegates()[:1]
            for peer in peers:
                self._start(group, self._exchange_once, link, peer)
            for _ in range(URGENT_REMOTE_FANOUT):
                remote = self._summaries.next_remote()
                if remote is not None:
                    self._start(group, self._exchange_once, link, remote)
            await anyio.sleep(1.0 / MAX_URGENT_ROUNDS_PER_S)

    async def _push_loop(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Pushes requested topics to local peers and remote delegates."""
        while True:
            await self._push_requested.wait()
            await anyio.sleep(BATCHING_DELAY_S)
            self._push_requested = anyio.Event()
            local_topics, self._local_push_topics = (
                self._local_push_topics,
                set(),
            )
            remote_topics, self._remote_push_topics = (
                self._remote_push_topics,
                set(),
            )
            now = self._clock.monotonic()
            local_instance = self._members.me.instance
            for peer in (
                self._members.live(local_instance.data_centre)
                if local_topics
                else ()
            ):
                if peer.instance_id != local_instance.instance_id:
                    self._supervisor.call(
                        TASK_NAME,
                        self._push_to,
                        *(link, group, peer, local_topics),
                    )
            for peer in (
                self._summaries.one_in_each(now) if remote_topics else ()
            ):
                self._supervisor.call(
                    TASK_NAME,
                    self._push_to,
                    *(link, group, peer, remote_topics),
                )

    def _push_to(
        self,
        link: peering_contract.PeerLink,
        group: anyio.abc.TaskGroup,
        peer: instances.Instance,
        topics: set[gossip.Topic],
    ) -> None:
        """Starts tasks that send some topics' updates to a peer."""
        now = self._clock.monotonic()
        for topic in sorted(topics):
            envelope = self._exchanger.compose_one(peer, topic, now)
            if envelope is not None:
                self._start(group, self._exchanger.send, link, peer, envelope)

    async def _wait_for_budget(self) -> None:
        """Waits until the budget allows an envelope with payloads.

        An exchange without payloads would use bytes and spread nothing.
        """
        while True:
            now = self._clock.monotonic()
            wait_s = self.budget.seconds_until(MIN_URGENT_BUDGET_BYTES, now)
            if wait_s <= 0:
                return
            await anyio.sleep(wait_s)

    async def _exchange_once(
        self, link: peering_contract.PeerLink, peer: instances.Instance
    ) -> None:
        """Exchanges envelopes once; a failure does not suspect the peer."""
        await self._exchanger.exchange(link, peer, fresh=False)

    async def _probe_indirectly(
        self, link: peering_contract.PeerLink, subject: instances.Instance
    ) -> bool:
        """Returns whether one of a few helpers reaches the instance."""
        probe_results: list[bool] = []

        async def probe_through(helper: instances.Instance) -> None:
            probe_result = await link.probe_via(helper, subject)
            probe_results.append(probe_result.unwrap_or(False))

        helpers = self._members.helpers(
            subject.instance_id, INDIRECT_PROBE_COUNT
        )
        async with anyio.create_task_group() as group:
            for helper in helpers:
                group.start_soon(probe_through, helper)
        return any(probe_results)

    def _on_membership_change(self, record: records.Record) -> None:
        """Requests an exchange after a change in the local data centre.

        A refutation must reach the peers before they declare the instance
        dead.
        """
        local_data_centre = self._members.me.instance.data_centre
        if record.instance.data_centre == local_data_centre:
            self.hurry()
