"""Tests that changes are validated as a set and accepted once confirmed."""

import unittest

import attrs
import result

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.configuration import validation
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


class DelayedWriteSession(store.StoreSession):
    """Loses the answer to the first write and delays the write itself.

    The write takes effect just before the next one.
    """

    def __init__(self, store_state):
        super().__init__(store_state)
        self.pending = None

    async def put(self, key, value, *, expected, lease=0):
        if self.pending is None:
            self.pending = (key, value, expected)
            return await self._lose_answer(key)
        delayed, self.pending = self.pending, ()
        if delayed:
            await super().put(delayed[0], delayed[1], expected=delayed[2])
        return await super().put(key, value, expected=expected, lease=lease)

    async def _lose_answer(self, key):
        return result.Err(
            store_contract.StoreFault(
                store_contract.StoreFaultKind.INDETERMINATE, key
            )
        )


class EditorTest(unittest.TestCase):
    def setUp(self):
        self.store = store.MemoryStore(clock.ManualClock())
        self.session = store.StoreSession(self.store)
        self.editor = self.make_editor(self.session)

    def make_editor(self, session):
        return editor.ConfigurationEditor(
            session, replica.ConfigurationReplica()
        )

    def make_edit(self, reason, based_on=0):
        return editor.Edit(
            DRAIN, "t", configuration.Drain("t", reason), based_on
        )

    def apply(self, *edits, on_editor=None):
        return virtual_time.run((on_editor or self.editor).apply, edits)

    def test_conflict_reports_edit_and_current_value(self):
        first = self.apply(self.make_edit("disk")).unwrap()
        version = first.verdicts[0].version
        self.assertTrue(first.accepted)
        self.assertTrue(
            self.apply(self.make_edit("fan", version)).unwrap().accepted
        )
        lost = self.make_edit("board", version)
        report = self.apply(
            lost, on_editor=self.make_editor(self.session)
        ).unwrap()
        conflict = report.verdicts[0]
        self.assertEqual(conflict.edit, lost)
        self.assertEqual(conflict.current.value.reason, "fan")
        self.assertTrue(conflict.certain)
        self.assertEqual(self.store.counters.conflicts, 0)

    def test_write_with_lost_answer_is_resolved(self):
        self.session.faults.lose_answers = 3
        report = self.apply(self.make_edit("disk")).unwrap()
        self.assertTrue(report.accepted)
        self.assertEqual(report.verdicts[0].version, 1)
        self.session.faults.lose_answers = 1
        deletion = editor.Edit(DRAIN, "t", None, based_on=1)
        self.assertTrue(self.apply(deletion).unwrap().accepted)
        self.assertIsNone(self.store.read(codec.key_of(DRAIN, "t")))

    def test_delayed_write_with_lost_answer_is_accepted(self):
        delayed = self.make_editor(DelayedWriteSession(self.store))
        report = self.apply(self.make_edit("disk"), on_editor=delayed).unwrap()
        self.assertTrue(report.accepted)
        self.assertEqual(self.store.revision, 1)

    def test_unconfirmed_write_is_not_accepted(self):
        self.session.faults.lose_answers = 99
        report = self.apply(
            self.make_edit("disk"), self.make_other_edit()
        ).unwrap()
        self.assertFalse(report.accepted)
        # A failed comparison would show that the first write took effect, but
        # every answer is lost.
        self.assertIsNone(report.verdicts[0].written)
        self.assertEqual(len(report.skipped), 1)
        self.session.faults.lose_answers = 0
        self.session.faults.down = True
        report = self.apply(self.make_edit("disk")).unwrap()
        self.assertIs(report.verdicts[0].written, False)

    def make_other_edit(self):
        return editor.Edit(DRAIN, "u", configuration.Drain("u"))

    def test_all_findings_are_returned_and_nothing_is_written(self):
        invalid = attrs.evolve(
            configurations.service("pool", models=(), target_count=2),
            retry_budget=2.0,
            max_timeout_s=1.0,
        )
        edits = [
            editor.Edit(SERVICE, "pool", invalid),
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


class ValidationTest(unittest.TestCase):
    def test_change_set_is_checked_as_a_whole(self):
        held = replica.ConfigurationReplica()
        pool = configurations.service("pool")
        held.apply(configuration.Versioned(SERVICE, "pool", 1, pool))
        account = configuration.ClientAccount("depot", services=("desk",))
        desk = configurations.service("desk", models=("m2",))
        both = [(ACCOUNT, "depot", account), (SERVICE, "desk", desk)]
        self.assertEqual(validation.check_changes(both, held), ())
        held.apply(configuration.Versioned(SERVICE, "desk", 2, desk))
        held.apply(configuration.Versioned(ACCOUNT, "depot", 3, account))
        gone = validation.check_changes([(SERVICE, "desk", None)], held)
        self.assertIn("account 'depot' still names it", str(gone[0]))
        clash = configurations.service("other", models=("m1",))
        found = validation.check_changes([(SERVICE, "other", clash)], held)
        self.assertIn("is served by service 'pool'", str(found[0]))
        moved = attrs.evolve(
            pool, targets=(attrs.evolve(desk.targets[0], port=1),)
        )
        found = validation.check_changes([(SERVICE, "pool", moved)], held)
        self.assertIn("differs from the one of 'desk'", str(found[0]))
