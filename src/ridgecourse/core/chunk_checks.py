"""Age of the checks of staged chunks, and until when an engine may start from them."""

from math import inf

from msgspec import Struct

from ridgecourse.core.ids import Seconds

MAX_CHECK_AGE_SECONDS = 1.5
"""Longest time from the check of a chunk to the order to start the engine. An engine
must not start from a chunk that has been corrupt for more than 3 s, and it may take 1 s
to accept the order."""
SLOW_PASS_FACTOR = 1.5
"""Longest age of the oldest check, as a multiple of the time of one pass over all
chunks, where even one pass takes longer than ``MAX_CHECK_AGE_SECONDS``."""
MAX_COUNTED_SECONDS = 0.7
"""Longest duration of one check that counts towards the time of a pass. A longer check
contains a pause of the process, which says nothing about the speed of the instance."""


class ChunkCheck(Struct, frozen=True):
    """A check that found a staged chunk to be correct, or a write that made it so.

    Attributes:
        began_at: Time at which the read or write began. The chunk was correct at some
            time after that.
        seconds: Time that the check took, with the write if there was one.
    """

    began_at: Seconds
    seconds: float


class ChunkChecks:
    """The last check of each chunk of one version.

    Attributes:
        checks: The last check of each chunk, by index.
    """

    def __init__(self) -> None:
        self.checks: dict[int, ChunkCheck] = {}

    def record(self, index: int, check: ChunkCheck) -> None:
        """Record the latest check of a chunk."""
        self.checks[index] = check

    def oldest_age(self, now: Seconds) -> float:
        """Return the age of the oldest check in seconds; infinite without checks."""
        return now - self._oldest()

    def valid_until(self) -> Seconds:
        """Return until when the engine may be ordered to start from the chunks.

        The bound holds on an instance that is too slow to check all chunks within
        ``MAX_CHECK_AGE_SECONDS``, too: there it grows with the time of one pass, so
        that a start does not become impossible.
        """
        pass_seconds = sum(
            min(check.seconds, MAX_COUNTED_SECONDS) for check in self.checks.values()
        )
        max_age = max(MAX_CHECK_AGE_SECONDS, SLOW_PASS_FACTOR * pass_seconds)
        return Seconds(self._oldest() + max_age)

    def _oldest(self) -> float:
        began = (check.began_at for check in self.checks.values())
        return min(began, default=-inf)
