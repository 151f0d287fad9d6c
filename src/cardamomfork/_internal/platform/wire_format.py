"""Facade over the platform's wire formats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.platform import configuration_format
from cardamomfork._internal.platform import evacuation_orders
from cardamomfork._internal.platform import headers
from cardamomfork._internal.platform import orders
from cardamomfork._internal.platform import target_entries

if TYPE_CHECKING:
    from collections.abc import Iterable

    import result

    from cardamomfork._internal.models import engine_orders
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding


class WireFormat:
    """Implements the `PlatformFormat` contract."""

    @property
    def readiness_path(self) -> str:
        """Path of the load balancer's readiness check."""
        return headers.READINESS_PATH

    @property
    def configuration_key(self) -> str:
        """Key of the operators' configuration in the store."""
        return configuration_format.KEY

    @property
    def operators_prefix(self) -> str:
        """Key prefix of the configuration and of orders to evacuate."""
        return evacuation_orders.FOLLOWED_PREFIX

    @property
    def targets_prefix(self) -> str:
        """Key prefix of the targets' entries."""
        return target_entries.PREFIX

    def decode_configuration(
        self, value: bytes, revision: int
    ) -> result.Result[fleet.FleetConfiguration, str]:
        """Decodes the operators' configuration."""
        return configuration_format.decode(value, revision)

    def decode_evacuation(self, key: str) -> result.Result[str, str] | None:
        """Returns the data centre of an order; None for other keys."""
        return evacuation_orders.decode(key)

    def decode_target(
        self, key: str, value: bytes
    ) -> result.Result[fleet.TargetRecord, str]:
        """Decodes a target's entry."""
        return target_entries.decode(key, value)

    def target_id(self, key: str) -> str:
        """Returns the target id in an entry's key."""
        return key.removeprefix(target_entries.PREFIX)

    def decode_request(
        self,
        method: str,
        raw_target: bytes,
        pairs: Iterable[tuple[bytes, bytes]],
    ) -> forwarding.CallerRequest:
        """Decodes the head of a caller's request."""
        return headers.decode_request(method, raw_target, pairs)

    def encode_request(
        self,
        request: forwarding.CallerRequest,
        sending: forwarding.Sending,
        body_bytes: int,
    ) -> bytes:
        """Returns the head of a request to a target."""
        return headers.encode_request(request, sending, body_bytes)

    def decode_answer(
        self, status: int, pairs: Iterable[tuple[bytes, bytes]]
    ) -> forwarding.ResponseHead:
        """Decodes the head of a target's answer."""
        return headers.decode_answer(status, pairs)

    def encode_order(
        self, order: engine_orders.Order, target: fleet.TargetRecord
    ) -> bytes:
        """Encodes an order as an HTTP request to a target."""
        return orders.encode(order, target)
