"""Times that are derived from the settings."""

import pytest

from peridot_gateway.budget import RetryBudgetLimits
from peridot_gateway.followers import CONFIRMATION_CHECK_PERIOD_S, WATCH_TIMEOUT_SHARE
from peridot_gateway.links import REPORT_PERIOD_S
from peridot_gateway.settings import GatewaySettings
from peridot_platform.store import WATCH_MARGIN_S


def make_settings(settle_s: float, drain_s: float) -> GatewaySettings:
    limits = RetryBudgetLimits(0.2, 60.0, 10.0)
    return GatewaySettings(
        "vm-1", "a", "", "", "", "", 6.0, 10.0, limits, settle_s, drain_s
    )


# Guards against requests to leaving targets while the placer's watch of the store is
# dead: its members rely on its view until that watch has failed.
@pytest.mark.parametrize(("settle_s", "drain_s"), [(3.0, 2.0), (3.0, 2.5), (2.0, 3.0)])
def test_a_dead_watch_of_the_placer_is_noticed_within_the_drain_time(settle_s, drain_s):
    settings = make_settings(settle_s, drain_s)
    failed_s = WATCH_TIMEOUT_SHARE * settings.target_recovery_s + WATCH_MARGIN_S
    assert failed_s + REPORT_PERIOD_S + CONFIRMATION_CHECK_PERIOD_S < drain_s


def test_leaving_targets_get_requests_while_their_notice_spreads():
    assert make_settings(3.0, 2.0).leaving_grace_s == 1.0
    assert make_settings(3.0, 2.5).leaving_grace_s == 1.5
    assert make_settings(3.0, 0.5).leaving_grace_s == 0.0
