"""Decide until when a request may start on weights that are about to be replaced.

A gateway withdraws a request that has not started when its weights reach their bound.
The withdrawal takes time, because the gateway's timer may fire late and the network
delay to the engine may be long; both are measured. If the waiting time of a request is
an estimate, the request is withdrawn only if the estimate was wrong; a request that
would probably be withdrawn is not sent to the engine at all.
"""

from msgspec import Struct

from ridgecourse.core.ids import Seconds

WITHDRAWAL_MARGIN_SECONDS = 0.2
"""Margin, in seconds, before the bound by which a request must have started, in
addition to the recent network delay and timer delay: both may exceed their recent
values. The margin is about 20 round trips between the two most distant domains."""
DISPATCH_TO_FIRST_EVENT_SECONDS = 0.3
"""Seconds from sending a request until its first event, at an engine with a free
slot."""


class WithdrawalDelays(Struct, frozen=True):
    """The delays that the withdrawal of a request meets on its way to an engine.

    Attributes:
        network_delay: Longest recent delay to the engine, in seconds.
        timer_delay: Longest recent delay of this process's timers, in seconds.
    """

    network_delay: float
    timer_delay: float

    def start_deadline(self, bound: Seconds) -> Seconds:
        """Return the time by which a request must have started to avoid withdrawal."""
        return Seconds(
            bound - WITHDRAWAL_MARGIN_SECONDS - self.network_delay - self.timer_delay
        )


def can_start_in_time(
    now: Seconds, wait: float, delay: float, begin_by: Seconds
) -> bool:
    """Check whether a request may be sent to an engine with old weights.

    Args:
        now: The current time.
        wait: Estimated seconds until the request would start.
        delay: Seconds by which first events recently came later than estimated.
        begin_by: When the request must have started.
    """
    return now + wait + delay + DISPATCH_TO_FIRST_EVENT_SECONDS < begin_by
