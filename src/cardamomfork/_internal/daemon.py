"""The daemon `cardamomforkd`: wires the parts and serves until a signal."""

from __future__ import annotations

import contextlib
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
from cardamomfork._internal import wiring
from cardamomfork._internal.accounts import embedded as embedded_accounts
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links import tls
from cardamomfork._internal.links.callers import application
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.links.platform import gateway_store
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.settings import loader
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cardamomfork._internal.contracts import store as store_contract

BALANCER_NOTICE_S = 0.5
"""Time to answer `/readyz` with "no" before connections are refused."""

_program = cyclopts.App(name="cardamomforkd")


def _open_store(
    settings: settings_models.DaemonSettings,
) -> store_contract.Store:
    """Opens the platform's store, or the embedded one.

    Raises:
        exceptions.SettingsError: The settings name neither.
    """
    if settings.store.endpoints:
        return gateway_store.GatewayStore(settings.store)
    if not settings.embedded:
        raise exceptions.SettingsError(
            "the settings name no store.",
            "Set endpoints in [store], or start with --embedded.",
        )
    memory = store_standin.MemoryStore(clock_contract.LoopClock())
    return store_standin.StoreSession(memory)


async def serve(settings: settings_models.DaemonSettings) -> None:
    """Runs the process until a signal, then until its requests have ended."""
    daemon = wiring.wire(settings, _open_store(settings))
    async with (
        anyio.create_task_group() as tasks,
        _embedded_parts(daemon) as keys,
    ):
        secured = tls.make_server_tls(settings.callers.tls)
        if secured is not None:
            tasks.start_soon(secured.watch)
        server = _make_server(daemon, keys, secured)
        daemon.start(tasks)
        tasks.start_soon(_stop_on_signal, daemon, server)
        await server.serve()
        logger.info("stopped")
        tasks.cancel_scope.cancel()
    await daemon.links.close()


def _make_server(
    daemon: wiring.Daemon,
    keys: application.Authenticator,
    secured: tls.ServerTls | None,
) -> http_server.HttpServer:
    """Binds the callers' side and logs the chosen port."""
    callers = daemon.settings.callers
    server = http_server.HttpServer(
        wiring.make_application(daemon, keys),
        http_server.bind(callers.host, callers.port),
        protocol.CallerProtocol,
        callers.max_connections,
        None if secured is None else secured.context,
    )
    logger.info(f"serving callers on {server.host}:{server.port}")
    return server


@contextlib.asynccontextmanager
async def _embedded_parts(
    daemon: wiring.Daemon,
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
    daemon: wiring.Daemon, server: http_server.HttpServer
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
