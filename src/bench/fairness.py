"""Measures small accounts while a large one floods, against first in first out."""

from typing import Any

from bench.result import print_result
from bench.serving import (
    BASELINE,
    Bench,
    capacity,
    make_parser,
    outcomes,
    p99,
    serving,
)
from ridgecourse_standins.caller import Answer

SMALL_ACCOUNTS = 9
SMALL_SHARE = 0.03
"""Of capacity, for each small account."""
FLOOD = 1.5
"""Of capacity, for the large account."""
DEADLINE = 5.0


def small_answers(answers: dict[str, list[Answer]]) -> list[Answer]:
    """Return the answers of all small accounts."""
    return [a for name, own in answers.items() if name != "large" for a in own]


def compare(bench: Bench, most: float) -> dict[str, Any]:
    """Return the small accounts' p99 alone and with the large one flooding."""
    names = [f"small{number}" for number in range(SMALL_ACCOUNTS)]
    for name in [*names, "large"]:
        bench.cluster.account(name)
    rates = dict.fromkeys(names, SMALL_SHARE * most)
    alone = small_answers(bench.measure(rates, deadline=DEADLINE))
    flooded = bench.measure({**rates, "large": FLOOD * most}, deadline=DEADLINE)
    small = small_answers(flooded)
    return {
        "p99_alone": p99(alone),
        "p99_flooded": p99(small),
        "ratio": p99(small) / p99(alone),
        "small": outcomes(small),
        "large": outcomes(flooded["large"]),
    }


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    arguments = make_parser("fairness", __doc__).parse_args(argv)
    most = capacity(arguments)
    with serving(arguments) as bench:
        ours = compare(bench, most)
    with serving(arguments, **BASELINE) as bench:
        baseline = compare(bench, most)
    print_result({"capacity": most, "ours": ours, "first_in_first_out": baseline})
    return 0
