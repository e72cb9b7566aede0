"""The engines of a domain switch their weights in staggered turns.

The tests compare staggered turns with a switch of half of the engines at once. The load
is 13 engines of a domain with a utilization of 0.77 that have 8 s to switch to a newly
named version. Each engine is unavailable for 2 s. With half of them unavailable at
once, the others received half as much work again as they could do: windows of 2 s
reached 0.65, 0.57 and 0.50 of their full value.
"""

from collections.abc import Sequence

import pytest

from ridgecourse.core.ids import Seconds
from ridgecourse.core.supersession import LAST_SWITCH_LEAD_SECONDS, switch_wait

SWITCH_SECONDS = 2.0
STEP_SECONDS = 0.05
COMPLETE_AT = Seconds(100.0)


def staggered_waits(engines: int, span: float) -> Sequence[float]:
    """Return the seconds after which each engine switches in staggered turns."""
    bound = Seconds(COMPLETE_AT + span)
    turns = [rank / (engines - 1) for rank in range(engines)]
    return [switch_wait(bound, None, COMPLETE_AT, COMPLETE_AT, turn) for turn in turns]


def half_at_once_waits(engines: int, span: float) -> Sequence[float]:
    """Return the waits if half switch at once and the rest as late as allowed."""
    last_switch = span - LAST_SWITCH_LEAD_SECONDS
    return [0.0 if rank % 2 == 0 else last_switch for rank in range(engines)]


def unserved_work(waits: Sequence[float], utilization: float) -> float:
    """Return the engine-seconds of work for which no engine is available.

    Args:
        waits: Seconds after which each engine switches.
        utilization: Share of all engines' time that the work takes.
    """
    steps = round((max(waits) + SWITCH_SECONDS) / STEP_SECONDS)
    unserved = 0.0
    for step in range(steps):
        now = step * STEP_SECONDS
        switching = sum(wait <= now < wait + SWITCH_SECONDS for wait in waits)
        unserved += (
            max(0.0, switching - (1.0 - utilization) * len(waits)) * STEP_SECONDS
        )
    return unserved


@pytest.mark.parametrize(("engines", "span"), [(13, 8.0), (13, 12.0), (15, 9.0)])
def test_with_enough_time_staggering_loses_less_than_third_of_halves(
    engines, span
) -> None:
    staggered_loss = unserved_work(staggered_waits(engines, span), 0.77)
    assert staggered_loss < unserved_work(half_at_once_waits(engines, span), 0.77) / 3


@pytest.mark.parametrize(
    ("engines", "span"), [(3, 4.7), (2, 2.0), (13, 4.7), (13, 2.0)]
)
def test_with_too_little_time_staggering_loses_no_more_than_halves(
    engines, span
) -> None:
    staggered_loss = unserved_work(staggered_waits(engines, span), 0.93)
    assert (
        staggered_loss <= unserved_work(half_at_once_waits(engines, span), 0.93) * 1.01
    )


def test_all_engines_switch_before_bound() -> None:
    waits = staggered_waits(13, 8.0)
    assert waits[0] == 0.0
    assert max(waits) <= 8.0 - LAST_SWITCH_LEAD_SECONDS + 1e-9
