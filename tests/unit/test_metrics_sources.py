"""Request events are recorded as metrics, each event once."""

import random
import unittest

from cardamomfork._internal.composition import dump_tables
from cardamomfork._internal.composition import metrics_sources
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests
from cardamomfork._internal.models import settings
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import records
from cardamomfork._internal.telemetry import exporting
from cardamomfork._internal.telemetry import metrics
from tests.lib import requests_lib

DONE = outcomes.Outcome.DONE


class MetricsObserverTest(unittest.TestCase):
    def setUp(self):
        self.export = exporting.MetricsExport(
            settings.TelemetrySettings(), "one"
        )
        self.observer = metrics_sources.MetricsObserver(
            metrics.Metrics(self.export.meter)
        )

    def metric_total(self, name, *labels):
        """Returns the sum of the series that have the labels."""
        total = 0.0
        for line in self.export.scrape().body.decode().splitlines():
            if line.startswith(f"cardamomfork_{name}{{") and all(
                label in line for label in labels
            ):
                total += float(line.rsplit(" ", 1)[1])
        return total

    def record_end(self, request, now, target_id="t"):
        record = records.Record(
            request.request_id, request.account, request.service
        )
        record.target_id = target_id
        self.observer.ended(request, record, DONE, None, now)

    def test_goodput_counts_the_worth_of_timely_local_runs(self):
        request = requests_lib.make_request(worth=3.0, deadline=10.0)
        self.record_end(request, 10.0)
        self.record_end(request, 10.5)
        # A stored outcome that is returned again did not run here.
        self.record_end(request, 9.0, target_id="")
        self.assertEqual(self.metric_total("goodput_total"), 3.0)
        self.assertEqual(
            self.metric_total("requests_total", 'outcome="done"'), 3.0
        )

    def test_first_tokens_are_recorded_for_streams_only(self):
        streamed = requests_lib.make_request(
            stream=True, prompt_tokens=5_000, arrived_at=1.0
        )
        whole = requests_lib.make_request(stream=False)
        call = requests_lib.make_request(stream=True, api=requests.Api.CALL)
        for request in (streamed, whole, call):
            self.observer.first_token(request, 4.0, 2.0, 0.5)
        self.assertEqual(self.metric_total("first_token_seconds_count"), 1)
        band = 'prompt_length="4k-16k"'
        self.assertEqual(
            self.metric_total("first_token_seconds_sum", band), 3.0
        )
        self.assertEqual(self.metric_total("slowdown_sum", band), 4.0)

    def test_refusals_are_counted_by_reason(self):
        refusal = outcomes.refuse(outcomes.RefusalReason.OVER_LIMIT, "no")
        self.observer.refused("pool", refusal)
        labels = ('reason="over_limit"', 'service="pool"', 'outcome="not_run"')
        self.assertEqual(self.metric_total("requests_total", *labels), 1)


class SuspectsTableTest(unittest.TestCase):
    def test_row_of_a_request_whose_target_crashed(self):
        guard = poison.PoisonGuard(random.Random(1))
        manual_clock = clock.ManualClock()
        now = manual_clock.monotonic()
        guard.started(b"f" * 16, "t1", now)
        guard.target_died("t1", now)
        table = dump_tables.make_suspects_table(guard, manual_clock)
        (row,) = table.rows()
        self.assertEqual(table.size(), 1)
        self.assertEqual((row["targets"], row["deaths"]), ("t1", 1))


if __name__ == "__main__":
    unittest.main()
