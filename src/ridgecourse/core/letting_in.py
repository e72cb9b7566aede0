"""Which requests are let in while engines have more to do than they can.

Load pattern: for some seconds callers ask for more than the engines that are left can
do, and who was refused comes back on top. An answer costs an engine the same whether
it comes in time or late, but is worth a fraction late. So

- a request whose first event would be late is refused at once, before it makes others
  late as well;
- a request that can no longer be in time, because its caller was refused before, is
  let in only where it takes nothing from others: where nothing waits and the batch has
  room;
- a request whose caller has gone before its first event can be there is refused at
  once, whatever room there is;
- else, where there is room, nobody is refused, whatever first events lately came late
  by: with engines a third full, most refusals were of callers who could no longer be in
  time or seemed not to be.

By ``python -m bench placement`` on 6 engines, five seeds, the share of callers answered
in time at 55, 65 and 75 requests a second is 0.83, 0.56 and 0.42 by the wait alone, and
0.86, 0.73 and 0.61 with all of them.
"""

from math import inf

from msgspec import Struct

from ridgecourse.core.placement import FIRST_EVENT_SECONDS

SHORTEST_QUEUE_SECONDS = 0.05
"""A wait this short never refuses a request that can be in time, however long its
prompt."""
SPARE_WAIT_SECONDS = 0.02
"""Longest wait at an engine that has room to spare: as good as none."""
SPARE_FILL = 0.8
"""Share of an engine's slots up to which it has. From 0.6 to 0.8 the
benchmark's credit is the same; without the limit it is lower by 0.01 at 65 a second."""


class Prospect(Struct, frozen=True):
    """What a request would meet at the engine where it would begin soonest.

    Attributes:
        objective: Seconds from a caller's first try to the first event of its answer.
        waited: Seconds that the caller has waited already.
        wait: Estimated seconds until the request would begin.
        reading: Seconds that the engine reads its prompt for.
        fill: Requests at the engine as a share of its slots.
        delay: Seconds by which first events came later than estimated lately.
        left: Seconds that the caller still waits; infinite if it does not tell.
    """

    objective: float
    waited: float
    wait: float
    reading: float
    fill: float
    delay: float = 0.0
    left: float = inf

    @property
    def soonest(self) -> float:
        """Seconds until the first event, at the least."""
        return self.wait + self.reading + FIRST_EVENT_SECONDS

    @property
    def allowed_wait(self) -> float:
        """Longest wait with which the answer is in time; may be less than none."""
        return self.objective - self.waited - self.reading - FIRST_EVENT_SECONDS

    @property
    def is_late(self) -> bool:
        """Whether the answer is late however soon it begins."""
        return self.waited >= self.objective


def has_spare(wait: float, fill: float) -> bool:
    """Tell whether an engine takes one more request without making others wait.

    Args:
        wait: Estimated seconds until the request would begin.
        fill: Requests at the engine as a share of its slots.
    """
    return wait <= SPARE_WAIT_SECONDS and fill < SPARE_FILL


def excess_wait(prospect: Prospect) -> float | None:
    """Return by how many seconds a wait is too long; None for a request to let in."""
    if prospect.soonest > prospect.left:
        return prospect.soonest - prospect.left
    if has_spare(prospect.wait, prospect.fill):
        return None
    wait = prospect.wait + prospect.delay
    if prospect.is_late:
        return wait
    allowed = prospect.allowed_wait
    if wait <= max(allowed, SHORTEST_QUEUE_SECONDS):
        return None
    return wait - allowed
