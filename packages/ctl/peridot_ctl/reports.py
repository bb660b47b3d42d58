"""Report of imbalance, churn and unavailable time over a window."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from aiohttp import ClientSession
from prometheus_client.parser import text_string_to_metric_families

from peridot_ctl.tables import format_table

RESPONSES_METRIC = "peridot_target_answers_total"
OWNER_WAITS_METRIC = "peridot_owner_wait_seconds_total"
MOVES_METRIC = "peridot_slice_moves"


@dataclass
class Scrape:
    """Metrics of all daemons, read once.

    Responses and slice moves are sums over the daemons. The owner wait of a service is
    the longest of any daemon, as all of them wait for the same owners at the same time.
    """

    responses: dict[tuple[str, str], float] = field(default_factory=dict)
    waits_s: dict[str, float] = field(default_factory=dict)
    moves: float = 0.0


@dataclass(frozen=True)
class ServiceReport:
    """Responses by target and unavailable time of one service over the window."""

    service: str
    responses: Mapping[str, float]
    unavailable_s: float

    @property
    def imbalance(self) -> float:
        """Return the most loaded target's load, divided by the mean load."""
        loads = self.responses.values()
        mean = sum(loads) / len(loads) if loads else 0.0
        return max(loads) / mean if mean else 0.0


@dataclass(frozen=True)
class Report:
    """The measures of each service, and the slice moves of all services together."""

    window_s: float
    moves: float
    services: Sequence[ServiceReport]


async def make_report(
    session: ClientSession, admin_urls: Sequence[str], window_s: float
) -> Report:
    """Read all daemons' metrics twice and return the changes; raise ClientError."""
    before = await scrape_all(session, admin_urls)
    await asyncio.sleep(window_s)
    return compare(before, await scrape_all(session, admin_urls), window_s)


async def scrape_all(session: ClientSession, admin_urls: Sequence[str]) -> Scrape:
    """Return the metrics of all daemons together."""
    scrape = Scrape()
    for url in admin_urls:
        async with session.get(f"{url}/metrics") as response:
            add_metrics(scrape, await response.text())
    return scrape


def add_metrics(scrape: Scrape, text: str) -> None:
    """Add one daemon's metrics, in Prometheus' text format, to a scrape."""
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            if sample.name == RESPONSES_METRIC:
                key = (labels["service"], labels["target"])
                scrape.responses[key] = scrape.responses.get(key, 0.0) + sample.value
            elif sample.name == OWNER_WAITS_METRIC:
                service = labels["service"]
                longest = scrape.waits_s.get(service, 0.0)
                scrape.waits_s[service] = max(longest, sample.value)
            elif sample.name == MOVES_METRIC:
                scrape.moves += sample.value


def compare(before: Scrape, after: Scrape, window_s: float) -> Report:
    """Return the changes between two scrapes.

    Restarted daemons count from 0 again; a change below zero counts as none.
    """
    services = []
    for service in sorted({service for service, _ in after.responses}):
        responses = {
            target: max(0.0, value - before.responses.get((service, target), 0.0))
            for (name, target), value in sorted(after.responses.items())
            if name == service
        }
        waits_s = after.waits_s.get(service, 0.0) - before.waits_s.get(service, 0.0)
        services.append(ServiceReport(service, responses, max(0.0, waits_s)))
    return Report(window_s, max(0.0, after.moves - before.moves), services)


def format_report(report: Report) -> str:
    """Return a report as a table of services and a line on slice moves."""
    rows = [
        (
            service.service,
            f"{sum(service.responses.values()) / report.window_s:.1f}",
            f"{service.imbalance:.2f}",
            f"{service.unavailable_s:.3f}",
        )
        for service in report.services
    ]
    header = ("SERVICE", "ANSWERS/S", "IMBALANCE", "UNAVAILABLE S")
    moves = f"slices moved: {report.moves:.0f} in {report.window_s:g} s"
    return f"{format_table(header, rows)}\n{moves}"


def plot_report(report: Report) -> str:
    """Return bars of the responses by target; needs the extra `plot` installed."""
    import plotext

    plots = []
    for service in report.services:
        plotext.clear_figure()
        plotext.simple_bar(
            list(service.responses), list(service.responses.values()), width=72
        )
        plots.append(f"{service.service}\n{plotext.build()}")
    return "\n".join(plots)
