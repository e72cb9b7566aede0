"""Link limits: a token bucket that makes senders and receivers wait."""

from collections.abc import Iterable, Iterator
from time import monotonic

import eventlet


class Throttle:
    """Keeps a flow of bytes below a rate.

    Attributes:
        rate: Bytes a second; None for no limit.
        burst: Seconds of rate that may go at once.
        total: Bytes let through so far.
    """

    def __init__(self, rate: float | None, burst: float = 0.05) -> None:
        self.rate = rate
        self.burst = burst
        self.total = 0
        # When the link will have sent all that was let through.
        self.free_at = monotonic()

    def take(self, size: int) -> None:
        """Wait until a number of bytes may pass."""
        self.total += size
        if self.rate is None:
            return
        now = monotonic()
        self.free_at = max(self.free_at, now - self.burst) + size / self.rate
        if self.free_at > now:
            eventlet.sleep(self.free_at - now)

    def pace(self, pieces: Iterable[bytes]) -> Iterator[bytes]:
        """Yield pieces as fast as the rate allows."""
        for piece in pieces:
            self.take(len(piece))
            yield piece


def in_pieces(data: bytes, size: int) -> Iterator[bytes]:
    """Yield data in pieces of at most a size."""
    view = memoryview(data)
    for start in range(0, len(data), size):
        yield bytes(view[start : start + size])
