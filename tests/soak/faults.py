"""Faults of a soak, drawn from a seed: series that overlap."""

import asyncio
import signal

from tests.soak import proxy

SERIES = 3
"""Series of faults at the same time."""
MAX_PAUSE_S = 1.5
MAX_FAULT_S = 3.0


class FaultInjector:
    """Harms processes and connections until it is stopped."""

    def __init__(self, world, log):
        self._world = world
        self._log = log
        self._busy = set()

    async def run(self):
        """Runs several series of faults, for as long as the task runs."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(SERIES):
                tasks.create_task(self._series())

    async def heal(self):
        """Ends all faults: everything runs and every connection works."""
        for harmed in self._world.proxies.values():
            harmed.set_fault(proxy.ConnectionFault.NONE)
        for process in self._world.processes:
            process.signal(signal.SIGCONT)
        processes = {**self._world.targets, **self._world.entries}
        for name in sorted(self._busy):
            # It was told to end, and may still be at it.
            await processes[name].ended()
            if not processes[name].is_running:
                await processes[name].start()

    async def _series(self):
        source = self._world.source
        kinds = (
            self._harm_connections,
            self._harm_connections,
            self._pause,
            self._kill,
            self._terminate,
            self._change,
        )
        while True:
            await asyncio.sleep(source.random() * MAX_PAUSE_S)
            await source.choice(kinds)()

    async def _harm_connections(self):
        name = self._pick(self._world.proxies)
        harm = self._world.source.choice(list(proxy.ConnectionFault))
        self._log(f"{harm.value} {name}")
        self._world.proxies[name].set_fault(harm)
        await self._last()
        self._world.proxies[name].set_fault(proxy.ConnectionFault.NONE)

    async def _pause(self):
        # The stand-in store keeps nothing, so it is paused and never killed.
        name = self._pick(self._processes())
        process = self._processes()[name]
        self._log(f"pause {name}")
        process.signal(signal.SIGSTOP)
        await self._last()
        process.signal(signal.SIGCONT)

    async def _kill(self):
        await self._end(signal.SIGKILL)

    async def _terminate(self):
        await self._end(signal.SIGTERM)

    async def _change(self):
        keys = self._world.keys
        if len(keys["depot"]) > 1:
            keys["depot"] = ["key-1"]
        else:
            keys["depot"] = ["key-1", "key-2"]
        self._log(f"change {keys}")
        await self._world.change()

    async def _end(self, number):
        processes = {**self._world.targets, **self._world.entries}
        name = self._pick(processes)
        if name in self._busy:
            return
        self._busy.add(name)
        process = processes[name]
        self._log(f"{signal.Signals(number).name} {name}")
        process.signal(signal.SIGCONT)
        process.signal(number)
        await process.ended()
        await asyncio.sleep(self._world.source.random())
        await process.start()
        self._busy.discard(name)

    def _processes(self):
        world = self._world
        return {**world.targets, **world.entries, "store": world.store}

    def _pick(self, named):
        return self._world.source.choice(sorted(named))

    async def _last(self):
        await asyncio.sleep(self._world.source.random() * MAX_FAULT_S)
