"""Reports of loads between regions do not grow with the number of gateways."""

import pytest

from ridgecourse.core.engine_load import FRESH_SECONDS
from ridgecourse.core.report_rate import (
    FAR_INTERVAL_SECONDS,
    FAR_REPORTS_PER_S,
    NEAR_INTERVAL_SECONDS,
    heartbeat_interval,
    report_interval,
    silence_limit,
)
from ridgecourse.loader.status import UNCHANGED_REPORT_SECONDS


@pytest.mark.parametrize("gateways", [6, 26, 80, 200])
def test_an_engine_sends_other_regions_a_fixed_number_of_reports(gateways) -> None:
    interval = report_interval(near=False, far_watchers=gateways)
    assert gateways / interval <= FAR_REPORTS_PER_S + 1e-9


def test_gateways_of_the_region_are_told_as_often_whatever_is_elsewhere() -> None:
    assert report_interval(near=True, far_watchers=200) == NEAR_INTERVAL_SECONDS


def test_few_gateways_elsewhere_are_told_each_tenth_of_a_second() -> None:
    assert report_interval(near=False, far_watchers=6) == 0.1


@pytest.mark.parametrize("near", [True, False])
def test_a_heartbeat_may_be_lost(near) -> None:
    assert silence_limit(near) > 2 * heartbeat_interval(near)


def test_connections_to_other_regions_carry_few_messages() -> None:
    """98 gateways and 142 loaders: 11,000 messages a second with one for each."""
    assert heartbeat_interval(near=False) >= 4 * heartbeat_interval(near=True)


def test_a_load_that_does_not_change_stays_fresh() -> None:
    assert UNCHANGED_REPORT_SECONDS + FAR_INTERVAL_SECONDS < FRESH_SECONDS
