"""A domain's engines change their weights one after the other.

Load pattern: 13 engines of a domain in 0.77 of their time are named a version that may
be taken for 8 s. Each is out for 2 s. With half of them out at once, the others had
half as much again to do as they could: windows of 2 s at 0.65, 0.57 and 0.50 of their
worth.
"""

from collections.abc import Sequence

import pytest

from ridgecourse.core.ids import Seconds
from ridgecourse.core.supersession import LAST_SWITCH_LEAD_SECONDS, switch_wait

OUT_SECONDS = 2.0
STEP_SECONDS = 0.05
WHOLE_AT = Seconds(100.0)


def take_in_turn(engines: int, span: float) -> Sequence[float]:
    """Return after how many seconds each engine changes."""
    bound = Seconds(WHOLE_AT + span)
    places = [rank / (engines - 1) for rank in range(engines)]
    return [switch_wait(bound, None, WHOLE_AT, WHOLE_AT, place) for place in places]


def take_in_halves(engines: int, span: float) -> Sequence[float]:
    """The other way: half of them at once, the rest as late as they may."""
    last = span - LAST_SWITCH_LEAD_SECONDS
    return [0.0 if rank % 2 == 0 else last for rank in range(engines)]


def lost_work(waits: Sequence[float], used: float) -> float:
    """Return the engine-seconds of work that find no engine.

    Args:
        waits: After how many seconds each engine changes.
        used: Share of all engines' time that the work takes.
    """
    steps = round((max(waits) + OUT_SECONDS) / STEP_SECONDS)
    lost = 0.0
    for step in range(steps):
        now = step * STEP_SECONDS
        out = sum(wait <= now < wait + OUT_SECONDS for wait in waits)
        lost += max(0.0, out - (1.0 - used) * len(waits)) * STEP_SECONDS
    return lost


@pytest.mark.parametrize(("engines", "span"), [(13, 8.0), (13, 12.0), (15, 9.0)])
def test_where_there_is_time_a_third_is_lost_of_what_halves_lose(engines, span) -> None:
    in_turn = lost_work(take_in_turn(engines, span), 0.77)
    assert in_turn < lost_work(take_in_halves(engines, span), 0.77) / 3


@pytest.mark.parametrize(
    ("engines", "span"), [(3, 4.7), (2, 2.0), (13, 4.7), (13, 2.0)]
)
def test_where_there_is_none_no_more_is_lost(engines, span) -> None:
    in_turn = lost_work(take_in_turn(engines, span), 0.93)
    assert in_turn <= lost_work(take_in_halves(engines, span), 0.93) * 1.01


def test_all_have_changed_when_they_must() -> None:
    waits = take_in_turn(13, 8.0)
    assert waits[0] == 0.0
    assert max(waits) <= 8.0 - LAST_SWITCH_LEAD_SECONDS + 1e-9
