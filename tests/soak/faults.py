"""Seeded fault injection of the soak; several faults overlap."""

import asyncio
import signal

from tests.soak import proxy

CONCURRENT_SERIES = 3
"""Fault series that run concurrently."""
MAX_PAUSE_S = 1.5
MAX_FAULT_S = 3.0


class FaultInjector:
    """Injects faults into processes and connections until cancelled."""

    def __init__(self, deployment, report):
        self._deployment = deployment
        self._report = report
        self._restarting = set()

    async def run(self):
        """Runs the concurrent fault series until the task is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CONCURRENT_SERIES):
                tasks.create_task(self._run_series())

    async def clear(self):
        """Clears connection faults, resumes and restarts processes."""
        for faulty_proxy in self._deployment.proxies.values():
            faulty_proxy.set_fault(proxy.ConnectionFault.NONE)
        for process in self._deployment.processes:
            process.signal(signal.SIGCONT)
        processes = {**self._deployment.targets, **self._deployment.entries}
        for name in sorted(self._restarting):
            # The process got a signal and may not have exited yet.
            await processes[name].wait()
            if not processes[name].is_running:
                await processes[name].start()

    async def _run_series(self):
        rng = self._deployment.rng
        actions = (
            self._fault_connections,
            self._fault_connections,
            self._pause,
            self._kill,
            self._terminate,
            self._change_keys,
        )
        while True:
            await asyncio.sleep(rng.random() * MAX_PAUSE_S)
            await rng.choice(actions)()

    async def _fault_connections(self):
        name = self._choose_name(self._deployment.proxies)
        fault = self._deployment.rng.choice(list(proxy.ConnectionFault))
        self._report(f"{fault.value} {name}")
        self._deployment.proxies[name].set_fault(fault)
        await self._sleep_fault_duration()
        self._deployment.proxies[name].set_fault(proxy.ConnectionFault.NONE)

    async def _pause(self):
        # The stand-in store isn't persistent, so it is paused, never killed.
        name = self._choose_name(self._processes())
        process = self._processes()[name]
        self._report(f"pause {name}")
        process.signal(signal.SIGSTOP)
        await self._sleep_fault_duration()
        process.signal(signal.SIGCONT)

    async def _kill(self):
        await self._restart(signal.SIGKILL)

    async def _terminate(self):
        await self._restart(signal.SIGTERM)

    async def _change_keys(self):
        keys = self._deployment.keys
        if len(keys["depot"]) > 1:
            keys["depot"] = ["key-1"]
        else:
            keys["depot"] = ["key-1", "key-2"]
        self._report(f"change {keys}")
        await self._deployment.write_configuration()

    async def _restart(self, signal_number):
        processes = {**self._deployment.targets, **self._deployment.entries}
        name = self._choose_name(processes)
        if name in self._restarting:
            return
        self._restarting.add(name)
        process = processes[name]
        self._report(f"{signal.Signals(signal_number).name} {name}")
        process.signal(signal.SIGCONT)
        process.signal(signal_number)
        await process.wait()
        await asyncio.sleep(self._deployment.rng.random())
        await process.start()
        self._restarting.discard(name)

    def _processes(self):
        deployment = self._deployment
        return {
            **deployment.targets,
            **deployment.entries,
            "store": deployment.store,
        }

    def _choose_name(self, by_name):
        return self._deployment.rng.choice(sorted(by_name))

    async def _sleep_fault_duration(self):
        await asyncio.sleep(self._deployment.rng.random() * MAX_FAULT_S)
