"""The largest of recent values: decaying with its age, or over a sliding window."""

from collections import deque
from math import exp

from ridgecourse.core.ids import Seconds

MEMORY_SECONDS = 2.0
"""Time constant of the decay: the time in which a duration that is not observed again
decays to about a third. A link that was slow or a process that was busy a second ago
may be so again; a state of a minute ago is irrelevant."""


class RecentPeak:
    """The largest recent duration, which decays exponentially with its age.

    Attributes:
        memory: Time in which a duration decays to about a third, in seconds.
        peak: Largest duration at the time of its observation, in seconds.
        observed_at: Time at which the peak was observed.
    """

    def __init__(self, memory: float = MEMORY_SECONDS) -> None:
        self.memory = memory
        self.peak = 0.0
        self.observed_at = Seconds(0.0)

    def observe(self, duration: float, now: Seconds) -> None:
        """Record a duration.

        Args:
            duration: Observed duration, in seconds.
            now: Current time.
        """
        if duration >= self.decayed_peak(now):
            self.peak, self.observed_at = duration, now

    def decayed_peak(self, now: Seconds) -> float:
        """Return the decayed peak: the duration to expect now, in seconds."""
        return self.peak * exp(-max(0.0, now - self.observed_at) / self.memory)


class SlidingMaximum:
    """Maximum of a quantity that keeps each of its values until the next one.

    Attributes:
        held: Former values and the time until which each was held, in the order of
            these times. The values fall, since a smaller value that ended before a
            larger one is never the maximum again.
    """

    def __init__(self) -> None:
        self.held: deque[tuple[Seconds, float]] = deque()

    def record(self, value: float, until: Seconds) -> None:
        """Record a former value.

        Args:
            value: The value.
            until: Time until which the quantity had the value; does not fall.
        """
        while self.held and self.held[-1][1] <= value:
            self.held.pop()
        self.held.append((until, value))

    def maximum(self, current: float, since: Seconds) -> float:
        """Return the largest value held at a time or later.

        Args:
            current: The value held now.
            since: The time. Values that were held only before it are dropped.
        """
        while self.held and self.held[0][0] < since:
            self.held.popleft()
        return max(current, self.held[0][1]) if self.held else current
