"""Runs three daemons, two engines, a service and a store as processes."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import attrs

from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.cli import main as cli
from tests.lib import daemons

HOST = "127.0.0.1"
MODEL = "demo-model"
STANDINS_MODULE = "cardamomfork._internal.standins.programs"
STORE_MODULE = "cardamomfork._internal.standins.store_server"
DAEMON_MODULE = "cardamomfork._internal.daemon"


# The range lies below the ephemeral ports of the operating system, so that no
# outgoing connection takes a port between its choice and its use. Each test
# process has its own range.
PORTS_PER_PROCESS = 64
LOWEST_PORT = 20_000
_ports = iter(range(PORTS_PER_PROCESS))


def free_port():
    """Returns a port of this process's range that nothing listens on."""
    start = LOWEST_PORT + os.getpid() % 150 * PORTS_PER_PROCESS
    for offset in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, start + offset))
            except OSError:
                continue
            return start + offset
    raise AssertionError("no port is free")


@attrs.define
class Program:
    """A process that can be killed, paused and restarted.

    Attributes:
        arguments: Python module and its arguments.
        ready_text: Text of an output line that shows that the program is ready.
        lines: Output lines of all its processes.
        process: The current process.
    """

    arguments: tuple
    ready_text: str
    lines: list = attrs.field(factory=list)
    process: subprocess.Popen | None = None

    def start(self):
        is_ready = threading.Event()
        self.process = subprocess.Popen(
            [sys.executable, "-m", *self.arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        threading.Thread(
            target=self._read_lines,
            args=(self.process.stdout, is_ready),
            daemon=True,
        ).start()
        if not is_ready.wait(daemons.START_TIMEOUT_S):
            raise AssertionError("".join(self.lines[-20:]))

    def _read_lines(self, stream, is_ready):
        with stream:
            for line in stream:
                self.lines.append(line)
                if self.ready_text in line:
                    is_ready.set()

    def kill(self):
        self.process.kill()
        self.process.wait()

    @contextlib.contextmanager
    def paused(self):
        self.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)


@attrs.define
class ProcessFleet:
    """The programs of a running fleet.

    Attributes:
        daemons: Instances of the gateway.
        ports: Callers' port of each daemon.
        engines: Stand-in engines.
        engine_ports: Port of each engine.
        service: Stand-in service.
        store: Stand-in store.
        key: API key of a client account.
    """

    daemons: list
    ports: list
    engines: list
    engine_ports: list
    service: Program
    store: Program
    key: str

    @property
    def executions(self):
        """Request bodies of the service's executions, in order."""
        rows = [line for line in self.service.lines if '"run"' in line]
        return [json.loads(json.loads(row)["body"]) for row in rows]

    @property
    def programs(self):
        return [*self.daemons, *self.engines, self.service, self.store]


def _write_settings(directory, index, ports, store_port, hashed):
    callers, operators, peers = ports[index]
    seeds = ", ".join(f"{HOST}:{row[2]}" for row in ports)
    path = pathlib.Path(directory, f"{index}.ini")
    path.write_text(
        f"[instance]\ninstance_id = entry-{index}\ndata_centre = kempten\n"
        f"[callers]\nport = {callers}\n"
        f"[operators]\nport = {operators}\nkeys = {hashed}\n"
        f"[peers]\nport = {peers}\nseeds = {seeds}\n"
        f"[store]\nendpoints = {HOST}:{store_port}\n"
        "[embedded]\nenabled = false\n"
    )
    return str(path)


def _target(name, kind, port, memory=0):
    return {
        "target_id": name,
        "kind": kind,
        "host": HOST,
        "port": port,
        "data_centre": "kempten",
        "memory_tokens": memory,
    }


def _make_changes(engine_ports, service_port, hashed):
    engines = [
        _target(f"engine-{n}", "engine", port, 500_000)
        for n, port in enumerate(engine_ports)
    ]
    desk = _target("ledger-0", "plain", service_port)
    values = [
        {
            "name": "pool",
            "kind": "model",
            "models": [MODEL],
            "targets": engines,
        },
        {
            "name": "desk",
            "kind": "plain",
            "idempotent": False,
            "targets": [desk],
        },
    ]
    changes = [
        {
            "kind": "service",
            "name": value["name"],
            "based_on": 0,
            "value": value,
        }
        for value in values
    ]
    key = {
        field: getattr(hashed, field) for field in ("key_id", "salt", "digest")
    }
    account = {"name": "bench", "keys": [key]}
    changes.append(
        {"kind": "account", "name": "bench", "based_on": 0, "value": account}
    )
    return changes


def _run_cli(port, key, *arguments):
    """Runs the command-line tool with one daemon as its server."""
    environment = {
        "CARDAMOMFORK_ADDRESS": f"{HOST}:{port}",
        "CARDAMOMFORK_KEY": key,
    }
    program = f"from {cli.__name__} import main; main()"
    subprocess.run(
        [sys.executable, "-c", program, *arguments],
        env={**os.environ, **environment},
        check=True,
        capture_output=True,
    )


@contextlib.contextmanager
def running():
    """Runs a fleet that is configured with the command-line tool."""
    store_port = free_port()
    engine_ports = [free_port(), free_port()]
    service_port = free_port()
    ports = [[free_port() for _ in range(3)] for _ in range(3)]
    operator, caller = key_hashes.generate(), key_hashes.generate()
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())

        def start(ready_text, *arguments):
            program = Program(arguments, ready_text)
            program.start()
            stack.callback(program.kill)
            return program

        store = start(":", STORE_MODULE, str(store_port))
        engines = [
            start("port", STANDINS_MODULE, "engine", "--port", str(port))
            for port in engine_ports
        ]
        service = start(
            "port", STANDINS_MODULE, "service", "--port", str(service_port)
        )
        hashed = key_hashes.to_line(operator.hashed)
        daemon_programs = [
            start(
                "serving callers",
                DAEMON_MODULE,
                "--settings",
                _write_settings(directory, index, ports, store_port, hashed),
            )
            for index in range(3)
        ]
        path = pathlib.Path(directory, "changes.json")
        path.write_text(
            json.dumps(_make_changes(engine_ports, service_port, caller.hashed))
        )
        first = ports[0][1]
        _run_cli(first, operator.text, "apply", str(path))
        _run_cli(first, operator.text, "status", "--wait", "3")
        yield ProcessFleet(
            daemon_programs,
            [row[0] for row in ports],
            engines,
            engine_ports,
            service,
            store,
            caller.text,
        )


def wait_until(condition, timeout_s=30.0):
    """Polls a condition; returns whether it is true within the time-out."""
    give_up_at = time.monotonic() + timeout_s
    while time.monotonic() < give_up_at:
        if condition():
            return True
        time.sleep(0.1)
    return condition()
