"""What bounds the last start on old weights, whatever a link and a process are late by.

What happened: requests were sent to engines with weights that were to be replaced a
second later, with an estimated wait of less than 0.45 s. They waited 1.1 and 1.5 s, and
their gateways, beside a dozen processes that started, took them back as late as that.
A margin that is the same for all says nothing of the way or of the wait.
"""

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.ids import Seconds
from ridgecourse.core.old_weights import (
    BEGIN_SECONDS,
    TAKE_BACK_SECONDS,
    TakeBack,
    may_wait,
)

BOUND = Seconds(100.0)
SPANS = st.floats(0.0, 2.0)


@given(SPANS, SPANS, st.floats(0.0, 1.0))
def test_what_is_taken_back_arrives_before_the_bound(way, lag, slack) -> None:
    """Also if both are as long once more as lately, and somewhat longer."""
    begin_by = TakeBack(way, lag).begin_by(BOUND)
    assert begin_by + lag + way + slack * TAKE_BACK_SECONDS <= BOUND + 1e-9


@given(SPANS, SPANS, SPANS, SPANS, st.floats(90.0, 101.0))
def test_what_waits_as_long_as_expected_begins_in_time(
    wait, delay, way, lag, now
) -> None:
    begin_by = TakeBack(way, lag).begin_by(BOUND)
    if may_wait(Seconds(now), wait, delay, begin_by):
        assert now + wait + delay + BEGIN_SECONDS < begin_by
    else:
        assert now + wait + delay + BEGIN_SECONDS >= begin_by


def test_a_longer_way_is_reckoned_with_earlier() -> None:
    near, far = TakeBack(0.003, 0.0), TakeBack(0.8, 0.0)
    assert far.begin_by(BOUND) < near.begin_by(BOUND) - 0.7
