"""Tests of the last start on old weights with slow links and slow processes.

A margin that is the same for all targets accounts neither for the network delay nor for
the delay of the gateway. Requests were sent to engines whose weights were to be
replaced 1 s later, with an estimated wait below 0.45 s. The requests waited 1.1 and
1.5 s, and their gateways, which ran beside a dozen starting processes, withdrew the
requests equally late.
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
DELAYS = st.floats(0.0, 2.0)


@given(DELAYS, DELAYS, st.floats(0.0, 1.0))
def test_withdrawal_arrives_before_the_bound(network_delay, lag, slack) -> None:
    """Holds if both delays recur and grow together by up to the margin."""
    start_deadline = WithdrawalDelays(network_delay, lag).start_deadline(BOUND)
    assert (
        start_deadline + lag + network_delay + slack * WITHDRAWAL_MARGIN_SECONDS
        <= BOUND + 1e-9
    )


@given(DELAYS, DELAYS, DELAYS, DELAYS, st.floats(90.0, 101.0))
def test_request_with_the_expected_wait_starts_in_time(
    wait, delay, network_delay, lag, now
) -> None:
    start_deadline = WithdrawalDelays(network_delay, lag).start_deadline(BOUND)
    if can_start_in_time(Seconds(now), wait, delay, start_deadline):
        assert now + wait + delay + DISPATCH_TO_FIRST_EVENT_SECONDS < start_deadline
    else:
        assert now + wait + delay + DISPATCH_TO_FIRST_EVENT_SECONDS >= start_deadline


def test_longer_network_delay_gives_an_earlier_deadline() -> None:
    near, far = WithdrawalDelays(0.003, 0.0), WithdrawalDelays(0.8, 0.0)
    assert far.start_deadline(BOUND) < near.start_deadline(BOUND) - 0.7


def test_network_delay_of_a_target_listed_again_is_kept() -> None:
    """An engine behind a slow link expires from the list and is listed again.

    Requests were sent to the engine as over a fast link, because the observed network
    delay was deleted with the entry. Requests withdrawn 0.3 s before the bound reached
    the engine 0.5 s later, and two started 0.2 and 0.3 s past the bound.
    """
    health_table = TargetHealthTable()
    incarnation = EngineIncarnation(TargetId("i-1"), None)
    health_table.value_of(incarnation).network_delays.observe(0.3, Seconds(100.0))
    health_table.retain(set(), Seconds(101.0))
    assert (
        health_table.value_of(incarnation).network_delays.decayed_peak(Seconds(101.0))
        > 0.2
    )
    health_table.retain(set(), Seconds(101.0))
    health_table.retain(set(), Seconds(101.0 + 10 * DELAY_MEMORY_SECONDS))
    assert not health_table.network_delays


def test_engine_without_reports_is_assumed_to_be_far() -> None:
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
