"""Report of imbalance, churn and unavailable time over a window."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from aiohttp import ClientSession
from prometheus_client.parser import text_string_to_metric_families

from peridot_ctl.tables import format_table

SERVED = "peridot_target_answers_total"
UNSERVED = "peridot_owner_wait_seconds_total"
MOVES = "peridot_slice_moves"


@dataclass
class Scrape:
    """Hold one look at all daemons, summed."""

    served: dict[tuple[str, str], float] = field(default_factory=dict)
    waits_s: dict[str, float] = field(default_factory=dict)
    moves: float = 0.0


@dataclass(frozen=True)
class ServiceReport:
    """Hold the measures of one service over the window."""

    service: str
    served: Mapping[str, float]
    unavailable_s: float

    @property
    def imbalance(self) -> float:
        """Return the most loaded target's load over the mean."""
        loads = self.served.values()
        mean = sum(loads) / len(loads) if loads else 0.0
        return max(loads) / mean if mean else 0.0


@dataclass(frozen=True)
class Report:
    """Hold the measures of all services; moves are those of all of them."""

    window_s: float
    moves: float
    services: Sequence[ServiceReport]


async def make_report(
    session: ClientSession, admin_urls: Sequence[str], window_s: float
) -> Report:
    """Look at all daemons twice and return what changed; raise ClientError."""
    before = await scrape_all(session, admin_urls)
    await asyncio.sleep(window_s)
    return compare(before, await scrape_all(session, admin_urls), window_s)


async def scrape_all(session: ClientSession, admin_urls: Sequence[str]) -> Scrape:
    """Return the sums over all daemons."""
    scrape = Scrape()
    for url in admin_urls:
        async with session.get(f"{url}/metrics") as answer:
            add_metrics(scrape, await answer.text())
    return scrape


def add_metrics(scrape: Scrape, text: str) -> None:
    """Add one daemon's metrics to the sums."""
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            if sample.name == SERVED:
                key = (labels["service"], labels["target"])
                scrape.served[key] = scrape.served.get(key, 0.0) + sample.value
            elif sample.name == UNSERVED:
                service = labels["service"]
                found = scrape.waits_s.get(service, 0.0)
                scrape.waits_s[service] = max(found, sample.value)
            elif sample.name == MOVES:
                scrape.moves += sample.value


def compare(before: Scrape, after: Scrape, window_s: float) -> Report:
    """Return what changed between two looks; restarted daemons count from 0."""
    services = []
    for service in sorted({service for service, _ in after.served}):
        served = {
            target: max(0.0, value - before.served.get((service, target), 0.0))
            for (name, target), value in sorted(after.served.items())
            if name == service
        }
        waits_s = after.waits_s.get(service, 0.0) - before.waits_s.get(service, 0.0)
        services.append(ServiceReport(service, served, max(0.0, waits_s)))
    return Report(window_s, max(0.0, after.moves - before.moves), services)


def format_report(report: Report) -> str:
    """Return a report as tables."""
    rows = [
        (
            item.service,
            f"{sum(item.served.values()) / report.window_s:.1f}",
            f"{item.imbalance:.2f}",
            f"{item.unavailable_s:.3f}",
        )
        for item in report.services
    ]
    header = ("SERVICE", "ANSWERS/S", "IMBALANCE", "UNAVAILABLE S")
    moves = f"slices moved: {report.moves:.0f} in {report.window_s:g} s"
    return f"{format_table(header, rows)}\n{moves}"


def plot_report(report: Report) -> str:
    """Return bars of the answers by target; needs the extra named plot."""
    import plotext

    plots = []
    for item in report.services:
        plotext.clear_figure()
        plotext.simple_bar(list(item.served), list(item.served.values()), width=72)
        plots.append(f"{item.service}\n{plotext.build()}")
    return "\n".join(plots)
