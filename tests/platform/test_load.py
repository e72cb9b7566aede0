"""Estimates of an engine's load, and what is refused by them."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from bench.placement import MODEL
from ridgecourse.core.engine_load import (
    EngineLoad,
    EngineStatus,
    PendingRequest,
    PrefillBacklogEstimate,
    prefill_seconds,
    seconds_per_request,
)
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.retry import MIN_RETRY_DELAY_SECONDS, retry_delay_seconds


def make_status(queued: int, active: int, pace: float = 1.0) -> EngineStatus:
    return EngineStatus(WeightsVersion(1), False, queued, active, 0, 317_000, pace)


def test_a_full_engine_finishes_some_nine_requests_a_second() -> None:
    assert 8 < 1 / seconds_per_request(MODEL, 16) < 11


def test_nothing_waits_while_slots_are_free() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 15), Seconds(10.0))
    assert load.wait(MODEL, 16, Seconds(10.0), 3) == 0.0


def test_what_waits_and_what_was_sent_since_goes_before() -> None:
    load = EngineLoad()
    load.record_report(make_status(3, 16), Seconds(10.0))
    one = seconds_per_request(MODEL, 16)
    assert load.wait(MODEL, 16, Seconds(10.0), 3) == 4 * one
    load.pending["a"] = PendingRequest(Seconds(10.1), 0.0)
    assert load.wait(MODEL, 16, Seconds(10.1), 3) == 5 * one
    load.pending["b"] = PendingRequest(Seconds(9.0), 0.0)
    assert load.requests(Seconds(10.1), 3) == 20


def test_a_slow_engine_tells_so() -> None:
    load = EngineLoad()
    load.record_report(make_status(3, 16, pace=3.0), Seconds(10.0))
    one = seconds_per_request(MODEL, 16)
    assert abs(load.wait(MODEL, 16, Seconds(10.0), 3) - 12 * one) < 1e-9


def test_a_narrowed_link_counts_as_a_wait() -> None:
    load = EngineLoad()
    status = make_status(0, 1)
    load.record_report(structs.replace(status, link_share=0.2), Seconds(10.0))
    assert load.wait(MODEL, 16, Seconds(10.0), 3) >= 0.5
    load.record_report(structs.replace(status, link_share=0.8), Seconds(11.0))
    assert load.wait(MODEL, 16, Seconds(11.0), 3) == 0.0


def test_an_old_report_gives_way_to_own_sends() -> None:
    load = EngineLoad()
    load.record_report(make_status(9, 16), Seconds(10.0))
    load.outstanding = 4
    assert load.requests(Seconds(20.0), 3) == 12


def test_an_engine_whose_loader_fell_silent_comes_after_others() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 1), Seconds(10.0))
    assert load.wait(MODEL, 16, Seconds(11.0), 3) == 0.0
    assert load.wait(MODEL, 16, Seconds(12.0), 3) == 0.5
    assert load.wait(MODEL, 16, Seconds(40.0), 3) == 0.0
    assert EngineLoad().wait(MODEL, 16, Seconds(12.0), 3) == 0.0


def test_an_engine_that_leaves_requests_unanswered_looks_slower() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 1), Seconds(10.0))
    load.pending["hangs"] = PendingRequest(Seconds(8.0), 0.05)
    assert load.wait(MODEL, 16, Seconds(10.0), 3) > 1.0


def test_unread_prompts_are_waited_for_though_slots_are_free() -> None:
    load = EngineLoad()
    load.record_report(
        structs.replace(make_status(0, 8), prefill_backlog=0.4), Seconds(10.0)
    )
    assert load.wait(MODEL, 16, Seconds(10.0), 3) == 0.4
    # The engine reads on while the report ages.
    assert load.wait(MODEL, 16, Seconds(10.3), 3) == pytest.approx(0.1)
    assert load.wait(MODEL, 16, Seconds(10.9), 3) == 0.0


def test_what_others_send_between_two_reports_is_reckoned_with() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 0), Seconds(10.0))
    load.pending["a"] = PendingRequest(Seconds(10.02), 0.05)
    assert load.wait(MODEL, 16, Seconds(10.03), 4) == pytest.approx(0.2)
    # Counted in the next report.
    load.record_report(
        structs.replace(make_status(0, 4), prefill_backlog=0.15), Seconds(10.1)
    )
    assert load.wait(MODEL, 16, Seconds(10.1), 4) == pytest.approx(0.15)


def test_a_rush_on_an_idle_engine_counts_as_unread() -> None:
    estimate = PrefillBacklogEstimate()
    assert estimate.update(MODEL, 0, Seconds(1.0)) == 0.0
    one = prefill_seconds(MODEL, MODEL.prompt_tokens)
    assert estimate.update(MODEL, 12, Seconds(1.1)) == pytest.approx(12 * one)
    assert estimate.update(MODEL, 12, Seconds(1.2)) < 12 * one


@given(st.lists(st.integers(0, 48), min_size=1, max_size=40))
def test_unread_prompts_never_outlast_an_engine_that_gets_nothing(
    counts: list[int],
) -> None:
    estimate = PrefillBacklogEstimate()
    now = 0.0
    for requests in counts:
        now += 0.1
        assert estimate.update(MODEL, requests, Seconds(now)) >= 0.0
    for _ in range(60):
        now += 0.1
        left = estimate.update(MODEL, 0, Seconds(now))
    assert left == 0.0


@given(st.one_of(st.none(), st.floats(0.0, 5.0)), st.floats(0.3, 8.0), st.randoms())
def test_a_refused_caller_is_told_a_time_that_it_waits(excess, left, random) -> None:
    seconds = retry_delay_seconds(excess, left, random)
    assert MIN_RETRY_DELAY_SECONDS <= seconds
    assert seconds <= max(MIN_RETRY_DELAY_SECONDS, left / 3)


def test_the_longer_the_wait_the_later_a_caller_comes_back() -> None:
    random = Random(1)
    short = [retry_delay_seconds(0.05, 6.0, random) for _ in range(50)]
    long = [retry_delay_seconds(0.3, 6.0, random) for _ in range(50)]
    nowhere = [retry_delay_seconds(None, 6.0, random) for _ in range(50)]
    assert max(short) < min(long) < min(nowhere)
    # Not all at once.
    assert max(nowhere) - min(nowhere) > 0.3


def test_a_report_that_was_passed_by_a_newer_one_is_left_out() -> None:
    load = EngineLoad()
    assert load.is_newer(5, Seconds(10.0))
    load.record_report(make_status(0, 5), Seconds(10.0), 5)
    assert not load.is_newer(4, Seconds(10.1))
    assert load.is_newer(6, Seconds(10.1))
    # A heartbeat counts once datagrams fail to come.
    assert not load.is_newer(0, Seconds(10.1))
    assert load.is_newer(0, Seconds(10.5))
    load.record_report(make_status(0, 2), Seconds(10.5))
    assert load.sequence_number == 5
