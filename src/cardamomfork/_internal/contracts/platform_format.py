"""Interface to the names and wire formats of a platform."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    import result

    from cardamomfork._internal.models import engine_orders
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding


class PlatformFormat(Protocol):
    """Converts between a platform's wire formats and internal types."""

    @property
    def readiness_path(self) -> str:
        """HTTP path of the load balancer's readiness check."""
        ...

    @property
    def configuration_key(self) -> str:
        """Store key of the operators' configuration."""
        ...

    @property
    def operators_prefix(self) -> str:
        """Prefix of the configuration's key and of orders to evacuate."""
        ...

    @property
    def targets_prefix(self) -> str:
        """Prefix of the store keys under which targets register."""
        ...

    def decode_configuration(
        self, value: bytes, revision: int
    ) -> result.Result[fleet.FleetConfiguration, str]:
        """Decodes the operators' configuration."""
        ...

    def decode_evacuation(self, key: str) -> result.Result[str, str] | None:
        """Returns the data centre that a key orders to evacuate.

        Returns:
            The data centre, or an error if its name is malformed; None if the
            key is no such order.
        """
        ...

    def decode_target(
        self, key: str, value: bytes
    ) -> result.Result[fleet.TargetRecord, str]:
        """Decodes the registration of a target."""
        ...

    def target_id(self, key: str) -> str:
        """Returns the id of the target registered under a key."""
        ...

    def decode_request(
        self,
        method: str,
        raw_target: bytes,
        pairs: Iterable[tuple[bytes, bytes]],
    ) -> forwarding.CallerRequest:
        """Decodes the head of a caller's request."""
        ...

    def encode_request(
        self,
        request: forwarding.CallerRequest,
        sending: forwarding.Sending,
        body_bytes: int,
    ) -> bytes:
        """Encodes the head of a request to a target."""
        ...

    def decode_answer(
        self, status: int, pairs: Iterable[tuple[bytes, bytes]]
    ) -> forwarding.ResponseHead:
        """Decodes the head of a target's answer."""
        ...

    def encode_order(
        self, order: engine_orders.Order, target: fleet.TargetRecord
    ) -> bytes:
        """Encodes the request that sends an order to a target."""
        ...
