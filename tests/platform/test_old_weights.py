"""What bounds the last start on old weights, whatever a link and a process are late by.

What happened: requests were sent to engines with weights that were to be replaced a
second later, with an estimated wait of less than 0.45 s. They waited 1.1 and 1.5 s, and
their gateways, beside a dozen processes that started, took them back as late as that.
A margin that is the same for all says nothing of the way or of the wait.
"""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.engine_load import (
    FRESH_SECONDS,
    SLOW_LINK_SECONDS,
    SLOW_LINK_SHARE,
    UNKNOWN_DELAY_SECONDS,
    EngineLoad,
)
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.old_weights import (
    DISPATCH_TO_FIRST_EVENT_SECONDS,
    WITHDRAWAL_MARGIN_SECONDS,
    WithdrawalDelays,
    can_start_in_time,
)
from ridgecourse.core.target_states import DELAY_MEMORY_SECONDS, TargetHealthTable
from ridgecourse_standins.platform.loader import IDLE_STATUS

BOUND = Seconds(100.0)
SPANS = st.floats(0.0, 2.0)


@given(SPANS, SPANS, st.floats(0.0, 1.0))
def test_what_is_taken_back_arrives_before_the_bound(way, lag, slack) -> None:
    """Also if both are as long once more as lately, and somewhat longer."""
    begin_by = WithdrawalDelays(way, lag).start_deadline(BOUND)
    assert begin_by + lag + way + slack * WITHDRAWAL_MARGIN_SECONDS <= BOUND + 1e-9


@given(SPANS, SPANS, SPANS, SPANS, st.floats(90.0, 101.0))
def test_what_waits_as_long_as_expected_begins_in_time(
    wait, delay, way, lag, now
) -> None:
    begin_by = WithdrawalDelays(way, lag).start_deadline(BOUND)
    if can_start_in_time(Seconds(now), wait, delay, begin_by):
        assert now + wait + delay + DISPATCH_TO_FIRST_EVENT_SECONDS < begin_by
    else:
        assert now + wait + delay + DISPATCH_TO_FIRST_EVENT_SECONDS >= begin_by


def test_a_longer_way_is_reckoned_with_earlier() -> None:
    near, far = WithdrawalDelays(0.003, 0.0), WithdrawalDelays(0.8, 0.0)
    assert far.start_deadline(BOUND) < near.start_deadline(BOUND) - 0.7


def test_the_way_to_a_target_that_comes_back_is_not_forgotten() -> None:
    """An engine behind a narrowed link lapsed from the list and was listed again.

    Requests were sent there as over a wide link and taken back 0.3 s before the bound.
    They reached the engine 0.5 s later, and two began 0.2 and 0.3 s past the bound.
    What had been seen of the way was dropped with the entry.
    """
    states = TargetHealthTable()
    life = EngineIncarnation(TargetId("i-1"), None)
    states.value_of(life).network_delays.observe(0.3, Seconds(100.0))
    states.retain(set(), Seconds(101.0))
    assert states.value_of(life).network_delays.decayed_peak(Seconds(101.0)) > 0.2
    states.retain(set(), Seconds(101.0))
    states.retain(set(), Seconds(101.0 + 10 * DELAY_MEMORY_SECONDS))
    assert not states.network_delays


def test_an_engine_whose_loader_tells_nothing_may_be_far() -> None:
    now = Seconds(100.0)
    load = EngineLoad()
    assert load.network_delay(now) == UNKNOWN_DELAY_SECONDS
    load.record_report(IDLE_STATUS, now)
    assert load.network_delay(now) == 0.0
    load.record_report(
        structs.replace(IDLE_STATUS, link_share=SLOW_LINK_SHARE / 2), now
    )
    assert load.network_delay(now) == SLOW_LINK_SECONDS
    assert (
        load.network_delay(Seconds(now + FRESH_SECONDS + 0.1)) == UNKNOWN_DELAY_SECONDS
    )
