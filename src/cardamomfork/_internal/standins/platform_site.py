"""Builds settings, configuration and entries in the users' platform's formats.

Harnesses use it to set up sites; `_internal.platform` decodes these formats.
"""

from __future__ import annotations

import os
import pathlib
import sys
import time
from typing import Any

import anyio
import attrs
import msgspec
import result

from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.models import settings
from cardamomfork._internal.platform import configuration_format
from cardamomfork._internal.platform import node_settings
from cardamomfork._internal.platform import store_client

HOST = "127.0.0.1"
ENTRY_PROGRAM = pathlib.Path(__file__).parents[3] / "cardamomforkd_entry.py"
STORE_MODULE = "cardamomfork._internal.standins.store_server"
DATA_CENTRE = "a"
RETRY_INTERVAL_S = 0.1
MAX_ATTEMPTS = 100


@attrs.frozen
class Ports:
    """Ports of one entry instance.

    Attributes:
        callers: Requests of callers.
        readiness: Readiness checks of the load balancer.
        peers: Other instances, over TCP and UDP.
        metrics: Metrics and the dump.
    """

    callers: int
    readiness: int
    peers: int
    metrics: int


@attrs.frozen
class Route:
    """A route of the configuration.

    Attributes:
        prefix: Path prefix.
        kind: Retry rule, as the platform names it.
        service: Service that receives the requests.
        timeout_ms: Time limit of a request, in milliseconds.
        host: Host that callers address.
    """

    prefix: str
    kind: str
    service: str
    timeout_ms: int
    host: str = "soak.example"


def make_settings(
    name: str,
    ports: Ports,
    store_address: str,
    *,
    data_centre: str = DATA_CENTRE,
    stop_grace_s: float = 8.0,
    evacuate_ms: int = 0,
    regions: dict[str, str] | None = None,
    limits: dict[str, int] | None = None,
) -> str:
    """Returns the contents of an instance's settings file.

    Args:
        name: Name of the instance.
        ports: Its ports.
        store_address: Address of the store.
        data_centre: Data centre that it runs in.
        stop_grace_s: Time from SIGTERM to SIGKILL, in seconds.
        evacuate_ms: Bound for evacuations, in milliseconds; 0 for none.
        regions: Region of each data centre; None if the file states none.
        limits: Limits of the process by name, such as `memoryMb`; None if the
            file states none.
    """
    limit_lines = "".join(
        f"{limit} = {value}\n" for limit, value in (limits or {}).items()
    )
    zones = "".join(
        f'"{zone}" = "{region}"\n' for zone, region in (regions or {}).items()
    )
    own_region = (regions or {}).get(data_centre, "")
    bounds = f"evacuateMs = {evacuate_ms}\n" if evacuate_ms else ""
    return (
        f'nodeName = "{name}"\nzone = "{data_centre}"\n'
        f'region = "{own_region}"\n'
        f"portRange = [{ports.peers},{ports.peers}]\n"
        f'[listen]\nfront = "{HOST}:{ports.callers}"\n'
        f'readyAddr = "{HOST}:{ports.readiness}"\n'
        f'[platform]\naddress = "{store_address}"\n'
        f"[bounds]\ngraceS = {stop_grace_s:.0f}\n{bounds}"
        f"[metrics]\nport = {ports.metrics}\n[zones]\n{zones}"
        + (f"[limits]\n{limit_lines}" if limits else "")
    )


def make_entry_command(path: pathlib.Path) -> tuple[list[str], dict[str, str]]:
    """Returns an instance's command line and additional environment.

    As in the deployment, packages are found by the path alone.
    """
    environment = {
        node_settings.PATH_VARIABLE: str(path),
        "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
    }
    return [sys.executable, "-S", str(ENTRY_PROGRAM)], environment


def make_configuration(
    version: int,
    routes: tuple[Route, ...],
    services: tuple[dict[str, Any], ...],
    accounts: dict[str, list[str]],
    allowed_regions: dict[str, list[str]] | None = None,
    limits: dict[str, int] | None = None,
) -> bytes:
    """Encodes a configuration in the operators' format.

    Args:
        version: Version of the configuration.
        routes: Routes.
        services: Services in the platform's format.
        accounts: API keys by client account; if empty, no key is required.
        allowed_regions: Allowed regions by client account; those without any
            may be served anywhere.
        limits: Limits on callers by name, such as `maxHeaderBytes`; None for
            the defaults.
    """
    return msgspec.json.encode(
        {
            "version": version,
            "limits": limits or {},
            "routes": [
                {
                    "name": route.prefix.strip("/"),
                    "host": route.host,
                    "prefix": route.prefix,
                    "kind": route.kind,
                    "service": route.service,
                    "timeoutMs": route.timeout_ms,
                    "targetLatencyMs": 500,
                    "maxAttempts": 1 if route.kind == "unsafe" else 2,
                    "streamResume": True,
                    "targetGapMs": 500,
                    "allowAnonymous": not accounts,
                }
                for route in routes
            ],
            "services": list(services),
            "tenants": [
                {
                    "name": name,
                    "apiKeys": keys,
                    "allowedRegions": (allowed_regions or {}).get(name),
                }
                for name, keys in accounts.items()
            ],
        }
    )


def make_client(store_address: str) -> store_client.PlatformStore:
    """Returns a client of the store."""
    return store_client.PlatformStore(
        settings.StoreSettings((store_address,), prefix="")
    )


async def publish(
    client: store_client.PlatformStore, configuration: bytes
) -> None:
    """Writes a configuration to the store, with retries.

    Raises:
        TimeoutError: The store accepted none of the writes.
    """
    for _ in range(MAX_ATTEMPTS):
        found = await client.get(configuration_format.KEY)
        if isinstance(found, result.Ok):
            entry = found.ok_value
            expected = entry.version if entry else store_contract.ABSENT
            written = await client.put(
                configuration_format.KEY, configuration, expected=expected
            )
            if written.is_ok():
                return
        await anyio.sleep(RETRY_INTERVAL_S)
    raise TimeoutError("the store accepted no write of the configuration")


def make_entry(
    service: str, port: int, slots: int, data_centre: str = DATA_CENTRE
) -> dict[str, Any]:
    """Returns the entry with which a target registers."""
    return {
        "service": service,
        "address": f"{HOST}:{port}",
        "zone": data_centre,
        "version": "v1",
        "slots": slots,
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
