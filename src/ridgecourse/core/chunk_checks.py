"""Age of the checks of staged chunks."""

from math import inf

from msgspec import Struct

from ridgecourse.core.ids import Seconds


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
        began = (check.began_at for check in self.checks.values())
        return now - min(began, default=-inf)
