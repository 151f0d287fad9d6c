"""Memory of one daemon by the size of the fleet's configuration.

The memory is the resident size of a process that has imported the daemon, plus
the memory of the components that hold accounts, services and engines, which
tracemalloc reports. Each instance holds the configuration of the whole fleet.
"""

from __future__ import annotations

import subprocess
import sys
import time
import tracemalloc

import anyio

from cardamomfork._internal import wiring
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import settings
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import local_dependencies

ACCOUNTS = 6500
ENGINES = 3500
SERVICES = 35
TARGET_FRACTIONS = (0.1, 0.25, 0.5, 1.0)
BOUND_MB = 64.0
BYTES_PER_MB = 1e6
# httpcore imports trio if it is installed. Only the tests install it, so it is
# kept out of the measured process.
_PRINT_RSS = (
    "import sys\n"
    "sys.modules['trio'] = None\n"
    "from cardamomfork._internal import daemon_program\n"
    "from cardamomfork._internal.telemetry import watchdog\n"
    "print(watchdog.resident_bytes())"
)


def measure(options: reports.Options) -> reports.Report:
    """Measures the imports, and the tables at fractions of the target."""
    fractions = TARGET_FRACTIONS[:1] if options.smallest else TARGET_FRACTIONS
    imported_mb = _measure_import_bytes() / BYTES_PER_MB
    measured = [_measure_loading(fraction) for fraction in fractions]
    memory = reports.Slope(
        quantity="MB of accounts, services and engines",
        size="share of the target's configuration",
        points=tuple(
            (fraction, size)
            for fraction, (size, _) in zip(fractions, measured, strict=True)
        ),
        bound=BOUND_MB - imported_mb,
        target_size=1.0,
    )
    loading = reports.Slope(
        quantity="processor seconds to put it in force",
        size="share of the target's configuration",
        points=tuple(
            (fraction, cpu_s)
            for fraction, (_, cpu_s) in zip(fractions, measured, strict=True)
        ),
        target_size=1.0,
    )
    total = imported_mb + (memory.at_target or 0.0)
    verdict = "met" if total <= BOUND_MB else "NOT met"
    return reports.Report(
        "footprint",
        (
            f"resident after importing the daemon: {imported_mb:.1f} MB",
            memory,
            loading,
            f"at the target's size: {total:.1f} MB; bound {BOUND_MB:g} MB:"
            f" {verdict}",
        ),
    )


def _measure_import_bytes() -> int:
    """Returns the resident bytes of a process that imported the daemon."""
    completed = subprocess.run(  # noqa: S603
        [sys.executable, "-c", _PRINT_RSS],
        capture_output=True,
        check=True,
        text=True,
    )
    return int(completed.stdout)


def _measure_loading(fraction: float) -> tuple[float, float]:
    """Returns the megabytes of a configuration and its loading time.

    Args:
        fraction: Size of the configuration over the target's.

    Returns:
        Megabytes held, and processor seconds to load them.
    """
    started = time.process_time()
    anyio.run(_load_configuration, fraction)
    cpu_s = time.process_time() - started
    tracemalloc.start()
    parts = anyio.run(_load_configuration, fraction)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del parts
    return held / BYTES_PER_MB, cpu_s


async def _load_configuration(fraction: float) -> object:
    """Wires a daemon and applies a fraction of the target's objects."""
    daemon = wiring.wire(
        settings.DaemonSettings(),
        None,
        local_dependencies.make_local_dependencies(),
    )
    held = replica.ConfigurationReplica()
    changes: list[configuration.Versioned] = []
    for number in range(int(SERVICES * fraction)):
        service = _make_service(number)
        daemon.apply_service(service)
        changes.append(_make_change(service, len(changes) + 1))
    for number in range(int(ACCOUNTS * fraction)):
        account = _make_account(number)
        daemon.apply_account(account)
        changes.append(_make_change(account, len(changes) + 1))
    held.apply_range(changes, 0, len(changes))
    return daemon, held


def _make_change(
    value: configuration.Service | configuration.ClientAccount, version: int
) -> configuration.Versioned:
    """Returns a stored version of a service or an account."""
    kind = configuration.ObjectKind.ACCOUNT
    if isinstance(value, configuration.Service):
        kind = configuration.ObjectKind.SERVICE
    return configuration.Versioned(kind, value.name, version, value)


def _make_service(number: int) -> configuration.Service:
    """Returns the service of one model with its engines."""
    return configuration.Service(
        name=identifiers.ServiceName(f"service-{number}"),
        kind=configuration.ServiceKind.MODEL,
        models=(f"model-{number}",),
        targets=tuple(
            targets.Target(
                identifiers.TargetId(f"engine-{number}-{index}"),
                targets.TargetKind.ENGINE,
                f"10.0.{number}.{index}",
                8000,
                identifiers.DataCentreId(f"centre-{index % 11}"),
                memory_tokens=500_000,
            )
            for index in range(ENGINES // SERVICES)
        ),
    )


def _make_account(number: int) -> configuration.ClientAccount:
    """Returns an account with one key."""
    key = configuration.HashedKey(
        f"{number:016x}", f"{number:032x}", f"{number:064x}"
    )
    name = identifiers.AccountName(f"account-{number}")
    return configuration.ClientAccount(name, (key,))
