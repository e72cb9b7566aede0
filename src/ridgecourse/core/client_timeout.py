"""Estimation of how long a client has waited, from the client timeouts on its route.

A refused client retries with a new identity and less remaining time. Nothing else
distinguishes it from a client that sends its first attempt. The clients of one route
may all start with the same timeout, or with different timeouts. In the second case, a
remaining time below the usual one is no evidence of a retry, unless the spread of the
timeouts does not explain it. When every such client was treated as a retry, 1 in 7 was
refused with engines filled to 1/3.
"""

from collections import deque

SAMPLE_SIZE = 64
"""Number of recent requests of a route in the sample: at 10 requests per second, those
of the last 6 s, which is as long as clients wait."""
USUAL_QUANTILE = 0.75
"""Quantile of the sample that is the usual client timeout at a first attempt. While
all refused clients retry, up to half of a route's requests are retries."""
LOW_QUANTILE, HIGH_QUANTILE = 0.6, 0.9
"""Quantiles between which all clients are at their first attempt. Up to half of the
clients are retries, and a few in 100 have a much longer timeout than all others."""
SPREAD_FACTOR = 3.5
"""How far the remaining time of a client at its first attempt may be below the usual
timeout, as a multiple of the distance between the two quantiles. For uniformly
distributed timeouts 2.5 would do; the factor is larger because the sample is small."""
MIN_SAMPLE_SIZE = 8
"""Number of requests below which no client is taken for a retry."""


class UsualClientTimeout:
    """Learns the client timeout at the first attempt on one route.

    Attributes:
        recent: Remaining times of recent clients, in seconds.
    """

    def __init__(self) -> None:
        self.recent: deque[float] = deque(maxlen=SAMPLE_SIZE)

    def observe(self, remaining: float) -> float:
        """Record a client's remaining time and estimate how long the client has waited.

        Args:
            remaining: Seconds until the client gives up.

        Returns:
            Seconds that the client has waited; 0 for a first attempt.
        """
        self.recent.append(remaining)
        if len(self.recent) < MIN_SAMPLE_SIZE:
            return 0.0
        ordered = sorted(self.recent)
        last_index = len(ordered) - 1
        usual_timeout = ordered[int(USUAL_QUANTILE * last_index)]
        spread = (
            ordered[int(HIGH_QUANTILE * last_index)]
            - ordered[int(LOW_QUANTILE * last_index)]
        )
        missing = usual_timeout - remaining
        return missing if missing > SPREAD_FACTOR * spread else 0.0
