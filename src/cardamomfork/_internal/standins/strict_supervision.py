"""A supervisor that hides no failure from a test or a measurement."""

from __future__ import annotations

from cardamomfork._internal import exceptions
from cardamomfork._internal import supervision


class StrictSupervisor(supervision.Supervisor):
    """Ends the task group of a task at its first failure."""

    def record_failure(
        self,
        name: str,
        error: BaseException | None,
        *,
        reason: str = "",
        restart_s: float | None = None,
    ) -> None:
        """Raises the failure.

        Raises:
            BaseException: The failure.
        """
        super().record_failure(name, error, reason=reason, restart_s=restart_s)
        exceptions.check_invariant(error is not None, "a task goes on", name)
        if error is not None:
            raise error
