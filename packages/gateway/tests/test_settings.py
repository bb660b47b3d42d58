"""Times that follow from what a deployment allows."""

import pytest

from peridot_gateway.budget import BudgetTerms
from peridot_gateway.followers import VOUCH_CHECK_S, WATCH_SHARE
from peridot_gateway.links import REPORT_PERIOD_S
from peridot_gateway.settings import GatewaySettings
from peridot_platform.store import WATCH_MARGIN_S


def make_settings(settle_s: float, drain_s: float) -> GatewaySettings:
    terms = BudgetTerms(0.2, 60.0, 10.0)
    return GatewaySettings(
        "vm-1", "a", "", "", "", "", 6.0, 10.0, terms, settle_s, drain_s
    )


# Guards against requests at leaving targets beside a placer that has silently lost the
# store: its members go by its word until its own watch has failed.
@pytest.mark.parametrize(("settle_s", "drain_s"), [(3.0, 2.0), (3.0, 2.5), (2.0, 3.0)])
def test_a_placer_s_silent_watch_is_noticed_before_a_leaving_target_s_time_is_up(
    settle_s, drain_s
):
    settings = make_settings(settle_s, drain_s)
    failed_s = WATCH_SHARE * settings.notice_s + WATCH_MARGIN_S
    assert failed_s + REPORT_PERIOD_S + VOUCH_CHECK_S < drain_s


def test_leaving_targets_serve_while_their_notice_is_on_its_way():
    assert make_settings(3.0, 2.0).leaving_serves_s == 1.0
    assert make_settings(3.0, 2.5).leaving_serves_s == 1.5
    assert make_settings(3.0, 0.5).leaving_serves_s == 0.0
