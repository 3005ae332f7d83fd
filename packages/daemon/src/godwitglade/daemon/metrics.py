"""Counters and latency histograms in the Prometheus text format."""

import typing

from cheroot import server as cheroot_server
import prometheus_client

from godwitglade.common import clock as clocks
from godwitglade.common import events

PATH = b'/metrics'
#: Upper bounds, from a single stage call to the longest stream.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 24.0)


class Metrics:
    """Metrics of this process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            'godwitglade_events',
            'Log events by name.',
            ['event'],
            registry=self.registry,
        )
        self._counts = prometheus_client.Counter(
            'godwitglade_count',
            'Things that the parts count, by name.',
            ['name'],
            registry=self.registry,
        )
        self._gauges = prometheus_client.Gauge(
            'godwitglade_state',
            'Numbers that go up and down, by name.',
            ['name'],
            registry=self.registry,
        )
        self._times = prometheus_client.Histogram(
            'godwitglade_request_seconds',
            'Time from a request to its end, by outcome.',
            ['outcome'],
            buckets=BUCKETS_S,
            registry=self.registry,
        )

    def count_event(self, event: events.Event) -> None:
        """Increment the counter of a log event."""
        self._events.labels(event.name.lower()).inc()

    def count(self, name: str, by: int) -> None:
        """Increase the counter ``name``."""
        self._counts.labels(name).inc(by)

    def set_gauge(self, name: str, value: int) -> None:
        """Set the gauge ``name``."""
        self._gauges.labels(name).set(value)

    def observe(self, name: str, elapsed_ms: int) -> None:
        """Record the duration of a request with the outcome in ``name``."""
        outcome = name.removeprefix('request.')
        self._times.labels(outcome).observe(elapsed_ms / clocks.SECOND_MS)


class MetricsGateway(cheroot_server.Gateway):
    """Serves the metrics over HTTP."""

    metrics: typing.ClassVar[Metrics]

    def respond(self) -> None:
        """Answer a scrape request."""
        request = self.req
        is_metrics_path = request.path == PATH
        body = b''
        if is_metrics_path:
            body = prometheus_client.generate_latest(self.metrics.registry)
        request.status = b'200 OK' if is_metrics_path else b'404 Not Found'
        request.outheaders = [
            (b'Content-Type', b'text/plain; version=0.0.4'),
            (b'Content-Length', str(len(body)).encode()),
        ]
        request.ensure_headers_sent()
        request.write(body)
