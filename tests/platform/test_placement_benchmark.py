"""Tests of the placement benchmark: policies on simulated engines, in virtual time."""

from argparse import Namespace

from bench.placement import measure

SEEDS = (1, 2, 3)


def mean_credit(policy: str, rate: float) -> float:
    """Return the mean credit of a policy over all seeds."""
    credits = [
        measure(
            policy,
            Namespace(engines=6, gateways=6, rate=rate, seconds=20.0, seed=seed),
        )["credit"]
        for seed in SEEDS
    ]
    return sum(credits) / len(credits)


def test_gateways_do_not_all_choose_the_same_engine() -> None:
    credit = mean_credit("unread", 55.0)
    assert credit > 0.84
    assert credit > mean_credit("random", 55.0) + 0.3


def test_prefill_backlog_policy_beats_request_count_policy() -> None:
    for rate in (55.0, 70.0):
        assert mean_credit("unread", rate) > mean_credit("count", rate) + 0.03
