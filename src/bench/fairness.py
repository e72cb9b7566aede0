"""Measures the latency of small accounts while a large account overloads the engines.

The same load is measured on the baseline, which admits requests first in, first out.
"""

from typing import Any

from bench.result import print_result
from bench.serving import (
    BASELINE,
    ServingBench,
    capacity,
    count_outcomes,
    make_parser,
    p99,
    serving_deployment,
)
from ridgecourse_standins.client import Answer

SMALL_ACCOUNTS = 9
SMALL_SHARE = 0.03
"""Request rate of each small account, as a share of capacity."""
LARGE_SHARE = 1.5
"""Request rate of the large account, as a share of capacity."""
DEADLINE = 5.0
"""Deadline of each request, in seconds."""


def answers_to_small_accounts(answers: dict[str, list[Answer]]) -> list[Answer]:
    """Return the answers to all small accounts."""
    return [
        answer
        for name, account_answers in answers.items()
        if name != "large"
        for answer in account_answers
    ]


def compare(bench: ServingBench, max_rate: float) -> dict[str, Any]:
    """Return the small accounts' p99 without and with load from the large account.

    Args:
        bench: Deployment to measure.
        max_rate: Capacity of the engines, in requests per second.
    """
    names = [f"small{number}" for number in range(SMALL_ACCOUNTS)]
    for name in [*names, "large"]:
        bench.cluster.create_account(name)
    rates = dict.fromkeys(names, SMALL_SHARE * max_rate)
    isolated_answers = answers_to_small_accounts(
        bench.measure(rates, deadline=DEADLINE)
    )
    answers = bench.measure(
        {**rates, "large": LARGE_SHARE * max_rate}, deadline=DEADLINE
    )
    small_answers = answers_to_small_accounts(answers)
    return {
        "p99_alone": p99(isolated_answers),
        "p99_flooded": p99(small_answers),
        "ratio": p99(small_answers) / p99(isolated_answers),
        "small": count_outcomes(small_answers),
        "large": count_outcomes(answers["large"]),
    }


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    arguments = make_parser("fairness", __doc__).parse_args(argv)
    max_rate = capacity(arguments)
    with serving_deployment(arguments) as bench:
        measured = compare(bench, max_rate)
    with serving_deployment(arguments, **BASELINE) as bench:
        baseline = compare(bench, max_rate)
    print_result(
        {"capacity": max_rate, "ours": measured, "first_in_first_out": baseline}
    )
    return 0
