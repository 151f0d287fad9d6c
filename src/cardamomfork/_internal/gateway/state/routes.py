"""Finds the route, service and client account of a request."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import result

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding


class Rejection(enum.Enum):
    """Why the configuration rejects a request, with the HTTP status."""

    NO_ROUTE = 404
    UNKNOWN_KEY = 401


@attrs.frozen
class Match:
    """The configuration that applies to a request.

    Attributes:
        route: The route that serves it.
        service: The chosen service of the route.
        account: The client account; None if the request has no known key and
            needs none.
        priority: Priority; 0 goes first.
        version: Version of the configuration.
        allowed_regions: Regions in which the request may be served, by route
            and account; None for any.
    """

    route: fleet.Route
    service: fleet.Service
    account: fleet.ClientAccount | None
    priority: int
    version: int
    allowed_regions: frozenset[str] | None = None

    @property
    def account_name(self) -> str:
        """Name of the client account; empty if there is none."""
        return self.account.name if self.account is not None else ""


class RouteTable:
    """Matches requests with one version of the configuration."""

    def __init__(self, configuration: fleet.FleetConfiguration) -> None:
        """Initializes the table and indexes the configuration."""
        self._configuration = configuration
        self._routes = {
            (route.host, route.prefix): route for route in configuration.routes
        }
        self._accounts = {
            key: account
            for account in configuration.accounts
            for key in account.api_keys
        }

    @property
    def configuration(self) -> fleet.FleetConfiguration:
        """The configuration that this table was made from."""
        return self._configuration

    def match(
        self, request: forwarding.CallerRequest, rng: random.Random
    ) -> result.Result[Match, Rejection]:
        """Finds the route, service and account of a request.

        Args:
            request: The request.
            rng: Random generator for the choice among the services of a route.
        """
        route = self._find_route(request.host, request.path)
        if route is None:
            return result.Err(Rejection.NO_ROUTE)
        account = self._accounts.get(request.api_key)
        if account is None and route.needs_key and self._configuration.accounts:
            return result.Err(Rejection.UNKNOWN_KEY)
        service = self._pick_service(route, rng)
        if service is None:
            return result.Err(Rejection.NO_ROUTE)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return result.Ok(
            Match(
                route,
                service,
                account,
                priority,
                self._configuration.version,
                _common_regions(route, account),
            )
        )

    def allowed_regions(
        self, request: forwarding.CallerRequest, match: Match
    ) -> frozenset[str] | None:
        """Returns the regions in which a request may be served; None for any.

        Args:
            request: The request.
            match: The configuration at its arrival, which counts for a route or
                an account that this one lacks.
        """
        route = self._find_route(request.host, request.path) or match.route
        account = self._accounts.get(request.api_key) or match.account
        return _common_regions(route, account)

    def _find_route(self, host: str, path: str) -> fleet.Route | None:
        """Returns the route with the longest matching prefix."""
        prefix_end = path.rfind("/")
        while prefix_end >= 0:
            route = self._routes.get((host, path[: prefix_end + 1]))
            if route is not None:
                return route
            prefix_end = path.rfind("/", 0, prefix_end)
        return None

    def _pick_service(
        self, route: fleet.Route, rng: random.Random
    ) -> fleet.Service | None:
        """Returns a random service of the route, by weight."""
        shares = [
            share
            for share in route.service_weights
            if share.weight > 0
            and share.service in self._configuration.services
        ]
        if not shares:
            return None
        if len(shares) == 1:
            service_name = shares[0].service
        else:
            weights = [share.weight for share in shares]
            service_name = rng.choices(shares, weights)[0].service
        return self._configuration.services[service_name]


def _common_regions(
    route: fleet.Route, account: fleet.ClientAccount | None
) -> frozenset[str] | None:
    """Returns the regions that route and account both allow; None for any."""
    by_account = account.allowed_regions if account is not None else None
    if route.allowed_regions is None:
        return by_account
    if by_account is None:
        return route.allowed_regions
    return route.allowed_regions & by_account
