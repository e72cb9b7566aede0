"""Tests which of two versions, named shortly after one another, is fetched first.

The tests guard against engines without usable weights. Version 2 is named at 18.0 s and
version 3 at 20.0 s; the origin is unavailable from 20.5 to 26.5 s. Versions are valid
for 13.4 s and a fetch takes 4.3 s. If only version 3 is fetched, all engines can have
it 0.3 s before version 1 expires. When both versions were fetched, the hubs held half
of version 2 until the origin was available again. No engine had all of version 2, and
the first engine got version 3 only 5.2 s after version 1 had expired.
"""

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.fetch_order import PendingFetch, is_fetched_first
from ridgecourse.core.ids import Seconds

OLDER_NAMED_AT = 18.0
NAMING_INTERVAL_SECONDS = 2.0
DISCOVERY_SECONDS = 0.2


def is_older_fetched_first(fetch_seconds: float, validity_seconds: float) -> bool:
    """Return whether the older version is fetched first once the newer one is known.

    Args:
        fetch_seconds: Duration of the whole fetch of a version.
        validity_seconds: Time from the naming of a version to its bound.
    """
    fetched_share = NAMING_INTERVAL_SECONDS / fetch_seconds
    older = PendingFetch(
        fetch_seconds * (1 - fetched_share), Seconds(OLDER_NAMED_AT + validity_seconds)
    )
    newer = PendingFetch(
        fetch_seconds,
        Seconds(OLDER_NAMED_AT + NAMING_INTERVAL_SECONDS + validity_seconds),
    )
    return is_fetched_first(
        older,
        newer,
        Seconds(OLDER_NAMED_AT + NAMING_INTERVAL_SECONDS + DISCOVERY_SECONDS),
    )


def test_only_newer_version_is_fetched_if_validity_is_long() -> None:
    assert not is_older_fetched_first(4.3, 13.4)


def test_nearly_complete_older_version_is_fetched_first_if_validity_is_short() -> None:
    """The fetch takes 2.6 s and is 3/4 done; versions are valid for 8 or 10 s."""
    assert is_older_fetched_first(2.6, 8.0)
    assert is_older_fetched_first(2.6, 10.0)


def test_only_newer_version_is_fetched_after_outage() -> None:
    older = PendingFetch(1.9, Seconds(31.4))
    newer = PendingFetch(3.8, Seconds(33.4))
    assert not is_fetched_first(older, newer, Seconds(26.5))


def test_both_versions_are_fetched_if_bounds_are_far_apart() -> None:
    """The engines' weights expire in 2 s; the older version then serves for 9 s."""
    older = PendingFetch(0.4, Seconds(32.0))
    newer = PendingFetch(4.3, Seconds(41.0))
    assert is_fetched_first(older, newer, Seconds(30.0))


times = st.floats(0.0, 60.0, allow_nan=False)


@given(times, times, times, times, times)
def test_older_version_with_longer_fetch_is_never_fetched_first(
    extra_seconds: float, newer: float, bound: float, bound_gap: float, now: float
) -> None:
    older = PendingFetch(newer + extra_seconds, Seconds(bound))
    assert not is_fetched_first(
        older, PendingFetch(newer, Seconds(bound + bound_gap)), Seconds(now)
    )
