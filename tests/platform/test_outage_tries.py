"""Who tries the store while a whole domain cannot read it, as the domain grows."""

from itertools import pairwise
from random import Random

import pytest

from ridgecourse.core.ids import Seconds
from ridgecourse.core.outage_retries import (
    LARGE_BYTES,
    PERSISTENT_READERS,
    SERIES_SECONDS,
    OutageRetries,
)

LOOK_SECONDS = 0.1
RETRY_SECONDS = 0.6
CUT_SECONDS = 20.0
MOST_OTHERS_PER_S = 4.0
"""Tries of all but the first few together: a link bears that many answers."""
LONGEST_PAUSE_SECONDS = 4.0
"""Without a try: by then a process that was cut off is bound to decisions again."""


def count_tries(processes: int, seed: int) -> list[float]:
    """Return when each of the others tried in a cut that nobody gets through."""
    random = Random(seed)
    tries = [OutageRetries(Random(random.random())) for _ in range(processes)]
    tried_at = []
    for step in range(int(CUT_SECONDS / LOOK_SECONDS)):
        now = Seconds(step * LOOK_SECONDS)
        for place, own in enumerate(tries):
            if random.random() > LOOK_SECONDS / RETRY_SECONDS:
                continue
            if not own.defers_to_others(min(place, PERSISTENT_READERS), now):
                own.record_failure(processes, now)
                if place >= PERSISTENT_READERS:
                    tried_at.append(now)
    return tried_at


@pytest.mark.parametrize("processes", [6, 25, 60, 200])
def test_tries_of_a_domain_do_not_grow_with_it(processes: int) -> None:
    tried_at = count_tries(processes, seed=7)
    # The first try of each finds out that there is an outage.
    later = [now for now in tried_at if now > 3.0]
    assert len(later) / (CUT_SECONDS - 3.0) < MOST_OTHERS_PER_S


@pytest.mark.parametrize("processes", [6, 25, 60, 200])
def test_a_domain_whose_first_few_are_turned_away_is_not_forgotten(
    processes: int,
) -> None:
    tried_at = [now for now in count_tries(processes, seed=8) if now > 5.0]
    pauses = [after - before for before, after in pairwise(tried_at)]
    assert max(pauses) < LONGEST_PAUSE_SECONDS


def test_the_first_few_and_who_is_on_its_own_try_at_each_retry() -> None:
    tries = OutageRetries(Random(1))
    tries.record_failure(60, Seconds(0.0))
    assert not tries.defers_to_others(PERSISTENT_READERS - 1, Seconds(0.1))
    assert tries.defers_to_others(PERSISTENT_READERS, Seconds(0.1))


def test_who_could_read_the_store_is_not_held_back() -> None:
    tries = OutageRetries(Random(1))
    assert not tries.defers_to_others(PERSISTENT_READERS, Seconds(0.0))
    tries.record_failure(60, Seconds(0.0))
    tries.record_success()
    assert not tries.defers_to_others(PERSISTENT_READERS, Seconds(0.1))


def test_an_outage_in_a_series_of_changes_is_known_by_what_came_before_it() -> None:
    tries = OutageRetries(Random(1))
    tries.record_answer(Seconds(10.0), [100, LARGE_BYTES])
    tries.record_answer(Seconds(10.0 + SERIES_SECONDS - 0.1), [])
    assert not tries.is_in_series
    tries.record_failure(1, Seconds(30.0))
    assert tries.is_in_series
    tries.record_success()
    tries.record_answer(Seconds(10.0 + SERIES_SECONDS), [])
    tries.record_failure(1, Seconds(30.0))
    assert not tries.is_in_series


def test_small_changes_are_no_series() -> None:
    """The store tells several of them in one answer."""
    tries = OutageRetries(Random(1))
    tries.record_answer(Seconds(10.0), [100, LARGE_BYTES - 1])
    tries.record_failure(1, Seconds(11.0))
    assert not tries.is_in_series
