"""Command ``python -m bench NAME``: runs one benchmark."""

import sys
from importlib import import_module

NAMES = (
    "rollout",
    "config",
    "control",
    "routing",
    "fairness",
    "overload",
    "placement",
    "start",
    "idle",
)


def main() -> int:
    """Run the benchmark that the first argument names."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        print(f"usage: python -m bench {{{','.join(NAMES)}}} ...", file=sys.stderr)
        return 2
    module = import_module(f"bench.{sys.argv[1]}")
    return module.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
