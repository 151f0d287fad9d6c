"""The side of an instance that follows the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.crashes import crash_persistence
from cardamomfork._internal.gateway.state import store_handlers
from cardamomfork._internal.gateway.store import change_relay
from cardamomfork._internal.gateway.store import follower

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.wiring import known_state

CONFIGURATION_TASK = "configuration follower"
TARGETS_TASK = "targets follower"
CRASHES_TASK = "crashes follower"
CONFIGURATION_BATCH_DELAY_S = 0.5
TARGETS_BATCH_DELAY_S = 0.8
"""Pauses in which changes accumulate. They are far below the limits of some
seconds within which a new configuration and a leaving target must take
effect."""
CONFIGURATION_MAX_LAG_S = 1.0
TARGETS_MAX_LAG_S = 0.3
"""Times for which this instance may be behind a peer before it scans. A large
configuration takes some tenths of a second on a slow link."""


@attrs.frozen(eq=False)
class StoreSide:
    """Followers of the store.

    Attributes:
        configuration: Follows the configuration.
        targets: Follows the targets' entries.
        crashes: Follows the crash reports of all instances.
        crash_persistence: Keeps the crash reports of this instance.
    """

    configuration: follower.Follower
    targets: follower.Follower
    crashes: follower.Follower
    crash_persistence: crash_persistence.CrashPersistence


def create(
    known: known_state.KnownState,
    send_updates: Callable[[tuple[change_relay.Update, ...]], None],
    notify_crash: Callable[[], None],
) -> StoreSide:
    """Creates the followers without starting them.

    Args:
        known: What this instance knows.
        send_updates: Sends changes of targets' entries to peers.
        notify_crash: Notifies peers of crashes.
    """
    notify = known.notifications
    persistence = crash_persistence.CrashPersistence(
        known.platform_store,
        known.poison_guard,
        known.settings.instance_id,
        known.clock,
        notify.store_answered,
        notify_crash,
    )
    notify.crash_confirmed.connect(persistence.notify)
    return StoreSide(
        _make_follower(
            known,
            CONFIGURATION_TASK,
            follower.Subscription(
                # One poll returns the changes of the configuration and of the
                # orders to evacuate.
                known.wire.operators_prefix
                if known.evacuations.is_enabled
                else known.wire.configuration_key,
                CONFIGURATION_BATCH_DELAY_S,
                CONFIGURATION_MAX_LAG_S,
            ),
            store_handlers.ConfigurationHandler(
                known.fleet_state,
                notify.configuration_applied,
                known.wire,
                known.evacuations,
            ),
            must_poll=lambda: known.must_poll,
        ),
        _make_targets_follower(known, send_updates),
        _make_follower(
            known,
            CRASHES_TASK,
            follower.Subscription(
                crash_persistence.KEY_PREFIX,
                crash_persistence.FOLLOWER_BATCH_DELAY_S,
            ),
            persistence,
            # Digests carry most crashes, so no instance polls for them often.
            is_delegate=lambda: False,
            must_poll=lambda: known.must_poll,
        ),
        persistence,
    )


def _make_targets_follower(
    known: known_state.KnownState,
    send_updates: Callable[[tuple[change_relay.Update, ...]], None],
) -> follower.Follower:
    """Creates the follower of targets' entries, which pollers relay."""

    def send_if_poller(updates: tuple[change_relay.Update, ...]) -> None:
        if known.must_poll:
            send_updates(updates)

    handler = store_handlers.TargetsHandler(
        known.fleet_state, known.notifications.targets_changed
    )
    return _make_follower(
        known,
        TARGETS_TASK,
        follower.Subscription(
            known.wire.targets_prefix, TARGETS_BATCH_DELAY_S, TARGETS_MAX_LAG_S
        ),
        handler,
        must_poll=lambda: known.must_poll,
        relayed=follower.RelayedChanges(
            change_relay.ChangeRelay(
                send_if_poller,
                known.clock,
                lambda in_scan: known.fleet_state.may_have_lapsed(
                    in_scan=in_scan
                ),
            ),
            handler,
        ),
    )


def _make_follower(
    known: known_state.KnownState,
    task: str,
    subscription: follower.Subscription,
    handler: follower.Handler,
    is_delegate: Callable[[], bool] | None = None,
    must_poll: Callable[[], bool] | None = None,
    relayed: follower.RelayedChanges | None = None,
) -> follower.Follower:
    """Creates a follower of a key prefix in the store."""
    return follower.Follower(
        known.platform_store,
        subscription,
        handler,
        known.notifications.store_answered,
        is_delegate or (lambda: known.is_delegate),
        known.rng,
        must_poll,
        relayed,
        lambda error: known.supervisor.record_failure(task, error),
    )
