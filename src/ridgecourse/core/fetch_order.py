"""Decide which of two versions of weights is fetched from the origin first.

A version may be named a few seconds after another one that is still being fetched. The
origin serves a whole site over one link, and it may fail for several seconds while both
versions are usable. The part of the older version that is still fetched delays the
newer one, and an engine that loads both versions is out of service twice. A complete
older version, however, cannot be lost to an outage of the origin. The order that leaves
engines without weights for less time follows from the missing part of each version and
from the bound of the engines' current weights.

The gateways that fetch for their domains call this module with the parts that each
gateway lacks.
"""

from collections.abc import Iterator
from math import inf

from msgspec import Struct

from ridgecourse.core.ids import Seconds
from ridgecourse.core.supersession import STAGING_SECONDS

DISTRIBUTION_SECONDS = 1.0
"""Seconds from the last chunk's arrival at a gateway until it reaches an engine's
instance: the end of the copy over the instance's own link, which follows the fetch."""
OUTAGE_SECONDS = 6.0
"""Duration, in seconds, of the origin outage that a fetch has to survive: the time in
which a failed origin is restarted."""


class PendingFetch(Struct, frozen=True):
    """The remaining fetch of a version.

    Attributes:
        seconds: Duration of the remaining fetch.
        bound: Time after which no request may start on an older version.
    """

    seconds: float
    bound: Seconds


def is_fetched_first(older: PendingFetch, newer: PendingFetch, now: Seconds) -> bool:
    """Return whether an older version is fetched completely before a newer one.

    If not, the older version need not be fetched at all: without it the newer one is
    available no later.
    """
    outage_starts = (0.0, older.seconds, inf)
    idle_with_both = sum(
        _idle_seconds_with_both(older, newer, now, outage_start)
        for outage_start in outage_starts
    )
    idle_newer_only = sum(
        _idle_seconds_newer_only(newer, older.bound, now, outage_start)
        for outage_start in outage_starts
    )
    return idle_with_both < idle_newer_only


def _idle_seconds_with_both(
    older: PendingFetch, newer: PendingFetch, now: Seconds, outage_start: float
) -> float:
    """Return the seconds without weights if both are fetched, the older one first."""
    older_ready, newer_ready = _ready_times((older, newer), outage_start)
    idle = max(0.0, now + older_ready - older.bound)
    return idle + max(0.0, now + newer_ready - max(newer.bound, now + older_ready))


def _idle_seconds_newer_only(
    newer: PendingFetch, bound: Seconds, now: Seconds, outage_start: float
) -> float:
    """Return the seconds without weights if only the newer version is fetched."""
    (ready,) = _ready_times((newer,), outage_start)
    return max(0.0, now + ready - bound)


def _ready_times(
    fetches: tuple[PendingFetch, ...], outage_start: float
) -> Iterator[float]:
    """Yield the seconds after which engines have each of some versions.

    Args:
        fetches: The fetches, made one after the other.
        outage_start: Seconds until the origin fails; infinite for never.
    """
    total = 0.0
    for fetch in fetches:
        total += fetch.seconds
        outage = OUTAGE_SECONDS if total > outage_start else 0.0
        yield total + outage + DISTRIBUTION_SECONDS + STAGING_SECONDS
