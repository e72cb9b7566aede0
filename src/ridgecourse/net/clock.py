"""The clock for ages, time limits and deadlines."""

import time

from ridgecourse.core.ids import Seconds


def choose_clock() -> int:
    """Return the id of a clock that also runs while the machine is suspended.

    The monotonic clock stops during a suspension, so that data received before the
    suspension would count as fresh after it. It is the fallback where the system
    has no boot-time clock.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    try:
        time.clock_gettime(clock)
    except OSError:
        return time.CLOCK_MONOTONIC
    return clock


CLOCK = choose_clock()


def boottime() -> Seconds:
    """Return the seconds since a fixed start; the clock is never set back."""
    return Seconds(time.clock_gettime(CLOCK))
