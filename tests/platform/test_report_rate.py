"""Tests that the rate of load reports does not grow with the number of gateways."""

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
def test_report_rate_to_other_regions_is_limited(gateways) -> None:
    interval = report_interval(near=False, far_watchers=gateways)
    assert gateways / interval <= FAR_REPORTS_PER_S + 1e-9


def test_report_interval_within_the_region_is_independent_of_others() -> None:
    assert report_interval(near=True, far_watchers=200) == NEAR_INTERVAL_SECONDS


def test_few_gateways_in_other_regions_get_10_reports_per_second() -> None:
    assert report_interval(near=False, far_watchers=6) == 0.1


@pytest.mark.parametrize("near", [True, False])
def test_silence_limit_tolerates_a_lost_heartbeat(near) -> None:
    assert silence_limit(near) > 2 * heartbeat_interval(near)


def test_heartbeats_to_other_regions_are_less_frequent() -> None:
    """With 98 gateways and 142 loaders, 1 per pair makes 11,000 messages per second."""
    assert heartbeat_interval(near=False) >= 4 * heartbeat_interval(near=True)


def test_unchanged_load_stays_fresh() -> None:
    assert UNCHANGED_REPORT_SECONDS + FAR_INTERVAL_SECONDS < FRESH_SECONDS
