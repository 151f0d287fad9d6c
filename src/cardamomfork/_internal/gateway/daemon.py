"""Entry point and composition root of an entry instance on a platform."""

from __future__ import annotations

import os
import signal
import sys

import anyio
import click
from loguru import logger
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.gateway import process
from cardamomfork._internal.gateway import settings_wait
from cardamomfork._internal.gateway import signal_handling
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.platform import node_settings
from cardamomfork._internal.platform import store_client
from cardamomfork._internal.platform import wire_format
from cardamomfork._internal.settings import loader
from cardamomfork._internal.telemetry import bounded_output
from cardamomfork._internal.telemetry import logs

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
STORE_TIMEOUT_S = 1.5
"""An answer takes milliseconds, or 60 times as long on a slow store."""


@click.command()
@click.option(
    "--settings",
    "features_path",
    metavar="FILE",
    help="INI file that switches features; see docs/operators/limits.md.",
)
@click.pass_obj
def main(signals: signal_queue.SignalQueue, features_path: str | None) -> None:
    """Runs an entry instance on the users' platform."""
    _open_standard_streams()
    try:
        _run(signals, features_path)
    finally:
        signals.ignore()


def _open_standard_streams() -> None:
    """Opens the null device for each closed standard stream.

    A socket would get the number of the closed stream otherwise, and the log
    would be written to it.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= STANDARD_ERROR:
        pass
    os.close(descriptor)


def _run(signals: signal_queue.SignalQueue, features_path: str | None) -> None:
    """Loads the settings and serves until a signal to stop.

    Args:
        signals: Signals received since the start.
        features_path: File that switches features; None for the defaults.
    """
    logs.configure("INFO", bounded_output.BoundedOutput(STANDARD_OUTPUT))
    try:
        # Both belong to the deployment: no later reading would differ.
        features = load_features(features_path)
        settings_file = node_settings.SettingsFile(node_settings.find_path())
    except exceptions.CardamomforkError as error:
        logger.error("stopped", reason=str(error))
        if sys.stderr is not None:
            sys.stderr.write(f"{error}\n")
        sys.exit(1)
    settings = settings_wait.load(settings_file.load, signals)
    if isinstance(settings, signal.Signals):
        _log_early_stop(settings)
        return
    logs.name_instance(settings.instance_id, settings.data_centre)
    try:
        gateway = _create_gateway(settings, settings_file, signals, features)
        if stop_signal := signal_handling.find_stop_signal(signals):
            _log_early_stop(stop_signal)
            return
        anyio.run(gateway.run, backend_options=event_loop.BACKEND_OPTIONS)
    except BaseException:
        logger.exception("ended by an error")
        raise


def _create_gateway(
    settings: fleet.EntrySettings,
    settings_file: node_settings.SettingsFile,
    signals: signal_queue.SignalQueue,
    features: settings_models.EntryFeatures,
) -> process.GatewayProcess:
    """Creates the process and its adapters to the platform."""
    return process.GatewayProcess(
        settings,
        wire_format.WireFormat(),
        store_client.PlatformStore(
            settings_models.StoreSettings(
                (f"{settings.store_host}:{settings.store_port}",),
                STORE_TIMEOUT_S,
                prefix="",
            )
        ),
        settings_file.load,
        signals,
        features,
    )


def _log_early_stop(stop_signal: signal.Signals) -> None:
    """Logs the end of a process that was stopped before it served."""
    logger.info(
        "stopped", reason="signal before serving", signal=stop_signal.name
    )


def load_features(path: str | None) -> settings_models.EntryFeatures:
    """Reads which features are on; without a file, all have their defaults.

    Raises:
        exceptions.SettingsError: The file has errors; names all of them.
    """
    if path is None:
        return settings_models.EntryFeatures()
    loaded = loader.load_features(path)
    if isinstance(loaded, result.Err):
        raise exceptions.SettingsError(
            "\n".join(str(finding) for finding in loaded.err_value)
        )
    return loaded.ok_value
