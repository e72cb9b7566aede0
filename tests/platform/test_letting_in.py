"""Which requests are let in while engines have more to do than they can."""

from argparse import Namespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.placement import measure
from ridgecourse.core.letting_in import Prospect, excess_wait
from ridgecourse.core.objectives import RECENT, ObjectivesInUse
from ridgecourse.core.patience import FEWEST, WINDOW, UsualPatience


def mean(figure: str, policy: str, rate: float, short_share: float = 0.0) -> float:
    """Return a figure of the benchmark on modelled engines, over five seeds."""
    figures = [
        measure(
            policy,
            Namespace(seed=seed, rate=rate, seconds=20.0, engines=6, gateways=6),
            short_share,
        )[figure]
        for seed in range(1, 6)
    ]
    return sum(figures) / len(figures)


def make_prospect(**more: float) -> Prospect:
    usual = {
        "objective": 0.4,
        "queue_objective": 0.4,
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


def test_few_callers_say_nothing() -> None:
    patience = UsualPatience()
    for _ in range(FEWEST - 1):
        assert patience.observe(9.0) == 0.0
    assert patience.observe(1.0) == pytest.approx(8.0)


def test_the_queue_is_kept_to_what_the_impatient_kind_bears() -> None:
    assert excess_wait(make_prospect(wait=0.2)) is None
    assert excess_wait(make_prospect(wait=0.2, queue_objective=0.3)) is not None


def test_a_kind_counts_once_it_has_a_tenth_of_the_requests() -> None:
    objectives = ObjectivesInUse()
    for _ in range(95):
        objectives.observe(0.4)
    for _ in range(5):
        assert objectives.observe(0.1) == 0.1
    assert objectives.observe(0.4) == 0.4
    for _ in range(20):
        objectives.observe(0.1)
    assert objectives.observe(0.4) == 0.1
    for _ in range(RECENT):
        objectives.observe(0.4)
    assert objectives.observe(0.4) == 0.4
    assert list(objectives.counts) == [0.4]


@pytest.mark.parametrize(("rate", "gain"), [(55.0, 0.02), (65.0, 0.08), (75.0, 0.1)])
def test_at_overload_more_callers_are_answered_in_time(rate, gain) -> None:
    """The load that it answers, replayed on modelled engines over five seeds."""

    assert mean("in_time", "spare", rate) > mean("in_time", "unread", rate) + gain


@pytest.mark.parametrize(("rate", "gain"), [(55.0, 0.1), (65.0, 0.15)])
def test_at_overload_no_kind_is_put_behind(rate, gain) -> None:
    """The same load: a third of the requests has an objective of 0.3 s for 0.4 s."""
    even = {name: mean(name, "even", rate, 0.33) for name in ("worst", "credit")}
    spare = {name: mean(name, "spare", rate, 0.33) for name in ("worst", "credit")}
    assert even["worst"] > spare["worst"] + gain
    assert even["credit"] > spare["credit"] - 0.06
