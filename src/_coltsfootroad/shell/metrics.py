"""OpenTelemetry metrics, served as Prometheus text.

The SDK and its exporter are imported at the first scrape. Importing them takes
a large part of a program's start, during which a gateway serves no requests,
and memory, which a VM whose metrics are not scraped keeps free.
"""

from collections.abc import Callable
import sys

import attrs

# Bucket boundaries for the time to first token.
TTFT_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Samples that a histogram buffers before it loads the SDK.
MAX_PENDING_SAMPLES = 4_096

# Returns None while there is no value.
ReadValue = Callable[[], float | None]
ReadLabelledValues = Callable[[], dict[str, float]]


@attrs.define
class Histogram:
    """A histogram in seconds, which buffers samples until the SDK is loaded."""

    name: str
    description: str
    metrics: "Metrics"
    pending: list[float] = attrs.Factory(list)
    instrument: object | None = None

    def record(self, seconds: float) -> None:
        """Record a sample."""
        if self.instrument is not None:
            self.instrument.record(seconds)
            return
        self.pending.append(seconds)
        if len(self.pending) >= MAX_PENDING_SAMPLES:
            self.metrics.load_sdk()

    def attach(self, meter) -> None:
        """Create the SDK's histogram and record the buffered samples in it."""
        self.instrument = meter.create_histogram(
            self.name,
            unit="s",
            description=self.description,
            explicit_bucket_boundaries_advisory=TTFT_BUCKETS_S,
        )
        for seconds in self.pending:
            self.instrument.record(seconds)
        self.pending.clear()


@attrs.frozen
class ObservableMetric:
    """A value that is read at each scrape."""

    name: str
    description: str
    read: ReadValue


@attrs.frozen
class LabelledMetric:
    """Values by the value of one label, read at each scrape."""

    name: str
    description: str
    label: str
    read: ReadLabelledValues


@attrs.define
class Metrics:
    """Instruments of one process; serving them needs no thread."""

    program: str
    gauges: list[ObservableMetric] = attrs.Factory(list)
    counters: list[ObservableMetric] = attrs.Factory(list)
    labelled: list[LabelledMetric] = attrs.Factory(list)
    labelled_gauges: list[LabelledMetric] = attrs.Factory(list)
    histograms: list[Histogram] = attrs.Factory(list)
    registry: object | None = None

    @classmethod
    def start(cls, program: str) -> "Metrics":
        """Return the metrics of a program."""
        return cls(program)

    def gauge(self, name: str, description: str, read: ReadValue) -> None:
        """Add a gauge that is read at each scrape."""
        self.check_not_loaded()
        self.gauges.append(ObservableMetric(name, description, read))

    def counter(self, name: str, description: str, read: ReadValue) -> None:
        """Add a counter that is read at each scrape."""
        self.check_not_loaded()
        self.counters.append(ObservableMetric(name, description, read))

    def labelled_counter(
        self, name: str, description: str, label: str, read: ReadLabelledValues
    ) -> None:
        """Add a counter with one label."""
        self.check_not_loaded()
        self.labelled.append(LabelledMetric(name, description, label, read))

    def labelled_gauge(
        self, name: str, description: str, label: str, read: ReadLabelledValues
    ) -> None:
        """Add a gauge with one label."""
        self.check_not_loaded()
        self.labelled_gauges.append(
            LabelledMetric(name, description, label, read)
        )

    def histogram(self, name: str, description: str) -> Histogram:
        """Add a histogram in seconds and return it."""
        self.check_not_loaded()
        histogram = Histogram(name, description, self)
        self.histograms.append(histogram)
        return histogram

    def check_not_loaded(self) -> None:
        """Raise RuntimeError if the SDK is loaded, as after a scrape."""
        if self.registry is not None:
            raise RuntimeError("add instruments before the first scrape")

    def load_sdk(self) -> None:
        """Import the SDK and create the instruments, once."""
        if self.registry is not None:
            return
        from opentelemetry.exporter import prometheus
        from opentelemetry.sdk import metrics as sdk
        import prometheus_client

        self.registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self.registry)
        provider = sdk.MeterProvider(metric_readers=[reader])
        meter = provider.get_meter(self.program)
        for gauge in self.gauges:
            meter.create_observable_gauge(
                gauge.name,
                [value_callback(gauge.read)],
                description=gauge.description,
            )
        for counter in self.counters:
            meter.create_observable_counter(
                counter.name,
                [value_callback(counter.read)],
                description=counter.description,
            )
        for labelled in self.labelled:
            meter.create_observable_counter(
                labelled.name,
                [labelled_callback(labelled)],
                description=labelled.description,
            )
        for labelled in self.labelled_gauges:
            meter.create_observable_gauge(
                labelled.name,
                [labelled_callback(labelled)],
                description=labelled.description,
            )
        for histogram in self.histograms:
            histogram.attach(meter)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.load_sdk()
        import prometheus_client

        return prometheus_client.generate_latest(self.registry)


def in_range(value: float) -> float:
    """Return a value that the exporter can convert to a float."""
    return min(value, sys.float_info.max)


def value_callback(read: ReadValue):
    """Return an OpenTelemetry callback that reads one value."""

    def callback(_):
        from opentelemetry import metrics as otel

        value = read()
        return [] if value is None else [otel.Observation(in_range(value))]

    return callback


def labelled_callback(labelled: LabelledMetric):
    """Return an OpenTelemetry callback that reads the labelled values."""

    def callback(_):
        from opentelemetry import metrics as otel

        return [
            otel.Observation(in_range(value), {labelled.label: label_value})
            for label_value, value in labelled.read().items()
        ]

    return callback
