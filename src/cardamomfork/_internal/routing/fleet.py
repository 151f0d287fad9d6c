"""Configured services, their target views, and their engine pools."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from cardamomfork._internal.models import configuration
from cardamomfork._internal.routing import pools
from cardamomfork._internal.targets import views

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.models import targets

MAX_DRAINED_TARGETS = 20_000

PoolKey = tuple["identifiers.ServiceName", str]


class Fleet:
    """All targets, in one pool for each service and model."""

    def __init__(
        self, planned_load: float, *, adjusts_weights: bool = True
    ) -> None:
        """Initializes a fleet without services.

        Args:
            planned_load: Planned load of each engine that accepts long
                prompts, as a ratio of its capacity. It may exceed 1, because
                the work also accounts for the KV memory that prompts occupy.
            adjusts_weights: Whether a target whose speed declines slowly
                loses weight.
        """
        self._planned_load = planned_load
        self._adjusts_weights = adjusts_weights
        self._services: dict[
            identifiers.ServiceName, configuration.Service
        ] = {}
        self._views: dict[identifiers.TargetId, views.TargetView] = {}
        self._pools: dict[PoolKey, pools.Pool] = {}
        self._pool_keys_by_target: dict[
            identifiers.TargetId, list[PoolKey]
        ] = {}
        self._drained: collections.OrderedDict[identifiers.TargetId, None] = (
            collections.OrderedDict()
        )

    @property
    def all_views(self) -> Iterable[views.TargetView]:
        """The views of all targets."""
        return self._views.values()

    @property
    def all_pools(self) -> Iterable[tuple[PoolKey, pools.Pool]]:
        """All pools with their keys."""
        return self._pools.items()

    def service(
        self, name: identifiers.ServiceName
    ) -> configuration.Service | None:
        """Returns a service, or None if it is not configured."""
        return self._services.get(name)

    def view(self, target_id: identifiers.TargetId) -> views.TargetView | None:
        """Returns the view of a target, or None if it is not known."""
        return self._views.get(target_id)

    def pool_for(self, request: requests.Request) -> pools.Pool | None:
        """Returns the pool for a request, or None if it is not configured."""
        service = self._services.get(request.service)
        if service is None:
            return None
        models = self._models(service)
        model = request.model or models[0]
        if models == ("",):
            model = ""
        return self._pools.get((request.service, model))

    def apply(self, service: configuration.Service, now: float) -> None:
        """Applies a service's configuration."""
        self._services[service.name] = service
        for target in service.targets:
            self._apply_target(target)
        models = self._models(service)
        for key in [k for k in self._pools if k[0] == service.name]:
            if key[1] not in models:
                del self._pools[key]
        for model in models:
            key = (service.name, model)
            if key not in self._pools:
                self._pools[key] = pools.Pool(
                    self._planned_load, adjusts_weights=self._adjusts_weights
                )
        self._rebuild(service, now)
        self._drop_unused_targets()

    def remove(self, name: identifiers.ServiceName) -> None:
        """Removes a service, its pools, and targets no longer in use."""
        self._services.pop(name, None)
        for key in [k for k in self._pools if k[0] == name]:
            del self._pools[key]
        self._drop_unused_targets()

    def set_drained(
        self, target_id: identifiers.TargetId, is_drained: bool, now: float
    ) -> None:
        """Sets whether a target is drained and gets no new work."""
        if is_drained:
            self._drained[target_id] = None
            self._drained.move_to_end(target_id)
            if len(self._drained) > MAX_DRAINED_TARGETS:
                self._drained.popitem(last=False)
        else:
            self._drained.pop(target_id, None)
        view = self._views.get(target_id)
        if view is not None and view.is_drained != is_drained:
            view.is_drained = is_drained
            self.rebuild_pools_of(target_id, now)

    def rebuild_pools_of(
        self, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Rebuilds the pools of all services that include a target."""
        for service in self._services.values():
            if any(t.target_id == target_id for t in service.targets):
                self._rebuild(service, now)

    def refresh(self, view: views.TargetView, now: float) -> None:
        """Updates whether a target is free in each of its pools."""
        for key in self._pool_keys_by_target.get(view.target.target_id, ()):
            self._pools[key].refresh(view, now)

    def _apply_target(self, target: targets.Target) -> None:
        """Applies a target's configuration."""
        view = self._views.get(target.target_id)
        if view is None:
            view = views.TargetView(target)
            view.is_drained = target.target_id in self._drained
            self._views[target.target_id] = view
        view.target = target

    def _rebuild(self, service: configuration.Service, now: float) -> None:
        """Rebuilds the pools of a service."""
        members = [self._views[t.target_id] for t in service.targets]
        members = [view for view in members if not view.is_leaving]
        for model in self._models(service):
            key = (service.name, model)
            eligible = [view for view in members if view.can_run(model)]
            self._pools[key].set_members(eligible, now)
        self._index_pools()

    def _index_pools(self) -> None:
        """Rebuilds the index from targets to their pools."""
        self._pool_keys_by_target.clear()
        for key, pool in self._pools.items():
            for view in pool.members:
                self._pool_keys_by_target.setdefault(view.target_id, []).append(
                    key
                )

    def _drop_unused_targets(self) -> None:
        """Drops targets that no service includes and that run no request."""
        configured_ids = {
            target.target_id
            for service in self._services.values()
            for target in service.targets
        }
        self._views = {
            target_id: view
            for target_id, view in self._views.items()
            if target_id in configured_ids or view.running > 0
        }
        self._index_pools()

    def _models(self, service: configuration.Service) -> tuple[str, ...]:
        """Returns the models of a service; an empty name means any model."""
        if service.kind is configuration.ServiceKind.PLAIN:
            return ("",)
        return service.models or ("",)
