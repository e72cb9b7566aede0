"""The clock by which ages, bounds and deadlines are reckoned."""

import time

from ridgecourse.core.ids import Seconds


def choose_clock() -> int:
    """Return the clock that counts the time for which the machine is suspended.

    The monotonic clock stands still meanwhile, so that what was learned before would
    pass for fresh. It serves where the system has no other.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    try:
        time.clock_gettime(clock)
    except OSError:
        return time.CLOCK_MONOTONIC
    return clock


CLOCK = choose_clock()


def boottime() -> Seconds:
    """Return the seconds since some fixed moment; never set back."""
    return Seconds(time.clock_gettime(CLOCK))
