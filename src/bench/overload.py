"""Measures goodput at twice the capacity, against first in first out."""

from typing import Any

from bench.result import print_result, quantile
from bench.serving import BASELINE, Bench, capacity, make_parser, outcomes, serving

OVERLOAD = 2.0
DEADLINE = 2.0


def measure(bench: Bench, most: float) -> dict[str, Any]:
    """Return goodput over capacity, and how long refusals took."""
    rate = OVERLOAD * most
    answers = bench.measure({"bench": rate}, deadline=DEADLINE, repeatable=True)[
        "bench"
    ]
    good = [a for a in answers if a.outcome == "completed" and a.seconds <= DEADLINE]
    refused = [a.seconds for a in answers if a.outcome == "not-run"]
    executed = 0
    for node in bench.cluster.model_agents():
        address = node.settings["engine"]["address"]
        executed += len(bench.cluster.get_json(address, "/executions")["executions"])
    return {
        "goodput_of_capacity": len(good) / bench.arguments.seconds / most,
        "refused_p50_seconds": quantile(refused, 0.5),
        "refused_p99_seconds": quantile(refused, 0.99),
        "executed_all_run": executed,
        **outcomes(answers),
    }


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    arguments = make_parser("overload", __doc__).parse_args(argv)
    most = capacity(arguments)
    with serving(arguments) as bench:
        ours = measure(bench, most)
    with serving(arguments, **BASELINE) as bench:
        baseline = measure(bench, most)
    print_result({"capacity": most, "ours": ours, "first_in_first_out": baseline})
    return 0
