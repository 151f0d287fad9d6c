"""Distributed prefill: computes parts of a long prompt on several engines.

A prompt that exceeds the memory of one engine is split into parts. Each
engine imports the KV cache of the earlier parts and computes its own. A part
is held under a separate reservation until the request ends.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.requests import reservations
    from cardamomfork._internal.requests import running


@attrs.frozen
class ExportedPart:
    """A computed part of a prompt whose KV cache can be imported.

    Attributes:
        source: Engine that holds the part.
        handle: Handle by which other engines import it.
    """

    source: targets.Target
    handle: str


class PartsTransfer:
    """Computes prompt parts and transfers their KV cache between engines."""

    def __init__(
        self,
        links: running.LinkFinder,
        local_reservations: reservations.LocalReservations,
        clock: clock_contract.Clock,
    ) -> None:
        """Initializes the transfer.

        Args:
            links: Links to the targets.
            local_reservations: Engine memory reservations of this instance.
            clock: Event loop clock.
        """
        self._links = links
        self._local_reservations = local_reservations
        self._clock = clock

    @contextlib.asynccontextmanager
    async def hold_parts(
        self,
        call: target_link.TargetCall,
        hops: Sequence[dispatching.PromptPart],
    ) -> AsyncIterator[result.Result[list[ExportedPart], targets.TargetFault]]:
        """Computes the parts of a prompt; holds them while the context is open.

        Args:
            call: Call with the body and time limit of the request.
            hops: Parts to compute, in order.
        """
        names: list[str] = []
        try:
            yield await self._compute_all(call, hops, names)
        finally:
            now = self._clock.monotonic()
            for name in names:
                self._local_reservations.begin_release(name, now)

    async def import_all(
        self,
        link: target_link.TargetLink,
        reservation: str,
        parts: Sequence[ExportedPart],
    ) -> targets.TargetFault | None:
        """Imports parts into an engine; returns None if all were imported."""
        for part in parts:
            import_result = await link.import_kv(
                reservation, part.handle, part.source
            )
            if isinstance(import_result, result.Err):
                return _as_not_run(import_result.err_value)
        return None

    async def _compute_all(
        self,
        call: target_link.TargetCall,
        hops: Sequence[dispatching.PromptPart],
        names: list[str],
    ) -> result.Result[list[ExportedPart], targets.TargetFault]:
        """Computes the parts in order; adds their reservations to `names`."""
        parts: list[ExportedPart] = []
        for hop in hops:
            link = self._links.find(hop.target_id)
            if link is None:
                return result.Err(
                    targets.TargetFault(
                        targets.FaultKind.UNREACHABLE,
                        hop.target_id,
                        "the target was removed",
                    )
                )
            attempt_id = identifiers.new_attempt_id()
            name = self._local_reservations.open(attempt_id, hop.target_id)
            names.append(name)
            part = await self._compute_part(
                attrs.evolve(
                    call,
                    attempt_id=attempt_id,
                    reservation=name,
                    part_tokens=hop.prompt_tokens,
                ),
                link,
                parts,
            )
            if isinstance(part, result.Err):
                return result.Err(_as_not_run(part.err_value))
            parts.append(part.ok_value)
        return result.Ok(parts)

    async def _compute_part(
        self,
        call: target_link.TargetCall,
        link: target_link.TargetLink,
        before: Sequence[ExportedPart],
    ) -> result.Result[ExportedPart, targets.TargetFault]:
        """Imports the earlier parts, computes the next one and exports it."""
        fault = await self.import_all(link, call.reservation, before)
        if fault is not None:
            return result.Err(fault)
        call_result = await link.call(call)
        if isinstance(call_result, result.Err):
            return call_result
        body = await _read_body(call_result.ok_value)
        if isinstance(body, result.Err):
            return body
        part = decoding.decode_bounded_json(body.ok_value, target_link.HeldPart)
        if isinstance(part, result.Err):
            return result.Err(
                targets.TargetFault(
                    targets.FaultKind.GARBLED,
                    link.target.target_id,
                    "the answer to a call for a part can't be read",
                )
            )
        export_result = await link.export_kv(
            call.reservation, part.ok_value.prefix_hash
        )
        return export_result.map(
            lambda handle: ExportedPart(link.target, handle)
        )


async def _read_body(
    stream: target_link.TargetStream,
) -> result.Result[bytes, targets.TargetFault]:
    """Reads an answer to its end."""
    parts: list[bytes] = []
    try:
        while True:
            data = await stream.receive()
            if isinstance(data, result.Err):
                return data
            if not data.ok_value:
                return result.Ok(b"".join(parts))
            parts.append(data.ok_value)
    finally:
        await stream.close()


def _as_not_run(fault: targets.TargetFault) -> targets.TargetFault:
    """Returns a part's fault as a fault that proves that nothing ran.

    Computing a part generates no tokens, so the request itself has not run.
    """
    return attrs.evolve(fault, kind=targets.FaultKind.REFUSED)
