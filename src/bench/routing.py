"""Measures routing with one slow engine.

The same load is measured on the baseline, which chooses targets at random.
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

LOAD_SHARE = 0.5
"""Request rate as a share of capacity."""
SLOW_FACTOR = 4.0
"""Factor by which the slow engine's step takes longer."""
STEP_SECONDS = 0.0095
"""Duration of an engine's step."""


def compare(bench: ServingBench, rate: float) -> dict[str, Any]:
    """Return the p99 with equally fast engines and with one slow engine."""
    equal_answers = bench.measure({"bench": rate})["bench"]
    bench.cluster.set_faults("engine-a-0", step_seconds=STEP_SECONDS * SLOW_FACTOR)
    slow_answers = bench.measure({"bench": rate})["bench"]
    return {
        "p99_alike": p99(equal_answers),
        "p99_one_slow": p99(slow_answers),
        "ratio": p99(slow_answers) / p99(equal_answers),
        **count_outcomes(slow_answers),
    }


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    arguments = make_parser("routing", __doc__).parse_args(argv)
    rate = LOAD_SHARE * capacity(arguments)
    with serving_deployment(arguments) as bench:
        measured = compare(bench, rate)
    with serving_deployment(arguments, **BASELINE) as bench:
        baseline = compare(bench, rate)
    print_result({"rate": rate, "ours": measured, "random": baseline})
    return 0
