"""What a gateway makes of first events that come later than estimated."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.first_event_delay import FirstEventDelay
from ridgecourse.core.ids import Seconds


def observe(delays: list[float], gap: float = 0.1) -> FirstEventDelay:
    observed = FirstEventDelay()
    for number, delay in enumerate(delays):
        observed.observe(delay, Seconds(10.0 + gap * number))
    return observed


def test_nothing_is_added_while_nothing_was_observed() -> None:
    assert FirstEventDelay().expected_delay(Seconds(3.0)) == 0.0


def test_events_that_come_as_estimated_add_little() -> None:
    usual = observe([-0.05, 0.02, -0.06, 0.05, -0.03, -0.04, 0.03, -0.05] * 4)
    assert usual.expected_delay(Seconds(13.2)) < 0.02


def test_a_queue_that_stands_is_seen_within_some_tenths_of_a_second() -> None:
    rush = observe([-0.03] * 20 + [0.2] * 5)
    assert rush.expected_delay(Seconds(12.5)) > 0.12


def test_once_nothing_is_let_in_the_estimate_fades() -> None:
    rush = observe([0.3] * 20)
    assert rush.expected_delay(Seconds(12.0)) == pytest.approx(0.3, abs=0.05)
    assert rush.expected_delay(Seconds(14.5)) < 0.05


@given(st.lists(st.floats(-1.0, 6.0), max_size=50), st.floats(0.001, 3.0))
def test_it_lies_between_nothing_and_the_longest_delay(
    delays: list[float], gap: float
) -> None:
    observed = observe(delays, gap)
    expected = observed.expected_delay(Seconds(10.0 + gap * len(delays)))
    assert (
        0.0
        <= expected
        <= max([0.0, *delays]) + 0.5 * (max(delays, default=0.0) - min([0.0, *delays]))
    )
