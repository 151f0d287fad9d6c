"""The processes of a soak: a store, targets and entry instances."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from cardamomfork._internal.standins import platform_site
from tests.soak import proxy

HOST = platform_site.HOST
START_S = 20.0
STOP_GRACE_S = 8.0
PORTS_PER_DEPLOYMENT = 200
LOWEST_PORT = 11_000
"""Below the ports that the system gives to connections."""

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
    """A process that is started, signalled and started again."""

    def __init__(self, arguments, environment=None):
        self._arguments = arguments
        self._environment = {**os.environ, **(environment or {})}
        self.lines = []
        self.starts = 0
        self._process = None
        self._reading = None
        self._is_paused = False

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

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
        self._reading = asyncio.create_task(self._read(self._process.stdout))

    def signal(self, number):
        if not self.is_running:
            return
        self._is_paused = number == signal.SIGSTOP
        self._process.send_signal(number)

    async def ended(self):
        await self._process.wait()
        await self._reading

    async def kill(self):
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.ended()

    async def _read(self, stream):
        async for line in stream:
            self.lines.append((time.monotonic(), line.decode().strip()))


class Deployment:
    """All processes, and the proxies between them."""

    def __init__(self, seed, instances, engines, ledgers):
        self.source = random.Random(seed)
        base = LOWEST_PORT + os.getpid() % 40 * PORTS_PER_DEPLOYMENT
        self._ports = iter(range(base, base + PORTS_PER_DEPLOYMENT))
        self._folder = tempfile.TemporaryDirectory()
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
        self.changes = []
        self._client = None

    @property
    def processes(self):
        return [self.store, *self.targets.values(), *self.entries.values()]

    async def start(self):
        await self.store.start()
        self._client = platform_site.make_client(f"{HOST}:{self.store_port}")
        await self.wait_until(self._answers)
        await self.change()
        for started in self.proxies.values():
            await started.start()
        for process in (*self.targets.values(), *self.entries.values()):
            await process.start()

    async def stop(self):
        for process in self.processes:
            process.signal(signal.SIGCONT)
            await process.kill()
        for started in self.proxies.values():
            started.close()
        if self._client is not None:
            await self._client.close()
        self._folder.cleanup()

    async def until(self, check):
        """Waits until an asynchronous check succeeds."""
        limit = time.monotonic() + START_S
        while not await check():
            if time.monotonic() > limit:
                raise AssertionError(f"never came true: {check}")
            await asyncio.sleep(0.05)

    async def change(self):
        """Writes another version of the configuration, as operators do."""
        self.version += self.source.randint(1, 4)
        value = platform_site.make_configuration(
            self.version, ROUTES, SERVICES, self.keys
        )
        await platform_site.publish(self._client, value)
        self.changes.append((time.monotonic(), dict(self.keys)))

    def runs(self):
        """Returns every run as target, request id, account and time."""
        found = []
        for name, process in self.targets.items():
            for _, line in process.lines:
                if line.startswith('{"run"'):
                    told = json.loads(line)
                    found.append(
                        (name, told["run"], told["account"], told["at"])
                    )
        return found

    def entry_lines(self, text):
        """Returns lines of the instances' logs that contain a text."""
        return [
            line
            for process in self.entries.values()
            for _, line in process.lines
            if text in line
        ]

    async def _answers(self):
        return (await self._client.scan("op/")).is_ok()

    def _add_target(self, name, service):
        port, advertised = next(self._ports), next(self._ports)
        self.proxies[name] = proxy.Proxy(advertised, port, self.source)
        self.targets[name] = Process(
            (
                "-m",
                "cardamomfork._internal.standins.platform_engine",
                f"--target-id={name}",
                f"--service={service}",
                f"--host={HOST}",
                f"--port={port}",
                f"--advertised-port={advertised}",
                f"--store={HOST}:{self.store_port}",
            )
        )

    def _add_entry(self, name):
        to_store = f"{name}-store"
        self.proxies[to_store] = proxy.Proxy(
            next(self._ports), self.store_port, self.source
        )
        ports = platform_site.Ports(*(next(self._ports) for _ in range(4)))
        self.caller_ports[name] = ports.callers
        path = pathlib.Path(self._folder.name) / f"{name}.toml"
        path.write_text(
            platform_site.make_settings(
                name,
                ports,
                f"{HOST}:{self.proxies[to_store].port}",
                stop_grace_s=STOP_GRACE_S,
            )
        )
        command, environment = platform_site.make_entry_command(path)
        self.entries[name] = Process(command[1:], environment)
