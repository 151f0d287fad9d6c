"""Operators' changes are checked whole and accepted only once confirmed."""

import unittest

import attrs
import result

from cardamomfork._internal.configuration import checking
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.models import configuration
from cardamomfork._internal.standins import store
from cardamomfork._internal.standins import virtual_time
from tests.lib import configurations

DRAIN = configuration.ObjectKind.DRAIN
SERVICE = configuration.ObjectKind.SERVICE
ACCOUNT = configuration.ObjectKind.ACCOUNT
ORDER = configuration.ObjectKind.ORDER


class LateSession(store.StoreSession):
    """Loses an answer, and the write lands only after the next call."""

    def __init__(self, held):
        super().__init__(held)
        self.pending = None

    async def put(self, key, value, *, expected, lease=0):
        if self.pending is None:
            self.pending = (key, value, expected)
            return await self._lose(key)
        late, self.pending = self.pending, ()
        if late:
            await super().put(late[0], late[1], expected=late[2])
        return await super().put(key, value, expected=expected, lease=lease)

    async def _lose(self, key):
        return result.Err(
            store_contract.StoreFault(
                store_contract.StoreFaultKind.INDETERMINATE, key
            )
        )


class EditorTest(unittest.TestCase):
    def setUp(self):
        self.store = store.MemoryStore(clock.ManualClock())
        self.session = store.StoreSession(self.store)
        self.editor = self.make(self.session)

    def make(self, session):
        return editor.ConfigurationEditor(
            session, replica.ConfigurationReplica()
        )

    def edit(self, reason, based_on=0):
        return editor.Edit(
            DRAIN, "t", configuration.Drain("t", reason), based_on
        )

    def apply(self, *edits, by=None):
        return virtual_time.run((by or self.editor).apply, edits)

    def test_loser_of_a_race_sees_both_sides(self):
        first = self.apply(self.edit("disk")).unwrap()
        version = first.verdicts[0].version
        self.assertTrue(first.accepted)
        self.assertTrue(self.apply(self.edit("fan", version)).unwrap().accepted)
        lost = self.edit("board", version)
        report = self.apply(lost, by=self.make(self.session)).unwrap()
        conflict = report.verdicts[0]
        self.assertEqual(conflict.edit, lost)
        self.assertEqual(conflict.current.value.reason, "fan")
        self.assertTrue(conflict.certain)
        self.assertEqual(self.store.counters.conflicts, 0)

    def test_lost_answer_is_settled(self):
        self.session.faults.lose_answers = 3
        report = self.apply(self.edit("disk")).unwrap()
        self.assertTrue(report.accepted)
        self.assertEqual(report.verdicts[0].version, 1)
        self.session.faults.lose_answers = 1
        gone = editor.Edit(DRAIN, "t", None, based_on=1)
        self.assertTrue(self.apply(gone).unwrap().accepted)
        self.assertIsNone(self.store.read(codec.key_of(DRAIN, "t")))

    def test_lost_write_that_lands_late_is_not_denied(self):
        late = self.make(LateSession(self.store))
        report = self.apply(self.edit("disk"), by=late).unwrap()
        self.assertTrue(report.accepted)
        self.assertEqual(self.store.revision, 1)

    def test_unconfirmed_write_is_never_called_accepted(self):
        self.session.faults.lose_answers = 99
        report = self.apply(self.edit("disk"), self.edit_other()).unwrap()
        self.assertFalse(report.accepted)
        # The comparison itself answers once the first write took effect only
        # if an answer comes; none did.
        self.assertIsNone(report.verdicts[0].written)
        self.assertEqual(len(report.skipped), 1)
        self.session.faults.lose_answers = 0
        self.session.faults.down = True
        report = self.apply(self.edit("disk")).unwrap()
        self.assertIs(report.verdicts[0].written, False)

    def edit_other(self):
        return editor.Edit(DRAIN, "u", configuration.Drain("u"))

    def test_all_findings_come_together_and_nothing_is_written(self):
        bad = attrs.evolve(
            configurations.service("pool", models=(), target_count=2),
            retry_budget=2.0,
            max_timeout_s=1.0,
        )
        edits = [
            editor.Edit(SERVICE, "pool", bad),
            editor.Edit(
                ACCOUNT,
                "depot",
                configuration.ClientAccount(
                    "depot", requests_per_s=0, services=("nowhere",)
                ),
            ),
            editor.Edit(
                ORDER,
                "engine-x",
                configuration.Order("engine-x", configuration.OrderAction.LOAD),
            ),
        ]
        found = self.apply(*edits).unwrap_err()
        self.assertEqual(
            {str(finding.place) for finding in found},
            {
                "service/pool: models",
                "service/pool: retry_budget",
                "service/pool: max_timeout_s",
                "account/depot: requests_per_s",
                "account/depot: services[0]",
                "order/engine-x: model",
                "order/engine-x: name",
            },
        )
        self.assertEqual(self.store.counters.writes, 0)


class CheckingTest(unittest.TestCase):
    def test_change_set_is_checked_as_a_whole(self):
        held = replica.ConfigurationReplica()
        pool = configurations.service("pool")
        held.apply(configuration.Versioned(SERVICE, "pool", 1, pool))
        account = configuration.ClientAccount("depot", services=("desk",))
        desk = configurations.service("desk", models=("m2",))
        both = [(ACCOUNT, "depot", account), (SERVICE, "desk", desk)]
        self.assertEqual(checking.check(both, held), ())
        held.apply(configuration.Versioned(SERVICE, "desk", 2, desk))
        held.apply(configuration.Versioned(ACCOUNT, "depot", 3, account))
        gone = checking.check([(SERVICE, "desk", None)], held)
        self.assertIn("account 'depot' still names it", str(gone[0]))
        clash = configurations.service("other", models=("m1",))
        found = checking.check([(SERVICE, "other", clash)], held)
        self.assertIn("is served by service 'pool'", str(found[0]))
        moved = attrs.evolve(
            pool, targets=(attrs.evolve(desk.targets[0], port=1),)
        )
        found = checking.check([(SERVICE, "pool", moved)], held)
        self.assertIn("differs from the one of 'desk'", str(found[0]))
