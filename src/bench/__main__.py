"""Entry point of ``python -m bench NAME``, which runs one benchmark."""

import sys
from importlib import import_module

BENCHMARK_NAMES = (
    "rollout",
    "config",
    "control",
    "routing",
    "fairness",
    "overload",
    "placement",
    "start",
    "idle",
    "requests",
    "stops",
)


def main() -> int:
    """Run the benchmark named by the first argument and return the exit code."""
    if len(sys.argv) < 2 or sys.argv[1] not in BENCHMARK_NAMES:
        print(
            f"usage: python -m bench {{{','.join(BENCHMARK_NAMES)}}} ...",
            file=sys.stderr,
        )
        return 2
    module = import_module(f"bench.{sys.argv[1]}")
    return module.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
