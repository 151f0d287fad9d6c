"""Creates configuration objects for tests."""

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import targets


def service(name="assistant-pool", models=("m1",), target_count=1, **options):
    return configuration.Service(
        name=name,
        kind=configuration.ServiceKind.MODEL,
        models=tuple(models),
        targets=tuple(
            targets.Target(
                f"{name}-engine-{number}",
                targets.TargetKind.ENGINE,
                "127.0.0.1",
                9000 + number,
                "rosenheim",
            )
            for number in range(target_count)
        ),
        **options,
    )


def drain(name, version, reason="maintenance"):
    return configuration.Versioned(
        configuration.ObjectKind.DRAIN,
        name,
        version,
        configuration.Drain(name, reason),
    )


def deletion(name, version):
    return configuration.Versioned(
        configuration.ObjectKind.DRAIN, name, version, None
    )
