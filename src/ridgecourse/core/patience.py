"""How long a caller has waited already, by how long others of its route still wait.

A caller that was refused comes back with a new identity and less time left. Nothing
else tells it from one that asks for the first time. Load pattern: callers of one route
may all have the same time at first, or each another one; then less time left than
usual says nothing until it is less than that alone explains. Taken for callers that
come back, one in seven was turned away with engines a third full.
"""

from collections import deque

WINDOW = 64
"""Requests of a route that are remembered: at 10 a second those of the last 6 s, the
time for which callers wait."""
USUAL_SHARE = 0.75
"""Share of them that have no more time than the usual caller has at its first try.
While all who were refused come back, up to half of a route's requests are such."""
LOW_SHARE, HIGH_SHARE = 0.6, 0.9
"""Between these shares lie callers at their first try only. Up to half come back, and a
few in a hundred wait much longer than all others."""
SPREAD_FACTOR = 3.5
"""Times the distance of the two by which a caller at its first try may lie below the
usual: 2.5 where all lengths are as frequent; more, since few callers are seen."""
FEWEST = 8
"""Requests before which nothing is said of a caller."""


class UsualPatience:
    """Learns the time that callers of one route have at their first try.

    Attributes:
        recent: Seconds that recent callers had.
    """

    def __init__(self) -> None:
        self.recent: deque[float] = deque(maxlen=WINDOW)

    def observe(self, left: float) -> float:
        """Take in a caller's time left; return the seconds that it waited already."""
        self.recent.append(left)
        if len(self.recent) < FEWEST:
            return 0.0
        ordered = sorted(self.recent)
        last = len(ordered) - 1
        usual = ordered[int(USUAL_SHARE * last)]
        width = ordered[int(HIGH_SHARE * last)] - ordered[int(LOW_SHARE * last)]
        missing = usual - left
        return missing if missing > SPREAD_FACTOR * width else 0.0
