"""OTLP push over a socket, and the state dump on a signal."""

import io
import json
import os
import signal
import unittest

import anyio
import httpcore
from opentelemetry.proto.collector.metrics.v1 import metrics_service_pb2

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.gateway import signal_handling
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.models import settings
from cardamomfork._internal.telemetry import dump
from cardamomfork._internal.telemetry import exporting
from cardamomfork._internal.telemetry import metrics
from cardamomfork._internal.telemetry import signals


class Collector:
    """Receives one request per connection and responds with `status`."""

    def __init__(self, status):
        self.status = status
        self.requests = []

    async def serve(self, stream):
        data = b""
        async with stream:
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            head, _, body = data.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2]
                         .partition(b"\r\n")[0])  # fmt: skip
            while len(body) < length:
                body += await stream.receive()
            self.requests.append((head, body))
            await stream.send(
                b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n"
                b"Connection: close\r\n\r\n" % self.status
            )


class PushTest(unittest.TestCase):
    def test_otlp_push(self):
        anyio.run(self.push)

    async def push(self):
        collector = Collector(200)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        telemetry = settings.TelemetrySettings(
            otlp_endpoint=f"http://127.0.0.1:{port}"
        )
        export = exporting.MetricsExport(telemetry, "one")
        metrics.Metrics(export.meter).record_first_token(5, 0.1)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, collector.serve)
            async with httpcore.AsyncConnectionPool() as pool:
                self.assertTrue(await export.push(pool))
                collector.status = 503
                self.assertFalse(await export.push(pool))
            group.cancel_scope.cancel()
        await listener.aclose()
        async with httpcore.AsyncConnectionPool() as pool:
            self.assertFalse(await export.push(pool))
        self.assertEqual(
            (export.completed_push_count, export.failed_push_count), (1, 2)
        )
        head, body = collector.requests[0]
        self.assertTrue(head.startswith(b"POST /v1/metrics "))
        request = metrics_service_pb2.ExportMetricsServiceRequest()
        request.ParseFromString(body)
        (resource,) = request.resource_metrics
        names = [m.name for m in resource.scope_metrics[0].metrics]
        self.assertIn("cardamomfork.first_token", names)


class SignalTest(unittest.TestCase):
    def test_dump_on_signal(self):
        queue = signal_queue.SignalQueue()
        for number in signal_queue.HANDLED_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        queue.install()
        anyio.run(self.dump_on_signal, queue)

    async def dump_on_signal(self, queue):
        table_registry = dump.TableRegistry("one")
        table_registry.register(dump.Table("t", lambda: 3, 9))
        stream = io.StringIO()
        written = anyio.Event()

        def handle(received):
            self.assertEqual(received, signal.SIGUSR1)
            signals.write_dump(table_registry, clock.LoopClock(), stream)
            written.set()

        async with anyio.create_task_group() as group:
            group.start_soon(signal_handling.handle, queue, handle)
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGUSR1)
            await written.wait()
            group.cancel_scope.cancel()
        (table,) = json.loads(stream.getvalue())["tables"]
        self.assertEqual((table["name"], table["size"]), ("t", 3))


if __name__ == "__main__":
    unittest.main()
