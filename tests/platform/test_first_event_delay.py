"""The correction of estimates by the observed delay of first events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.first_event_delay import FirstEventDelay
from ridgecourse.core.ids import Seconds


def observe_delays(delays: list[float], gap: float = 0.1) -> FirstEventDelay:
    tracker = FirstEventDelay()
    for number, delay in enumerate(delays):
        tracker.observe(delay, Seconds(10.0 + gap * number))
    return tracker


def test_expected_delay_is_zero_without_observations() -> None:
    assert FirstEventDelay().expected_delay(Seconds(3.0)) == 0.0


def test_punctual_events_add_little_expected_delay() -> None:
    punctual = observe_delays([-0.05, 0.02, -0.06, 0.05, -0.03, -0.04, 0.03, -0.05] * 4)
    assert punctual.expected_delay(Seconds(13.2)) < 0.02


def test_a_standing_queue_is_detected_within_half_a_second() -> None:
    overloaded = observe_delays([-0.03] * 20 + [0.2] * 5)
    assert overloaded.expected_delay(Seconds(12.5)) > 0.12


def test_expected_delay_decays_without_admitted_requests() -> None:
    overloaded = observe_delays([0.3] * 20)
    assert overloaded.expected_delay(Seconds(12.0)) == pytest.approx(0.3, abs=0.05)
    assert overloaded.expected_delay(Seconds(14.5)) < 0.05


@given(st.lists(st.floats(-1.0, 6.0), max_size=50), st.floats(0.001, 3.0))
def test_expected_delay_is_bounded_by_the_observed_delays(
    delays: list[float], gap: float
) -> None:
    tracker = observe_delays(delays, gap)
    expected = tracker.expected_delay(Seconds(10.0 + gap * len(delays)))
    assert (
        0.0
        <= expected
        <= max([0.0, *delays]) + 0.5 * (max(delays, default=0.0) - min([0.0, *delays]))
    )
