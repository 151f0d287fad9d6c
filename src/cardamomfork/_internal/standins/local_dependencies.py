"""What the fleet gives to an instance, for one that is alone."""

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
    """Passes what engines tell to the dispatcher alone."""

    dispatcher: dispatching.Dispatcher

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Takes a load report."""
        self.dispatcher.observe_load(report, now)

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Takes a cache event; False asks for a resync."""
        return self.dispatcher.observe_cache(event)

    def observe_fault(self, fault: targets.TargetFault) -> None:
        """Leaves it to the requests to find out."""


class LocalLimiter:
    """Limits the requests that run at once in this process."""

    def __init__(self) -> None:
        """Starts without accounts."""
        self._max_concurrent: dict[identifiers.AccountName, int] = {}
        self._running: collections.Counter[identifiers.AccountName] = (
            collections.Counter()
        )

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Takes an account's current limits."""
        self._max_concurrent[account.name] = account.max_concurrent

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets an account."""
        self._max_concurrent.pop(name, None)

    def admit(
        self,
        account: identifiers.AccountName,
        prompt_tokens: int,
        now: float,  # noqa: ARG002
    ) -> result.Result[limiting.Grant, outcomes.Refusal]:
        """Takes one request's share, or refuses it with a retry time."""
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
        """Gives back the concurrency that a grant holds."""
        self._running[grant.account] -= 1


def make_local_dependencies() -> request_dependencies.RequestDependencies:
    """Makes a dispatcher and a limiter that know of no peers."""
    dispatcher = fleet_dispatcher.FleetDispatcher(random.Random())
    return request_dependencies.RequestDependencies(
        identifiers.new_boot_id(),
        dispatcher,
        LocalLimiter(),
        DispatcherUpdates(dispatcher),
    )
