"""Inputs of the order reconciler and the steps that it returns."""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets


@attrs.frozen
class OrderTiming:
    """Timing parameters of the order reconciler.

    Attributes:
        max_message_delay_s: Assumed upper bound of the delivery time of an
            order, in seconds. If an order arrives later than this, a state
            read detects its effect and the reconciler corrects it.
        clock_drift_ratio: Largest difference between the rates of two clocks,
            as a fraction of the elapsed time.
        loading_poll_s: Interval in seconds between state reads of an engine
            that is executing an order.
        steady_poll_s: Interval in seconds between state reads of an engine
            that already matches its order.
        load_timeout_s: Time in seconds after which an unfinished load is
            ordered again.
        switch_timeout_s: Time in seconds after which an unfinished unload or
            role change is ordered again.
        initial_backoff_s: Delay in seconds after the first failed step; it
            doubles with each further failure.
        max_backoff_s: Longest delay in seconds after a failed step.
    """

    max_message_delay_s: float = 5.0
    clock_drift_ratio: float = 0.01
    loading_poll_s: float = 2.0
    steady_poll_s: float = 30.0
    load_timeout_s: float = 600.0
    switch_timeout_s: float = 10.0
    initial_backoff_s: float = 1.0
    max_backoff_s: float = 60.0


@attrs.frozen
class WeightStoreBudget:
    """Limits on the load that one data centre puts on the weight store.

    Attributes:
        max_concurrent_loads: Largest number of concurrent loads.
        min_load_interval_s: Shortest time between the starts of two loads, in
            seconds.
    """

    max_concurrent_loads: int = 4
    min_load_interval_s: float = 1.0


@attrs.frozen
class HeldLease:
    """A lease that this instance holds.

    Attributes:
        fencing: Lease id, used as the fencing number; each later lease has a
            higher one.
        acquired_at: Monotonic time of the acquisition, in seconds.
        ttl_s: Time to live after a renewal, in seconds.
        valid_until: Monotonic time in seconds until which the lease is
            certainly valid: the time at which the last renewal was *sent*
            plus the time to live.
    """

    fencing: int
    acquired_at: float
    ttl_s: float
    valid_until: float


@attrs.frozen
class ObservedState:
    """Models and role that an engine reports.

    Attributes:
        models: Version of each loaded model; empty if the engine does not
            report versions.
        role: Role of the engine; empty if it does not report one.
    """

    models: dict[str, str]
    role: str = ""

    @classmethod
    def from_report(cls, report: targets.LoadReport) -> ObservedState:
        """Creates the state from a load report."""
        versions = report.versions or ("",) * len(report.models)
        return cls(
            dict(zip(report.models, versions, strict=False)), report.role
        )


class StepKind(enum.StrEnum):
    """Kind of exchange with an engine."""

    READ = "read"
    SEND = "send"


@attrs.frozen
class Step:
    """One exchange with an engine.

    The caller must report the outcome of each step to the reconciler.

    Attributes:
        kind: Whether to read the engine's state or to send the order.
        target_id: Target id of the engine.
        order: The order at the time of the decision.
        fencing: Fencing number of the lease under which the step was decided.
    """

    kind: StepKind
    target_id: identifiers.TargetId
    order: configuration.Order
    fencing: int

    @property
    def arguments(self) -> dict[str, str]:
        """Arguments that are sent to the engine with the action."""
        if self.order.action is configuration.OrderAction.ROLE:
            return {"role": self.order.role}
        return {"model": self.order.model, "version": self.order.model_version}


@attrs.frozen
class Decision:
    """Result of one reconciler run.

    Attributes:
        steps: Steps to start now.
        wake_at: Monotonic time of the next run if no event causes an earlier
            one; None if only an event can cause it.
    """

    steps: tuple[Step, ...]
    wake_at: float | None


def matches(
    order: configuration.Order,
    observed: ObservedState,
    accepted: configuration.Order | None = None,
) -> bool:
    """Returns whether an engine's observed state satisfies its order.

    Args:
        order: The order.
        observed: State that the engine reported.
        accepted: The order that the engine accepted last. It decides if the
            engine does not report its version or role.
    """
    if order.action is configuration.OrderAction.ROLE:
        return observed.role == order.role or (
            not observed.role and accepted == order
        )
    version = observed.models.get(order.model)
    if order.action is configuration.OrderAction.UNLOAD:
        return version is None
    if version is None:
        return False
    if not order.model_version or version == order.model_version:
        return True
    return not version and accepted == order
