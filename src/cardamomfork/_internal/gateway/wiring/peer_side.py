"""The side of an instance that faces its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.peers import cold_permits
from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_recipients
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.peers import rate_permits
from cardamomfork._internal.gateway.wiring import store_side

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.state import peer_queues
    from cardamomfork._internal.gateway.store import change_relay
    from cardamomfork._internal.gateway.wiring import known_state
    from cardamomfork._internal.gateway.wiring import target_side


@attrs.frozen(eq=False)
class PeerSide:
    """Digests, permits and the followers whose changes peers exchange.

    Attributes:
        links: Sends digests and receives those of peers.
        cold_permits: Decides about permits for cold targets.
        rate_permits: Permits for requests to limited targets.
        fetcher: Fetches newer configurations of peers.
        followers: Followers of the store.
    """

    links: peer_links.PeerLinks
    cold_permits: cold_permits.ColdPermits
    rate_permits: rate_permits.RatePermits
    fetcher: configuration_fetching.ConfigurationFetcher
    followers: store_side.StoreSide


def create(
    known: known_state.KnownState,
    targets: target_side.TargetSide,
    on_peer_update: Callable[[], None],
    count_open_requests: Callable[[], int],
    list_waiting: Callable[[], tuple[peer_queues.WaitingClass, ...]],
) -> PeerSide:
    """Creates the side without opening a socket.

    Args:
        known: What this instance knows.
        targets: The side that faces targets.
        on_peer_update: Called after each new digest.
        count_open_requests: Returns the number of requests in progress.
        list_waiting: Returns the numbers of waiting requests.
    """
    notify = known.notifications

    # These parts are created before the links that they send through.
    def send_datagram(data: bytes, address: tuple[str, int]) -> None:
        links.send_datagram(data, address)

    def send_updates(updates: tuple[change_relay.Update, ...]) -> None:
        links.send_updates(updates)

    def notify_crash() -> None:
        links.notify_crash()

    def apply_fetched() -> None:
        followers.configuration.note_received(known.fleet_state.revision)
        notify.configuration_applied()

    for_cold_targets = cold_permits.ColdPermits(
        known.cold_targets,
        cold_permits.OwnerAuthority(
            known.peer_table,
            known.clock,
            lambda: known.stop_state.is_stopping,
        ),
        known.settings,
    )
    permits = rate_permits.RatePermits(
        targets.rate_limits,
        known.peer_table.find_owner,
        send_datagram,
        known.clock,
        for_cold_targets,
    )
    followers = store_side.create(
        known,
        send_updates,
        notify_crash,
    )
    fetcher = configuration_fetching.ConfigurationFetcher(
        known.fleet_state,
        configuration_fetching.HttpTransport(),
        known.rng,
        apply_fetched,
        known.settings.data_centre,
        lambda: not known.must_poll,
    )
    links = peer_links.PeerLinks(
        known.local_peer,
        known.peer_table,
        digest_recipients.RecipientSelector(
            known.settings.data_centre, known.peer_table, known.rng
        ),
        known.load_view,
        known.fleet_state,
        fetcher,
        known.poison_guard,
        targets.rate_limits,
        permits,
        known.cold_targets,
        followers.configuration,
        followers.targets,
        known.clock,
        on_peer_update,
        lambda: _reaches_targets(known, targets),
        count_open_requests,
        lambda: not known.fleet_state.is_store_lost,
        known.evacuations if known.evacuations.is_enabled else None,
        lambda digest: targets.access.data_centres.record_digest(
            digest.sender.data_centre,
            digest.sender.instance_id,
            known.clock(),
            leaves=digest.is_leaving,
        ),
        known.peer_queues,
        list_waiting,
        known.supervisor,
    )
    notify.capacity_changed.connect(links.notify)
    notify.reach_changed.connect(lambda: links.notify(is_urgent=True))
    notify.configuration_applied.connect(lambda: links.notify(is_urgent=True))
    notify.crash_confirmed.connect(links.notify_crash)
    notify.rate_limit_changed.connect(links.notify_rate_limit)
    notify.evacuations_changed.connect(links.notify_evacuation)
    return PeerSide(links, for_cold_targets, permits, fetcher, followers)


def _reaches_targets(
    known: known_state.KnownState, targets: target_side.TargetSide
) -> bool:
    """Returns whether peers may send requests over this instance."""
    return (
        not targets.access.reach.is_isolated
        and known.fleet_state.is_complete
        and not known.stop_state.is_stopping
    )
