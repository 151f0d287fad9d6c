"""Encodes memory reservation orders to engines."""

from __future__ import annotations

import functools

import msgspec

from cardamomfork._internal.models import engine_orders
from cardamomfork._internal.models import fleet

PATH = b"/-/order"


class _Reserve(msgspec.Struct, rename="camel"):
    """Reserves KV memory; a repeated id renews the reservation."""

    id: str
    tokens: int
    hold_ms: int
    operation: str = "reserve"


class _Release(msgspec.Struct, rename="camel"):
    """Releases the reservation with an id."""

    id: str
    operation: str = "release"


def encode(order: engine_orders.Order, target: fleet.TargetRecord) -> bytes:
    """Encodes an order as an HTTP request to a target."""
    body = msgspec.json.encode(_to_message(order))
    head = (
        b"POST %b HTTP/1.1\r\nhost: %b\r\ncontent-type: application/json\r\n"
        b"x-cardamomfork-target-instance: %b\r\ncontent-length: %d\r\n\r\n"
    ) % (
        PATH,
        f"{target.host}:{target.port}".encode(),
        target.target_id.encode("latin-1"),
        len(body),
    )
    return head + body


@functools.singledispatch
def _to_message(order: object) -> msgspec.Struct:
    """Converts an order to its wire message."""
    raise TypeError(f"{type(order).__name__} is not an order")


@_to_message.register
def _(order: engine_orders.ReserveMemory) -> msgspec.Struct:
    return _Reserve(
        order.reservation_id, order.tokens, round(order.hold_s * 1000)
    )


@_to_message.register
def _(order: engine_orders.ReleaseMemory) -> msgspec.Struct:
    return _Release(order.reservation_id)
