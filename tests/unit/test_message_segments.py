"""The parser never gets a part of a request together with its predecessor."""

import unittest

import httptools
import hypothesis
from hypothesis import strategies

from cardamomfork._internal.links import message_segments

REQUESTS = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\r\n\r\nGET /b HTTP/1.1\r\na: b\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab\r\n\r\ncd\n",
    b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\nx\r\n\r\ny\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\nx\r\n0\r\na: b\r\nc: d\r\n\r\n",
)


class _Parser:
    """Parses segments and notes how many messages each of them ends."""

    def __init__(self):
        self._parser = httptools.HttpRequestParser(self)
        self._segmenter = message_segments.Segmenter()
        self._unparsed = bytearray()
        self._headers = []
        self.ended = []
        self.begun_behind = 0

    def receive(self, data):
        self._unparsed += data
        while self._unparsed:
            segment = self._segmenter.take(self._unparsed)
            assert segment
            self.ended.append(0)
            self._parser.feed_data(segment)

    def on_message_begin(self):
        self._headers = []
        if self.ended[-1]:
            self.begun_behind += 1

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        self._segmenter.expect_body(self._headers)

    def on_message_complete(self):
        self.ended[-1] += 1
        self._segmenter.expect_head()


class SegmenterTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(REQUESTS), max_size=6),
        strategies.lists(strategies.integers(1, 40), max_size=60),
    )
    def test_no_segment_reaches_into_the_next_request(self, requests, sizes):
        data = b"".join(requests)
        parser = _Parser()
        for size in sizes:
            parser.receive(data[:size])
            data = data[size:]
        parser.receive(data)
        self.assertEqual(sum(parser.ended), len(requests))
        self.assertLessEqual(max(parser.ended, default=0), 1)
        self.assertEqual(parser.begun_behind, 0)

    def test_segments_without_end_are_bounded(self):
        segmenter = message_segments.Segmenter()
        data = bytearray(b"x" * 1_000_000)
        self.assertEqual(
            len(segmenter.take(data)), message_segments.MAX_SEGMENT_BYTES
        )


if __name__ == "__main__":
    unittest.main()
