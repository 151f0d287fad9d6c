"""The daemon `cardamomforkd`: wires the parts and serves until a signal."""

from __future__ import annotations

import contextlib
import random
import signal
import sys
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
import cyclopts
from loguru import logger
import result

from cardamomfork._internal import embedded
from cardamomfork._internal import exceptions
from cardamomfork._internal.accounts import embedded as embedded_accounts
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import application
from cardamomfork._internal.links.callers import exchange
from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.links.callers import sinks
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import registry
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.requests import admission
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import cancellation
from cardamomfork._internal.requests import directory
from cardamomfork._internal.requests import exchanging
from cardamomfork._internal.requests import queueing
from cardamomfork._internal.requests import records
from cardamomfork._internal.requests import running
from cardamomfork._internal.requests import service
from cardamomfork._internal.routing import baselines
from cardamomfork._internal.settings import loader
from cardamomfork._internal.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.contracts import limiting
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
        keys: Client accounts' keys.
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
    dispatcher: dispatching.Dispatcher
    limiter: limiting.Limiter
    keys: keys.KeyVerifier
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
        self.keys.apply_account(changed)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts what runs in the background."""
        tasks.start_soon(self.waiting_room.run)
        tasks.start_soon(self.canceller.run)
        tasks.start_soon(self.heartbeats.run)
        tasks.start_soon(self.watch.run)


def wire(settings: settings_models.DaemonSettings) -> Daemon:
    """Makes the parts of a process; nothing runs yet."""
    clock = clock_contract.LoopClock()
    watch = idle.IdleWatch(IDLE_LOOK_S)
    links = registry.LinkRegistry(watch)
    dispatcher = baselines.LeastLoadDispatcher()
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
        keys=keys.KeyVerifier(),
        waiting_room=waiting_room,
        canceller=canceller,
        heartbeats=sinks.Heartbeats(settings.callers.heartbeat_s),
        watch=watch,
        table=table,
        requests=service.RequestService(
            clock=clock,
            limiter=limiter,
            ledger=None,
            runner=running.Runner(
                waiting_room=waiting_room,
                links=links,
                exchanger=exchanging.AttemptExchanger(
                    clock, _reservation_namer(settings), _salt_of
                ),
                canceller=canceller,
                counters=attempts.FrameCounters(),
                chance=random.Random(),
            ),
            table=table,
        ),
    )


def _reservation_namer(
    settings: settings_models.DaemonSettings,
) -> Callable[[identifiers.AttemptId], str]:
    """Names reservations after this life of this instance."""
    instance_id = settings.instance.instance_id
    boot_id = identifiers.new_boot_id()
    return lambda attempt_id: f"{instance_id}/{boot_id}/{attempt_id}"


def _salt_of(account: identifiers.AccountName) -> str:
    """Returns the salt that keeps an account's cache entries its own."""
    return f"{prompts.seed_of(account):016x}"


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
        daemon.start(tasks)
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
    logger.info(f"serving callers on {server.host}:{server.port}")
    return server


@contextlib.asynccontextmanager
async def _embedded_parts(
    daemon: Daemon,
) -> AsyncIterator[application.Authenticator]:
    """Runs the embedded parts, if any, and puts them into force.

    Yields what checks the callers' keys.
    """
    if not daemon.settings.embedded:
        yield daemon.keys
        return
    async with embedded.running(daemon.settings.instance.data_centre) as parts:
        for one in parts.services:
            daemon.apply_service(one)
        daemon.apply_account(parts.account)
        yield embedded_accounts.EmbeddedKeys(
            parts.account.name, embedded.KEY, daemon.keys
        )


async def _stop_on_signal(
    daemon: Daemon, server: http_server.HttpServer
) -> None:
    """Drains at the first signal: unready at once, then no connections."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if daemon.requests.draining:
                continue
            logger.info(f"draining after {signal.Signals(number).name}")
            daemon.requests.drain()
            with anyio.move_on_after(daemon.settings.instance.drain_timeout_s):
                await anyio.sleep(BALANCER_NOTICE_S)
                await daemon.requests.wait_until_idle()
            server.stop()


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
    chosen = _load(settings, embedded)
    if port is not None:
        callers = attrs.evolve(chosen.callers, port=port)
        chosen = attrs.evolve(chosen, callers=callers)
    logs.configure(
        chosen.telemetry.log_level,
        instance_id=chosen.instance.instance_id,
        data_centre=chosen.instance.data_centre,
    )
    anyio.run(serve, chosen, backend_options={"use_uvloop": True})


def _load(path: str | None, embedded: bool) -> settings_models.DaemonSettings:
    """Returns the settings of a file, or the defaults.

    Raises:
        exceptions.SettingsError: The file has findings.
    """
    if path is None:
        return settings_models.DaemonSettings(embedded=embedded)
    loaded = loader.load(path, embedded=embedded)
    if isinstance(loaded, result.Err):
        found = "\n".join(str(finding) for finding in loaded.err_value)
        raise exceptions.SettingsError(
            f"{path} can't be used:\n{found}",
            "\nCorrect it and check it with `cardamomfork check-config`.",
        )
    return loaded.ok_value


def main() -> None:
    """Runs the program; a message on stderr says why it can't start."""
    try:
        _program()
    except exceptions.CardamomforkError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(1)


if __name__ == "__main__":
    main()
