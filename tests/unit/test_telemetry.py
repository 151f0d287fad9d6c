"""State dump, watchdog and metrics, without network access."""

import unittest

import msgspec
from opentelemetry import metrics as api

from cardamomfork._internal import exceptions
from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import settings
from cardamomfork._internal.telemetry import dump
from cardamomfork._internal.telemetry import exporting
from cardamomfork._internal.telemetry import metrics
from cardamomfork._internal.telemetry import process_instrumentation
from cardamomfork._internal.telemetry import watchdog


def raise_key_error():
    raise KeyError("prompt")


class DumpTest(unittest.TestCase):
    def setUp(self):
        self.table_registry = dump.TableRegistry("one")
        rows = [{"name": f"row-{n}", "share": n / 3} for n in range(250)]
        self.table_registry.register(
            dump.Table("b.rows", lambda: len(rows), 300, lambda: rows)
        )
        self.table_registry.register(dump.Table("a.empty", lambda: 0, 10))

    def test_rows_are_bounded_and_counted(self):
        captured = self.table_registry.take(5.0, max_rows=20)
        self.assertEqual(
            [t.name for t in captured.tables], ["a.empty", "b.rows"]
        )
        table = captured.tables[1]
        self.assertEqual((len(table.rows), table.omitted_row_count), (20, 230))
        text = captured.to_text()
        self.assertIn("b.rows: 250 of at most 300", text)
        self.assertIn("name=row-1 share=0.333333", text)
        self.assertIn("... 230 more", text)

    def test_json_round_trip_of_selected_tables(self):
        captured = self.table_registry.take(5.0, names=("a.empty", "unknown"))
        self.assertEqual(dump.from_json(captured.to_json()), captured)
        self.assertEqual([t.name for t in captured.tables], ["a.empty"])

    def test_failing_table_does_not_affect_others(self):
        self.table_registry.register(
            dump.Table("c.broken", lambda: 1, 1, raise_key_error)
        )
        captured = self.table_registry.take(5.0)
        self.assertEqual(captured.tables[2].fault, "KeyError")
        self.assertEqual(len(captured.tables[1].rows), 100)
        self.assertNotIn("prompt", captured.to_text())

    def test_secrets_are_redacted_and_cells_truncated(self):
        key = key_hashes.generate().text
        rows = [{"key": key, "long": "x" * 9999}]
        self.table_registry.register(
            dump.Table("k", lambda: 1, 1, lambda: rows)
        )
        data = self.table_registry.take(5.0, names=("k",)).to_json()
        self.assertNotIn(key.partition(".")[2].encode(), data)
        self.assertLess(len(data), 500)

    def test_names_are_unique(self):
        with self.assertRaises(exceptions.CardamomforkError):
            self.table_registry.register(dump.Table("b.rows", lambda: 0, 1))


class InstrumentationTest(unittest.TestCase):
    def test_registered_tables_appear_in_dump_and_scrape(self):
        instrumentation = process_instrumentation.make_instrumentation(
            settings.DaemonSettings(), clock.ManualClock()
        )
        verifier = keys.KeyVerifier()
        instrumentation.register_sizes("accounts", lambda: verifier.sizes)
        verifier.apply_keys("a", (key_hashes.generate().hashed,))
        self.assertEqual(
            instrumentation.table_registry.sizes()["accounts.keys"][0], 1
        )
        text = instrumentation.export.scrape().body.decode()
        self.assertIn('table_size{table="accounts.keys"} 1.0', text)
        self.assertIn("cardamomfork_resident_memory_bytes", text)


class WatchdogTest(unittest.TestCase):
    def test_lag_quantiles_over_a_window(self):
        window = watchdog.LagWindow(100)
        for number in range(500):
            window.add(number / 1000)
        self.assertEqual(len(window), 100)
        self.assertAlmostEqual(window.quantile(0.5), 0.449)
        self.assertAlmostEqual(window.quantile(1.0), 0.499)

    def test_memory_slope(self):
        trend = watchdog.MemoryTrend()
        for minute in range(59):
            trend.add(minute * 60.0, 1e6)
        self.assertIsNone(trend.bytes_per_h)
        for minute in range(59, 200):
            trend.add(minute * 60.0, minute * 1e6)
        self.assertAlmostEqual(trend.bytes_per_h, 60e6, delta=1.0)
        self.assertGreater(watchdog.resident_bytes(), 1e6)

    def test_each_warning_at_most_once_a_minute(self):
        limiter = watchdog.WarningLimiter()
        sizes = {"full": (95, 100), "free": (5, 100)}
        first = limiter.due(0.0, 0.3, 20e6, sizes)
        self.assertEqual(len(first), 3)
        self.assertIn("full 95/100", first[2])
        self.assertNotIn("free", first[2])
        self.assertEqual(limiter.due(59.0, 0.3, 20e6, sizes), ())
        self.assertEqual(len(limiter.due(61.0, 0.3, None, {})), 1)

    def test_table_that_stays_full_is_reported_once(self):
        limiter = watchdog.WarningLimiter()
        found = [
            limiter.due(minute * 61.0, 0.0, None, {"cache": (size, 100)})
            for minute, size in enumerate((95, 100, 85, 95, 70, 95))
        ]
        self.assertEqual([len(each) for each in found], [1, 0, 0, 0, 0, 1])


class MetricsTest(unittest.TestCase):
    def test_bands(self):
        tokens = (0, 999, 1000, 100_000, 1_000_000)
        self.assertEqual(
            [metrics.band_of(n) for n in tokens],
            ["<1k", "<1k", "1k-4k", "64k-256k", ">=256k"],
        )

    def test_scrape_contains_recorded_metrics(self):
        export = exporting.MetricsExport(settings.TelemetrySettings(), "one")
        metrics_registry = metrics.Metrics(export.meter)
        metrics_registry.record_first_token(500, 0.1)
        metrics_registry.record_first_token(500_000, 9.0)
        metrics_registry.record_slowdown(500, 1.1)
        metrics_registry.record_loop_lag(0.003)
        metrics_registry.register_counters(
            "peer_bytes", "By", "told", "topic", lambda: {"load": 120.0}
        )
        metrics_registry.record_end(
            "s", outcomes.Outcome.DONE, worth=2.5, generated_tokens=7
        )
        reason = outcomes.RefusalReason.OVER_LIMIT
        metrics_registry.record_end("s", outcomes.Outcome.NOT_RUN, reason)
        with metrics_registry.time_control("gossip"):
            sum(range(1000))
        metrics_registry.register_gauge(
            "queue", "1", "Requests waiting", lambda: 4
        )
        metrics_registry.register_table_gauges(lambda: {"t": (1, 2)})
        text = export.scrape().body.decode()
        for line in (
            'first_token_seconds_count{prompt_length="<1k"} 1.0',
            'first_token_seconds_sum{prompt_length=">=256k"} 9.0',
            'outcome="not_run",reason="over_limit",service="s"} 1.0',
            'goodput_total{service="s"} 2.5',
            'peer_bytes_total{topic="load"} 120.0',
            'table_size{table="t"} 1.0',
            'table_bound{table="t"} 2.0',
            "cardamomfork_queue 4.0",
            "cardamomfork_control_time_seconds_total",
        ):
            self.assertIn(line, text)

    def test_number_of_service_labels_is_bounded(self):
        metrics_registry = metrics.Metrics(api.NoOpMeter("none"))
        names = {
            metrics_registry._bounded_service(f"s{n}") for n in range(1000)
        }
        self.assertEqual(len(names), metrics.MAX_SERVICES + 1)

    def test_dump_is_typed(self):
        with self.assertRaises(msgspec.ValidationError):
            dump.from_json(b'{"instance_id": 4}')


if __name__ == "__main__":
    unittest.main()
