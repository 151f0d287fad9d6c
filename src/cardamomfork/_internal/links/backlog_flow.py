"""Flow control of a connection on which requests may wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from uvicorn.protocols.http import flow_control

if TYPE_CHECKING:
    import asyncio


class BacklogFlowControl(flow_control.FlowControl):
    """Pauses reading for bodies, and for requests that wait to be parsed."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Initializes the control of a connection that is being read."""
        super().__init__(transport)
        self._is_backlogged = False

    def set_backlogged(self, is_backlogged: bool) -> None:
        """Sets whether requests wait that exceed what may be held."""
        if is_backlogged is self._is_backlogged:
            return
        self._is_backlogged = is_backlogged
        if self.read_paused:
            return
        if is_backlogged:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def pause_reading(self) -> None:
        """Pauses reading until the application takes the body."""
        if self._is_backlogged:
            self.read_paused = True
        else:
            super().pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading unless requests wait."""
        if self._is_backlogged:
            self.read_paused = False
        else:
            super().resume_reading()
