"""What the keeper of orders is told, and the steps that it asks for."""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets


@attrs.frozen
class OrderTiming:
    """Times of the keeper of orders, in seconds.

    Attributes:
        max_message_delay_s: Longest time that an order is under way; later
            ones are corrected by reading back.
        clock_drift_ratio: Most that two clocks differ, as a share of time.
        loading_poll_s: Pause between reads of an engine that is loading.
        steady_poll_s: Pause between reads of an engine that runs what was ordered.
        load_timeout_s: Longest time of a load before it is ordered again.
        switch_timeout_s: The same for an unload or a change of role.
        initial_backoff_s: Pause after a first failure; doubles with each.
        max_backoff_s: Longest pause after a failure.
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
    """What this keeper may take from the weight store.

    Attributes:
        max_concurrent_loads: Loads under way at the same time.
        min_load_interval_s: Least time between the starts of two, in seconds.
    """

    max_concurrent_loads: int = 4
    min_load_interval_s: float = 1.0


@attrs.frozen
class HeldLease:
    """A lease as its holder knows it.

    Attributes:
        fencing: The lease's id; a later holder's is higher.
        acquired_at: Monotonic time at which it was taken, in seconds.
        ttl_s: Time that it lives after a renewal, in seconds.
        valid_until: Monotonic time up to which it surely lives: the time at
            which the last renewal was *sent*, plus the time to live.
    """

    fencing: int
    acquired_at: float
    ttl_s: float
    valid_until: float


@attrs.frozen
class ObservedState:
    """What an engine says that it runs.

    Attributes:
        models: Version of each model; empty text where it does not tell.
        role: Its role; empty if it does not tell.
    """

    models: dict[str, str]
    role: str = ""

    @classmethod
    def from_report(cls, report: targets.LoadReport) -> ObservedState:
        """Takes it from a load report."""
        versions = report.versions or ("",) * len(report.models)
        return cls(
            dict(zip(report.models, versions, strict=False)), report.role
        )


class StepKind(enum.StrEnum):
    """What to do with an engine."""

    READ = "read"
    SEND = "send"


@attrs.frozen
class Step:
    """One exchange with an engine; its end must be told to the keeper.

    Attributes:
        kind: Read what runs, or send the order.
        target_id: The engine.
        order: The order as it stood when the step was decided.
        fencing: Number of the lease that it was decided under.
    """

    kind: StepKind
    target_id: identifiers.TargetId
    order: configuration.Order
    fencing: int

    @property
    def arguments(self) -> dict[str, str]:
        """What goes to the engine beside the action."""
        if self.order.action is configuration.OrderAction.ROLE:
            return {"role": self.order.role}
        return {"model": self.order.model, "version": self.order.model_version}


@attrs.frozen
class Decision:
    """Steps to take now, and when to ask again if nothing happens before."""

    steps: tuple[Step, ...]
    wake_at: float | None


def matches(
    order: configuration.Order,
    observed: ObservedState,
    accepted: configuration.Order | None = None,
) -> bool:
    """Tells whether an engine runs what was ordered.

    Args:
        order: The order.
        running: What the engine says.
        accepted: The order that it accepted last; it decides where the engine
            does not tell its version or role.
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
