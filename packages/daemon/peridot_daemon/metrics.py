"""Prometheus metrics of peridotd; Metrics and its gauges also serve the gateway."""

from collections.abc import Callable, Iterable

from google.protobuf.message import Message
from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily, Metric

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.009, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0)


class Metrics:
    """Request metrics, and gauges that are read at each scrape."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "peridot_requests",
            "Callers' requests by final outcome.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.latency = Histogram(
            "peridot_request_seconds",
            "Time from a caller's request to the response.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        # Counter and histogram by service and outcome.
        self.labelled: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        self.gauges = GaugeCollector()
        self.registry.register(self.gauges)

    def count_request(self, service: str, outcome: str, duration_s: float) -> None:
        """Count a caller's request and record its duration (s)."""
        metrics = self.labelled.get((service, outcome))
        if metrics is None:
            metrics = (
                self.requests.labels(service, outcome),
                self.latency.labels(service),
            )
            self.labelled[service, outcome] = metrics
        metrics[0].inc()
        metrics[1].observe(duration_s)


class ControlTraffic:
    """Count control messages sent and received, and their bytes."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0

    def count(self, message: Message) -> None:
        """Count one message sent or received."""
        self.messages += 1
        self.bytes += message.ByteSize()


class GaugeCollector:
    """Prometheus collector that reads gauges from functions at each scrape."""

    def __init__(self) -> None:
        self.gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self.read_families: list[Callable[[], Metric]] = []

    def add(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge; its name gets the prefix peridot_."""
        self.gauges[name] = (help_text, read)

    def add_family(self, read: Callable[[], Metric]) -> None:
        """Add a metric with labels."""
        self.read_families.append(read)

    def collect(self) -> Iterable[Metric]:
        """Return the current values of all gauges and families."""
        for read in self.read_families:
            yield read()
        for name, (help_text, read) in self.gauges.items():
            yield GaugeMetricFamily(f"peridot_{name}", help_text, value=read())
