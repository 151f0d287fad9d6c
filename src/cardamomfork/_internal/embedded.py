"""The embedded parts for trying out: an engine, a service, an account."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import engine
from cardamomfork._internal.standins import engine_runs
from cardamomfork._internal.standins import plain_service

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = "127.0.0.1"
KEY = "demo-key"
MODEL = "demo-model"
ENGINE = identifiers.TargetId("demo-engine")
LEDGER = identifiers.ServiceName("demo-ledger")


@attrs.frozen
class EmbeddedParts:
    """The running parts and the configuration that names them."""

    engine: engine.StandinEngine
    ledger: plain_service.StandinService
    account: configuration.ClientAccount
    services: tuple[configuration.Service, ...]


@contextlib.asynccontextmanager
async def running(
    data_centre: identifiers.DataCentreId,
) -> AsyncIterator[EmbeddedParts]:
    """Runs the embedded engine and service on free ports."""
    speed = engine_runs.EngineSpeed()
    demo_engine = engine.StandinEngine((MODEL,), speed)
    ledger = plain_service.StandinService()
    async with (
        anyio.create_task_group() as tasks,
        _serve(demo_engine) as engine_port,
        _serve(ledger) as ledger_port,
    ):
        tasks.start_soon(demo_engine.run)
        yield EmbeddedParts(
            engine=demo_engine,
            ledger=ledger,
            account=configuration.ClientAccount(
                identifiers.AccountName("demo")
            ),
            services=(
                _engine_service(data_centre, engine_port, speed),
                _ledger_service(data_centre, ledger_port),
            ),
        )
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _serve(application: object) -> AsyncIterator[int]:
    """Serves an application on a free port and yields the port."""
    server = http_server.HttpServer(
        application, http_server.bind(HOST, 0), protocol.CallerProtocol
    )
    async with server.running():
        yield server.port


def _engine_service(
    data_centre: identifiers.DataCentreId,
    port: int,
    speed: engine_runs.EngineSpeed,
) -> configuration.Service:
    """Configures the service of the embedded engine."""
    target = targets.Target(
        target_id=ENGINE,
        kind=targets.TargetKind.ENGINE,
        host=HOST,
        port=port,
        data_centre=data_centre,
        checks_fencing=True,
        exports_kv=True,
        memory_tokens=speed.memory_tokens,
        max_batch=speed.max_batch,
    )
    return configuration.Service(
        name=identifiers.ServiceName("demo"),
        kind=configuration.ServiceKind.MODEL,
        models=(MODEL,),
        targets=(target,),
    )


def _ledger_service(
    data_centre: identifiers.DataCentreId, port: int
) -> configuration.Service:
    """Configures the embedded plain service; its calls must not repeat."""
    target = targets.Target(
        target_id=identifiers.TargetId(LEDGER),
        kind=targets.TargetKind.PLAIN,
        host=HOST,
        port=port,
        data_centre=data_centre,
    )
    return configuration.Service(
        name=LEDGER,
        kind=configuration.ServiceKind.PLAIN,
        idempotent=False,
        targets=(target,),
    )
