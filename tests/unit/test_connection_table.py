"""Which connection makes room when there are too many."""

import unittest

from cardamomfork._internal.links import connection_limits
from cardamomfork._internal.links import connection_table

State = connection_table.State


class _Connection:
    def __init__(self):
        self.is_evicted = False

    def evict(self):
        self.is_evicted = True


class ConnectionTableTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.table = connection_table.ConnectionTable(
            connection_limits.ConnectionLimits(
                max_connections=4, idle_timeout_s=20.0
            ),
            lambda: self.now,
        )

    def open(self, state=State.HEAD):
        connection = _Connection()
        self.assertTrue(self.table.add(connection))
        self.table.update(connection, state)
        self.now += 0.1
        return connection

    def test_unfinished_heads_make_room_before_sound_idle_connections(self):
        idle = [self.open(State.IDLE) for _ in range(2)]
        heads = [self.open() for _ in range(2)]
        self.now += 15.9
        self.open()
        self.assertTrue(heads[0].is_evicted)
        self.assertFalse(any(one.is_evicted for one in (*idle, heads[1])))
        self.assertEqual((len(self.table), self.table.evicted), (4, 1))

    def test_connections_idle_for_long_make_room_before_bodies(self):
        body = self.open(State.BODY)
        idle = [self.open(State.IDLE) for _ in range(3)]
        self.now += 16.0
        self.open(State.ANSWER)
        self.assertTrue(idle[0].is_evicted)
        self.assertFalse(body.is_evicted)

    def test_bodies_that_do_not_come_make_room(self):
        bodies = [self.open(State.BODY) for _ in range(4)]
        self.now += 1.0
        self.table.update(bodies[0], State.BODY)
        self.open(State.ANSWER)
        self.assertTrue(bodies[1].is_evicted)
        self.assertFalse(bodies[0].is_evicted)

    def test_the_longest_idle_connection_makes_room_last(self):
        answers = [self.open(State.ANSWER) for _ in range(2)]
        idle = [self.open(State.IDLE) for _ in range(2)]
        self.open(State.ANSWER)
        self.assertTrue(idle[0].is_evicted)
        self.assertFalse(any(one.is_evicted for one in answers))

    def test_answers_that_nobody_reads_make_room_before_idle_connections(self):
        unread = [self.open(State.ANSWER) for _ in range(3)]
        idle = self.open(State.IDLE)
        for one in unread:
            self.table.set_unread(one, True)
            self.now += 1.0
        self.table.set_unread(unread[0], False)
        self.table.set_unread(unread[1], True)
        self.now += 3.5
        self.table.update(unread[1], State.ANSWER)
        self.open(State.ANSWER)
        self.assertTrue(unread[1].is_evicted)
        self.open(State.ANSWER)
        self.assertTrue(idle.is_evicted)
        self.assertFalse(unread[0].is_evicted or unread[2].is_evicted)

    def test_requests_that_were_read_are_not_given_up(self):
        answers = [self.open(State.ANSWER) for _ in range(4)]
        self.now += 60.0
        self.assertFalse(self.table.add(_Connection()))
        self.assertFalse(any(one.is_evicted for one in answers))
        self.assertEqual((len(self.table), self.table.refused), (4, 1))

    def test_closed_connections_leave_room(self):
        for one in [self.open(State.ANSWER) for _ in range(4)]:
            self.table.remove(one)
            self.table.remove(one)
        self.open()
        self.assertEqual(len(self.table), 1)


if __name__ == "__main__":
    unittest.main()
