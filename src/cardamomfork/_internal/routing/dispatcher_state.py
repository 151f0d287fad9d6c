"""What the state dump shows of a dispatcher."""

from __future__ import annotations

import attrs


@attrs.frozen
class PoolState:
    """A pool.

    Attributes:
        service: Its service.
        model: Its model.
        engines: Engines that take work.
        sizes: Engines that take each size class.
        queued: Requests that wait, by size class.
        running: Requests on its engines.
    """

    service: str
    model: str
    engines: int
    sizes: tuple[int, ...]
    queued: tuple[int, ...]
    running: int


@attrs.frozen
class DispatcherState:
    """A dispatcher.

    Attributes:
        queued: Requests that wait.
        running: Requests under way.
        indexed_blocks: Blocks in the cache index.
        pools: The pools.
        weights: Weight of each target that lost some.
        trust: Trust in each target that lost some.
    """

    queued: int
    running: int
    indexed_blocks: int
    pools: tuple[PoolState, ...]
    weights: dict[str, float]
    trust: dict[str, float]
