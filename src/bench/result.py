"""Results of a benchmark: quantiles and JSON output."""

import json
from collections.abc import Sequence
from typing import Any


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile without interpolation, or 0 if there are no values."""
    if not values:
        return 0.0
    sorted_values = sorted(values)
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


def print_result(values: dict[str, Any]) -> None:
    """Print values as one line of JSON, with floats rounded to 4 decimal places."""
    rounded = {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in values.items()
    }
    print(json.dumps(rounded), flush=True)
