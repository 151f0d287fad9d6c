"""Finds peers through the addresses that the settings name."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.instances import peering

FIRST_PERIOD_S = 0.5
PERIOD_S = 10.0


@attrs.frozen
class Seeds:
    """Asks the seeds that no known instance answers for.

    A seed's name is unknown until it has answered; its address stands in for
    it. One that is known is left to the ordinary probes.

    Attributes:
        addresses: Host and port of each seed.
        members: Instances known.
        peering: Calls peers.
    """

    addresses: Sequence[tuple[str, int]]
    members: membership.Membership
    peering: peering.Peering

    async def run(self) -> None:
        """Asks until cancelled; often while no peer is known."""
        while True:
            for address in self._unknown():
                await self.peering.ask(_placeholder(*address))
            alone = len(self.members.live()) < 2
            await anyio.sleep(FIRST_PERIOD_S if alone else PERIOD_S)

    def _unknown(self) -> list[tuple[str, int]]:
        """Returns the addresses of no live instance, this one included."""
        held = {(one.host, one.port) for one in self.members.live()}
        return [each for each in self.addresses if each not in held]


def parse_address(text: str) -> tuple[str, int]:
    """Splits `HOST:PORT`; the settings have checked it."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def _placeholder(host: str, port: int) -> instances.Instance:
    """Makes an instance that has only an address."""
    return instances.Instance(
        identifiers.InstanceId(f"{host}:{port}"),
        identifiers.BootId(""),
        identifiers.DataCentreId(""),
        host,
        port,
    )
