"""Runs the gateway under measurement in front of an event source.

Store, event source and gateway run in separate processes on the loopback
address.
"""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING
import urllib.error
import urllib.request

import anyio

from cardamomfork._internal.standins import event_source
from cardamomfork._internal.standins import platform_site

if TYPE_CHECKING:
    from collections.abc import Iterator

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STREAM_TIMEOUT_S = 600
HTTP_UNAVAILABLE = 503
STOP_TIMEOUT_S = 5.0


class Gateway:
    """A running gateway process."""

    def __init__(self, port: int, process_id: int) -> None:
        """Initializes the gateway.

        Args:
            port: Port for callers.
            process_id: Id of the process.
        """
        self.port = port
        self._process_id = process_id

    def cpu_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        stat = pathlib.Path(f"/proc/{self._process_id}/stat").read_text()
        # User and system ticks. The fields are counted from the end of the
        # program's name, because the name may contain spaces.
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextlib.contextmanager
def running() -> Iterator[Gateway]:
    """Runs a gateway, its store and an event source within the context.

    Raises:
        TimeoutError: The gateway does not become ready.
    """
    store, source, *entry = _free_ports(6)
    ports = platform_site.Ports(*entry)
    address = f"{platform_site.HOST}:{store}"
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "node.toml"
        path.write_text(platform_site.make_settings("one", ports, address))
        command, environment = platform_site.make_entry_command(path)
        _start_process(
            stack, sys.executable, "-m", platform_site.STORE_MODULE, f"{store}"
        )
        anyio.run(_publish, address)
        _start_process(
            stack,
            sys.executable,
            "-m",
            event_source.__name__,
            f"{source}",
            address,
        )
        started = _start_process(stack, *command, environment=environment)
        _wait_until_ready(ports.callers)
        yield Gateway(ports.callers, started.pid)


def _start_process(
    stack: contextlib.ExitStack,
    *command: str,
    environment: dict[str, str] | None = None,
) -> subprocess.Popen[bytes]:
    """Starts a process that is killed when the stack closes."""
    process = subprocess.Popen(  # noqa: S603
        command,
        stdout=subprocess.DEVNULL,
        env={**os.environ, **(environment or {})},
    )
    stack.callback(process.wait, STOP_TIMEOUT_S)
    stack.callback(process.kill)
    return process


async def _publish(address: str) -> None:
    """Publishes a configuration with one route, without caller keys."""
    client = platform_site.make_client(address)
    route = platform_site.Route(
        "/v1/",
        "streaming",
        event_source.SERVICE,
        STREAM_TIMEOUT_S * 1000,
        "relay",
    )
    service = {"name": event_source.SERVICE, "maxConnections": 10_000}
    value = platform_site.make_configuration(1, (route,), (service,), {})
    await platform_site.publish(client, value)
    await client.close()


def _wait_until_ready(port: int) -> None:
    """Waits until the gateway answers an unknown path with an error.

    It answers 503 while it is not ready.

    Raises:
        TimeoutError: The gateway does not become ready.
    """
    limit = time.monotonic() + START_TIMEOUT_S
    url = f"http://{platform_site.HOST}:{port}/unknown"
    while time.monotonic() < limit:
        try:
            urllib.request.urlopen(url)
        except urllib.error.HTTPError as error:
            if error.code != HTTP_UNAVAILABLE:
                return
        except urllib.error.URLError:
            pass
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError("the gateway did not start")


def _free_ports(count: int) -> list[int]:
    """Returns free ports."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((platform_site.HOST, 0))
            ports.append(int(listener.getsockname()[1]))
        return ports
