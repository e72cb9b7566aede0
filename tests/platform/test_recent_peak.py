"""Tests the decaying peak of recent delays against its definition."""

from math import exp

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.ids import Seconds
from ridgecourse.core.recent_peak import MEMORY_SECONDS, RecentPeak

PAUSES_AND_VALUES = st.lists(
    st.tuples(st.floats(0.0, 2.0), st.floats(0.0, 3.0)), max_size=10
)


@given(PAUSES_AND_VALUES, st.floats(0.0, 5.0))
def test_peak_decays_with_the_age_of_the_value(observations, final_pause) -> None:
    peak = RecentPeak()
    now = 0.0
    observed = []
    for pause, value in observations:
        now += pause
        peak.observe(value, Seconds(now))
        observed.append((now, value))
    now += final_pause
    decayed = [
        value * exp(-(now - observed_at) / MEMORY_SECONDS)
        for observed_at, value in observed
    ]
    assert abs(peak.decayed_peak(Seconds(now)) - max(decayed, default=0.0)) < 1e-9
