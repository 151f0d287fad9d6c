"""What the gateway needs of a platform's names and formats."""

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
    """Translates between a platform's wire and the project's types."""

    @property
    def readiness_path(self) -> str:
        """Path on which the balancer asks whether an instance is ready."""
        ...

    @property
    def configuration_key(self) -> str:
        """Key of the operators' configuration in the store."""
        ...

    @property
    def targets_prefix(self) -> str:
        """Beginning of the keys under which targets register."""
        ...

    def decode_configuration(
        self, value: bytes, revision: int
    ) -> result.Result[fleet.FleetConfiguration, str]:
        """Decodes the operators' configuration."""
        ...

    def decode_target(
        self, key: str, value: bytes
    ) -> result.Result[fleet.TargetRecord, str]:
        """Decodes a target's entry."""
        ...

    def target_id(self, key: str) -> str:
        """Returns the id of the target that an entry belongs to."""
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
        """Returns the head of a request to a target."""
        ...

    def decode_answer(
        self, status: int, pairs: Iterable[tuple[bytes, bytes]]
    ) -> forwarding.AnswerHead:
        """Decodes the head of a target's answer."""
        ...

    def encode_order(
        self, order: engine_orders.Order, target: fleet.TargetRecord
    ) -> bytes:
        """Returns the request that gives an order to a target."""
        ...
