"""Which requests are let in while engines have more to do than they can."""

from argparse import Namespace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_herding import SEEDS, share_in_time

from bench.placement import Gateway, measure
from ridgecourse.core.client_timeout import (
    MIN_SAMPLE_SIZE,
    SAMPLE_SIZE,
    USUAL_QUANTILE,
    UsualClientTimeout,
)
from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.first_event_delay import FirstEventDelay
from ridgecourse.core.load_shedding import AdmissionEstimate, excess_wait


def mean(figure: str, policy: str, rate: float) -> float:
    """Return a figure of the benchmark on modelled engines, over five seeds."""
    figures = [
        measure(
            policy,
            Namespace(seed=seed, rate=rate, seconds=20.0, engines=6, gateways=6),
        )[figure]
        for seed in range(1, 6)
    ]
    return sum(figures) / len(figures)


def make_prospect(**more: float) -> AdmissionEstimate:
    usual = {
        "objective": 0.4,
        "waited": 0.0,
        "wait": 0.0,
        "prefill_time": 0.03,
        "occupancy": 0.5,
    }
    return AdmissionEstimate(**{**usual, **more})


def test_what_is_in_time_is_let_in() -> None:
    assert excess_wait(make_prospect(wait=0.2, occupancy=1.4)) is None


def test_what_would_be_late_is_refused_with_its_excess() -> None:
    assert excess_wait(make_prospect(wait=0.5)) == pytest.approx(0.28)


def test_a_long_prompt_alone_refuses_nothing() -> None:
    assert excess_wait(make_prospect(wait=0.05, prefill_time=0.6)) is None


def test_what_is_late_in_any_case_takes_only_what_is_spare() -> None:
    assert excess_wait(make_prospect(waited=2.0, occupancy=0.7)) is None
    assert excess_wait(make_prospect(waited=2.0, occupancy=0.9)) is not None
    assert excess_wait(make_prospect(waited=2.0, occupancy=0.7, wait=0.1)) is not None


@given(st.floats(0, 3), st.floats(0, 3), st.floats(0, 1), st.floats(0, 2))
def test_who_waited_longer_is_never_preferred(
    waited: float, more: float, wait: float, fill: float
) -> None:
    first = excess_wait(make_prospect(waited=waited, wait=wait, occupancy=fill))
    second = excess_wait(make_prospect(waited=waited + more, wait=wait, occupancy=fill))
    if waited < 0.4:
        assert first is None or second is not None


def test_nobody_is_refused_where_there_is_room() -> None:
    """298 of 425 refusals named engines a third full, without a queue."""
    for waited in (0.0, 0.3, 2.0):
        roomy = make_prospect(waited=waited, occupancy=0.42, estimate_error=0.5)
        assert excess_wait(roomy) is None
        full = make_prospect(waited=waited, occupancy=0.9, estimate_error=0.5)
        assert excess_wait(full) is not None


def test_who_has_gone_before_a_first_event_is_refused_though_there_is_room() -> None:
    """Sent on, it was turned away by its engine when its time was up."""
    assert (
        excess_wait(make_prospect(waited=5.9, occupancy=0.1, remaining=0.1)) is not None
    )
    assert excess_wait(make_prospect(waited=5.7, occupancy=0.1, remaining=0.3)) is None
    assert excess_wait(make_prospect(waited=5.7, wait=0.2, remaining=0.3)) is not None


def test_what_first_events_are_late_by_counts_at_a_full_engine() -> None:
    prospect = make_prospect(wait=0.1, occupancy=1.1, estimate_error=0.2)
    assert excess_wait(prospect) == pytest.approx(0.08)


def test_time_left_tells_who_came_back() -> None:
    patience = UsualClientTimeout()
    for _ in range(SAMPLE_SIZE):
        assert patience.observe(6.08) == 0.0
    assert patience.observe(4.0) == pytest.approx(2.08)
    # Some callers wait for longer than others at their first try.
    assert patience.observe(30.0) == 0.0


def test_while_half_came_back_the_others_are_still_told_from_them() -> None:
    patience = UsualClientTimeout()
    for _ in range(SAMPLE_SIZE):
        patience.observe(6.08)
        patience.observe(4.0)
    assert patience.observe(6.08) == 0.0
    assert patience.observe(4.0) == pytest.approx(2.08)


def test_after_a_change_of_the_usual_time_it_is_learned_anew() -> None:
    patience = UsualClientTimeout()
    for _ in range(SAMPLE_SIZE):
        patience.observe(6.0)
    for _ in range(SAMPLE_SIZE):
        patience.observe(3.0)
    assert patience.observe(3.0) == 0.0


@pytest.mark.parametrize("spread", [0.15, 0.3])
def test_callers_of_different_patience_do_not_pass_for_returning_ones(spread) -> None:
    """One in seven was turned away on a day on which callers wait 5.1 to 6.9 s."""
    random, patience = Random(3), UsualClientTimeout()
    told = [patience.observe(6 * random.uniform(1 - spread, 1 + spread))]
    for _ in range(2000):
        told.append(patience.observe(6 * random.uniform(1 - spread, 1 + spread)))
    assert sum(waited > 0 for waited in told) < 0.02 * len(told)


def test_a_caller_with_far_less_time_than_any_other_came_back() -> None:
    random, patience = Random(3), UsualClientTimeout()
    for _ in range(SAMPLE_SIZE):
        patience.observe(6 * random.uniform(0.85, 1.15))
    assert patience.observe(1.5) > 4.0


def play_patience() -> float:
    """Return the share answered in time where callers' patience differs."""
    return sum(share_in_time(seed, patience_spread=0.15) for seed in SEEDS) / len(SEEDS)


class ByUsualTime(UsualClientTimeout):
    """The other way: whoever has less time than the usual caller came back."""

    def observe(self, left: float) -> float:
        super().observe(left)
        ordered = sorted(self.recent)
        usual = ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]
        return max(0.0, usual - left) if len(ordered) >= MIN_SAMPLE_SIZE else 0.0


def test_more_are_answered_in_time_where_patience_differs(monkeypatch) -> None:
    now = play_patience()
    monkeypatch.setattr(Gateway, "__init__", make_gateway_by_usual_time)
    before = play_patience()
    assert now > before + 0.04


def make_gateway_by_usual_time(
    gateway: Gateway, domain: int, loads: list[EngineLoad]
) -> None:
    gateway.domain, gateway.loads = domain, loads
    gateway.delay, gateway.patience = FirstEventDelay(), ByUsualTime()


def test_few_callers_say_nothing() -> None:
    patience = UsualClientTimeout()
    for _ in range(MIN_SAMPLE_SIZE - 1):
        assert patience.observe(9.0) == 0.0
    assert patience.observe(1.0) == pytest.approx(8.0)


@pytest.mark.parametrize(("rate", "gain"), [(55.0, 0.02), (65.0, 0.08), (75.0, 0.1)])
def test_at_overload_more_callers_are_answered_in_time(rate, gain) -> None:
    """The load that it answers, replayed on modelled engines over five seeds."""

    assert mean("in_time", "spare", rate) > mean("in_time", "unread", rate) + gain
