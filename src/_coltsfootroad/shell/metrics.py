"""OpenTelemetry metrics, pulled as Prometheus text."""

from collections.abc import Callable

import attrs
from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as otel_sdk
import prometheus_client

# Bucket borders in seconds for first-token times.
TTFT_BUCKETS = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300)
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

Observe = Callable[[], float]


@attrs.define
class Metrics:
    """Instruments of one process; pulling them needs no thread."""

    registry: prometheus_client.CollectorRegistry
    meter: otel.Meter

    @classmethod
    def start(cls, program: str) -> "Metrics":
        """Return the metrics of a program."""
        registry = prometheus_client.CollectorRegistry()
        reader = otel_prometheus.PrometheusMetricReader(registry=registry)
        provider = otel_sdk.MeterProvider(metric_readers=[reader])
        return cls(registry, provider.get_meter(program))

    def gauge(self, name: str, text: str, observe: Observe) -> None:
        """Add a gauge that is read when the metrics are pulled."""
        self.meter.create_observable_gauge(
            name, callbacks=[observation(observe)], description=text
        )

    def counter(self, name: str, text: str, observe: Observe) -> None:
        """Add a counter that is read when the metrics are pulled."""
        self.meter.create_observable_counter(
            name, callbacks=[observation(observe)], description=text
        )

    def histogram(self, name: str, text: str) -> otel.Histogram:
        """Return a histogram in seconds."""
        return self.meter.create_histogram(
            name,
            unit="s",
            description=text,
            explicit_bucket_boundaries_advisory=TTFT_BUCKETS,
        )

    def text(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return prometheus_client.generate_latest(self.registry)


def observation(observe: Observe):
    """Return a callback of the form that OpenTelemetry calls."""

    def callback(_):
        return [otel.Observation(observe())]

    return callback
