"""How evenly the known load is spread over the targets of a service."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import target_table


def highest_over_mean(
    table: target_table.TargetTable, load: load_view.LoadView
) -> float:
    """Returns the spread of the most uneven service.

    The spread is the highest over the mean number of running requests of a
    target, as known to this instance. It is 1 if the load is even, the number
    of targets if one runs all requests, and 0 if none runs.
    """
    counts: collections.defaultdict[str, list[int]] = collections.defaultdict(
        list
    )
    for target in table.list_all():
        record = target.record
        counts[record.service].append(load.count_running(record.target_id))
    return max(
        (
            max(running) * len(running) / sum(running)
            for running in counts.values()
            if any(running)
        ),
        default=0.0,
    )
