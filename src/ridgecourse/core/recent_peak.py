"""The largest of the spans seen lately."""

from math import exp

from ridgecourse.core.ids import Seconds

MEMORY_SECONDS = 2.0
"""In which a span that has not come again falls to some third of itself: a link that
was squeezed or a process that was busy a second ago may be so again; what was a minute
ago says nothing."""


class RecentPeak:
    """The largest recent span; a span counts for less the longer it is ago.

    Attributes:
        memory: In which a span falls to some third of itself, in seconds.
        span: The largest when it was seen, in seconds.
        seen_at: When that was.
    """

    def __init__(self, memory: float = MEMORY_SECONDS) -> None:
        self.memory = memory
        self.span = 0.0
        self.seen_at = Seconds(0.0)

    def observe(self, span: float, now: Seconds) -> None:
        """Take in a span."""
        if span >= self.expect(now):
            self.span, self.seen_at = span, now

    def expect(self, now: Seconds) -> float:
        """Return the span to reckon with now, in seconds."""
        return self.span * exp(-max(0.0, now - self.seen_at) / self.memory)
