"""The daemon `cardamomforkd`: wires the parts and serves until a signal."""

from __future__ import annotations

import contextlib
import json
import random
import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import cyclopts
from loguru import logger

from cardamomfork._internal import embedded
from cardamomfork._internal import exceptions
from cardamomfork._internal.accounts import embedded as embedded_accounts
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import application
from cardamomfork._internal.links.callers import exchange
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.links.callers import sinks
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import registry
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.requests import admission
from cardamomfork._internal.requests import cancellation
from cardamomfork._internal.requests import directory
from cardamomfork._internal.requests import local_dispatcher
from cardamomfork._internal.requests import queueing
from cardamomfork._internal.requests import records
from cardamomfork._internal.requests import service

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cardamomfork._internal.models import configuration

IDLE_LOOK_S = 5.0
BALANCER_NOTICE_S = 0.5
"""Time to answer `/readyz` with "no" before connections are refused."""

_program = cyclopts.App(name="cardamomforkd")


@attrs.define
class Daemon:
    """The parts of one process.

    Attributes:
        settings: What it was started with.
        clock: The loop's clock.
        known: Services and accounts.
        links: Links to targets.
        dispatcher: Decides when and where requests run.
        limiter: Client accounts' limits.
        waiting_room: The queue's glue.
        canceller: Repeats cancels.
        heartbeats: Keeps idle streams alive.
        watch: Idle bounds of targets' streams.
        table: Records of requests.
        requests: The request service.
    """

    settings: settings_models.DaemonSettings
    clock: clock_contract.Clock
    known: directory.Directory
    links: registry.LinkRegistry
    dispatcher: local_dispatcher.LocalDispatcher
    limiter: embedded_accounts.LocalLimiter
    waiting_room: queueing.WaitingRoom
    canceller: cancellation.Canceller
    heartbeats: sinks.Heartbeats
    watch: idle.IdleWatch
    table: records.RecordTable
    requests: service.RequestService

    def apply_service(self, changed: configuration.Service) -> None:
        """Brings a service's configuration into force."""
        self.known.apply_service(changed)
        self.links.apply_service(changed)
        self.dispatcher.apply_service(changed)
        self.waiting_room.poll()

    def apply_account(self, changed: configuration.ClientAccount) -> None:
        """Brings an account's configuration into force."""
        self.known.apply_account(changed)
        self.limiter.apply_account(changed)


def wire(settings: settings_models.DaemonSettings) -> Daemon:
    """Makes the parts of a process; nothing runs yet."""
    clock = clock_contract.LoopClock()
    watch = idle.IdleWatch(IDLE_LOOK_S)
    links = registry.LinkRegistry(watch)
    dispatcher = local_dispatcher.LocalDispatcher()
    limiter = embedded_accounts.LocalLimiter()
    waiting_room = queueing.WaitingRoom(dispatcher, clock)
    canceller = cancellation.Canceller(random.Random())
    table = records.RecordTable()
    return Daemon(
        settings=settings,
        clock=clock,
        known=directory.Directory(),
        links=links,
        dispatcher=dispatcher,
        limiter=limiter,
        waiting_room=waiting_room,
        canceller=canceller,
        heartbeats=sinks.Heartbeats(settings.callers.heartbeat_s),
        watch=watch,
        table=table,
        requests=service.RequestService(
            clock=clock,
            limiter=limiter,
            ledger=None,
            waiting_room=waiting_room,
            links=links,
            canceller=canceller,
            table=table,
        ),
    )


def make_application(
    daemon: Daemon, keys: application.Authenticator
) -> application.CallerApplication:
    """Makes the application that callers talk to."""
    return application.CallerApplication(
        prompts=exchange.PromptExchange(
            service=daemon.requests,
            admission_rules=admission.Admission(daemon.known),
            heartbeats=daemon.heartbeats,
            clock=daemon.clock,
            callers=daemon.settings.callers,
        ),
        service=daemon.requests,
        table=daemon.table,
        authenticator=keys,
        clock=daemon.clock,
        data_centre=daemon.settings.instance.data_centre,
    )


async def serve(settings: settings_models.DaemonSettings) -> None:
    """Runs the process until a signal, then until its requests have ended."""
    daemon = wire(settings)
    async with (
        anyio.create_task_group() as tasks,
        _embedded_parts(daemon) as keys,
    ):
        server = _make_server(daemon, keys)
        tasks.start_soon(daemon.waiting_room.run)
        tasks.start_soon(daemon.canceller.run)
        tasks.start_soon(daemon.heartbeats.run)
        tasks.start_soon(daemon.watch.run)
        tasks.start_soon(_stop_on_signal, daemon, server)
        await server.serve()
        logger.info("stopped")
        tasks.cancel_scope.cancel()
    await daemon.links.close()


def _make_server(
    daemon: Daemon, keys: application.Authenticator
) -> http_server.HttpServer:
    """Binds the callers' side and logs the chosen port."""
    callers = daemon.settings.callers
    server = http_server.HttpServer(
        make_application(daemon, keys),
        http_server.bind(callers.host, callers.port),
        protocol.CallerProtocol,
        callers.max_connections,
    )
    logger.bind(callers_host=server.host, callers_port=server.port).info(
        "serving"
    )
    return server


@contextlib.asynccontextmanager
async def _embedded_parts(
    daemon: Daemon,
) -> AsyncIterator[application.Authenticator]:
    """Runs the embedded parts and brings their configuration into force."""
    async with embedded.running(daemon.settings.instance.data_centre) as parts:
        for one in parts.services:
            daemon.apply_service(one)
        daemon.apply_account(parts.account)
        yield embedded_accounts.EmbeddedKeys(parts.account.name, embedded.KEY)


async def _stop_on_signal(
    daemon: Daemon, server: http_server.HttpServer
) -> None:
    """Drains at the first signal: unready at once, then no connections."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if daemon.requests.draining:
                continue
            logger.bind(signal=signal.Signals(number).name).info("draining")
            daemon.requests.drain()
            with anyio.move_on_after(daemon.settings.instance.drain_timeout_s):
                await anyio.sleep(BALANCER_NOTICE_S)
                await daemon.requests.wait_until_idle()
            server.stop()


def _write_log(message: Any) -> None:
    """Writes one log record as a JSON line."""
    record = message.record
    members = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    sys.stderr.write(json.dumps(members, default=str) + "\n")


@_program.default
def run(
    *,
    embedded: bool = False,
    settings: str | None = None,
    port: int | None = None,
) -> None:
    """Serves prompts and calls until SIGTERM.

    Args:
        embedded: Run the embedded engine, service and account.
        settings: INI file with the settings.
        port: TCP port for callers in place of the settings' own; 0 picks one.
    """
    logger.remove()
    logger.add(_write_log)
    if settings is not None:
        raise exceptions.SettingsError(
            f"settings file {settings} can't be read yet.",
            "Start with --embedded.",
        )
    chosen = settings_models.DaemonSettings(embedded=embedded)
    if port is not None:
        callers = attrs.evolve(chosen.callers, port=port)
        chosen = attrs.evolve(chosen, callers=callers)
    anyio.run(serve, chosen, backend_options={"use_uvloop": True})


def main() -> None:
    """Runs the program."""
    _program()


if __name__ == "__main__":
    main()
