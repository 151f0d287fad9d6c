"""The daemon `cardamomforkd`: serves requests until it receives a signal."""

from __future__ import annotations

import functools
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
from cardamomfork._internal import supervision
from cardamomfork._internal import wiring
from cardamomfork._internal.composition import process as process_module
from cardamomfork._internal.gateway import signal_handling
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.links import connection_limits
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.links import held_memory
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


EVENT_LOOP_TASK = "event loop"
"""Name under which failures of callbacks of the event loop are counted."""
SIGNALS_TASK = "signals"
STOP_TASK = "planned stop"


class DaemonProgram:
    """The program, with the signals that the process receives."""

    def __init__(self, signals: signal_queue.SignalQueue) -> None:
        """Initializes the program.

        Args:
            signals: Signals received since the start of the process.
        """
        self._signals = signals

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
            await environment.configure(process.platform.store)
            keys = environment.wrap_verifier(process.serving.keys)
            serving = ServingProcess(process, keys, self._signals, output)
            await serving.run()


class ServingProcess:
    """A process from its start to a planned stop."""

    def __init__(
        self,
        process: process_module.Process,
        keys: application.Authenticator,
        signals: signal_queue.SignalQueue,
        output: bounded_output.BoundedOutput,
    ) -> None:
        """Initializes the process without starting it.

        Args:
            process: The components.
            keys: Verifies the keys of callers.
            signals: Signals received since the start of the process.
            output: Receives the state dumps.
        """
        self._process = process
        self._signals = signals
        self._output = output
        self._stop_signal: signal.Signals | None = None
        self._stop_requested = anyio.Event()
        callers = process.settings.callers
        self._callers_tls = tls.make_server_tls(callers.tls)
        self._server = http_server.RestartableServer(
            wiring.make_application(
                process.serving, keys, process.instrumentation.export.scrape
            ),
            callers.host,
            callers.port,
            protocol.CallerProtocol,
            self._callers_tls.context if self._callers_tls else None,
            _log_address,
            connection_limits.ConnectionLimits(
                max_connections=callers.max_connections
            ),
            held_memory.make_memory(callers.memory_mb * held_memory.MB),
        )

    async def run(self) -> None:
        """Serves until a signal, and until all admitted requests have ended."""
        supervisor = self._process.supervisor
        supervisor.register(EVENT_LOOP_TASK)
        event_loop.report_exceptions(
            lambda error, reason: supervisor.record_failure(
                EVENT_LOOP_TASK, error, reason=reason
            )
        )
        async with anyio.create_task_group() as tasks:
            start = functools.partial(
                supervisor.start,
                tasks,
                max_backoff_s=supervision.PROMPT_MAX_BACKOFF_S,
            )
            start(SIGNALS_TASK, self._handle_signals)
            start(
                STOP_TASK,
                self._drain,
                may_return=self._stop_requested.is_set,
            )
            await self._process.start(tasks)
            if self._callers_tls is not None:
                start("callers' TLS files", self._callers_tls.watch)
            start(
                "callers' server",
                self._serve_callers,
                may_return=lambda: self._server.has_ended,
            )
            await self._server.wait_until_ended()
            name = "" if self._stop_signal is None else self._stop_signal.name
            logger.bind(signal=name).info("stopped")
            tasks.cancel_scope.cancel()
        await self._process.close()

    async def _serve_callers(self) -> None:
        """Waits for a configuration, then serves callers until a stop."""
        await self._process.wait_configured()
        await self._server.run()

    async def _handle_signals(self) -> None:
        """Handles signals until cancelled."""

        def handle(received: signal.Signals) -> None:
            self._process.supervisor.call(SIGNALS_TASK, self._handle, received)

        await signal_handling.handle(self._signals, handle)

    def _handle(self, received: signal.Signals) -> None:
        """Handles one signal."""
        if received in signal_queue.STOP_SIGNALS:
            self._stop_signal = self._stop_signal or received
            self._stop_requested.set()
        elif received == signal_queue.RELOAD_SIGNAL:
            self._reload()
        elif received == signal.SIGUSR1:
            self._process.instrumentation.write_dump(self._output)

    def _reload(self) -> None:
        """Loads changed TLS files; other settings need a restart."""
        process = self._process
        parts = (
            self._callers_tls,
            process.fleet.peer_tls,
            process.operators.tls,
        )
        count = sum(part.reload() for part in parts if part is not None)
        logger.bind(count=count).info("files reloaded")

    async def _drain(self) -> None:
        """Drains the process at the first signal to stop.

        The process reports not ready immediately and stops accepting
        connections once its requests have ended or the drain timeout has
        passed.
        """
        await self._stop_requested.wait()
        if self._stop_signal is not None:
            logger.info(f"draining after {self._stop_signal.name}")
        process = self._process
        process.serving.requests.drain()
        with anyio.move_on_after(process.settings.instance.drain_timeout_s):
            await anyio.sleep(BALANCER_REMOVAL_DELAY_S)
            await process.supervisor.run_once(STOP_TASK, process.finish)
        self._server.stop()


def _log_address(server: http_server.HttpServer) -> None:
    """Logs the address of the callers' server."""
    logger.info(f"serving callers on {server.host}:{server.port}")


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
