"""The daemon `cardamomforkd`: serves requests until it receives a signal."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
import capnp
import cyclopts
from loguru import logger
import result

from cardamomfork._internal import embedded
from cardamomfork._internal import exceptions
from cardamomfork._internal import wiring
from cardamomfork._internal.composition import process as process_module
from cardamomfork._internal.gateway import signal_handling
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links import tls
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.settings import loader
from cardamomfork._internal.telemetry import bounded_output
from cardamomfork._internal.telemetry import logs

if TYPE_CHECKING:
    from cardamomfork._internal.links.callers import application

BALANCER_REMOVAL_DELAY_S = 0.5
"""Time for which `/readyz` reports not ready before the listener closes.

Load balancers need it to remove the instance.
"""


class DaemonProgram:
    """The program, with the signals that the process receives."""

    def __init__(self, signals: signal_queue.SignalQueue) -> None:
        """Initializes the program.

        Args:
            signals: Signals received since the start of the process.
        """
        self._signals = signals
        self._stop_signal: signal.Signals | None = None
        self._stop_requested = anyio.Event()

    def run(
        self,
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
        output = bounded_output.BoundedOutput(sys.stderr.fileno())
        logs.configure(
            loaded_settings.telemetry.log_level,
            output,
            instance_id=loaded_settings.instance.instance_id,
            data_centre=loaded_settings.instance.data_centre,
        )
        stop_signal = signal_handling.find_stop_signal(self._signals)
        if stop_signal is not None:
            logger.bind(signal=stop_signal.name).info("stopped")
            return
        anyio.run(
            self._serve,
            loaded_settings,
            output,
            backend_options=event_loop.BACKEND_OPTIONS,
        )

    async def _serve(
        self,
        settings: settings_models.DaemonSettings,
        output: bounded_output.BoundedOutput,
    ) -> None:
        """Serves until a signal, and until all admitted requests have ended.

        Args:
            settings: Settings of the daemon.
            output: Receives the state dumps.
        """
        async with (
            capnp.kj_loop(),
            embedded.running_if_enabled(settings) as environment,
        ):
            process = process_module.make_process(environment.settings)
            callers_tls = tls.make_server_tls(settings.callers.tls)
            await environment.configure(process.platform.store)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._handle_signals, process, callers_tls, output
                )
                if await self._start(process, tasks):
                    keys = environment.wrap_verifier(process.serving.keys)
                    if callers_tls is not None:
                        tasks.start_soon(callers_tls.watch)
                    server = _make_server(process, keys, callers_tls)
                    tasks.start_soon(self._drain, process, server)
                    await server.serve()
                self._log_stop()
                tasks.cancel_scope.cancel()
            await process.close()

    async def _start(
        self, process: process_module.Process, tasks: anyio.abc.TaskGroup
    ) -> bool:
        """Starts a process; returns False if a signal to stop arrives."""
        async with anyio.create_task_group() as waits:

            async def cancel_on_stop() -> None:
                await self._stop_requested.wait()
                waits.cancel_scope.cancel()

            waits.start_soon(cancel_on_stop)
            await process.start(tasks)
            waits.cancel_scope.cancel()
        return self._stop_signal is None

    async def _handle_signals(
        self,
        process: process_module.Process,
        callers_tls: tls.ServerTls | None,
        output: bounded_output.BoundedOutput,
    ) -> None:
        """Handles signals until cancelled."""

        def handle(received: signal.Signals) -> None:
            if received in signal_queue.STOP_SIGNALS:
                self._stop_signal = self._stop_signal or received
                self._stop_requested.set()
            elif received == signal_queue.RELOAD_SIGNAL:
                _reload(process, callers_tls)
            elif received == signal.SIGUSR1:
                process.instrumentation.write_dump(output)

        await signal_handling.handle(self._signals, handle)

    async def _drain(
        self, process: process_module.Process, server: http_server.HttpServer
    ) -> None:
        """Drains the process at the first signal to stop.

        The process reports not ready immediately and stops accepting
        connections once its requests have ended or the drain timeout has
        passed.
        """
        await self._stop_requested.wait()
        if self._stop_signal is not None:
            logger.info(f"draining after {self._stop_signal.name}")
        process.serving.requests.drain()
        with anyio.move_on_after(process.settings.instance.drain_timeout_s):
            await anyio.sleep(BALANCER_REMOVAL_DELAY_S)
            await process.finish()
        server.stop()

    def _log_stop(self) -> None:
        """Logs the end of the process."""
        name = "" if self._stop_signal is None else self._stop_signal.name
        logger.bind(signal=name).info("stopped")


def _reload(
    process: process_module.Process, callers_tls: tls.ServerTls | None
) -> None:
    """Loads changed TLS files; other settings need a restart."""
    parts = (callers_tls, process.fleet.peer_tls, process.operators.tls)
    count = sum(part.reload() for part in parts if part is not None)
    logger.bind(count=count).info("files reloaded")


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


def main(signals: signal_queue.SignalQueue) -> None:
    """Runs the program; writes the reason to stderr if it cannot start.

    Args:
        signals: Signals received since the start of the process.
    """
    program = cyclopts.App(name="cardamomforkd")
    program.default(DaemonProgram(signals).run)
    try:
        program()
    except exceptions.CardamomforkError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(1)
    finally:
        signals.ignore()
