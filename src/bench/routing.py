"""Measures routing with one slow engine, against random choice."""

from typing import Any

from bench.result import print_result
from bench.serving import BASELINE, Bench, capacity, make_parser, outcomes, p99, serving

LOAD_SHARE = 0.5
SLOW_FACTOR = 4.0
STEP_SECONDS = 0.0095


def compare(bench: Bench, rate: float) -> dict[str, Any]:
    """Return the p99 with all engines alike and with one slow."""
    alike = bench.measure({"bench": rate})["bench"]
    bench.cluster.fault("engine-a-0", step_seconds=STEP_SECONDS * SLOW_FACTOR)
    slow = bench.measure({"bench": rate})["bench"]
    return {
        "p99_alike": p99(alike),
        "p99_one_slow": p99(slow),
        "ratio": p99(slow) / p99(alike),
        **outcomes(slow),
    }


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    arguments = make_parser("routing", __doc__).parse_args(argv)
    rate = LOAD_SHARE * capacity(arguments)
    with serving(arguments) as bench:
        ours = compare(bench, rate)
    with serving(arguments, **BASELINE) as bench:
        random = compare(bench, rate)
    print_result({"rate": rate, "ours": ours, "random": random})
    return 0
