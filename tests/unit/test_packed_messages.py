"""Tests of reading packed messages of any sender."""

import os
import random
import struct
import subprocess
import sys
import unittest

from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import packed_messages
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.state import load_view

DECODERS = (
    "digest_codec.decode({!r}, 0.0)",
    "permit_codec.decode_request(permit_codec.REQUEST + {!r})",
    "permit_codec.decode_decision(permit_codec.DECISION + {!r})",
)
IMPORTS = "from cardamomfork._internal.gateway.peers import {}\n"


def make_digest(jobs):
    """Returns a packed digest, of several segments if it has many jobs."""
    sender = digest_codec.Peer("one", "a", "127.0.0.1", 9)
    job = load_view.Job("", "target-1", (), 9000, 100, 1.0, 1.0, 0.0)
    return digest_codec.encode(
        digest_codec.Digest(
            sender, 1, 2, 3, 4, 5, False, jobs=(job,) * jobs, deaths=()
        ),
        0.0,
    )


def break_off(segments):
    """Returns a packed message of which only the first segment is there."""
    table = struct.pack("<III", segments - 1, 1, 100) + bytes(4)
    word = struct.pack("<Q", 1)
    packed = bytearray()
    for start in range(0, len(table + word), 8):
        part = (table + word)[start : start + 8]
        packed.append(sum(1 << bit for bit in range(8) if part[bit]))
        packed += bytes(byte for byte in part if byte)
    return bytes(packed)


class PackedMessagesTest(unittest.TestCase):
    def test_message_that_breaks_off_does_not_end_the_process(self):
        digest = make_digest(400)
        parts = [break_off(2), digest[: len(digest) // 2], digest[:-9]]
        for decoder in DECODERS:
            code = IMPORTS.format("digest_codec")
            code += IMPORTS.format("permit_codec")
            for part in parts:
                code += f"assert {decoder.format(part)}.is_err()\n"
            ended = subprocess.run(
                [sys.executable, "-c", code],
                capture_output=True,
                check=False,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
            with self.subTest(decoder=decoder):
                self.assertEqual(ended.returncode, 0, ended.stderr[-300:])

    def test_digests_of_one_and_of_several_segments_are_read(self):
        for jobs in (0, 1, 400):
            decoded = digest_codec.decode(make_digest(jobs), 0.0).unwrap()
            self.assertEqual(len(decoded.jobs), jobs)
            self.assertEqual(decoded.sender.instance_id, "one")

    def test_small_message_does_not_unpack_to_a_large_one(self):
        with self.assertRaises(ValueError):
            packed_messages.unpack(b"\0\xff" * 32_000)

    def test_odd_message_of_several_segments_is_refused_or_read(self):
        rng = random.Random(1)
        digest = make_digest(400)
        for _ in range(300):
            odd = bytearray(digest)
            for _ in range(rng.randint(1, 8)):
                odd[rng.randrange(1, len(odd))] = rng.randrange(256)
            odd[0] |= 1
            digest_codec.decode(bytes(odd), 0.0)
            permit_codec.decode_request(permit_codec.REQUEST + odd)


if __name__ == "__main__":
    unittest.main()
