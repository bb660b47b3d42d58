"""Metrics of the daemon, in Prometheus form."""

from collections.abc import Callable, Iterable

from google.protobuf.message import Message
from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily, Metric

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.009, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0)


class Metrics:
    """Hold counters of requests and gauges read when scraped."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "peridot_requests",
            "Requests of callers by final outcome.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.latency = Histogram(
            "peridot_request_seconds",
            "Time from a caller's request to its answer.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.children: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        self.gauges = GaugeCollector()
        self.registry.register(self.gauges)

    def count_request(self, service: str, outcome: str, took_s: float) -> None:
        """Count a caller's request with its time (s)."""
        found = self.children.get((service, outcome))
        if found is None:
            found = (
                self.requests.labels(service, outcome),
                self.latency.labels(service),
            )
            self.children[service, outcome] = found
        found[0].inc()
        found[1].observe(took_s)


class ControlTraffic:
    """Count the messages of control, both ways, and their bytes."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0

    def count(self, message: Message) -> None:
        """Count one message sent or received."""
        self.messages += 1
        self.bytes += message.ByteSize()


class GaugeCollector:
    """Read gauges from functions at each scrape."""

    def __init__(self) -> None:
        self.readers: dict[str, tuple[str, Callable[[], float]]] = {}
        self.families: list[Callable[[], Metric]] = []

    def add(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge."""
        self.readers[name] = (help_text, read)

    def add_family(self, read: Callable[[], Metric]) -> None:
        """Add a metric with labels."""
        self.families.append(read)

    def collect(self) -> Iterable[Metric]:
        """Return all gauges with their values of now."""
        for read in self.families:
            yield read()
        for name, (help_text, read) in self.readers.items():
            yield GaugeMetricFamily(f"peridot_{name}", help_text, value=read())
