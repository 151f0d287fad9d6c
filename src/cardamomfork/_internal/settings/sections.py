"""Sections and keys of the settings file, and their parsers."""

from __future__ import annotations

from typing import Any

import attrs

from cardamomfork._internal.models import settings
from cardamomfork._internal.settings import fields

TLS_PREFIX = "tls_"
DAY_S = 86_400.0


@attrs.frozen
class Section:
    """A section of the settings file.

    Attributes:
        model: Settings class of the section.
        parsers: Parsers by key; `tls_` keys are stored in `model.tls`.
    """

    model: type[Any]
    parsers: dict[str, fields.Parser]


_TLS: dict[str, fields.Parser] = {
    "tls_certificate": fields.parse_file,
    "tls_key": fields.parse_file,
    "tls_authority": fields.parse_file,
}

SECTIONS: dict[str, Section] = {
    "instance": Section(
        settings.InstanceSettings,
        {
            "instance_id": fields.parse_name,
            "data_centre": fields.parse_name,
            "drain_timeout_s": fields.make_number_parser(0.0, DAY_S),
        },
    ),
    "callers": Section(
        settings.CallerSettings,
        {
            "host": fields.parse_host,
            "port": fields.parse_port,
            "max_body_bytes": fields.make_integer_parser(1024, 1 << 30),
            "heartbeat_s": fields.make_number_parser(0.1, 3600.0),
            "body_timeout_s": fields.make_number_parser(0.1, 3600.0),
            "max_connections": fields.make_integer_parser(1, 1_000_000),
            "memory_mb": fields.make_integer_parser(16, 1 << 20),
            **_TLS,
        },
    ),
    "peers": Section(
        settings.PeerSettings,
        {
            "host": fields.parse_host,
            "port": fields.parse_port,
            "seeds": fields.parse_endpoints,
            "bytes_per_s": fields.make_number_parser(500.0, 1e9),
            **_TLS,
        },
    ),
    "operators": Section(
        settings.OperatorSettings,
        {
            "host": fields.parse_host,
            "port": fields.parse_port,
            "keys": fields.parse_key_lines,
            **_TLS,
        },
    ),
    "store": Section(
        settings.StoreSettings,
        {
            "endpoints": fields.parse_endpoints,
            "timeout_s": fields.make_number_parser(0.01, 60.0),
            "prefix": fields.parse_key_prefix,
        },
    ),
    "telemetry": Section(
        settings.TelemetrySettings,
        {
            "log_level": fields.parse_log_level,
            "otlp_endpoint": fields.parse_url,
            "export_interval_s": fields.make_number_parser(1.0, 3600.0),
        },
    ),
    "embedded": Section(dict, {"enabled": fields.parse_boolean}),
}

FEATURE_SECTIONS: dict[str, Section] = {
    "sharing": Section(
        settings.SharingSettings,
        {
            "fair_order": fields.parse_boolean,
            "predicted_waits": fields.parse_boolean,
        },
    ),
}
"""Sections of the file that switches features of an entry instance."""


def build_features(
    values: dict[str, dict[str, Any]],
) -> settings.EntryFeatures:
    """Builds the features from the parsed values by section and key."""
    return settings.EntryFeatures(
        **{
            name: _build_section(section.model, values.get(name, {}))
            for name, section in FEATURE_SECTIONS.items()
        }
    )


def build(values: dict[str, dict[str, Any]]) -> settings.DaemonSettings:
    """Builds the settings from the parsed values by section and key."""
    section_models = {
        name: _build_section(section.model, values.get(name, {}))
        for name, section in SECTIONS.items()
        if name != "embedded"
    }
    embedded = values.get("embedded", {}).get("enabled", False)
    return settings.DaemonSettings(**section_models, embedded=embedded)


def _build_section(model: type[Any], values: dict[str, Any]) -> Any:
    """Builds the settings object of one section.

    The `tls_` keys become one nested `TlsSettings` object.
    """
    plain = {k: v for k, v in values.items() if not k.startswith(TLS_PREFIX)}
    tls = {
        key.removeprefix(TLS_PREFIX): value
        for key, value in values.items()
        if key.startswith(TLS_PREFIX)
    }
    if tls:
        plain["tls"] = settings.TlsSettings(**tls)
    return model(**plain)
