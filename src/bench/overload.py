"""Measures goodput at twice the capacity.

The same load is measured on the baseline, which admits requests first in, first out.
"""

from typing import Any

from bench.result import print_result, quantile
from bench.serving import (
    BASELINE,
    ServingBench,
    capacity,
    count_outcomes,
    make_parser,
    serving_deployment,
)

OVERLOAD_FACTOR = 2.0
"""Request rate as a multiple of capacity."""
DEADLINE = 2.0
"""Deadline of each request, in seconds."""


def measure(bench: ServingBench, max_rate: float) -> dict[str, Any]:
    """Return goodput relative to capacity and the latency of refusals.

    Args:
        bench: Deployment to measure.
        max_rate: Capacity of the engines, in requests per second.
    """
    rate = OVERLOAD_FACTOR * max_rate
    answers = bench.measure({"bench": rate}, deadline=DEADLINE, repeatable=True)[
        "bench"
    ]
    in_time = [
        answer
        for answer in answers
        if answer.outcome == "completed" and answer.seconds <= DEADLINE
    ]
    refusal_seconds = [
        answer.seconds for answer in answers if answer.outcome == "not-run"
    ]
    executed = 0
    for node in bench.cluster.model_agents():
        address = node.settings["engine"]["address"]
        executed += len(bench.cluster.get_json(address, "/executions")["executions"])
    return {
        "goodput_of_capacity": len(in_time) / bench.arguments.seconds / max_rate,
        "refused_p50_seconds": quantile(refusal_seconds, 0.5),
        "refused_p99_seconds": quantile(refusal_seconds, 0.99),
        "executed_all_run": executed,
        **count_outcomes(answers),
    }


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    arguments = make_parser("overload", __doc__).parse_args(argv)
    max_rate = capacity(arguments)
    with serving_deployment(arguments) as bench:
        measured = measure(bench, max_rate)
    with serving_deployment(arguments, **BASELINE) as bench:
        baseline = measure(bench, max_rate)
    print_result(
        {"capacity": max_rate, "ours": measured, "first_in_first_out": baseline}
    )
    return 0
