"""Dependencies of an instance that runs without peers."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.composition import request_dependencies
from cardamomfork._internal.contracts import limiting
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.routing import dispatcher as fleet_dispatcher

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import targets


@attrs.frozen
class DispatcherUpdates:
    """Forwards engine updates to the dispatcher only."""

    dispatcher: dispatching.Dispatcher

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Forwards a load report."""
        self.dispatcher.observe_load(report, now)

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Forwards a cache event; returns False to request a resync."""
        return self.dispatcher.observe_cache(event)

    def observe_fault(self, fault: targets.TargetFault) -> None:
        """Ignores the fault; requests detect it themselves."""


class LocalLimiter:
    """Limits each account's concurrent requests in this process."""

    def __init__(self) -> None:
        """Initializes the limiter without accounts."""
        self._max_concurrent: dict[identifiers.AccountName, int] = {}
        self._running: collections.Counter[identifiers.AccountName] = (
            collections.Counter()
        )

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Sets an account's current limit."""
        self._max_concurrent[account.name] = account.max_concurrent

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Removes an account's limit."""
        self._max_concurrent.pop(name, None)

    def admit(
        self,
        account: identifiers.AccountName,
        prompt_tokens: int,
        now: float,  # noqa: ARG002
    ) -> result.Result[limiting.Grant, outcomes.Refusal]:
        """Admits a request, or refuses it with a retry time."""
        if self._running[account] >= self._max_concurrent.get(account, 0):
            return result.Err(
                outcomes.refuse(
                    outcomes.RefusalReason.OVER_LIMIT,
                    "Too many requests of this account run at once.",
                    1.0,
                )
            )
        self._running[account] += 1
        return result.Ok(limiting.Grant(account, prompt_tokens))

    def release(self, grant: limiting.Grant, now: float) -> None:  # noqa: ARG002
        """Releases a grant's concurrency slot."""
        self._running[grant.account] -= 1


def make_local_dependencies() -> request_dependencies.RequestDependencies:
    """Creates a dispatcher and a limiter that use no peers."""
    dispatcher = fleet_dispatcher.FleetDispatcher(random.Random())
    return request_dependencies.RequestDependencies(
        identifiers.new_boot_id(),
        dispatcher,
        LocalLimiter(),
        DispatcherUpdates(dispatcher),
    )
