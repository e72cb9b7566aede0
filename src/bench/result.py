"""Figures of a benchmark: quantiles, and the line that it prints."""

import json
from collections.abc import Sequence
from typing import Any


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_result(values: dict[str, Any]) -> None:
    """Print figures as one JSON line, rounded to what they are worth."""
    rounded = {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in values.items()
    }
    print(json.dumps(rounded), flush=True)
