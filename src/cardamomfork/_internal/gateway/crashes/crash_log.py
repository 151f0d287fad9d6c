"""Writes the log lines about crashes of targets and blocked requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from cardamomfork._internal.gateway.state import fingerprints

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.state import crash_attribution
    from cardamomfork._internal.gateway.state import crash_records


def crash_confirmed(crash: crash_records.Crash, count: int, kind: str) -> None:
    """Logs that this instance confirmed a crash.

    Args:
        crash: The request and the target.
        count: Number of crashes due to the request so far.
        kind: What confirmed it.
    """
    _log_crash("crash confirmed", crash, count, kind)


def cause_blocked(cause: crash_attribution.Cause) -> None:
    """Logs that requests are blocked, since they crash targets."""
    _log_cause("request blocked", cause)


def block_ended(cause: crash_attribution.Cause) -> None:
    """Logs that requests are no longer blocked."""
    _log_cause("block ended", cause)


def _log_cause(message: str, cause: crash_attribution.Cause) -> None:
    """Logs a message about the cause of crashes."""
    logger.warning(
        message,
        fingerprint=",".join(
            fingerprints.format_fingerprint(suspect)
            for suspect in sorted(cause.suspects)
        ),
        count=cause.crash_count,
        kind="request" if cause.has_request else "part",
    )


def _log_crash(
    message: str, crash: crash_records.Crash, count: int, kind: str
) -> None:
    """Logs a message about a crash."""
    logger.warning(
        message,
        fingerprint=fingerprints.format_fingerprint(crash.fingerprint),
        target_id=crash.target_id,
        count=count,
        kind=kind,
    )
