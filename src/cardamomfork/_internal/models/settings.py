"""What a process must know to start; all else is configuration.

One class a section of the INI file. The defaults serve on the loopback
address and need nothing but the embedded parts.
"""

from __future__ import annotations

import attrs

from cardamomfork._internal.models import identifiers


@attrs.frozen
class TlsSettings:
    """Files for one listening side; empty for plain TCP.

    Attributes:
        certificate: PEM file with the certificate chain.
        key: PEM file with the private key.
        authority: PEM file with the certificates that the other side must
            show one of; empty to ask for none.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class InstanceSettings:
    """[instance]: who this process is."""

    instance_id: identifiers.InstanceId = identifiers.InstanceId("instance-1")
    data_centre: identifiers.DataCentreId = identifiers.DataCentreId("local")
    drain_timeout_s: float = 3600.0


@attrs.frozen
class CallerSettings:
    """[callers]: the HTTP side."""

    host: str = "127.0.0.1"
    port: int = 8480
    max_body_bytes: int = 16 * 1024 * 1024
    heartbeat_s: float = 10.0
    body_timeout_s: float = 30.0
    max_connections: int = 10_000
    tls: TlsSettings = TlsSettings()


@attrs.frozen
class PeerSettings:
    """[peers]: the side towards other entry instances.

    Attributes:
        host: IP number to listen on and to be reached by.
        port: TCP port; 0 picks one.
        seeds: `host:port` of peers to ask first.
        bytes_per_s: Budget for all that is told to peers.
        tls: Certificates.
    """

    host: str = "127.0.0.1"
    port: int = 8481
    seeds: tuple[str, ...] = ()
    bytes_per_s: float = 6000.0
    tls: TlsSettings = TlsSettings()


@attrs.frozen
class OperatorSettings:
    """[operators]: the side towards the command-line tool.

    Attributes:
        host: IP number to listen on.
        port: TCP port; 0 picks one.
        keys: Hashed keys as `KEY_ID:SALT:DIGEST[:NOT_AFTER]`.
        tls: Certificates.
    """

    host: str = "127.0.0.1"
    port: int = 8482
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    tls: TlsSettings = TlsSettings()


@attrs.frozen
class StoreSettings:
    """[store]: the platform's key-value store.

    Attributes:
        endpoints: `host:port` of its servers.
        timeout_s: Time limit of one call.
        prefix: Put before every key.
    """

    endpoints: tuple[str, ...] = ()
    timeout_s: float = 2.0
    prefix: str = "/cardamomfork/"


@attrs.frozen
class TelemetrySettings:
    """[telemetry]: logs and metrics."""

    log_level: str = "INFO"
    otlp_endpoint: str = ""
    export_interval_s: float = 30.0


@attrs.frozen
class DaemonSettings:
    """All sections, and whether the embedded parts run (`[embedded]`)."""

    instance: InstanceSettings = InstanceSettings()
    callers: CallerSettings = CallerSettings()
    peers: PeerSettings = PeerSettings()
    operators: OperatorSettings = OperatorSettings()
    store: StoreSettings = StoreSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    embedded: bool = False
