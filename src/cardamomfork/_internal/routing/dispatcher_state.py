"""State of a dispatcher as written to the state dump."""

from __future__ import annotations

import attrs


@attrs.frozen
class PoolState:
    """State of a pool.

    Attributes:
        service: Service that the pool serves.
        model: Model that the pool serves.
        engines: Number of engines that accept work.
        sizes: Number of engines that accept each size class.
        queued: Number of queued requests of each size class.
        running: Number of requests on its engines.
    """

    service: str
    model: str
    engines: int
    sizes: tuple[int, ...]
    queued: tuple[int, ...]
    running: int


@attrs.frozen
class DispatcherState:
    """State of a dispatcher.

    Attributes:
        queued: Number of queued requests.
        running: Number of running requests.
        indexed_blocks: Number of blocks in the prefix index.
        pools: State of each pool.
        weights: Weight of each target whose weight is below 1.
        trust: Trust of each target whose trust is below 1.
    """

    queued: int
    running: int
    indexed_blocks: int
    pools: tuple[PoolState, ...]
    weights: dict[str, float]
    trust: dict[str, float]
