"""A wait that counts only the time in which the process runs."""

from ridgecourse.core.ids import Seconds

MAX_COUNTED_SECONDS = 0.5
"""Longest time that counts between two queries. A longer one contains a pause of the
process, in which calls to other processes of the instance do not proceed either."""


class RunningCountdown:
    """Counts seconds down while the process runs.

    It has to be queried more often than every ``MAX_COUNTED_SECONDS``; it is late by
    what is missing.

    Attributes:
        remaining: Seconds left as of the last query.
        queried_at: Time of the last query.
    """

    def __init__(self) -> None:
        self.remaining = 0.0
        self.queried_at = Seconds(0.0)

    def restart(self, seconds: float, now: Seconds) -> None:
        """Count down from a number of seconds."""
        self.remaining = seconds
        self.queried_at = now

    def seconds_left(self, now: Seconds) -> float:
        """Return the seconds left; 0 if none are."""
        passed = min(now - self.queried_at, MAX_COUNTED_SECONDS)
        self.remaining = max(0.0, self.remaining - passed)
        self.queried_at = now
        return self.remaining
