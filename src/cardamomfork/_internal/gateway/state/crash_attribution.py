"""Attributes crashes of targets to requests and to parts of prompts.

A crash takes down all that its target runs, so each of these requests, and each
part of their prompts, may be the cause. The cause of many crashes is what most
of them have in common: the suspect with the most crashes explains these, and
the others are judged by what is left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.state import fingerprints

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_REQUEST_CRASHES = 3
"""Crashes from which on a request is the cause."""
MAX_PART_CRASHES = 4
"""Crashes from which on a part is the cause. Higher, since many requests share
a part, and each of them is a chance to run beside another cause."""

Process = tuple[str, int]
"""Id of a target and start of its process."""


@attrs.frozen
class Cause:
    """Suspects that the crashes cannot tell apart.

    Attributes:
        suspects: Fingerprints that were present at exactly the same crashes.
        crash_count: Number of crashes that no stronger cause explains.
    """

    suspects: frozenset[int]
    crash_count: int

    @property
    def has_request(self) -> bool:
        """Whether a whole request is among the suspects."""
        return not all(map(fingerprints.is_part, self.suspects))

    @property
    def max_crashes(self) -> int:
        """Number of crashes from which on the suspects are the cause."""
        return MAX_REQUEST_CRASHES if self.has_request else MAX_PART_CRASHES


def find_causes(crashes: Mapping[int, frozenset[Process]]) -> list[Cause]:
    """Returns the causes, that of the most crashes first.

    Args:
        crashes: Processes that crashed under each suspect, by fingerprint.
    """
    groups: dict[frozenset[Process], set[int]] = {}
    for fingerprint, processes in crashes.items():
        groups.setdefault(processes, set()).add(fingerprint)
    causes = []
    explained: set[Process] = set()
    for processes in sorted(
        groups, key=lambda key: (-len(key), min(groups[key]))
    ):
        cause = Cause(frozenset(groups[processes]), len(processes - explained))
        if cause.crash_count >= cause.max_crashes:
            causes.append(cause)
            explained |= processes
    return causes
