"""Reports what the limits of connections did, to logs and the state dump."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from cardamomfork._internal.links import connection_table
    from cardamomfork._internal.links import held_memory

LOG_INTERVAL_S = 1.0


class ConnectionReport:
    """Counts of the connections of all ports."""

    def __init__(
        self,
        tables: dict[str, connection_table.ConnectionTable],
        memory: held_memory.ConnectionMemory,
    ) -> None:
        """Initializes a report of which nothing has been logged.

        Args:
            tables: Connections of each port, by name.
            memory: What they hold.
        """
        self._tables = tables
        self._memory = memory
        self._logged = 0
        self._log_at = 0.0

    def dump(self) -> dict[str, Any]:
        """Returns the counts for a state dump."""
        ports: dict[str, Any] = {
            name: {
                "open": len(table),
                "evicted": table.evicted,
                "refused": table.refused,
                "statuses": {
                    str(status): count
                    for status, count in table.refusals.items()
                },
            }
            for name, table in self._tables.items()
        }
        accounts = self._memory.accounts.items()
        return {
            **ports,
            "held_bytes": {name: one.total for name, one in accounts},
            "released": {name: one.released for name, one in accounts},
        }

    def log(self, now: float) -> None:
        """Logs closed connections and refused requests, once a second.

        Args:
            now: Monotonic time.
        """
        tables = self._tables.values()
        evicted = sum(table.evicted for table in tables)
        refused = sum(table.refused for table in tables)
        refusals = sum(sum(table.refusals.values()) for table in tables)
        released = sum(
            account.released for account in self._memory.accounts.values()
        )
        count = evicted + refusals + released
        if count == self._logged or now < self._log_at:
            return
        logger.warning(
            "connections limited",
            count=count - self._logged,
            detail=f"in all: {evicted} evicted, {refused} not accepted,"
            f" {refusals} requests refused,"
            f" {released} held too much",
        )
        self._logged = count
        self._log_at = now + LOG_INTERVAL_S
