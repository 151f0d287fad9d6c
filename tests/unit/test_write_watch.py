"""Connections whose clients have stopped reading end; slow readers stay."""

import unittest

from cardamomfork._internal.links import write_watch


class _Transport:
    def __init__(self):
        self.size = 100
        self.is_aborted = False

    def get_write_buffer_size(self):
        return self.size

    def abort(self):
        self.is_aborted = True


class _Loop:
    def __init__(self):
        self.callback = None

    def call_later(self, delay, callback):
        self.callback = callback
        return self

    def cancel(self):
        self.callback = None


class WriteWatchTest(unittest.TestCase):
    def setUp(self):
        self.transport = _Transport()
        self.loop = _Loop()
        self.watch = write_watch.WriteWatch(self.transport, self.loop)

    def test_client_that_reads_nothing_is_aborted(self):
        self.watch.start()
        self.transport.size = 99
        self.loop.callback()
        self.assertFalse(self.transport.is_aborted)
        self.loop.callback()
        self.assertTrue(self.transport.is_aborted)

    def test_second_start_does_not_restart_the_timeout(self):
        self.watch.start()
        callback, self.loop.callback = self.loop.callback, None
        self.watch.start()
        self.assertIsNone(self.loop.callback)
        callback()
        self.assertTrue(self.transport.is_aborted)

    def test_stopped_watch_aborts_nothing(self):
        self.watch.start()
        self.watch.stop()
        self.watch.stop()
        self.assertIsNone(self.loop.callback)
        self.watch.start()
        self.assertIsNotNone(self.loop.callback)


if __name__ == "__main__":
    unittest.main()
