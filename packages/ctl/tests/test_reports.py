"""Test the report of imbalance, churn and unavailable time."""

from peridot_ctl.reports import Scrape, add_metrics, compare, format_report

METRICS = """
# TYPE peridot_target_answers counter
peridot_target_answers_total{service="s",target="a"} %d
peridot_target_answers_total{service="s",target="b"} %d
# TYPE peridot_owner_wait_seconds counter
peridot_owner_wait_seconds_total{service="s"} %f
# TYPE peridot_slice_moves gauge
peridot_slice_moves %d
"""


def test_report_shows_the_changes_between_two_scrapes():
    before, after = Scrape(), Scrape()
    add_metrics(before, METRICS % (10, 10, 1.0, 3))
    add_metrics(after, METRICS % (40, 20, 1.5, 5))
    report = compare(before, after, 10.0)
    (service,) = report.services
    assert service.imbalance == 1.5
    assert service.unavailable_s == 0.5
    assert format_report(report).splitlines() == [
        "SERVICE  ANSWERS/S  IMBALANCE  UNAVAILABLE S",
        "s        4.0        1.50       0.500",
        "slices moved: 2 in 10 s",
    ]


def test_daemons_are_summed_and_counts_after_restarts_are_not_negative():
    before, after = Scrape(), Scrape()
    add_metrics(before, METRICS % (40, 20, 1.5, 5))
    for _ in range(2):
        add_metrics(after, METRICS % (5, 5, 0.1, 0))
    (service,) = compare(before, after, 1.0).services
    assert service.responses == {"a": 0.0, "b": 0.0}
    assert service.unavailable_s == 0.0
