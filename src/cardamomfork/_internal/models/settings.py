"""Settings that a process needs to start; all else is configuration.

Each section of the INI file has a class. With the defaults, the process serves
on the loopback address and needs only the embedded parts.
"""

from __future__ import annotations

import attrs

from cardamomfork._internal.models import identifiers


@attrs.frozen
class TlsSettings:
    """TLS files of one listening port; empty for plain TCP.

    Attributes:
        certificate: PEM file with the certificate chain.
        key: PEM file with the private key.
        authority: PEM file with the certificate authorities that client
            certificates are verified against; empty to require no client
            certificate.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class InstanceSettings:
    """[instance]: the identity of this process."""

    instance_id: identifiers.InstanceId = identifiers.InstanceId("instance-1")
    data_centre: identifiers.DataCentreId = identifiers.DataCentreId("local")
    drain_timeout_s: float = 3600.0


@attrs.frozen
class CallerSettings:
    """[callers]: the HTTP server for callers.

    Attributes:
        host: IP address on which to listen.
        port: TCP port; 0 for any free port.
        max_body_bytes: Longest body of a request.
        heartbeat_s: Interval of comments in a stream without events.
        body_timeout_s: Time for the whole body of a request.
        max_connections: Most open connections.
        memory_mb: Memory of which connections may use fixed shares.
        tls: TLS files.
    """

    host: str = "127.0.0.1"
    port: int = 8480
    max_body_bytes: int = 16 * 1024 * 1024
    heartbeat_s: float = 10.0
    body_timeout_s: float = 30.0
    max_connections: int = 10_000
    memory_mb: int = 640
    tls: TlsSettings = TlsSettings()


@attrs.frozen
class PeerSettings:
    """[peers]: the links with other entry instances.

    Attributes:
        host: IP address on which to listen, and at which peers connect.
        port: TCP port; 0 for any free port.
        seeds: `host:port` of the peers to contact first.
        bytes_per_s: Budget for all bytes sent to peers.
        tls: TLS files.
    """

    host: str = "127.0.0.1"
    port: int = 8481
    seeds: tuple[str, ...] = ()
    bytes_per_s: float = 6000.0
    tls: TlsSettings = TlsSettings()


@attrs.frozen
class OperatorSettings:
    """[operators]: the server for the command-line tool.

    Attributes:
        host: IP address on which to listen.
        port: TCP port; 0 for any free port.
        keys: Hashed keys as `KEY_ID:SALT:DIGEST[:NOT_AFTER]`.
        tls: TLS files.
    """

    host: str = "127.0.0.1"
    port: int = 8482
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    tls: TlsSettings = TlsSettings()


@attrs.frozen
class StoreSettings:
    """[store]: the platform's key-value store.

    Attributes:
        endpoints: `host:port` of the store's servers.
        timeout_s: Time limit of one call.
        prefix: Prefix of every key.
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
class SharingSettings:
    """[sharing]: how an entry instance shares scarce capacity.

    Attributes:
        fair_order: Whether waiting requests are ordered by the use that their
            client accounts make of the service.
        predicted_waits: Whether a request waits only if its turn is predicted
            to come in time.
    """

    fair_order: bool = False
    predicted_waits: bool = False


@attrs.frozen
class EntryFeatures:
    """All sections of the file that switches features of entry instances."""

    sharing: SharingSettings = SharingSettings()


@attrs.frozen
class DaemonSettings:
    """All sections; `embedded` is whether the embedded parts run."""

    instance: InstanceSettings = InstanceSettings()
    callers: CallerSettings = CallerSettings()
    peers: PeerSettings = PeerSettings()
    operators: OperatorSettings = OperatorSettings()
    store: StoreSettings = StoreSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    embedded: bool = False
