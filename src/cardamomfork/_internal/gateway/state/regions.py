"""The regions in which a request may be served.

Routes and client accounts may name allowed regions. The newest configuration
counts, also for requests that arrived before it: it is asked again before each
choice of targets and right before sending.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.state import routes
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding


class RegionRules:
    """Tells which data centres may get a request, and which peers its body."""

    def __init__(
        self,
        settings: fleet.EntrySettings,
        find_routes: Callable[[], routes.RouteTable | None],
    ) -> None:
        """Initializes the rules.

        Args:
            settings: Settings with the regions of the data centres.
            find_routes: Returns the routes of the newest configuration.
        """
        self._settings = settings
        self._find_routes = find_routes

    def update_settings(self, settings: fleet.EntrySettings) -> None:
        """Applies changed settings."""
        self._settings = settings

    def region_of(self, data_centre: str) -> str:
        """Returns the region of a data centre, or an empty string."""
        region = self._settings.regions.get(data_centre, "")
        if not region and data_centre == self._settings.data_centre:
            return self._settings.region
        return region

    def allowed_data_centres(
        self, request: forwarding.CallerRequest, match: routes.Match
    ) -> frozenset[str] | None:
        """Returns the data centres that may get a request; None for all.

        A data centre whose region is not known is in no allowed region.
        """
        allowed = self._allowed_regions(request, match)
        if allowed is None:
            return None
        data_centres = {*self._settings.regions, self._settings.data_centre}
        return frozenset(
            data_centre
            for data_centre in data_centres
            if self.region_of(data_centre) in allowed
        )

    def may_pass(
        self,
        request: forwarding.CallerRequest,
        match: routes.Match,
        data_centre: str,
    ) -> bool:
        """Returns whether the body of a request may go to a peer.

        A peer in this instance's region may carry it if its caller is there
        too. A caller whose region is not known counts as elsewhere.

        Args:
            request: The request.
            match: The configuration at its arrival.
            data_centre: Data centre of the peer.
        """
        allowed = self._allowed_regions(request, match)
        if allowed is None:
            return True
        region = self.region_of(data_centre)
        own_region = self.region_of(self._settings.data_centre)
        is_home = bool(region) and region == own_region == request.region
        return region in allowed or is_home

    def _allowed_regions(
        self, request: forwarding.CallerRequest, match: routes.Match
    ) -> frozenset[str] | None:
        """Returns the allowed regions by the newest configuration."""
        table = self._find_routes()
        if table is None:
            return match.allowed_regions
        return table.allowed_regions(request, match)
