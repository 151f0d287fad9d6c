"""Streams are passed on in whole events, however they are split."""

import unittest

import hypothesis
from hypothesis import strategies

from cardamomfork._internal.requests import delivery
from tests.lib import seeds


class _Sink:
    def __init__(self):
        self.writes = []

    def write(self, data):
        self.writes.append(data)


class StreamDeliveryTest(unittest.TestCase):
    """Every split of the bytes yields the same whole events."""

    @seeds.STEADY
    @hypothesis.given(
        strategies.lists(
            strategies.text("ab:", min_size=1, max_size=6), max_size=6
        ),
        strategies.lists(strategies.integers(1, 9), max_size=20),
        strategies.booleans(),
        strategies.sampled_from((b"\n", b"\r\n")),
    )
    def test_any_cut_gives_whole_events(self, texts, sizes, ended, line_end):
        data = b"".join(b"id: 1\ndata: %b\n\n" % t.encode() for t in texts)
        if ended:
            data += delivery.DONE_EVENT
        data = data.replace(b"\n", line_end)
        sink = _Sink()
        stream = delivery.StreamDelivery(sink)
        rest = data
        for size in sizes:
            if rest[:size]:
                stream.write(rest[:size])
            rest = rest[size:]
        if rest:
            stream.write(rest)
        self.assertEqual(b"".join(sink.writes), data)
        for one in sink.writes:
            self.assertTrue(one.endswith(line_end * 2))
        self.assertEqual(stream.whole, ended)
        self.assertEqual(stream.events, data.count(line_end * 2))

    def test_event_over_size_limit_is_passed_on_in_parts(self):
        sink = _Sink()
        stream = delivery.StreamDelivery(sink)
        piece = b"x" * (delivery.MAX_EVENT_BYTES // 2)
        for _ in range(3):
            stream.write(piece)
        self.assertEqual(b"".join(sink.writes), piece * 3)

    def test_incomplete_event_is_buffered(self):
        sink = _Sink()
        stream = delivery.StreamDelivery(sink)
        stream.write(b"data: one\n\ndata: tw")
        self.assertEqual(sink.writes, [b"data: one\n\n"])
        self.assertFalse(stream.whole)


if __name__ == "__main__":
    unittest.main()
