"""Exchange of digests between entry instances over UDP.

An instance registers in the platform's store under a lease and reads the
entries of its peers when it starts. Afterwards it discovers peers by their
datagrams, so that it calls the store rarely and tolerates an outage of it. Each
digest holds the full state of its sender, so the next one replaces a lost one.
"""

from __future__ import annotations

import asyncio
import secrets
import typing
from typing import TYPE_CHECKING

import anyio
from loguru import logger
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal import supervision
from cardamomfork._internal.gateway.choice import placement_news
from cardamomfork._internal.gateway.peers import change_codec
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import digest_recipients
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.state import peer_queues
from cardamomfork._internal.gateway.store import entry_faults

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomfork._internal.gateway.crashes import poison_guard
    from cardamomfork._internal.gateway.peers import configuration_fetching
    from cardamomfork._internal.gateway.peers import peer_table
    from cardamomfork._internal.gateway.peers import rate_permits
    from cardamomfork._internal.gateway.state import cold_targets
    from cardamomfork._internal.gateway.state import crash_records
    from cardamomfork._internal.gateway.state import evacuations
    from cardamomfork._internal.gateway.state import fleet_state
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import rate_limits
    from cardamomfork._internal.gateway.store import change_relay
    from cardamomfork._internal.gateway.store import follower

TASK = "peer links"
"""Name under which failures are counted."""
HEARTBEAT_S = 0.5
CRASH_REPORT_INTERVAL_S = 0.5
"""Crash reports are in a digest at most this often, unless there is a new one.
Digests may follow each other within milliseconds."""
RATE_LIMIT_REPORT_INTERVAL_S = 0.5
"""The same for the limits of targets."""
EVACUATION_REPORT_INTERVAL_S = 0.5
"""The same for evacuations."""
COALESCE_S = 0.004
"""Changes within this time are sent in one digest."""
SMALL_FLEET_MAX_INSTANCES = 12
"""With more instances, the constants for large fleets apply."""
LARGE_FLEET_HEARTBEAT_S = 1.0
LARGE_FLEET_COALESCE_S = 0.006
"""Longer than in a small fleet, since each digest costs more."""
LARGE_FLEET_RELEASE_DELAY_S = 0.15
"""Changes that only free capacity are not urgent and wait for this time."""
INCARNATION_BITS = 63
NO_RELAY = b"\0"
RELAY = b"\1"
"""First byte of a datagram: whether the recipient forwards its digest."""


class PeerLinks(asyncio.DatagramProtocol):
    """Sends the state of this instance to peers and receives theirs."""

    def __init__(
        self,
        local_peer: digest_codec.Peer,
        table: peer_table.PeerTable,
        selector: digest_recipients.RecipientSelector,
        load: load_view.LoadView,
        state: fleet_state.FleetState,
        fetcher: configuration_fetching.ConfigurationFetcher,
        guard: poison_guard.PoisonGuard,
        limits: rate_limits.RateLimits,
        permits: rate_permits.RatePermits,
        cold: cold_targets.ColdTargets,
        configuration: follower.Follower,
        targets: follower.Follower,
        clock: Callable[[], float],
        on_peer_update: Callable[[], None],
        reaches_targets: Callable[[], bool] = lambda: False,
        count_open_requests: Callable[[], int] = lambda: 0,
        reaches_store: Callable[[], bool] = lambda: False,
        orders: evacuations.Evacuations | None = None,
        on_digest: Callable[[digest_codec.Digest], None] = lambda _: None,
        queues: peer_queues.PeerQueues | None = None,
        list_waiting: Callable[
            [], tuple[peer_queues.WaitingClass, ...]
        ] = tuple,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the links.

        Args:
            local_peer: This instance.
            table: Table of the peers.
            selector: Selects the recipients of digests.
            load: Requests placed by this instance and its peers.
            state: Configuration of this instance.
            fetcher: Fetches newer configurations of peers.
            guard: Records requests that crash targets.
            limits: Limits that targets put on the rate of requests.
            permits: Issues permits for requests to limited targets.
            cold: Decides until when targets are cold.
            configuration: Follower of the configuration.
            targets: Follower of the targets' entries.
            clock: Monotonic time.
            on_peer_update: Called after each new digest.
            reaches_targets: Returns whether peers may send requests over this
                instance.
            count_open_requests: Returns the number of requests in progress.
            reaches_store: Returns whether the store answers this instance.
            orders: Evacuations; None if they are not observed.
            on_digest: Called with each new digest, also one that came over a
                relay.
            queues: Numbers of requests that wait at peers.
            list_waiting: Returns those that wait here.
            supervisor: Counts failures; None for one of its own.
        """
        self._local_peer = local_peer
        self._table = table
        self._selector = selector
        self._load = load
        self._state = state
        self._fetcher = fetcher
        self._guard = guard
        self._rate_limits = limits
        self._permits = permits
        self._cold = cold
        self._configuration_follower = configuration
        self._targets_follower = targets
        self._clock = clock
        self._on_peer_update = on_peer_update
        self._reaches_targets = reaches_targets
        self._count_open_requests = count_open_requests
        self._reaches_store = reaches_store
        self._evacuations = orders
        self._on_digest = on_digest
        self._queues = queues or peer_queues.PeerQueues()
        self._list_waiting = list_waiting
        self._supervisor = supervisor or supervision.Supervisor()
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._sequence = 0
        self._is_leaving = False
        self._sent_at = -HEARTBEAT_S
        self._crashes_sent_at = -CRASH_REPORT_INTERVAL_S
        self._rate_limits_sent_at = -RATE_LIMIT_REPORT_INTERVAL_S
        self._evacuations_sent_at = -EVACUATION_REPORT_INTERVAL_S
        self._transport: asyncio.DatagramTransport | None = None
        self._digest_timer: asyncio.Handle | None = None
        self._digest_due_at = 0.0
        self._send_faults = entry_faults.EntryFaults("datagram not sent")
        self._malformed = entry_faults.EntryFaults("datagram dropped")
        self._receive_faults = entry_faults.EntryFaults("datagram not applied")

    async def run(self) -> None:
        """Opens the socket and sends heartbeats until cancelled.

        Raises:
            exceptions.CardamomforkError: The address can't be bound.
        """
        host, port = self._local_peer.host, self._local_peer.port
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=(host, port)
            )
        except OSError as error:
            raise exceptions.CardamomforkError(
                f"cannot receive datagrams on {host}:{port}.",
                "Set a free port or another address in the settings.",
            ) from error
        try:
            # The event loop closes the socket after some errors.
            while not transport.is_closing():
                for step in (
                    self._permits.observe,
                    self._send_heartbeat,
                    self._send_to_silent_peers,
                    self._expire_peers,
                ):
                    self._supervisor.call(TASK, step)
                await anyio.sleep(
                    HEARTBEAT_S
                    if self._table.count <= SMALL_FLEET_MAX_INSTANCES
                    else LARGE_FLEET_HEARTBEAT_S
                )
        finally:
            transport.close()

    def _send_heartbeat(self) -> None:
        """Sends a digest unless one was sent lately."""
        if self._clock() - self._sent_at >= HEARTBEAT_S:
            self.send()

    def _send_to_silent_peers(self) -> None:
        """Sends a digest to peers that may have been cut off."""
        if silent_peers := self._table.silent_peers:
            self._send_to(digest_recipients.Recipients(tuple(silent_peers)))

    def _expire_peers(self) -> None:
        """Drops what is known of peers that have fallen silent."""
        self._table.expire()
        for peer_id in self._load.expire_peers(self._clock()):
            logger.info("peer is silent", peer=peer_id)

    def notify_job(self, urgency: placement_news.Urgency) -> None:
        """Schedules a digest after a change of a job of this instance."""
        self.notify(
            is_urgent=urgency is not placement_news.Urgency.RELAXED,
            is_immediate=urgency is placement_news.Urgency.IMMEDIATE,
        )

    def notify(
        self, *, is_urgent: bool = False, is_immediate: bool = False
    ) -> None:
        """Schedules a digest after a change of this instance's state.

        Args:
            is_urgent: Whether peers could make wrong placements without it.
            is_immediate: Whether a large fleet must not wait for further
                changes. Small fleets always gather them.
        """
        loop = asyncio.get_running_loop()
        delay_s = COALESCE_S
        if self._table.count > SMALL_FLEET_MAX_INSTANCES:
            if is_immediate:
                delay_s = 0.0
            elif is_urgent:
                delay_s = LARGE_FLEET_COALESCE_S
            else:
                delay_s = LARGE_FLEET_RELEASE_DELAY_S
        due_at = loop.time() + delay_s
        if self._digest_timer is not None:
            if self._digest_due_at <= due_at:
                return
            self._digest_timer.cancel()
        # uvloop returns a handle without `when` if that time has passed.
        self._digest_due_at = due_at
        self._digest_timer = loop.call_at(due_at, self.send)

    def notify_crash(self) -> None:
        """Schedules a digest with crash reports after a new crash."""
        self._crashes_sent_at = -CRASH_REPORT_INTERVAL_S
        self.notify(is_urgent=True)

    def notify_rate_limit(self) -> None:
        """Schedules a digest with what targets state after a change."""
        self._rate_limits_sent_at = -RATE_LIMIT_REPORT_INTERVAL_S
        self.notify(is_urgent=True)

    def notify_evacuation(self) -> None:
        """Schedules a digest with the evacuations after a change."""
        self._evacuations_sent_at = -EVACUATION_REPORT_INTERVAL_S
        self.notify(is_urgent=True)

    def send(self) -> None:
        """Sends a digest of this instance to its peers now."""
        if self._digest_timer is not None:
            self._digest_timer.cancel()
            self._digest_timer = None
        sent_at = self._clock()
        self._send_to(self._selector.select())
        # After a failure, the next heartbeat is not left out.
        self._sent_at = sent_at

    def send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram that is no digest to the address of a peer."""
        if self._transport is not None and not self._transport.is_closing():
            with self._send_faults.contained(*address):
                self._transport.sendto(data, address)

    def send_updates(self, updates: tuple[change_relay.Update, ...]) -> None:
        """Sends changes of targets' entries to the peers that read them."""
        recipients = self._table.change_recipients()
        for update in updates:
            self._transmit(change_codec.encode(update), recipients)

    def leave(self) -> None:
        """Notifies peers that this instance is about to stop."""
        self._is_leaving = True
        self.notify()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def datagram_received(
        self,
        data: bytes,
        addr: tuple[str, int],
    ) -> None:
        """Processes a digest, an update, or a message about a permit."""
        with self._receive_faults.contained(addr[0], addr[1]):
            if data.startswith(permit_codec.REQUEST):
                self._permits.receive_request(data, addr)
            elif data.startswith(permit_codec.DECISION):
                self._permits.receive_answer(data)
            elif data.startswith(change_codec.UPDATE):
                self._receive_update(data, addr)
            else:
                self._receive_digest(data, addr)

    def _record_malformed(self, addr: tuple[str, int], reason: str) -> None:
        """Logs a malformed datagram, unless there have been many lately."""
        # The count is a new version, so that each one may be logged.
        self._malformed.record(addr[0], self._malformed.dropped, reason)

    def _receive_update(self, data: bytes, addr: tuple[str, int]) -> None:
        """Applies changes of targets' entries that a peer has received."""
        decoded = change_codec.decode(data)
        if isinstance(decoded, result.Err):
            self._record_malformed(addr, decoded.err_value)
            return
        update = decoded.ok_value
        if self._targets_follower.apply_update(update):
            logger.info(
                "targets updated",
                peer=addr[0],
                revision=update.revision,
                count=len(update.changes),
            )

    def _receive_digest(self, data: bytes, addr: tuple[str, int]) -> None:
        """Processes a digest, and forwards it if this instance is a relay."""
        now = self._clock()
        digest_bytes = data[1:]
        decoded = digest_codec.decode(digest_bytes, now).and_then(
            lambda digest: digest_codec.check_peer(digest.sender).map(
                lambda _: digest
            )
        )
        if isinstance(decoded, result.Err):
            self._record_malformed(addr, decoded.err_value)
            return
        digest = decoded.ok_value
        if digest.sender.instance_id == self._local_peer.instance_id:
            return
        if data.startswith(RELAY):
            self._transmit(
                NO_RELAY + digest_bytes,
                self._selector.select_local(digest.sender),
            )
        if not self._table.record_digest(digest):
            return
        self._on_digest(digest)
        self._load.replace_peer_jobs(
            digest.sender.instance_id, digest.jobs, now
        )
        self._queues.replace(digest.sender.instance_id, digest.waiting, now)
        for death in digest.deaths:
            self._guard.record_crash(death, now)
        for limit in digest.rate_limits:
            self._rate_limits.merge(limit)
        if self._evacuations is not None and digest.evacuations:
            self._evacuations.apply_reports(
                digest.evacuations, digest.sender.instance_id
            )
        for report in digest.cold_targets:
            self._cold.merge(report)
        self._fetcher.note_peer(digest.sender, digest.configuration_version)
        self._configuration_follower.note_peer_revision(
            digest.configuration_revision
        )
        self._targets_follower.note_peer_revision(digest.targets_revision)
        self._targets_follower.note_peer_keys(digest.target_keys)
        self._on_peer_update()

    def _send_to(self, recipients: digest_recipients.Recipients) -> None:
        """Encodes a digest of this instance and sends it to recipients."""
        now = self._clock()
        self._sequence += 1
        limits, cold = self._due_target_reports(now)
        data = digest_codec.encode(
            digest_codec.Digest(
                self._local_peer,
                self._incarnation,
                self._sequence,
                self._state.revision,
                self._state.version,
                self._targets_follower.last_change_revision,
                self._is_leaving,
                self._load.local_jobs,
                self._due_crash_reports(now),
                limits,
                self._reaches_targets(),
                self._count_open_requests(),
                exchanges_changes=True,
                reaches_store=self._reaches_store(),
                evacuations=self._due_evacuations(now),
                cold_targets=cold,
                waiting=self._list_waiting(),
                target_keys=self._targets_follower.known_keys,
            ),
            now,
        )
        # Relays come first, since their digests take two hops.
        self._transmit(RELAY + data, recipients.relays)
        self._transmit(NO_RELAY + data, recipients.direct)

    def _due_crash_reports(
        self, now: float
    ) -> tuple[crash_records.CrashReport, ...]:
        """Returns the crash reports of a digest that is sent now."""
        if now - self._crashes_sent_at < CRASH_REPORT_INTERVAL_S:
            return ()
        self._crashes_sent_at = now
        return tuple(self._guard.recent_crashes(now))

    def _due_target_reports(
        self, now: float
    ) -> tuple[
        tuple[rate_limits.RateLimitReport, ...],
        tuple[cold_targets.ColdReport, ...],
    ]:
        """Returns what a digest that is sent now reports of targets.

        These are the limits that they have named, and which of them are cold.
        """
        if now - self._rate_limits_sent_at < RATE_LIMIT_REPORT_INTERVAL_S:
            return (), ()
        self._rate_limits_sent_at = now
        return self._rate_limits.reports(), self._cold.reports()

    def _due_evacuations(
        self, now: float
    ) -> tuple[evacuations.Evacuation, ...]:
        """Returns the evacuations in a digest that is sent now."""
        if (
            self._evacuations is None
            or now - self._evacuations_sent_at < EVACUATION_REPORT_INTERVAL_S
        ):
            return ()
        self._evacuations_sent_at = now
        return self._evacuations.reports()

    def _transmit(
        self, data: bytes, recipients: Iterable[digest_codec.Peer]
    ) -> None:
        """Sends a datagram to each recipient."""
        if self._transport is None or self._transport.is_closing():
            return
        for peer in recipients:
            # One address must not keep datagrams from the other peers.
            with self._send_faults.contained(peer.instance_id, peer.port):
                self._transport.sendto(data, (peer.host, peer.port))
