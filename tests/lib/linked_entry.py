"""An entry instance whose links to targets a test can cut.

Its connections to targets go through proxies of its own. While the mode file
says so, new ones hang or are refused.
"""

import asyncio
import json
import os
import pathlib
import runpy

from cardamomfork._internal.links import event_loop
from cardamomfork._internal.standins import platform_site

LINKS_VARIABLE = "TEST_TARGET_LINKS"
"""Path of a file with the proxy port of each target port. The mode file is
beside it."""
MODE_SUFFIX = ".mode"
HANG = "hang"
REFUSE = "refuse"


def _read_links(port):
    """Returns the proxy port of a target port, or None, and the mode."""
    path = pathlib.Path(os.environ[LINKS_VARIABLE])
    proxy_port = json.loads(path.read_text()).get(str(port))
    return proxy_port, path.with_suffix(MODE_SUFFIX).read_text()


class CuttableEventLoop(event_loop.EventLoop):
    """An event loop that connects to targets through proxies."""

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options
    ):
        proxy_port, mode = _read_links(port)
        if proxy_port is not None:
            if mode == HANG:
                await asyncio.get_running_loop().create_future()
            if mode == REFUSE:
                raise ConnectionRefusedError(f"cut off from {port}")
        return await super().create_connection(
            protocol_factory, host, proxy_port or port, **options
        )


if __name__ == "__main__":
    event_loop.BACKEND_OPTIONS["loop_factory"] = CuttableEventLoop
    runpy.run_path(str(platform_site.ENTRY_PROGRAM), run_name="__main__")
