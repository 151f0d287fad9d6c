"""Targets, services and requests for the routing tests."""

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import requests
from cardamomfork._internal.models import targets


def engine(number, memory_tokens=500, **options):
    """Returns an engine target with the id `e<number>`."""
    return targets.Target(
        target_id=f"e{number}",
        kind=targets.TargetKind.ENGINE,
        host="127.0.0.1",
        port=1,
        data_centre="here",
        exports_kv=options.pop("exports_kv", True),
        memory_tokens=memory_tokens,
        **options,
    )


def service(engines, memory_tokens=500, **options):
    """Returns the model service `s` with a number of engines."""
    return configuration.Service(
        name="s",
        kind=configuration.ServiceKind.MODEL,
        models=("m",),
        targets=tuple(
            engine(i, memory_tokens, **options) for i in range(engines)
        ),
    )


def request(name, prompt_tokens=100, deadline=100.0, **options):
    """Returns a request for the service `s`."""
    values = {
        "account": "acme",
        "service": "s",
        "api": requests.Api.COMPLETIONS,
        "body": b"",
        "max_tokens": 10,
        "arrived_at": 0.0,
    }
    values |= options
    return requests.Request(
        request_id=name,
        prompt_tokens=prompt_tokens,
        deadline=deadline,
        **values,
    )
