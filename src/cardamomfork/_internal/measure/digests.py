"""Size and processor time of load digests between entry instances."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import digest_recipients
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.measure import reports

if TYPE_CHECKING:
    from collections.abc import Callable

JOB_COUNTS = (0, 1, 4, 16, 64)
ROUND_COUNT = 2000
SMALLEST_ROUND_COUNT = 50
INSTANCE_COUNTS = (9, 84, 340)
DATA_CENTRES = {9: 4, 84: 3, 340: 11}
"""Number of data centres of the users' deployments, by instances."""
MAX_DIRECT_INSTANCES = digest_recipients.MAX_DIRECT_PEERS + 1
"""Most instances with which a digest is sent to each peer directly."""
BOUND_CORE_FRACTION = 0.044
"""Fraction of a core that control work may use, required by the users."""


def measure(options: reports.Options) -> reports.Report:
    """Measures encoding and decoding by number of jobs."""
    rounds = SMALLEST_ROUND_COUNT if options.smallest else ROUND_COUNT
    sizes = JOB_COUNTS[:2] if options.smallest else JOB_COUNTS
    samples = [(count, *_measure_sample(count, rounds)) for count in sizes]
    decoding = reports.Slope(
        "us to decode a digest",
        "jobs",
        tuple(
            (float(count), duration_us) for count, _, _, duration_us in samples
        ),
    )
    return reports.Report(
        "digests",
        (
            reports.Table(
                "a digest by the jobs that it holds",
                ("jobs", "bytes", "encode us", "decode us"),
                tuple(
                    (
                        f"{count}",
                        f"{size}",
                        f"{encode_us:.1f}",
                        f"{decode_us:.1f}",
                    )
                    for count, size, encode_us, decode_us in samples
                ),
            ),
            decoding,
            _make_fan_out_table(decoding),
        ),
    )


def _make_fan_out_table(decoding: reports.Slope) -> reports.Table:
    """Returns datagrams per digest, and the digest rate within the bound."""
    slope, intercept = decoding.fit
    decode_s = (slope + intercept) / 1e6
    rows = []
    for instances in INSTANCE_COUNTS:
        data_centres = DATA_CENTRES[instances]
        remote_peers = instances - instances // data_centres
        remote_datagrams = (
            remote_peers
            if instances <= MAX_DIRECT_INSTANCES
            else data_centres - 1
        )
        max_digests_per_s = BOUND_CORE_FRACTION / (decode_s * (instances - 1))
        rows.append(
            (
                f"{instances}",
                f"{data_centres}",
                f"{remote_peers}",
                f"{remote_datagrams}",
                f"{max_digests_per_s:.1f}",
            )
        )
    return reports.Table(
        "a digest's ways, and digests a second of each instance that use"
        f" {BOUND_CORE_FRACTION:.1%} of a core at every other (one job each)",
        (
            "instances",
            "data centres",
            "peers elsewhere",
            "datagrams across",
            "digests/s",
        ),
        tuple(rows),
    )


def _measure_sample(count: int, rounds: int) -> tuple[int, float, float]:
    """Returns the bytes of a digest, and us to encode and to decode it."""
    digest = digest_codec.Digest(
        digest_codec.Peer("front-rosenheim-3", "rosenheim", "10.0.0.1", 7000),
        2**61,
        55,
        1_234_567,
        12_345,
        1_234_567,
        False,
        tuple(
            load_view.Job(
                f"{number}", f"i-{number:010x}", (), 5000, 1500, 0.25, 1.0, 0.2
            )
            for number in range(count)
        ),
        (),
    )
    data = digest_codec.encode(digest, 0.0)
    encode = _time_us(lambda: digest_codec.encode(digest, 0.0), rounds)
    decode = _time_us(lambda: digest_codec.decode(data, 0.0), rounds)
    return len(data), encode, decode


def _time_us(call: Callable[[], object], rounds: int) -> float:
    """Returns the mean processor time of a call, in us."""
    start = time.process_time_ns()
    for _ in range(rounds):
        call()
    return (time.process_time_ns() - start) / rounds / 1000
