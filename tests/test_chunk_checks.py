"""Until when an engine may start from staged chunks that were checked one by one.

Guards against two failures: a start from checks that a freeze has outdated, and a start
that never comes since the instance is too slow to check all chunks in time.
"""

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.chunk_checks import (
    MAX_CHECK_AGE_SECONDS,
    MAX_COUNTED_SECONDS,
    ChunkCheck,
    ChunkChecks,
)
from ridgecourse.core.ids import Seconds

EXCUSED_SECONDS = 3.0
"""Time for which a chunk may have been corrupt when an engine starts from it."""
ACCEPT_SECONDS = 0.1
"""Time from an order to the moment when an engine that is not paused accepts it."""
FAST_PASS_SECONDS = 1.0
READ_SECONDS = st.floats(0.0, MAX_COUNTED_SECONDS)


def make_checks(durations: list[float]) -> tuple[ChunkChecks, float]:
    """Return checks that began one after the other, and the end of the last one."""
    checks, now = ChunkChecks(), 50.0
    for index, seconds in enumerate(durations):
        checks.record(index, ChunkCheck(Seconds(now), seconds))
        now += seconds
    return checks, now


@given(st.lists(READ_SECONDS, min_size=1, max_size=40))
def test_pass_without_pause_ends_in_time_however_slow_it_is(
    durations: list[float],
) -> None:
    checks, end = make_checks(durations)
    assert end <= checks.valid_until() + 1e-9


@given(
    st.lists(READ_SECONDS, max_size=40).filter(lambda d: sum(d) <= FAST_PASS_SECONDS),
    st.floats(MAX_CHECK_AGE_SECONDS, 100.0),
    st.integers(0, 40),
)
def test_pause_in_a_fast_pass_excuses_no_corrupt_chunk(
    durations: list[float], pause: float, position: int
) -> None:
    durations.insert(position, pause)
    checks, _ = make_checks(durations)
    began_at = checks.checks[0].began_at
    assert checks.valid_until() + ACCEPT_SECONDS <= began_at + EXCUSED_SECONDS


@given(st.lists(READ_SECONDS, min_size=2, max_size=20), st.data())
def test_repeated_check_replaces_the_earlier_one(
    durations: list[float], data: st.DataObject
) -> None:
    checks, end = make_checks(durations)
    repeated = data.draw(st.sets(st.integers(0, len(durations) - 1)))
    for index in repeated:
        checks.record(index, ChunkCheck(Seconds(end), 0.0))
    oldest = min(check.began_at for check in checks.checks.values())
    assert checks.oldest_age(Seconds(end)) == end - oldest
    assert len(checks.checks) == len(durations)


def test_without_checks_no_start_is_allowed() -> None:
    assert ChunkChecks().valid_until() < 0.0
