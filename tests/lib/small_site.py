"""Instances in front of a few targets, and calls to their ports."""

import asyncio
import re

from cardamomfork._internal.standins import platform_site
from tests.soak import processes

HOST = processes.HOST
READINESS_PATH = "/-/readyz"


class Site(processes.Deployment):
    """A store, targets, and instances with the ports of each."""

    def __init__(self, instances=1, metrics_setting=True, targets=1, engines=0):
        self.ports = {}
        self.paths = {}
        self._metrics_setting = metrics_setting
        super().__init__(1, instances, engines, targets)

    def release(self):
        """Removes files and frees ports of a site that was not started."""
        self._directory.cleanup()
        self._port_lock.close()

    def _make_entry(self, name, path):
        text = path.read_text()
        front = self.caller_ports[name]
        self.ports[name] = platform_site.Ports(*range(front, front + 4))
        if not self._metrics_setting:
            path.write_text(re.sub(r"\[metrics\]\nport = \d+\n", "", text))
        self.paths[name] = path
        return super()._make_entry(name, path)


async def get(port, path, method="GET", body=b""):
    """Returns status and body of an answer; 0 if none came."""
    head = f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\n"
    head += f"Api-Key: key-1\r\nContent-Length: {len(body)}\r\n"
    head += "Connection: close\r\n\r\n"
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + body)
            answer = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, ""
    if not answer:
        return 0, ""
    return int(answer.split()[1]), answer.partition(b"\r\n\r\n")[2].decode(
        "latin-1"
    )


async def serves(port):
    """Returns whether a request is served."""
    return (await get(port, "/safe/1", "POST"))[0] == 200


async def count_failures(port):
    """Returns the failures of background tasks by name from the metrics."""
    _, text = await get(port, "/metrics")
    return {
        name: int(float(count))
        for name, count in re.findall(
            r"cardamomfork_background_task_failures_total\{[^}]*"
            r'task="([^"]*)"[^}]*\} (\S+)',
            text,
        )
    }
