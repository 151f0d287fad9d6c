"""Processes of the soak: a store, targets and entry instances."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from cardamomfork._internal.standins import platform_site
from tests.soak import proxy

HOST = platform_site.HOST
START_TIMEOUT_S = 20.0
STOP_GRACE_S = 8.0
PORTS_PER_DEPLOYMENT = 600
LOWEST_PORT = 11_000
MAX_DEPLOYMENTS = 30
"""The ports of all deployments are below the ephemeral port range of the
operating system."""

ENGINE_COST_MODEL = {
    "slots": 8,
    "kvCapacity": 100_000,
    "stride": 20,
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "context_per_k": 0.003,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.18,
    "chunk": 2048,
    "usual": {"prompt": 1000, "answer": 100},
}
ROUTES = (
    platform_site.Route("/stream/", "streaming", "engines", 8000),
    platform_site.Route("/once/", "unsafe", "ledger", 3000),
    platform_site.Route("/safe/", "safe", "ledger", 3000),
)
SERVICES = (
    {"name": "engines", "maxConnections": 200, "engine": ENGINE_COST_MODEL},
    {"name": "ledger", "maxConnections": 200},
)


class Process:
    """A process that can be signalled and restarted; collects its output."""

    def __init__(self, arguments, environment=None):
        self._arguments = arguments
        self.environment = dict(environment or {})
        self._environment = {**os.environ, **self.environment}
        self.lines = []
        self.starts = 0
        self._process = None
        self._read_task = None
        self._is_paused = False

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        """Its id; None before its first start."""
        return self._process.pid if self._process is not None else None

    @property
    def returncode(self):
        return self._process.returncode

    async def start(self):
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=self._environment,
            limit=2**20,
        )
        self.starts += 1
        self._is_paused = False
        self._read_task = asyncio.create_task(
            self._read_lines(self._process.stdout)
        )

    def signal(self, signal_number):
        if not self.is_running:
            return
        self._is_paused = signal_number == signal.SIGSTOP
        self._process.send_signal(signal_number)

    async def wait(self):
        await self._process.wait()
        # An interrupt cancels the reader, which must not end the caller.
        await asyncio.gather(self._read_task, return_exceptions=True)

    async def kill(self):
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.wait()

    async def _read_lines(self, stream):
        async for line in stream:
            self.lines.append((time.monotonic(), line.decode().strip()))


def _reserve_ports():
    """Reserves a range of ports for a deployment.

    Returns:
        A socket that is bound to the port below the range and reserves it until
        it is closed, and the first port of the range.
    """
    for number in range(MAX_DEPLOYMENTS):
        index = (os.getpid() + number) % MAX_DEPLOYMENTS
        first_port = LOWEST_PORT + index * PORTS_PER_DEPLOYMENT
        lock = socket.socket()
        try:
            lock.bind((HOST, first_port))
        except OSError:
            lock.close()
            continue
        return lock, first_port + 1
    raise AssertionError("all ranges of ports are in use")


class Deployment:
    """The processes under test and the proxies between them.

    Args:
        seed: Seed of the random generator.
        instances: Number of entry instances.
        engines: Number of engines.
        ledgers: Number of targets of the ledger service.
    """

    evacuate_ms = 0
    """Bound for evacuations in the settings of instances; 0 for none."""
    regions = None
    """Region of each data centre in these settings."""
    process_limits = None
    """Limits of instances in these settings; None for the defaults."""
    caller_limits = None
    """Limits on callers in the configuration; None for the defaults."""
    services = SERVICES
    routes = ROUTES

    def __init__(self, seed, instances, engines, ledgers):
        self.rng = random.Random(seed)
        self._port_lock, base = _reserve_ports()
        self._ports = iter(range(base, base + PORTS_PER_DEPLOYMENT - 1))
        self._directory = tempfile.TemporaryDirectory()
        self.proxies = {}
        self.targets = {}
        self.entries = {}
        self.caller_ports = {}
        self.store_port = next(self._ports)
        self.store = Process(
            (
                "-m",
                platform_site.STORE_MODULE,
                str(self.store_port),
            )
        )
        for number in range(engines):
            self._add_target(f"engine-{number}", "engines")
        for number in range(ledgers):
            self._add_target(f"ledger-{number}", "ledger")
        for number in range(instances):
            self._add_entry(f"entry-{number}")
        self.version = 0
        self.keys = {"depot": ["key-1"]}
        self.allowed_regions = {}
        self.changes = []
        self._client = None

    @property
    def processes(self):
        return [self.store, *self.targets.values(), *self.entries.values()]

    async def start(self):
        await self.store.start()
        self._client = platform_site.make_client(f"{HOST}:{self.store_port}")
        await self.wait_until(self._store_answers)
        await self.write_configuration()
        for each in self.proxies.values():
            await each.start()
        for process in (*self.targets.values(), *self.entries.values()):
            await process.start()

    async def stop(self):
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.starts:
                await process.wait()
        for each in self.proxies.values():
            each.close()
        if self._client is not None:
            await self._client.close()
        self._directory.cleanup()
        self._port_lock.close()

    async def wait_until(self, check):
        """Polls an asynchronous check until it is true."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while not await check():
            if time.monotonic() > give_up_at:
                raise AssertionError(f"condition not met in time: {check}")
            await asyncio.sleep(0.05)

    async def write_configuration(self):
        """Writes a new configuration version to the store."""
        self.version += self.rng.randint(1, 4)
        value = platform_site.make_configuration(
            self.version,
            self.routes,
            self.services,
            self.keys,
            self.allowed_regions,
            self.caller_limits,
        )
        await platform_site.publish(self._client, value)
        self.changes.append((time.monotonic(), dict(self.keys)))

    def runs(self):
        """Returns each run as (target, request id, account, time)."""
        runs = []
        for name, process in self.targets.items():
            for _, line in process.lines:
                if line.startswith('{"run"'):
                    record = json.loads(line)
                    runs.append(
                        (name, record["run"], record["account"], record["at"])
                    )
        return runs

    def entry_lines(self, text):
        """Returns the log lines of the instances that contain a text."""
        return [
            line
            for process in self.entries.values()
            for _, line in process.lines
            if text in line
        ]

    async def _store_answers(self):
        return (await self._client.scan("op/")).is_ok()

    def _add_target(self, name, service, *options):
        port, advertised = next(self._ports), next(self._ports)
        self.proxies[name] = proxy.Proxy(advertised, port, self.rng)
        self.targets[name] = self._make_target(
            name, service, port, advertised, *options
        )

    def _make_target(self, name, service, port, advertised, *options):
        return Process(
            (
                "-m",
                "cardamomfork._internal.standins.platform_engine",
                f"--target-id={name}",
                f"--service={service}",
                f"--host={HOST}",
                f"--port={port}",
                f"--advertised-port={advertised}",
                f"--store={HOST}:{self.store_port}",
                *options,
            )
        )

    def _add_entry(self, name):
        proxy_name = f"{name}-store"
        self.proxies[proxy_name] = proxy.Proxy(
            next(self._ports), self.store_port, self.rng
        )
        ports = platform_site.Ports(*(next(self._ports) for _ in range(4)))
        self.caller_ports[name] = ports.callers
        path = pathlib.Path(self._directory.name) / f"{name}.toml"
        path.write_text(
            platform_site.make_settings(
                name,
                ports,
                f"{HOST}:{self.proxies[proxy_name].port}",
                data_centre=self.data_centre_of(name),
                stop_grace_s=STOP_GRACE_S,
                evacuate_ms=self.evacuate_ms,
                regions=self.regions,
                limits=self.process_limits,
            )
        )
        self.entries[name] = self._make_entry(name, path)

    def data_centre_of(self, name):
        """Returns the data centre of an instance."""
        del name
        return platform_site.DATA_CENTRE

    def _make_entry(self, name, path):
        """Returns the process of an instance with a settings file."""
        del name
        command, environment = platform_site.make_entry_command(path)
        return Process(command[1:], environment)
