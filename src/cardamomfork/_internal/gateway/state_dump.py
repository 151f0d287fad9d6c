"""Parts of the dump of an entry instance's state."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.state import fingerprints

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.crashes import poison_guard
    from cardamomfork._internal.gateway.state import evacuations
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import target_table


def dump_targets(
    table: target_table.TargetTable, load: load_view.LoadView, now: float
) -> list[dict[str, Any]]:
    """Returns the entry, health and load of each target."""
    return [
        {
            **attrs.asdict(target.record),
            "pace": round(target.slowdown(now), 2),
            "failures": round(target.decayed_failure_rate(now), 2),
            "paused_s": round(max(target.paused_until - now, 0.0), 2),
            "rest_s": round(table.rest_left_s(target.record, now), 2),
            "cold_s": round(max(target.cold_until - now, 0.0), 2),
            "cold_per_s": target.cold_per_s,
            "rate_limit": target.rate_limit and attrs.asdict(target.rate_limit),
            "load": attrs.asdict(load.load(target.record.target_id, now)),
        }
        for target in table.list_all()
    ]


def dump_evacuations(known: evacuations.Evacuations) -> dict[str, Any]:
    """Returns the known orders to evacuate data centres, and their ends."""
    return {
        "is_known": known.is_known,
        "data_centres": [attrs.asdict(one) for one in known.reports()],
    }


def dump_blocked(
    guard: poison_guard.PoisonGuard, now: float
) -> list[dict[str, Any]]:
    """Returns the blocked requests with the crashes that they caused."""
    return [
        {
            "fingerprint": fingerprints.format_fingerprint(fingerprint),
            "crashes": guard.crash_count(fingerprint),
            "remaining_s": round(guard.block_remaining_s(fingerprint, now), 1),
        }
        for fingerprint in guard.blocked(now)
    ]
