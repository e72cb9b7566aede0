"""Which requests are let in while engines have more to do than they can."""

from argparse import Namespace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_herding import SEEDS, share_in_time

from bench.placement import Gateway, measure
from ridgecourse.core.engine_load import EngineLoad
from ridgecourse.core.first_events import FirstEventDelay
from ridgecourse.core.letting_in import Prospect, excess_wait
from ridgecourse.core.patience import FEWEST, USUAL_SHARE, WINDOW, UsualPatience


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


def make_prospect(**more: float) -> Prospect:
    usual = {
        "objective": 0.4,
        "waited": 0.0,
        "wait": 0.0,
        "reading": 0.03,
        "fill": 0.5,
    }
    return Prospect(**{**usual, **more})


def test_what_is_in_time_is_let_in() -> None:
    assert excess_wait(make_prospect(wait=0.2, fill=1.4)) is None


def test_what_would_be_late_is_refused_with_its_excess() -> None:
    assert excess_wait(make_prospect(wait=0.5)) == pytest.approx(0.28)


def test_a_long_prompt_alone_refuses_nothing() -> None:
    assert excess_wait(make_prospect(wait=0.05, reading=0.6)) is None


def test_what_is_late_in_any_case_takes_only_what_is_spare() -> None:
    assert excess_wait(make_prospect(waited=2.0, fill=0.7)) is None
    assert excess_wait(make_prospect(waited=2.0, fill=0.9)) is not None
    assert excess_wait(make_prospect(waited=2.0, fill=0.7, wait=0.1)) is not None


@given(st.floats(0, 3), st.floats(0, 3), st.floats(0, 1), st.floats(0, 2))
def test_who_waited_longer_is_never_preferred(
    waited: float, more: float, wait: float, fill: float
) -> None:
    first = excess_wait(make_prospect(waited=waited, wait=wait, fill=fill))
    second = excess_wait(make_prospect(waited=waited + more, wait=wait, fill=fill))
    if waited < 0.4:
        assert first is None or second is not None


def test_nobody_is_refused_where_there_is_room() -> None:
    """298 of 425 refusals named engines a third full, without a queue."""
    for waited in (0.0, 0.3, 2.0):
        roomy = make_prospect(waited=waited, fill=0.42, delay=0.5)
        assert excess_wait(roomy) is None
        full = make_prospect(waited=waited, fill=0.9, delay=0.5)
        assert excess_wait(full) is not None


def test_who_has_gone_before_a_first_event_is_refused_though_there_is_room() -> None:
    """Sent on, it was turned away by its engine when its time was up."""
    assert excess_wait(make_prospect(waited=5.9, fill=0.1, left=0.1)) is not None
    assert excess_wait(make_prospect(waited=5.7, fill=0.1, left=0.3)) is None
    assert excess_wait(make_prospect(waited=5.7, wait=0.2, left=0.3)) is not None


def test_what_first_events_are_late_by_counts_at_a_full_engine() -> None:
    prospect = make_prospect(wait=0.1, fill=1.1, delay=0.2)
    assert excess_wait(prospect) == pytest.approx(0.08)


def test_time_left_tells_who_came_back() -> None:
    patience = UsualPatience()
    for _ in range(WINDOW):
        assert patience.observe(6.08) == 0.0
    assert patience.observe(4.0) == pytest.approx(2.08)
    # Some callers wait for longer than others at their first try.
    assert patience.observe(30.0) == 0.0


def test_while_half_came_back_the_others_are_still_told_from_them() -> None:
    patience = UsualPatience()
    for _ in range(WINDOW):
        patience.observe(6.08)
        patience.observe(4.0)
    assert patience.observe(6.08) == 0.0
    assert patience.observe(4.0) == pytest.approx(2.08)


def test_after_a_change_of_the_usual_time_it_is_learned_anew() -> None:
    patience = UsualPatience()
    for _ in range(WINDOW):
        patience.observe(6.0)
    for _ in range(WINDOW):
        patience.observe(3.0)
    assert patience.observe(3.0) == 0.0


@pytest.mark.parametrize("spread", [0.15, 0.3])
def test_callers_of_different_patience_do_not_pass_for_returning_ones(spread) -> None:
    """One in seven was turned away on a day on which callers wait 5.1 to 6.9 s."""
    random, patience = Random(3), UsualPatience()
    told = [patience.observe(6 * random.uniform(1 - spread, 1 + spread))]
    for _ in range(2000):
        told.append(patience.observe(6 * random.uniform(1 - spread, 1 + spread)))
    assert sum(waited > 0 for waited in told) < 0.02 * len(told)


def test_a_caller_with_far_less_time_than_any_other_came_back() -> None:
    random, patience = Random(3), UsualPatience()
    for _ in range(WINDOW):
        patience.observe(6 * random.uniform(0.85, 1.15))
    assert patience.observe(1.5) > 4.0


def play_patience() -> float:
    """Return the share answered in time where callers' patience differs."""
    return sum(share_in_time(seed, patience_spread=0.15) for seed in SEEDS) / len(SEEDS)


class ByUsualTime(UsualPatience):
    """The other way: whoever has less time than the usual caller came back."""

    def observe(self, left: float) -> float:
        super().observe(left)
        ordered = sorted(self.recent)
        usual = ordered[int(USUAL_SHARE * (len(ordered) - 1))]
        return max(0.0, usual - left) if len(ordered) >= FEWEST else 0.0


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
    patience = UsualPatience()
    for _ in range(FEWEST - 1):
        assert patience.observe(9.0) == 0.0
    assert patience.observe(1.0) == pytest.approx(8.0)


@pytest.mark.parametrize(("rate", "gain"), [(55.0, 0.02), (65.0, 0.08), (75.0, 0.1)])
def test_at_overload_more_callers_are_answered_in_time(rate, gain) -> None:
    """The load that it answers, replayed on modelled engines over five seeds."""

    assert mean("in_time", "spare", rate) > mean("in_time", "unread", rate) + gain
