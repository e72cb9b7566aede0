"""Tests of the estimates of an engine's load and of the retry delays based on them."""

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


def make_status(queued: int, active: int, slowdown: float = 1.0) -> EngineStatus:
    return EngineStatus(WeightsVersion(1), False, queued, active, 0, 317_000, slowdown)


def test_full_engine_finishes_about_nine_requests_per_second() -> None:
    assert 8 < 1 / seconds_per_request(MODEL, 16) < 11


def test_wait_is_zero_while_slots_are_free() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 15), Seconds(10.0))
    assert load.wait(MODEL, 16, Seconds(10.0), 3) == 0.0


def test_queued_and_recently_sent_requests_add_to_the_wait() -> None:
    load = EngineLoad()
    load.record_report(make_status(3, 16), Seconds(10.0))
    seconds_each = seconds_per_request(MODEL, 16)
    assert load.wait(MODEL, 16, Seconds(10.0), 3) == 4 * seconds_each
    load.pending["a"] = PendingRequest(Seconds(10.1), 0.0)
    assert load.wait(MODEL, 16, Seconds(10.1), 3) == 5 * seconds_each
    load.pending["b"] = PendingRequest(Seconds(9.0), 0.0)
    assert load.requests(Seconds(10.1), 3) == 20


def test_reported_slowdown_lengthens_the_wait() -> None:
    load = EngineLoad()
    load.record_report(make_status(3, 16, slowdown=3.0), Seconds(10.0))
    seconds_each = seconds_per_request(MODEL, 16)
    assert abs(load.wait(MODEL, 16, Seconds(10.0), 3) - 12 * seconds_each) < 1e-9


def test_slow_link_counts_as_a_wait() -> None:
    load = EngineLoad()
    status = make_status(0, 1)
    load.record_report(structs.replace(status, link_share=0.2), Seconds(10.0))
    assert load.wait(MODEL, 16, Seconds(10.0), 3) >= 0.5
    load.record_report(structs.replace(status, link_share=0.8), Seconds(11.0))
    assert load.wait(MODEL, 16, Seconds(11.0), 3) == 0.0


def test_outdated_report_is_replaced_by_own_sends() -> None:
    load = EngineLoad()
    load.record_report(make_status(9, 16), Seconds(10.0))
    load.outstanding = 4
    assert load.requests(Seconds(20.0), 3) == 12


def test_engine_with_a_silent_loader_ranks_after_others() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 1), Seconds(10.0))
    assert load.wait(MODEL, 16, Seconds(11.0), 3) == 0.0
    assert load.wait(MODEL, 16, Seconds(12.0), 3) == 0.5
    assert load.wait(MODEL, 16, Seconds(40.0), 3) == 0.0
    assert EngineLoad().wait(MODEL, 16, Seconds(12.0), 3) == 0.0


def test_overdue_answer_lengthens_the_wait() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 1), Seconds(10.0))
    load.pending["hangs"] = PendingRequest(Seconds(8.0), 0.05)
    assert load.wait(MODEL, 16, Seconds(10.0), 3) > 1.0


def test_prefill_backlog_counts_as_a_wait_despite_free_slots() -> None:
    load = EngineLoad()
    load.record_report(
        structs.replace(make_status(0, 8), prefill_backlog=0.4), Seconds(10.0)
    )
    assert load.wait(MODEL, 16, Seconds(10.0), 3) == 0.4
    # The engine continues the prefill while the report ages.
    assert load.wait(MODEL, 16, Seconds(10.3), 3) == pytest.approx(0.1)
    assert load.wait(MODEL, 16, Seconds(10.9), 3) == 0.0


def test_sends_of_other_gateways_between_reports_are_estimated() -> None:
    load = EngineLoad()
    load.record_report(make_status(0, 0), Seconds(10.0))
    load.pending["a"] = PendingRequest(Seconds(10.02), 0.05)
    assert load.wait(MODEL, 16, Seconds(10.03), 4) == pytest.approx(0.2)
    # The next report includes these requests.
    load.record_report(
        structs.replace(make_status(0, 4), prefill_backlog=0.15), Seconds(10.1)
    )
    assert load.wait(MODEL, 16, Seconds(10.1), 4) == pytest.approx(0.15)


def test_burst_at_an_idle_engine_counts_as_prefill_backlog() -> None:
    estimate = PrefillBacklogEstimate()
    assert estimate.update(MODEL, 0, Seconds(1.0)) == 0.0
    prompt_seconds = prefill_seconds(MODEL, MODEL.prompt_tokens)
    assert estimate.update(MODEL, 12, Seconds(1.1)) == pytest.approx(
        12 * prompt_seconds
    )
    assert estimate.update(MODEL, 12, Seconds(1.2)) < 12 * prompt_seconds


@given(st.lists(st.integers(0, 48), min_size=1, max_size=40))
def test_prefill_backlog_of_an_engine_without_requests_reaches_zero(
    counts: list[int],
) -> None:
    estimate = PrefillBacklogEstimate()
    now = 0.0
    for requests in counts:
        now += 0.1
        assert estimate.update(MODEL, requests, Seconds(now)) >= 0.0
    for _ in range(60):
        now += 0.1
        backlog = estimate.update(MODEL, 0, Seconds(now))
    assert backlog == 0.0


@given(st.one_of(st.none(), st.floats(0.0, 5.0)), st.floats(0.3, 8.0), st.randoms())
def test_retry_delay_leaves_a_refused_client_time_to_retry(
    excess, remaining, random
) -> None:
    seconds = retry_delay_seconds(excess, remaining, random)
    assert MIN_RETRY_DELAY_SECONDS <= seconds
    assert seconds <= max(MIN_RETRY_DELAY_SECONDS, remaining / 3)


def test_retry_delay_grows_with_the_wait() -> None:
    random = Random(1)
    short_wait = [retry_delay_seconds(0.05, 6.0, random) for _ in range(50)]
    long_wait = [retry_delay_seconds(0.3, 6.0, random) for _ in range(50)]
    no_engine = [retry_delay_seconds(None, 6.0, random) for _ in range(50)]
    assert max(short_wait) < min(long_wait) < min(no_engine)
    # Clients do not all retry at the same time.
    assert max(no_engine) - min(no_engine) > 0.3


def test_report_overtaken_by_a_newer_report_is_ignored() -> None:
    load = EngineLoad()
    assert load.is_newer(5, Seconds(10.0))
    load.record_report(make_status(0, 5), Seconds(10.0), 5)
    assert not load.is_newer(4, Seconds(10.1))
    assert load.is_newer(6, Seconds(10.1))
    # A heartbeat counts once no datagrams arrive.
    assert not load.is_newer(0, Seconds(10.1))
    assert load.is_newer(0, Seconds(10.5))
    load.record_report(make_status(0, 2), Seconds(10.5))
    assert load.sequence_number == 5
