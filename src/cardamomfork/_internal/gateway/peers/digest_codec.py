"""Cap'n Proto encoding of digests and configurations sent between peers."""

from __future__ import annotations

import functools
import itertools
import math
import pathlib
from typing import Any

import attrs
import capnp
import result

from cardamomfork._internal import addresses
from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.peers import packed_messages
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import crash_records
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import peer_queues
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.store import key_set

MS_PER_S = 1000.0
MAX_MS = 2**31 - 1
MAX_COUNT = 2**16 - 1
MAX_ENTRIES = 4096
"""Bound of each list in a digest."""
MAX_PARTS = 64
"""Bound of the parts of a job."""
MAX_REVISION = 10**6 * store.REVISIONS_PER_ERA
"""Eras have up to six digits."""
MAX_NAME_CHARACTERS = 256
FIRST_SEGMENT_WORDS = 1024
WORDS_PER_JOB = 32
"""Space for a digest. One of a single segment is read faster."""
_SCHEMA_PATH = pathlib.Path(__file__).with_name("digests.capnp")


@attrs.frozen
class Peer:
    """Identity and address of an instance.

    Attributes:
        instance_id: Unique name of the instance.
        data_centre: Data centre that it runs in.
        host: IP address.
        port: Port for both TCP and UDP.
    """

    instance_id: str
    data_centre: str
    host: str
    port: int


@attrs.frozen
class Digest:
    """State that an instance sends to its peers.

    Attributes:
        sender: The instance that created the digest.
        incarnation: Random number that differs for each start of the sender.
        sequence: Number that increases with each digest of an incarnation.
        configuration_revision: Store revision of the configuration that the
            sender has in force.
        configuration_version: Version of that configuration, or -1.
        targets_revision: Store revision of the last change of a target that
            the sender has received.
        is_leaving: Whether the sender is about to stop.
        jobs: Requests that the sender has placed on targets.
        deaths: Crashes of targets, each with the fingerprint of the request
            that the target ran.
        rate_limits: Limits that targets have named in answers to the sender.
        reaches_targets: Whether the sender can pass requests on to targets.
        open_requests: Requests that the sender has in progress, including
            those of peers.
        exchanges_changes: Whether the sender exchanges changes in the store
            with peers.
        reaches_store: Whether the store answers the sender.
        evacuations: Evacuations that the sender knows; empty in most digests.
        cold_targets: Statements in answers to the sender about the time for
            which targets are cold.
        waiting: Requests that wait at the sender.
        target_keys: Keys of the targets' entries that the sender knows.
    """

    sender: Peer
    incarnation: int
    sequence: int
    configuration_revision: int
    configuration_version: int
    targets_revision: int
    is_leaving: bool
    jobs: tuple[load_view.Job, ...]
    deaths: tuple[crash_records.CrashReport, ...]
    rate_limits: tuple[rate_limits.RateLimitReport, ...] = ()
    reaches_targets: bool = False
    open_requests: int = 0
    exchanges_changes: bool = False
    reaches_store: bool = False
    evacuations: tuple[evacuations.Evacuation, ...] = ()
    cold_targets: tuple[cold_targets.ColdReport, ...] = ()
    waiting: tuple[peer_queues.WaitingClass, ...] = ()
    target_keys: key_set.KnownKeys = key_set.KnownKeys()


@functools.cache
def schema() -> Any:
    """Returns the schema of all messages between peers; loads it once."""
    return capnp.load(str(_SCHEMA_PATH))


def encode(digest: Digest, now: float) -> bytes:
    """Encodes a digest; points in time are sent as durations from now."""
    message = schema().Digest.new_message(
        num_first_segment_words=FIRST_SEGMENT_WORDS
        + WORDS_PER_JOB * len(digest.jobs),
        instanceId=digest.sender.instance_id,
        dataCentre=digest.sender.data_centre,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        host=digest.sender.host,
        port=digest.sender.port,
        configurationRevision=digest.configuration_revision,
        configurationVersion=digest.configuration_version,
        targetsRevision=digest.targets_revision,
        isLeaving=digest.is_leaving,
        reachesTargets=digest.reaches_targets,
        openRequests=digest.open_requests,
        exchangesChanges=digest.exchanges_changes,
        reachesStore=digest.reaches_store,
        targetKeysRevision=digest.target_keys.revision,
        targetKeysFingerprint=digest.target_keys.fingerprint,
    )
    jobs = message.init("jobs", len(digest.jobs))
    for index, job in enumerate(digest.jobs):
        _encode_job(jobs[index], job, now)
    deaths = message.init("deaths", len(digest.deaths))
    for index, death in enumerate(digest.deaths):
        deaths[index].fingerprint = death.crash.fingerprint
        deaths[index].targetId = death.crash.target_id
        deaths[index].startedAtMs = death.crash.started_at_ms
        deaths[index].isRefuted = death.is_refuted
    limits = message.init("rateLimits", len(digest.rate_limits))
    for index, limit in enumerate(digest.rate_limits):
        limits[index].targetId = limit.target_id
        limits[index].startedAtMs = limit.started_at_ms
        limits[index].requestsPerS = limit.requests_per_s
        limits[index].ageMs = _to_unsigned_ms(limit.age_s)
        limits[index].hasEnded = limit.has_ended
    _encode_evacuations(message, digest.evacuations)
    if digest.cold_targets:
        cold = message.init("coldTargets", len(digest.cold_targets))
        for index, report in enumerate(digest.cold_targets):
            cold[index].targetId = report.target_id
            cold[index].startedAtMs = report.started_at_ms
            cold[index].remainingMs = _to_unsigned_ms(report.remaining_s)
            cold[index].ageMs = _to_unsigned_ms(report.age_s)
    sent_classes = digest.waiting[: peer_queues.MAX_CLASSES]
    waiting = message.init("waiting", len(sent_classes))
    for index, one in enumerate(sent_classes):
        waiting[index].service = one.service
        waiting[index].isLong = one.is_long
        waiting[index].count = min(one.count, MAX_COUNT)
        waiting[index].prefillMs = min(one.prefill_ms, MAX_MS)
    return bytes(message.to_bytes_packed())


@decoding.decoder("peer entry")
def decode_peer(value: bytes) -> result.Result[Peer, str]:
    """Decodes the entry with which an instance registers in the store."""
    return decoding.decode_json(value, Peer).and_then(check_peer)


@decoding.decoder("digest")
def decode(data: bytes, now: float) -> result.Result[Digest, str]:
    """Decodes a digest, or returns an error message if it is malformed."""
    return packed_messages.read(
        data, schema().Digest, lambda message: _decode(message, now)
    )


def _decode(message: Any, now: float) -> result.Result[Digest, str]:
    """Creates a digest from a message."""
    # A small packed message may expand to lists of millions of entries.
    if (
        max(
            len(message.jobs),
            len(message.deaths),
            len(message.rateLimits),
            len(message.evacuations),
            len(message.coldTargets),
            len(message.waiting),
        )
        > MAX_ENTRIES
    ):
        return result.Err("malformed digest: too many entries")
    sender = Peer(
        message.instanceId, message.dataCentre, message.host, message.port
    )
    if (
        max(
            message.configurationRevision,
            message.targetsRevision,
            message.targetKeysRevision,
        )
        > MAX_REVISION
    ):
        return result.Err("malformed digest: revision out of range")
    return result.Ok(
        Digest(
            sender,
            message.incarnation,
            message.sequence,
            message.configurationRevision,
            message.configurationVersion,
            message.targetsRevision,
            message.isLeaving,
            tuple(
                _decode_job(f"{sender.instance_id}#{index}", job, now)
                for index, job in enumerate(message.jobs)
            ),
            tuple(
                crash_records.CrashReport(
                    crash_records.Crash(
                        death.fingerprint, death.targetId, death.startedAtMs
                    ),
                    death.isRefuted,
                )
                for death in message.deaths
            ),
            tuple(_decode_rate_limit(limit) for limit in message.rateLimits),
            message.reachesTargets,
            message.openRequests,
            message.exchangesChanges,
            message.reachesStore,
            _decode_evacuations(message),
            tuple(
                cold_targets.ColdReport(
                    report.targetId,
                    report.startedAtMs,
                    min(
                        report.remainingMs / MS_PER_S,
                        cold_targets.MAX_COLD_S,
                    ),
                    report.ageMs / MS_PER_S,
                )
                for report in message.coldTargets
            ),
            tuple(
                peer_queues.WaitingClass(
                    one.service, one.isLong, one.count, one.prefillMs
                )
                for one in itertools.islice(
                    message.waiting, peer_queues.MAX_CLASSES
                )
            ),
            key_set.KnownKeys(
                message.targetKeysRevision, message.targetKeysFingerprint
            ),
        )
    )


def check_peer(peer: Peer) -> result.Result[Peer, str]:
    """Checks that a peer can be recorded and datagrams can be sent to it."""
    if not (
        0 < len(peer.instance_id) <= MAX_NAME_CHARACTERS
        and len(peer.data_centre) <= MAX_NAME_CHARACTERS
    ):
        return result.Err("malformed peer: name")
    return addresses.check(peer.host, peer.port).map(lambda _: peer)


def encode_configuration(stored: fleet_state.StoredConfiguration) -> bytes:
    """Encodes a configuration."""
    message = schema().StoredConfiguration.new_message(
        revision=stored.revision,
        value=stored.value,
        knowsEvacuations=stored.knows_evacuations,
    )
    _encode_evacuations(message, stored.evacuations)
    return bytes(message.to_bytes())


@decoding.decoder("configuration of a peer")
def decode_configuration(
    data: bytes,
) -> result.Result[fleet_state.StoredConfiguration, str]:
    """Decodes a configuration, or returns an error message."""
    with schema().StoredConfiguration.from_bytes(data) as message:
        if message.revision > MAX_REVISION:
            return result.Err("malformed configuration: revision out of range")
        return result.Ok(
            fleet_state.StoredConfiguration(
                bytes(message.value),
                message.revision,
                _decode_evacuations(message),
                message.knowsEvacuations,
            )
        )


def _encode_evacuations(
    message: Any, known: tuple[evacuations.Evacuation, ...]
) -> None:
    """Writes evacuations to a digest or to a configuration."""
    if not known:
        return
    encoded = message.init("evacuations", len(known))
    for index, one in enumerate(known):
        encoded[index].dataCentre = one.data_centre
        encoded[index].revision = one.revision
        encoded[index].isActive = one.is_active


def _decode_evacuations(message: Any) -> tuple[evacuations.Evacuation, ...]:
    """Creates evacuations from a digest or from a configuration."""
    return tuple(
        evacuations.Evacuation(one.dataCentre, one.revision, one.isActive)
        for one in itertools.islice(
            message.evacuations, evacuations.MAX_DATA_CENTRES
        )
    )


def _encode_job(message: Any, job: load_view.Job, now: float) -> None:
    """Writes a job to a message."""
    message.targetId = job.target_id
    parts = message.init("parts", len(job.parts))
    for index, part in enumerate(job.parts):
        parts[index].targetId = part.target_id
        parts[index].reservedTokens = part.reserved_tokens
    message.promptTokens = job.prompt_tokens
    message.outputTokens = job.output_tokens
    gap_s = 0.0 if math.isinf(job.max_gap_s) else job.max_gap_s
    message.maxGapMs = round(gap_s * MS_PER_S)
    message.readingLeftMs = _to_signed_ms(job.reads_until - now)
    message.endsInMs = _to_unsigned_ms(job.ends_at - now)
    message.isWriting = job.is_writing
    message.lateInMs = _to_unsigned_ms(job.late_at - now)
    message.accountId = job.account_id


def _decode_rate_limit(message: Any) -> rate_limits.RateLimitReport:
    """Creates the report of a target's limit from a message.

    Raises:
        ValueError: The rate is negative or not finite.
    """
    rate = message.requestsPerS
    if not 0 <= rate < math.inf:
        raise ValueError("rate out of range")
    return rate_limits.RateLimitReport(
        message.targetId,
        message.startedAtMs,
        rate,
        message.ageMs / MS_PER_S,
        message.hasEnded,
    )


def _decode_job(job_id: str, message: Any, now: float) -> load_view.Job:
    """Creates a job from a message.

    Raises:
        ValueError: The job has too many parts.
    """
    encoded_parts = message.parts
    if len(encoded_parts) > MAX_PARTS:
        raise ValueError("too many parts")
    return load_view.Job(
        job_id=job_id,
        target_id=message.targetId,
        parts=tuple(
            load_view.Part(part.targetId, part.reservedTokens)
            for part in encoded_parts
        ),
        prompt_tokens=message.promptTokens,
        output_tokens=message.outputTokens,
        max_gap_s=message.maxGapMs / MS_PER_S or math.inf,
        value=demands.request_value(message.promptTokens),
        reads_until=now + message.readingLeftMs / MS_PER_S,
        late_at=now + message.lateInMs / MS_PER_S,
        is_writing=message.isWriting,
        ends_at=now + message.endsInMs / MS_PER_S,
        account_id=message.accountId,
    )


def _to_unsigned_ms(seconds: float) -> int:
    """Converts a duration to milliseconds, clamped to 0..`MAX_MS`."""
    return max(_to_signed_ms(seconds), 0)


def _to_signed_ms(seconds: float) -> int:
    """Converts a duration to milliseconds, clamped to ±`MAX_MS`."""
    return int(min(max(seconds * MS_PER_S, -MAX_MS), MAX_MS))
