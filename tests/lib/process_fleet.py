"""Three daemons, two engines, a service and a store as real processes."""

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
STANDINS = "cardamomfork._internal.standins.programs"
STORE = "cardamomfork._internal.standins.store_server"
DAEMON = "cardamomfork._internal.daemon"


# Below what the system gives to connections, so that none takes a port
# between its choice and its use; each test process has a range of its own.
PORTS = 64
LOWEST_PORT = 20_000
_ports = iter(range(PORTS))


def free_port():
    """Chooses a port that nothing listens on."""
    start = LOWEST_PORT + os.getpid() % 150 * PORTS
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
    """One process that can be killed, paused and started again."""

    arguments: tuple
    ready: str
    lines: list = attrs.field(factory=list)
    process: subprocess.Popen | None = None

    def start(self):
        started = threading.Event()
        self.process = subprocess.Popen(
            [sys.executable, "-m", *self.arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        threading.Thread(
            target=self._read, args=(self.process.stdout, started), daemon=True
        ).start()
        if not started.wait(daemons.START_TIMEOUT_S):
            raise AssertionError("".join(self.lines[-20:]))

    def _read(self, stream, started):
        with stream:
            for line in stream:
                self.lines.append(line)
                if self.ready in line:
                    started.set()

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
    """The running programs."""

    daemons: list
    ports: list
    engines: list
    engine_ports: list
    service: Program
    store: Program
    key: str

    @property
    def executions(self):
        """The body of each execution by the service, in order."""
        rows = [line for line in self.service.lines if '"run"' in line]
        return [json.loads(json.loads(row)["body"]) for row in rows]

    @property
    def programs(self):
        return [*self.daemons, *self.engines, self.service, self.store]


def _settings(folder, index, ports, store_port, hashed):
    callers, operators, peers = ports[index]
    seeds = ", ".join(f"{HOST}:{row[2]}" for row in ports)
    path = pathlib.Path(folder, f"{index}.ini")
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


def _changes(engine_ports, service_port, hashed):
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
        {"kind": "service", "name": v["name"], "based_on": 0, "value": v}
        for v in values
    ]
    key = {f: getattr(hashed, f) for f in ("key_id", "salt", "digest")}
    account = {"name": "bench", "keys": [key]}
    changes.append(
        {"kind": "account", "name": "bench", "based_on": 0, "value": account}
    )
    return changes


def _operate(port, key, *arguments):
    """Runs the command-line tool against one daemon."""
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
    """Runs the fleet, configured through the command-line tool."""
    store_port = free_port()
    engine_ports = [free_port(), free_port()]
    service_port = free_port()
    ports = [[free_port() for _ in range(3)] for _ in range(3)]
    operator, caller = key_hashes.generate(), key_hashes.generate()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())

        def start(ready, *arguments):
            program = Program(arguments, ready)
            program.start()
            stack.callback(program.kill)
            return program

        store = start(":", STORE, str(store_port))
        engines = [
            start("port", STANDINS, "engine", "--port", str(port))
            for port in engine_ports
        ]
        service = start(
            "port", STANDINS, "service", "--port", str(service_port)
        )
        hashed = key_hashes.to_line(operator.hashed)
        entries = [
            start(
                "serving callers",
                DAEMON,
                "--settings",
                _settings(folder, index, ports, store_port, hashed),
            )
            for index in range(3)
        ]
        path = pathlib.Path(folder, "changes.json")
        path.write_text(
            json.dumps(_changes(engine_ports, service_port, caller.hashed))
        )
        first = ports[0][1]
        _operate(first, operator.text, "apply", str(path))
        _operate(first, operator.text, "status", "--wait", "3")
        yield ProcessFleet(
            entries,
            [row[0] for row in ports],
            engines,
            engine_ports,
            service,
            store,
            caller.text,
        )


def wait_until(condition, timeout_s=30.0):
    """Polls until a condition holds; False if it does not in time."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return condition()
