"""Which of two versions of weights is drawn from their origin first.

Load pattern: a version is named some seconds after another one that is still being
drawn. Its origin serves all of a site over one link, and may go away for some seconds
while both are of use. What is drawn of the older version delays the newer one, and an
engine that takes both is out twice; but once the older one is here, no outage can take
it away. Which of them leaves engines without weights for a shorter time follows from
what is left to draw of each and from when what engines have ends.

Asked by the gateways that draw for all others, of what each of them lacks.
"""

from collections.abc import Iterator
from math import inf

from msgspec import Struct

from ridgecourse.core.ids import Seconds
from ridgecourse.core.supersession import START_SECONDS

HAND_ON_SECONDS = 1.0
"""From the last chunk's reaching a gateway until an engine's instance has it: the end
of a copy over the instance's own link, which follows the draw."""
OUTAGE_SECONDS = 6.0
"""Outage that a draw is to outlast: the time in which an origin that fails has been
started again."""


class Draw(Struct, frozen=True):
    """What is left to draw of a version.

    Attributes:
        seconds: That it takes.
        bound: When requests may no longer begin on older versions.
    """

    seconds: float
    bound: Seconds


def goes_first(older: Draw, newer: Draw, now: Seconds) -> bool:
    """Tell whether an older version is drawn to its end before a newer one.

    If not, it need not be drawn at all: the newer one is there no later than both.
    """
    outages = (0.0, older.seconds, inf)
    both = sum(_idle_with_both(older, newer, now, begins) for begins in outages)
    newer_alone = sum(_idle(newer, older.bound, now, begins) for begins in outages)
    return both < newer_alone


def _idle_with_both(older: Draw, newer: Draw, now: Seconds, begins: float) -> float:
    """Return the seconds without weights if both are drawn, the older one first."""
    first, second = _ready_times((older, newer), begins)
    without = max(0.0, now + first - older.bound)
    return without + max(0.0, now + second - max(newer.bound, now + first))


def _idle(newer: Draw, bound: Seconds, now: Seconds, begins: float) -> float:
    """Return the seconds without weights if the newer version alone is drawn."""
    (ready,) = _ready_times((newer,), begins)
    return max(0.0, now + ready - bound)


def _ready_times(draws: tuple[Draw, ...], begins: float) -> Iterator[float]:
    """Yield after how many seconds engines have each of some versions.

    Args:
        draws: Drawn one after the other.
        begins: Seconds until the origin goes away; infinite for never.
    """
    total = 0.0
    for draw in draws:
        total += draw.seconds
        away = OUTAGE_SECONDS if total > begins else 0.0
        yield total + away + HAND_ON_SECONDS + START_SECONDS
