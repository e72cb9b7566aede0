"""Until when a request may begin on weights that are about to be replaced.

What bounds the last start on old weights: a request that has not begun is taken back.
That takes a while, for the process may be late for its timer and the way to the engine
may be long; both are observed. A request whose wait is a guess is taken back only if
the guess was wrong; one that would likely be is not sent there at all.
"""

from msgspec import Struct

from ridgecourse.core.ids import Seconds

TAKE_BACK_SECONDS = 0.2
"""Before the bound, by when a request must have begun, beyond what way and process are
late by: they may be later than lately. Some 20 round trips between the farthest
domains."""
BEGIN_SECONDS = 0.3
"""From sending a request to its first event at an engine with a free slot."""


class TakeBack(Struct, frozen=True):
    """What the end of a request meets on its way to an engine.

    Attributes:
        way: Longest recent way there, in seconds.
        lag: Longest recent lateness of this process for its timers, in seconds.
    """

    way: float
    lag: float

    def begin_by(self, bound: Seconds) -> Seconds:
        """Return when a request must have begun, else it is taken back."""
        return Seconds(bound - TAKE_BACK_SECONDS - self.way - self.lag)


def may_wait(now: Seconds, wait: float, delay: float, begin_by: Seconds) -> bool:
    """Tell whether a request may be sent to an engine with old weights.

    Args:
        now: The present time.
        wait: Estimated seconds until it would begin.
        delay: By how much first events were later than estimated lately.
        begin_by: When it must have begun.
    """
    return now + wait + delay + BEGIN_SECONDS < begin_by
