"""Embedded components for evaluation: an engine, a service and an account."""

from __future__ import annotations

import contextlib
import secrets
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.accounts import embedded_keys as embedded_accounts
from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets
from cardamomfork._internal.standins import engine
from cardamomfork._internal.standins import engine_runs
from cardamomfork._internal.standins import plain_service

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cardamomfork._internal.accounts import keys
    from cardamomfork._internal.models import settings as settings_models

HOST = "127.0.0.1"
ACCOUNT_KEY = "demo-key"
OPERATOR_KEY_ID = "0000000000000000"
OPERATOR_SECRET = "demo-operator-key-for-the-embedded-daemon-0"  # noqa: S105
OPERATOR_KEY = f"{OPERATOR_KEY_ID}.{OPERATOR_SECRET}"
MODEL = "demo-model"
ENGINE_ID = identifiers.TargetId("demo-engine")
LEDGER_SERVICE = identifiers.ServiceName("demo-ledger")


class EmbeddedEnvironment:
    """Integrates the embedded components into a process.

    Has no effect if the components are disabled.
    """

    def __init__(
        self,
        settings: settings_models.DaemonSettings,
        components: EmbeddedComponents | None,
    ) -> None:
        """Initializes the environment.

        Args:
            settings: Settings of the process.
            components: The running components; None if they are disabled.
        """
        self._settings = settings
        self._components = components

    @property
    def settings(self) -> settings_models.DaemonSettings:
        """The settings, with the embedded operator key if none is set."""
        if self._components is None or self._settings.operators.keys:
            return self._settings
        salt = secrets.token_bytes(key_hashes.SALT_BYTES)
        digest = key_hashes.digest(OPERATOR_SECRET, salt)
        hashed = configuration.HashedKey(
            OPERATOR_KEY_ID, salt.hex(), digest.hex()
        )
        operators = attrs.evolve(
            self._settings.operators, keys=(key_hashes.to_line(hashed),)
        )
        return attrs.evolve(self._settings, operators=operators)

    async def configure(self, store: store_contract.Store) -> None:
        """Writes the configuration of the components if it does not exist."""
        if self._components is None:
            return
        objects: tuple[configuration.ConfigurationObject, ...] = (
            *self._components.services,
            self._components.account,
        )
        for configured_object in objects:
            await store.put(
                codec.key_of(
                    codec.kind_of(configured_object), configured_object.name, ""
                ),
                codec.encode(configured_object),
                expected=store_contract.ABSENT,
            )

    def wrap_verifier(
        self, verifier: keys.KeyVerifier
    ) -> embedded_accounts.EmbeddedKeys | keys.KeyVerifier:
        """Returns a verifier that also accepts the embedded account's key."""
        if self._components is None:
            return verifier
        return embedded_accounts.EmbeddedKeys(
            self._components.account.name, ACCOUNT_KEY, verifier
        )


@attrs.frozen
class EmbeddedComponents:
    """The running components and their configuration."""

    engine: engine.StandinEngine
    ledger: plain_service.StandinService
    account: configuration.ClientAccount
    services: tuple[configuration.Service, ...]


@contextlib.asynccontextmanager
async def running_if_enabled(
    settings: settings_models.DaemonSettings,
) -> AsyncIterator[EmbeddedEnvironment]:
    """Runs the embedded components if the settings enable them."""
    if not settings.embedded:
        yield EmbeddedEnvironment(settings, None)
        return
    async with running(settings.instance.data_centre) as components:
        yield EmbeddedEnvironment(settings, components)


@contextlib.asynccontextmanager
async def running(
    data_centre: identifiers.DataCentreId,
) -> AsyncIterator[EmbeddedComponents]:
    """Runs the embedded engine and service on free ports."""
    speed = engine_runs.EngineProfile()
    demo_engine = engine.StandinEngine((MODEL,), speed)
    ledger = plain_service.StandinService()
    async with (
        anyio.create_task_group() as tasks,
        _serve(demo_engine) as engine_port,
        _serve(ledger) as ledger_port,
    ):
        tasks.start_soon(demo_engine.run)
        yield EmbeddedComponents(
            engine=demo_engine,
            ledger=ledger,
            account=configuration.ClientAccount(
                identifiers.AccountName("demo")
            ),
            services=(
                _engine_service(data_centre, engine_port, speed),
                _ledger_service(data_centre, ledger_port),
            ),
        )
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _serve(application: object) -> AsyncIterator[int]:
    """Serves an application on a free port and yields the port."""
    server = http_server.HttpServer(
        application, http_server.open_listener(HOST, 0), protocol.CallerProtocol
    )
    async with server.running():
        yield server.port


def _engine_service(
    data_centre: identifiers.DataCentreId,
    port: int,
    speed: engine_runs.EngineProfile,
) -> configuration.Service:
    """Returns the configuration of the embedded engine's service."""
    target = targets.Target(
        target_id=ENGINE_ID,
        kind=targets.TargetKind.ENGINE,
        host=HOST,
        port=port,
        data_centre=data_centre,
        checks_fencing=True,
        exports_kv=True,
        memory_tokens=speed.memory_tokens,
        max_batch=speed.max_batch,
    )
    return configuration.Service(
        name=identifiers.ServiceName("demo"),
        kind=configuration.ServiceKind.MODEL,
        models=(MODEL,),
        targets=(target,),
    )


def _ledger_service(
    data_centre: identifiers.DataCentreId, port: int
) -> configuration.Service:
    """Returns the configuration of the embedded plain service.

    The service is not idempotent, so its calls are never repeated.
    """
    target = targets.Target(
        target_id=identifiers.TargetId(LEDGER_SERVICE),
        kind=targets.TargetKind.PLAIN,
        host=HOST,
        port=port,
        data_centre=data_centre,
    )
    return configuration.Service(
        name=LEDGER_SERVICE,
        kind=configuration.ServiceKind.PLAIN,
        idempotent=False,
        targets=(target,),
    )
