"""Of two versions named close together, one had better not be drawn.

Load pattern: version 2 named at 18.0 s, version 3 at 20.0 s, the origin away from 20.5
to 26.5 s. Where versions are valid for 13.4 s and a draw takes 4.3 s, version 3 alone
could be at all engines 0.3 s before version 1 ends. With both drawn, half of version 2
lay at the hubs until the origin was back; no engine had it whole, and the first one had
version 3 5.2 s after version 1 had ended.
"""

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.fetch_order import PendingFetch, is_fetched_first
from ridgecourse.core.ids import Seconds

NAMED = 18.0
APART_SECONDS = 2.0
SEEN_SECONDS = 0.2


def at_second_name(draw_seconds: float, valid: float) -> bool:
    """Tell whether the older version goes first when the newer one has been seen."""
    drawn = APART_SECONDS / draw_seconds
    older = PendingFetch(draw_seconds * (1 - drawn), Seconds(NAMED + valid))
    newer = PendingFetch(draw_seconds, Seconds(NAMED + APART_SECONDS + valid))
    return is_fetched_first(older, newer, Seconds(NAMED + APART_SECONDS + SEEN_SECONDS))


def test_with_time_enough_the_newer_version_is_drawn_alone() -> None:
    assert not at_second_name(4.3, 13.4)


def test_what_is_nearly_here_is_secured_where_bounds_are_close() -> None:
    """A draw of 2.6 s, three quarters done, and 8 or 10 s of validity."""
    assert at_second_name(2.6, 8.0)
    assert at_second_name(2.6, 10.0)


def test_after_the_outage_the_newer_version_goes_on_alone() -> None:
    older = PendingFetch(1.9, Seconds(31.4))
    newer = PendingFetch(3.8, Seconds(33.4))
    assert not is_fetched_first(older, newer, Seconds(26.5))


def test_versions_far_apart_are_both_drawn() -> None:
    """Nothing may be begun on what engines have in 2 s; the older serves for 9 s."""
    older = PendingFetch(0.4, Seconds(32.0))
    newer = PendingFetch(4.3, Seconds(41.0))
    assert is_fetched_first(older, newer, Seconds(30.0))


times = st.floats(0.0, 60.0, allow_nan=False)


@given(times, times, times, times, times)
def test_an_older_version_that_takes_longer_never_goes_first(
    more: float, newer: float, bound: float, apart: float, now: float
) -> None:
    older = PendingFetch(newer + more, Seconds(bound))
    assert not is_fetched_first(
        older, PendingFetch(newer, Seconds(bound + apart)), Seconds(now)
    )
