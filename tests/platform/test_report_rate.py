"""Reports of loads between regions do not grow with the number of gateways."""

import pytest

from ridgecourse.core.report_rate import (
    FAR_REPORTS_PER_S,
    NEAR_INTERVAL_SECONDS,
    report_interval,
)


@pytest.mark.parametrize("gateways", [6, 26, 80, 200])
def test_an_engine_sends_other_regions_a_fixed_number_of_reports(gateways) -> None:
    interval = report_interval(near=False, far_watchers=gateways)
    assert gateways / interval <= FAR_REPORTS_PER_S + 1e-9


def test_gateways_of_the_region_are_told_as_often_whatever_is_elsewhere() -> None:
    assert report_interval(near=True, far_watchers=200) == NEAR_INTERVAL_SECONDS


def test_few_gateways_elsewhere_are_told_each_tenth_of_a_second() -> None:
    assert report_interval(near=False, far_watchers=6) == 0.1
