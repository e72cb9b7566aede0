"""Whether to finish one version of weights when a newer one is named."""

from msgspec import Struct

from ridgecourse.core.ids import Seconds

LATE_START_SECONDS = 0.4
"""Before requests may no longer begin on an engine's weights, when the last engine
takes new ones: what begins later would not be allowed to."""
START_SECONDS = 0.5
"""From the last chunk to the order: staging and checking."""
APART_SECONDS = 2.5
"""Between the bounds of two versions from which on the early half finishes the
first: less, and it would be late for both."""
NEARLY_SECONDS = 0.7
"""A transfer this close to its end is always finished."""
FINISH_BIAS_SECONDS = 0.5
"""By how much longer the engine may be idle for a first version to be finished all
the same: its chunks are there for the most part, and those of the newer one may be
late, since their origin may fail."""

AWAY_SECONDS = 1.0
"""From leaving a whole version to being back at it: what lies staged is read before a
newer version is drawn, and a look at what goes first comes within half a second."""


class TransferPlan(Struct, frozen=True):
    """A version that is being brought in.

    Attributes:
        ready_after: Seconds that it still takes.
        bound: When requests may no longer begin on older versions.
    """

    ready_after: float
    bound: Seconds


def should_finish(current: TransferPlan, newer: TransferPlan, now: Seconds) -> bool:
    """Tell which order leaves the engine idle for a shorter time.

    An engine is idle from a version's bound until it serves that version or a
    newer one. The transfers share one link, so that the newer version comes
    later if the current one is finished first.

    Args:
        current: The version in transfer.
        newer: The version named meanwhile, as if begun now.
        now: The present time.
    """
    current_ready = now + current.ready_after
    newer_ready_after = current_ready + newer.ready_after
    idle_finishing = max(0.0, current_ready - current.bound) + max(
        0.0, newer_ready_after - max(newer.bound, current_ready)
    )
    idle_jumping = max(0.0, now + newer.ready_after - current.bound)
    return idle_finishing <= idle_jumping + FINISH_BIAS_SECONDS


def is_of_use(ready_after: float, bound: Seconds | None, now: Seconds) -> bool:
    """Tell whether requests may still begin on a version once it is there.

    Args:
        ready_after: Seconds until an engine can serve it, at the least.
        bound: When a newer version is required; None for not known, or none named.
        now: The present time.
    """
    return bound is None or now + ready_after + START_SECONDS < bound


def goes_on(
    current: TransferPlan, newer: TransferPlan, now: Seconds, early: bool
) -> bool:
    """Tell whether a transfer goes on though a newer version is named.

    Args:
        current: The version in transfer.
        newer: The version named meanwhile, as if begun now.
        now: The present time.
        early: Whether the engine is of the half that takes new weights first; that
            half serves the first version until the second is there.
    """
    if not is_of_use(current.ready_after - START_SECONDS, newer.bound, now):
        return False
    if current.ready_after < START_SECONDS + NEARLY_SECONDS:
        return True
    if newer.bound - current.bound < APART_SECONDS:
        return should_finish(current, newer, now)
    return early


def comes_first(
    current: TransferPlan,
    newer: TransferPlan,
    now: Seconds,
    early: bool,
    newer_here: bool,
) -> bool:
    """Tell whether a version that was begun is gone on with before a newer one.

    Args:
        current: The version that was begun.
        newer: The newest one.
        now: The present time.
        early: As for ``goes_on``.
        newer_here: Whether the newest one can be had by now; see ``counts_as_here``.
    """
    if newer_here:
        return goes_on(current, newer, now, early)
    return is_of_use(current.ready_after - START_SECONDS, newer.bound, now)


def counts_as_here(
    current: TransferPlan, newer: TransferPlan, share: float | None
) -> bool:
    """Tell whether a newer version can be had by now.

    Until all of it lies at the hub its origin may go away: all engines of a site gave
    up a version that lay whole at their hubs, 2.3 s before it was there, for one of
    which a quarter could be had for the next 6 s, and served neither in time. Where the
    bounds lie far enough apart for both, half of the engines wait for each version as
    it is; all of them waiting for the first had the second 1 to 2 s late everywhere.

    Args:
        current: The version that was begun.
        newer: The newest one.
        share: How much of the newest one lies at the hub; None for no part in it.
    """
    if share is None:
        return False
    return share == 1.0 or newer.bound - current.bound >= APART_SECONDS


def start_wait(
    bound: Seconds | None,
    newer_bound: Seconds | None,
    now: Seconds,
    whole_at: Seconds,
    place: float,
) -> float:
    """Return the seconds until an engine takes a version that is whole beside it.

    To change its weights takes an engine some 2 s, for which it ends its streams. A
    version that may be served for no longer than that before the next one is required
    is worth no change while what the engine has may still be served. 41 engines that
    changed all the same served 0.80, 0.50 and 0.33 of the worth of 2 s each up to the
    next bound, 0.97, 0.64 and 0.06 without (one play each).

    Else a domain's engines change one after the other, in the time from the version's
    being whole until the bound, so that as few as possible are out at a time.

    Args:
        bound: When requests may no longer begin on what it has; None for not known.
        newer_bound: When they may no longer begin on the version; None if no newer one
            is named.
        now: The present time.
        whole_at: Since when the version is whole beside the engine.
        place: Its place among its domain's engines, from 0 for the first to 1 for the
            last.
    """
    if bound is None:
        return 0.0
    if newer_bound is not None and newer_bound - bound < APART_SECONDS:
        return max(0.0, bound - now)
    last = bound - LATE_START_SECONDS
    return max(0.0, whole_at + place * max(0.0, last - whole_at) - now)


def leaves_time(wait: float) -> bool:
    """Tell whether a newer version is drawn while a whole one waits for its turn.

    A loader that left 0.02 s before the turn was back 0.83 s after it, when the version
    was of use no more, and its engine served neither.

    Args:
        wait: Seconds until the turn.
    """
    return wait >= AWAY_SECONDS
