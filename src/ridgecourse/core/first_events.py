"""How much later first events come than was estimated, as a gateway itself sees it.

Load pattern: engines change their weights or are lost, and for seconds the others get
more than they can do. Reports are 0.1 s old and say nothing of requests on their way,
so that just then estimates are some 0.2 s too short. Too many requests are let in, and
the queue that they make stands: nearly all answers come a little late, though the
engines could give most of them in time. What the own requests met tells so within some
tenths of a second, whatever the reason; what would be late by it is refused.
"""

from math import exp

from ridgecourse.core.ids import Seconds

MEMORY_SECONDS = 0.6
"""Over which observations are averaged: about the time in which a queue of one
objective builds up or empties. With none, the estimate fades in the same time, so
that a gateway which refuses all soon tries again."""
DEVIATION_SHARE = 0.5
"""Share of the mean deviation that is added to the mean, so that more than half of what
is let in is in time."""


class FirstEventDelay:
    """Averages by how much first events were later than estimated.

    Attributes:
        mean: Of the delays, in seconds.
        deviation: Mean distance of the delays from it, in seconds.
        weight: Of what was observed; fades with time.
        observed_at: When the newest was observed.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self.weight = 0.0
        self.observed_at = Seconds(0.0)

    def observe(self, delay: float, now: Seconds) -> None:
        """Take in a delay; negative where an event came sooner than estimated."""
        self.weight = self._faded(now) + 1.0
        self.observed_at = now
        share = 1.0 / self.weight
        self.deviation += share * (abs(delay - self.mean) - self.deviation)
        self.mean += share * (delay - self.mean)

    def expect(self, now: Seconds) -> float:
        """Return the seconds to add to an estimate now, never less than none."""
        delay = self.mean + DEVIATION_SHARE * self.deviation
        return max(0.0, delay) * min(1.0, self._faded(now))

    def _faded(self, now: Seconds) -> float:
        return self.weight * exp(-max(0.0, now - self.observed_at) / MEMORY_SECONDS)
