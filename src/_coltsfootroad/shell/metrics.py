"""OpenTelemetry metrics, pulled as Prometheus text.

The SDK and its exporter are imported when the metrics are pulled for the first
time: they take a good part of a program's start, in which a gateway serves
nobody, and memory, which a VM whose metrics nobody pulls keeps free.
"""

from collections.abc import Callable

import attrs

# Bucket borders in seconds for first-token times.
TTFT_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Samples that are kept until the SDK takes them over. Whoever has had more of
# them loads the SDK.
MAX_PENDING_SAMPLES = 4_096

# None while there is nothing to observe.
ReadValue = Callable[[], float | None]
ReadLabelledValues = Callable[[], dict[str, float]]


@attrs.define
class Histogram:
    """Samples of seconds, kept here until the SDK takes them."""

    name: str
    description: str
    metrics: "Metrics"
    pending: list[float] = attrs.Factory(list)
    instrument: object | None = None

    def record(self, seconds: float) -> None:
        """Take a sample."""
        if self.instrument is not None:
            self.instrument.record(seconds)
            return
        self.pending.append(seconds)
        if len(self.pending) >= MAX_PENDING_SAMPLES:
            self.metrics.load_sdk()

    def attach(self, meter) -> None:
        """Hand all samples over to the SDK."""
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
    """A value that is read when the metrics are pulled."""

    name: str
    description: str
    read: ReadValue


@attrs.frozen
class LabelledMetric:
    """Values by the word that stands in one label, read likewise."""

    name: str
    description: str
    label: str
    read: ReadLabelledValues


@attrs.define
class Metrics:
    """Instruments of one process; pulling them needs no thread."""

    program: str
    gauges: list[ObservableMetric] = attrs.Factory(list)
    counters: list[ObservableMetric] = attrs.Factory(list)
    labelled: list[LabelledMetric] = attrs.Factory(list)
    histograms: list[Histogram] = attrs.Factory(list)
    registry: object | None = None

    @classmethod
    def start(cls, program: str) -> "Metrics":
        """Return the metrics of a program."""
        return cls(program)

    def gauge(self, name: str, description: str, read: ReadValue) -> None:
        """Add a gauge that is read when the metrics are pulled."""
        self.check_not_loaded()
        self.gauges.append(ObservableMetric(name, description, read))

    def counter(self, name: str, description: str, read: ReadValue) -> None:
        """Add a counter that is read when the metrics are pulled."""
        self.check_not_loaded()
        self.counters.append(ObservableMetric(name, description, read))

    def labelled_counter(
        self, name: str, description: str, label: str, read: ReadLabelledValues
    ) -> None:
        """Add counters that differ by one label."""
        self.check_not_loaded()
        self.labelled.append(LabelledMetric(name, description, label, read))

    def histogram(self, name: str, description: str) -> Histogram:
        """Return a histogram in seconds."""
        self.check_not_loaded()
        histogram = Histogram(name, description, self)
        self.histograms.append(histogram)
        return histogram

    def check_not_loaded(self) -> None:
        """Raise if an instrument comes too late to be seen."""
        if self.registry is not None:
            raise RuntimeError("instruments are added before the first pull")

    def load_sdk(self) -> None:
        """Import the SDK and make the instruments."""
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
        for histogram in self.histograms:
            histogram.attach(meter)

    def text(self) -> bytes:
        """Return all metrics as Prometheus text."""
        self.load_sdk()
        import prometheus_client

        return prometheus_client.generate_latest(self.registry)


def value_callback(read: ReadValue):
    """Return a callback of the form that OpenTelemetry calls."""

    def callback(_):
        from opentelemetry import metrics as otel

        value = read()
        return [] if value is None else [otel.Observation(value)]

    return callback


def labelled_callback(labelled: LabelledMetric):
    """Return a callback that gives one observation for each label."""

    def callback(_):
        from opentelemetry import metrics as otel

        return [
            otel.Observation(value, {labelled.label: word})
            for word, value in labelled.read().items()
        ]

    return callback
