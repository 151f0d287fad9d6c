"""Gateway objects for tests."""

import math

import attrs

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.peers import rate_permits
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.measure import engine_simulation
from cardamomfork._internal.measure import placing
from cardamomfork._internal.models import fleet

LAW = placing.ENGINE_COST_MODEL
ENGINES = fleet.Service("engines", 300, LAW)
PLAIN = fleet.Service("plain", 100)
GAP_S = 0.25
LONG_GAP_S = 1.0


class Clock:
    """A clock that tests set by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_settings(**changes):
    """Returns the settings of an entry instance."""
    fields = {
        "instance_id": "one",
        "data_centre": "a",
        "host": "127.0.0.1",
        "caller_port": 0,
        "readiness_host": "127.0.0.1",
        "readiness_port": 0,
        "peer_port": 0,
        "store_host": "127.0.0.1",
        "store_port": 0,
    }
    return fleet.EntrySettings(**(fields | changes))


def make_record(number, service="engines", **changes):
    """Returns the record of a target."""
    fields = {
        "target_id": f"t{number}",
        "service": service,
        "host": "127.0.0.1",
        "port": 9000 + number,
        "data_centre": "a",
        "slots": 8,
        "is_leaving": False,
        "started_at_ms": 1,
    }
    return fleet.TargetRecord(**(fields | changes))


def make_permits(limits, clock):
    """Returns the permits of an instance without peers."""
    return rate_permits.RatePermits(
        limits, lambda target_id: None, lambda data, address: None, clock
    )


def make_route(**changes):
    """Returns a route for event streams."""
    fields = {
        "name": "route",
        "host": "callers.example",
        "prefix": "/a/",
        "rule": fleet.RepeatPolicy.STREAM,
        "timeout_s": 10.0,
        "objective_s": 0.3,
        "priority": 1,
        "service_weights": (fleet.ServiceWeight("engines", 1.0),),
        "max_attempts": 2,
        "needs_key": True,
        "may_resume": True,
        "max_gap_s": GAP_S,
    }
    return fleet.Route(**(fields | changes))


def make_demand(tokens=5000, **changes):
    """Returns the demand of a request to the engines."""
    fields = {
        "job_id": "job",
        "service": ENGINES,
        "prompt_tokens": tokens,
        "output_tokens": 1500,
        "max_gap_s": GAP_S,
        "objective_left_s": 0.3,
        "time_left_s": 10.0,
    }
    return demands.Demand(**(fields | changes))


class Fleet(engine_simulation.Fleet):
    """A fleet on which tests start requests directly."""

    def __init__(
        self,
        engines=6,
        service="engines",
        seed=1,
        instances=1,
        slots=LAW.slots,
    ):
        cost_model = attrs.evolve(LAW, slots=slots)
        super().__init__(cost_model, engines, instances, seed, service)

    def run(self, target_id, job_id, tokens=5000, *, writing=True, **changes):
        """Starts a request on a target."""
        fields = {
            "job_id": job_id,
            "target_id": target_id,
            "parts": (),
            "prompt_tokens": tokens,
            "output_tokens": 1500,
            "max_gap_s": GAP_S,
            "value": demands.request_value(tokens),
            "reads_until": 0.0,
            "is_writing": writing,
            "ends_at": math.inf,
        }
        self.load.start(load_view.Job(**(fields | changes)))
