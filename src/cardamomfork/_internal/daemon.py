"""The daemon `cardamomforkd`: serves requests until it receives a signal."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

import anyio
import attrs
import capnp
import cyclopts
from loguru import logger
import result

from cardamomfork._internal import embedded
from cardamomfork._internal import exceptions
from cardamomfork._internal import wiring
from cardamomfork._internal.composition import process as process_module
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links import tls
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.settings import loader
from cardamomfork._internal.telemetry import logs

if TYPE_CHECKING:
    from cardamomfork._internal.links.callers import application

BALANCER_REMOVAL_DELAY_S = 0.5
"""Time for which `/readyz` reports not ready before the listener closes.

Load balancers need it to remove the instance.
"""

_program = cyclopts.App(name="cardamomforkd")


async def serve(settings: settings_models.DaemonSettings) -> None:
    """Serves until a signal arrives and all admitted requests have ended."""
    async with (
        capnp.kj_loop(),
        embedded.running_if_enabled(settings) as environment,
    ):
        process = process_module.make_process(environment.settings)
        await environment.configure(process.platform.store)
        async with anyio.create_task_group() as tasks:
            await process.start(tasks)
            keys = environment.wrap_verifier(process.serving.keys)
            server_tls = tls.make_server_tls(settings.callers.tls)
            if server_tls is not None:
                tasks.start_soon(server_tls.watch)
            server = _make_server(process, keys, server_tls)
            tasks.start_soon(_drain_on_signal, process, server)
            await server.serve()
            logger.info("stopped")
            tasks.cancel_scope.cancel()
        await process.close()


def _make_server(
    process: process_module.Process,
    keys: application.Authenticator,
    server_tls: tls.ServerTls | None,
) -> http_server.HttpServer:
    """Creates the server for callers and logs its address."""
    callers = process.settings.callers
    server = http_server.HttpServer(
        wiring.make_application(
            process.serving, keys, process.instrumentation.export.scrape
        ),
        http_server.open_listener(callers.host, callers.port),
        protocol.CallerProtocol,
        callers.max_connections,
        None if server_tls is None else server_tls.context,
    )
    logger.info(f"serving callers on {server.host}:{server.port}")
    return server


async def _drain_on_signal(
    process: process_module.Process, server: http_server.HttpServer
) -> None:
    """Drains the process at the first signal; ignores further signals.

    The process reports not ready immediately and stops accepting connections
    once its requests have ended or the drain timeout has passed.
    """
    is_draining = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signal_number in signals:
            if is_draining:
                continue
            is_draining = True
            logger.info(f"draining after {signal.Signals(signal_number).name}")
            process.serving.requests.drain()
            with anyio.move_on_after(process.settings.instance.drain_timeout_s):
                await anyio.sleep(BALANCER_REMOVAL_DELAY_S)
                await process.finish()
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
        port: TCP port for callers, overrides the settings; 0 selects free
            ports for callers, peers and operators.
    """
    loaded_settings = _load(settings, embedded)
    if port is not None:
        loaded_settings = _with_port(loaded_settings, port)
    logs.configure(
        loaded_settings.telemetry.log_level,
        instance_id=loaded_settings.instance.instance_id,
        data_centre=loaded_settings.instance.data_centre,
    )
    anyio.run(
        serve, loaded_settings, backend_options=event_loop.BACKEND_OPTIONS
    )


def _with_port(
    settings: settings_models.DaemonSettings, port: int
) -> settings_models.DaemonSettings:
    """Returns the settings with the port for callers replaced.

    Port 0 also resets the ports for peers and operators to 0.
    """
    callers = attrs.evolve(settings.callers, port=port)
    if port:
        return attrs.evolve(settings, callers=callers)
    return attrs.evolve(
        settings,
        callers=callers,
        peers=attrs.evolve(settings.peers, port=0),
        operators=attrs.evolve(settings.operators, port=0),
    )


def _load(path: str | None, embedded: bool) -> settings_models.DaemonSettings:
    """Loads the settings from a file; returns the defaults without a file.

    Raises:
        exceptions.SettingsError: The file is invalid.
    """
    if path is None:
        return settings_models.DaemonSettings(embedded=embedded)
    loaded = loader.load(path, embedded=embedded)
    if isinstance(loaded, result.Err):
        findings_text = "\n".join(str(finding) for finding in loaded.err_value)
        raise exceptions.SettingsError(
            f"{path} is invalid:\n{findings_text}",
            "\nCorrect the file and check it with `cardamomfork check-config`.",
        )
    return loaded.ok_value


def main() -> None:
    """Runs the program; writes the reason to stderr if it cannot start."""
    try:
        _program()
    except exceptions.CardamomforkError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(1)


if __name__ == "__main__":
    main()
