"""Decide whether to finish one version of weights when operators name a newer one.

A version is named when an operator requires it to be served. From its bound on, no
request may start on an older version. Loaders call these functions while they fetch a
version, and again before their engine switches to a version whose chunks are all staged
on the engine's instance. The gateway hub calls ``is_usable`` before it fetches one.
"""

from msgspec import Struct

from ridgecourse.core.ids import Seconds

LAST_SWITCH_LEAD_SECONDS = 0.4
"""Seconds before the bound at which the last engine of a domain switches its weights,
because no request may start on the old weights after the bound."""
STAGING_SECONDS = 0.5
"""Seconds from the arrival of the last chunk of a version until the engine is ordered
to load the version; staging and verification take this long."""
MIN_BOUND_GAP_SECONDS = 2.5
"""Smallest gap, in seconds, between the bounds of two versions at which the engines in
the half that switches first finish the older version without comparing idle times. With
a smaller gap, these engines would be late for both versions."""
NEARLY_COMPLETE_SECONDS = 0.7
"""A transfer that needs less than this many more seconds, staging excluded, is finished
whenever its version is still usable."""
FINISH_BIAS_SECONDS = 0.5
"""Extra idle time of the engine, in seconds, that is accepted for finishing the current
version. Most chunks of the current version are available already, while those of the
newer version may be delayed if its origin fails."""

RESUME_SECONDS = 1.0
"""Seconds that a loader needs to return to a complete version after it has interrupted
the wait for the engine's turn in order to fetch a newer version. The loader reads back
the staged files before it fetches the newer version, and it takes up to half a second
until it polls again which version takes precedence."""


class TransferPlan(Struct, frozen=True):
    """The remaining transfer of one version.

    Attributes:
        ready_after: Seconds until the version can be served: the remaining transfer at
            the full speed of the link, and ``STAGING_SECONDS``.
        bound: Time after which no request may start on an older version.
    """

    ready_after: float
    bound: Seconds


def should_finish(current: TransferPlan, newer: TransferPlan, now: Seconds) -> bool:
    """Check whether finishing the current version minimizes the engine's idle time.

    An engine is idle from a version's bound until it serves that version or a newer
    one. The transfers share one link, so the newer version is ready later if the
    current one is finished first. Up to ``FINISH_BIAS_SECONDS`` more idle time is
    accepted for finishing the current version.

    Args:
        current: The version in transfer.
        newer: The version that was named during the transfer, as if its transfer
            started now.
        now: The current time.
    """
    current_ready = now + current.ready_after
    newer_ready_after = current_ready + newer.ready_after
    idle_if_finished = max(0.0, current_ready - current.bound) + max(
        0.0, newer_ready_after - max(newer.bound, current_ready)
    )
    idle_if_switched = max(0.0, now + newer.ready_after - current.bound)
    return idle_if_finished <= idle_if_switched + FINISH_BIAS_SECONDS


def is_usable(fetch_seconds: float, bound: Seconds | None, now: Seconds) -> bool:
    """Check whether requests may still start on a version once an engine can serve it.

    Args:
        fetch_seconds: Minimum time until the last chunk arrives, in seconds; staging
            is added to it.
        bound: When a newer version is required; None if no newer version is named or
            its bound is unknown.
        now: The current time.
    """
    return bound is None or now + fetch_seconds + STAGING_SECONDS < bound


def should_continue(
    current: TransferPlan, newer: TransferPlan, now: Seconds, early: bool
) -> bool:
    """Check whether a transfer continues although a newer version is named.

    Args:
        current: The version in transfer.
        newer: The version that was named during the transfer, as if its transfer
            started now.
        now: The current time.
        early: Whether the engine belongs to the half of the engines that switches
            weights first; if the gap between the bounds is large enough, this half
            serves the current version until the newer one is available.
    """
    if not is_usable(current.ready_after - STAGING_SECONDS, newer.bound, now):
        return False
    if current.ready_after < STAGING_SECONDS + NEARLY_COMPLETE_SECONDS:
        return True
    if newer.bound - current.bound < MIN_BOUND_GAP_SECONDS:
        return should_finish(current, newer, now)
    return early


def takes_precedence(
    current: TransferPlan,
    newer: TransferPlan,
    now: Seconds,
    early: bool,
    newer_available: bool,
) -> bool:
    """Check whether a version whose transfer has started is fetched before a newer one.

    As long as the newer version is not available, the started one takes precedence
    whenever it is usable.

    Args:
        current: The version whose transfer has started.
        newer: The newest version.
        now: The current time.
        early: As for ``should_continue``.
        newer_available: Whether the newest version is available; see
            ``counts_as_available``.
    """
    if newer_available:
        return should_continue(current, newer, now, early)
    return is_usable(current.ready_after - STAGING_SECONDS, newer.bound, now)


def counts_as_available(
    current: TransferPlan, newer: TransferPlan, share: float | None
) -> bool:
    """Check whether a newer version counts as available.

    A newer version counts as available when the hub holds all of it; until then its
    origin may fail. In one case all engines of a site abandoned a version that their
    hubs held completely, 2.3 s before the engines would have completed it. For the next
    6 s only a quarter of the newer version was available, and the engines served
    neither version in time.

    If the gap between the bounds is large enough for both versions, the newer version
    counts as available as soon as the hub fetches it, whatever part the hub holds: then
    half of the engines wait for each version. When all engines waited for the older
    version, the newer one was 1 to 2 s late at all engines.

    Args:
        current: The version whose transfer has started.
        newer: The newest version.
        share: Fraction of the newest version that the hub holds; None if the hub does
            not fetch it.
    """
    if share is None:
        return False
    return share == 1.0 or newer.bound - current.bound >= MIN_BOUND_GAP_SECONDS


def switch_wait(
    bound: Seconds | None,
    newer_bound: Seconds | None,
    now: Seconds,
    complete_at: Seconds,
    place: float,
) -> float:
    """Return the seconds until an engine switches to a completely staged version.

    Switching weights takes an engine about 2 s, and the engine ends its streams for the
    switch. If the bound of the next version follows within ``MIN_BOUND_GAP_SECONDS``,
    the engine therefore keeps its current weights as long as they may be served. In one
    run each, 41 engines that switched anyway achieved 0.80, 0.50 and 0.33 of the
    possible goodput in the 2 s periods before the next bound; without the switch they
    achieved 0.97, 0.64 and 0.06.

    Otherwise the engines of a domain switch in staggered turns between the time at
    which the version is complete and the bound, so that as few engines as possible are
    out of service at once. If the bound is unknown, the engine switches immediately.

    Args:
        bound: When requests may no longer start on the engine's current weights; None
            if unknown.
        newer_bound: When requests may no longer start on the staged version; None if no
            newer version is named.
        now: The current time.
        complete_at: When the version was completely staged on the engine's instance.
        place: The engine's turn among the engines of its domain, from 0 for the first
            to 1 for the last.
    """
    if bound is None:
        return 0.0
    if newer_bound is not None and newer_bound - bound < MIN_BOUND_GAP_SECONDS:
        return max(0.0, bound - now)
    last_switch = bound - LAST_SWITCH_LEAD_SECONDS
    return max(0.0, complete_at + place * max(0.0, last_switch - complete_at) - now)


def allows_newer_fetch(wait: float) -> bool:
    """Check whether to fetch a newer version while a complete one awaits its turn.

    The loader must be able to return to the complete version before the engine's turn.
    In one case a loader started to fetch the newer version 0.02 s before the turn and
    returned to the complete version 0.83 s after the turn. By then the complete version
    was not usable any more, and the engine served neither version.

    Args:
        wait: Seconds until the engine's turn.
    """
    return wait >= RESUME_SECONDS
