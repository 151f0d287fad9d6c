"""Which event loop the daemon runs on."""

from __future__ import annotations

from typing import Any
from typing import Final

# pycapnp's streams crash the process under uvloop once connections close.
BACKEND_OPTIONS: Final[dict[str, Any]] = {"use_uvloop": False}
"""Options for `anyio.run`: asyncio's own loop."""
