"""Link limits: a token bucket that makes senders and receivers wait."""

from collections.abc import Iterable, Iterator
from math import inf

import eventlet

from ridgecourse.net.clock import boottime


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
        self.free_at: float = boottime()

    def take(self, size: int) -> None:
        """Wait until a number of bytes may pass."""
        self.total += size
        if self.rate is None:
            return
        now = boottime()
        self.free_at = max(self.free_at, now - self.burst) + size / self.rate
        if self.free_at > now:
            eventlet.sleep(self.free_at - now)

    def pace(self, pieces: Iterable[bytes]) -> Iterator[bytes]:
        """Yield pieces as fast as the rate allows."""
        for piece in pieces:
            self.take(len(piece))
            yield piece


class AdaptiveRate:
    """The rate of a link that may narrow for a while.

    Attributes:
        limit: Bytes a second that the link can take at best.
        current: Bytes a second that it is believed to take now.
        is_known: Whether a transfer has shown that since the last pause.
        used_at: When the link was last in use.
    """

    FLOOR = 0.05
    """Share of the limit below which the rate is not lowered."""
    SHORTFALL = 0.75
    """Share of the rate asked for that a link at its limit still brings."""
    BACK_OFF = 0.85
    """Share of what a narrowed link brings that is asked for: less, so that what
    has queued up before it drains."""
    GROWTH = 1.1
    """Factor at which the rate grows back with each transfer in time."""
    KNOWN_SECONDS = 2.0
    """Pause after which the rate is not relied on: a link narrows at once."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.current = limit
        self.is_known = False
        self.used_at = -inf

    def longest(self, size: int) -> float:
        """Return the seconds that bytes take at the lowest rate that is believed."""
        return size / (self.limit * self.FLOOR)

    def begin(self, now: float) -> None:
        """Take in that the link is used from now on."""
        if now - self.used_at > self.KNOWN_SECONDS:
            self.is_known = False

    def end(self, now: float) -> None:
        """Take in that it is not used any more."""
        self.used_at = now

    def observe(self, size: int, seconds: float, sharing: tuple[int, int]) -> None:
        """Take in how long a transfer took.

        One during which others ended says little: the last of two has the link to
        itself for a part of its time only.

        Args:
            size: Bytes of the transfer.
            seconds: From its request to its last byte.
            sharing: Transfers in progress at its beginning and at its end, which
                share the link.
        """
        if seconds <= 0 or sharing[0] != sharing[1]:
            return
        self.is_known = True
        measured = size * sharing[1] / seconds
        if measured < self.current * self.SHORTFALL:
            self.current = max(self.limit * self.FLOOR, measured * self.BACK_OFF)
        else:
            self.current = min(self.limit, self.current * self.GROWTH)


def in_pieces(data: bytes, size: int) -> Iterator[bytes]:
    """Yield data in pieces of at most a size."""
    view = memoryview(data)
    for start in range(0, len(data), size):
        yield bytes(view[start : start + size])
