"""Tests of what attempts show about targets, directly and over peers."""

import unittest
from unittest import mock

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.serving import outcome_recorder
from cardamomfork._internal.gateway.state import data_centre_reach
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.models import forwarding
from tests.lib import gateway_parts

Failure = outcomes.Failure


class OutcomeRecorderTest(unittest.TestCase):
    def record(self, failed, *, is_isolated=False, peer_id=""):
        """Records a failure; returns the target and the detector's calls."""
        clock = gateway_parts.Clock()
        table = target_table.TargetTable()
        table.put(gateway_parts.make_record(1))
        target = table.find("t1")
        detector = mock.create_autospec(
            crash_detector.CrashDetector, instance=True
        )
        recorder = outcome_recorder.OutcomeRecorder(
            table, detector, clock, lambda: is_isolated
        )
        exchange = mock.Mock(parts={})
        recorder.record(
            exchange,
            target.record,
            placement.Placement(target, (), 0.1, 0.1, 0.0),
            gateway_parts.make_demand(),
            failed,
            clock(),
            peer_id=peer_id,
        )
        return target, detector

    def test_lost_connections_of_a_cut_accuse_no_target(self):
        for failure in (Failure.UNREACHABLE, Failure.BROKEN, Failure.SILENT):
            target, detector = self.record(
                outcomes.Failed(failure), is_isolated=True
            )
            self.assertEqual(target.consecutive_failures, 0, failure)
            detector.attempt_lost.assert_not_called()
            detector.target_unreachable.assert_not_called()

    def test_lost_connections_accuse_a_target_otherwise(self):
        for failure in (Failure.UNREACHABLE, Failure.BROKEN, Failure.SILENT):
            target, _ = self.record(outcomes.Failed(failure))
            self.assertEqual(target.consecutive_failures, 1, failure)

    def test_peer_that_falls_silent_or_breaks_off_accuses_no_target(self):
        for failure in (Failure.BROKEN, Failure.SILENT):
            target, detector = self.record(
                outcomes.Failed(failure), is_isolated=True, peer_id="peer"
            )
            self.assertEqual(target.consecutive_failures, 0, failure)
            self.assertFalse(
                detector.attempt_lost.call_args.kwargs["may_check"]
            )

    def test_peer_that_names_the_target_as_the_cause_accuses_it(self):
        faults = forwarding.PeerFault
        for failure, fault in (
            (Failure.UNREACHABLE, faults.UNREACHABLE_TARGET),
            (Failure.BROKEN, faults.LOST),
        ):
            target, _ = self.record(
                outcomes.Failed(failure, peer_fault=fault),
                is_isolated=True,
                peer_id="peer",
            )
            self.assertEqual(target.consecutive_failures, 1, failure)

    def record_helper_refusal(self, helper_centre):
        """Records a refusal that names a helper; returns pairs kept apart."""
        clock = gateway_parts.Clock()
        reach = data_centre_reach.DataCentreReach("a", 13)
        reach.tick(clock(), 69, 69)
        table = target_table.TargetTable()
        for number, name in enumerate(("b", helper_centre)):
            table.put(gateway_parts.make_record(number, data_centre=name))
        target, helper = table.list_all()
        recorder = outcome_recorder.OutcomeRecorder(
            table,
            mock.create_autospec(crash_detector.CrashDetector, instance=True),
            clock,
            reach=reach,
        )
        recorder.record(
            mock.Mock(parts={}, tried_target_ids=set()),
            target.record,
            placement.Placement(
                target, (placement.Helper(helper),), 0.1, 0.1, 0.0
            ),
            gateway_parts.make_demand(),
            outcomes.Failed(
                Failure.NOT_RUN,
                refusing_target=(f"{helper.record.host}:{helper.record.port}"),
            ),
            clock(),
        )
        return set(reach.pairs_apart(clock()))

    def test_refusal_that_names_a_helper_keeps_data_centres_apart(self):
        # Every prompt whose parts cross a partition would be refused.
        self.assertEqual(self.record_helper_refusal("c"), {frozenset("bc")})

    def test_refused_helper_beside_its_target_keeps_nothing_apart(self):
        # A crashed helper is no partition.
        self.assertEqual(self.record_helper_refusal("b"), set())

    def test_refusal_of_a_peer_accuses_no_target(self):
        target, _ = self.record(
            outcomes.Failed(
                Failure.PEER_REFUSED, peer_fault=forwarding.PeerFault.BUSY
            ),
            is_isolated=True,
            peer_id="peer",
        )
        self.assertEqual(target.consecutive_failures, 0)


if __name__ == "__main__":
    unittest.main()
