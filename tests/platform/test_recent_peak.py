"""What the largest recent span is, against the definition."""

from math import exp

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.ids import Seconds
from ridgecourse.core.recent_peak import MEMORY_SECONDS, RecentPeak

SPANS = st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.0, 3.0)), max_size=10)


@given(SPANS, st.floats(0.0, 5.0))
def test_the_largest_span_counts_for_less_the_longer_it_is_ago(spans, later) -> None:
    peak = RecentPeak()
    now = 0.0
    seen = []
    for pause, span in spans:
        now += pause
        peak.observe(span, Seconds(now))
        seen.append((now, span))
    now += later
    faded = [span * exp(-(now - at) / MEMORY_SECONDS) for at, span in seen]
    assert abs(peak.decayed_peak(Seconds(now)) - max(faded, default=0.0)) < 1e-9
