"""Rate limits of links: a token bucket and an estimate of the rate of a link."""

from collections.abc import Iterable, Iterator
from math import inf

import eventlet

from ridgecourse.net.clock import boottime


class Throttle:
    """A token bucket that keeps a flow of bytes below a rate.

    Attributes:
        rate: Bytes a second; None for no limit.
        burst: Size of a burst, in seconds of the rate.
        total: Bytes admitted so far.
        free_at: Time at which the link will have sent all admitted bytes.
    """

    def __init__(self, rate: float | None, burst: float = 0.05) -> None:
        self.rate = rate
        self.burst = burst
        self.total = 0
        self.free_at: float = boottime()

    def acquire(self, size: int) -> None:
        """Wait until a number of bytes may be sent.

        Args:
            size: The number of bytes.
        """
        self.total += size
        if self.rate is None:
            return
        now = boottime()
        self.free_at = max(self.free_at, now - self.burst) + size / self.rate
        if self.free_at > now:
            eventlet.sleep(self.free_at - now)

    def pace(self, pieces: Iterable[bytes]) -> Iterator[bytes]:
        """Yield pieces no faster than the rate."""
        for piece in pieces:
            self.acquire(len(piece))
            yield piece


class AdaptiveRate:
    """Estimates the rate of a link whose bandwidth may drop for a while.

    Attributes:
        limit: Highest rate of the link, in bytes a second.
        current: Estimated current rate, in bytes a second.
        is_known: Whether a transfer has confirmed the estimate since the last pause.
        last_used_at: End of the last use of the link.
    """

    MIN_SHARE = 0.05
    """Lowest estimate, as a share of the limit."""
    EXPECTED_SHARE = 0.75
    """Share of the requested rate that a link at its limit still achieves. A slower
    transfer lowers the estimate."""
    BACKOFF_FACTOR = 0.85
    """Share of the measured rate of a slow link that is requested. It is below 1, so
    that the queue in front of the link drains."""
    GROWTH_FACTOR = 1.1
    """Factor by which the estimate grows with each transfer that is fast enough."""
    ESTIMATE_VALID_SECONDS = 2.0
    """Pause after which the estimate is not used: the rate of a link drops suddenly."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.current = limit
        self.is_known = False
        self.last_used_at = -inf

    def max_transfer_seconds(self, size: int) -> float:
        """Return the longest expected transfer time in seconds, at the lowest estimate.

        Args:
            size: Bytes of the transfer.
        """
        return size / (self.limit * self.MIN_SHARE)

    def record_start(self, now: float) -> None:
        """Record that the use of the link begins."""
        if now - self.last_used_at > self.ESTIMATE_VALID_SECONDS:
            self.is_known = False

    def record_end(self, now: float) -> None:
        """Record that the use of the link has ended."""
        self.last_used_at = now

    def observe(self, size: int, seconds: float, sharing: tuple[int, int]) -> None:
        """Update the estimate by the duration of a transfer.

        A transfer during which the number of transfers changed is ignored. For example,
        the last of 2 transfers has the link to itself only for a part of its duration.

        Args:
            size: Bytes of the transfer.
            seconds: Time from the request to the last byte.
            sharing: Number of transfers that shared the link, at the beginning and at
                the end of the transfer.
        """
        if seconds <= 0 or sharing[0] != sharing[1]:
            return
        self.is_known = True
        measured_rate = size * sharing[1] / seconds
        if measured_rate < self.current * self.EXPECTED_SHARE:
            self.current = max(
                self.limit * self.MIN_SHARE, measured_rate * self.BACKOFF_FACTOR
            )
        else:
            self.current = min(self.limit, self.current * self.GROWTH_FACTOR)


def split_into_pieces(data: bytes, size: int) -> Iterator[bytes]:
    """Yield data in pieces of a size in bytes; the last piece may be shorter."""
    view = memoryview(data)
    for start in range(0, len(data), size):
        yield bytes(view[start : start + size])
