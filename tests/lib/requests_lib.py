"""Requests and faults shared by the tests of the request path."""

from cardamomfork._internal.models import requests
from cardamomfork._internal.models import targets


def make_request(**changes):
    """Returns a request with default values for all other fields."""
    fields = {
        "request_id": "r1",
        "account": "acme",
        "service": "pool",
        "api": requests.Api.COMPLETIONS,
        "body": b"{}",
        "prompt_tokens": 10,
        "max_tokens": 10,
        "arrived_at": 0.0,
        "deadline": 60.0,
        "fingerprint": b"f" * 16,
    }
    return requests.Request(**{**fields, **changes})


def fault(kind, target_id="t1"):
    """Returns a target fault of a kind."""
    return targets.TargetFault(kind, target_id, "")
