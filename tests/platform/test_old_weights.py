"""What bounds the last start on old weights, whatever a link and a process are late by.

What happened: requests were sent to engines with weights that were to be replaced a
second later, with an estimated wait of less than 0.45 s. They waited 1.1 and 1.5 s, and
their gateways, beside a dozen processes that started, took them back as late as that.
A margin that is the same for all says nothing of the way or of the wait.
"""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.engine_load import (
    FRESH_SECONDS,
    NARROW_LINK,
    NARROW_SECONDS,
    UNTOLD_WAY_SECONDS,
    EngineLoad,
)
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.old_weights import (
    BEGIN_SECONDS,
    TAKE_BACK_SECONDS,
    TakeBack,
    may_wait,
)
from ridgecourse.core.target_states import WAY_MEMORY_SECONDS, TargetStates
from ridgecourse_standins.platform.loader import IDLE

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


def test_the_way_to_a_target_that_comes_back_is_not_forgotten() -> None:
    """An engine behind a narrowed link lapsed from the list and was listed again.

    Requests were sent there as over a wide link and taken back 0.3 s before the bound.
    They reached the engine 0.5 s later, and two began 0.2 and 0.3 s past the bound.
    What had been seen of the way was dropped with the entry.
    """
    states = TargetStates()
    life = EngineLife(TargetId("i-1"), None)
    states.of(life).ways.observe(0.3, Seconds(100.0))
    states.retain(set(), Seconds(101.0))
    assert states.of(life).ways.expect(Seconds(101.0)) > 0.2
    states.retain(set(), Seconds(101.0))
    states.retain(set(), Seconds(101.0 + 10 * WAY_MEMORY_SECONDS))
    assert not states.ways


def test_an_engine_whose_loader_tells_nothing_may_be_far() -> None:
    now = Seconds(100.0)
    load = EngineLoad()
    assert load.way(now) == UNTOLD_WAY_SECONDS
    load.report(IDLE, now)
    assert load.way(now) == 0.0
    load.report(structs.replace(IDLE, link=NARROW_LINK / 2), now)
    assert load.way(now) == NARROW_SECONDS
    assert load.way(Seconds(now + FRESH_SECONDS + 0.1)) == UNTOLD_WAY_SECONDS
