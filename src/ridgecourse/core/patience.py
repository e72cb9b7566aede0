"""How long a caller has waited already, by how long others of its route still wait.

A caller that was refused comes back with a new identity and less time left. Nothing
else tells it from one that asks for the first time.
"""

from collections import deque

WINDOW = 64
"""Requests of a route that are remembered: at 10 a second those of the last 6 s, the
time for which callers wait."""
USUAL_SHARE = 0.75
"""Share of them that have no more time than the usual caller has at its first try.
While all who were refused come back, up to half of a route's requests are such."""
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
        usual = ordered[int(USUAL_SHARE * (len(ordered) - 1))]
        return max(0.0, usual - left)
