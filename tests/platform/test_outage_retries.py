"""Tests of which processes retry the store during an outage, by size of the domain."""

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

STEP_SECONDS = 0.1
RETRY_SECONDS = 0.6
OUTAGE_SECONDS = 20.0
MAX_OTHER_RETRIES_PER_S = 4.0
"""Maximum rate of retries of all processes but the first few; a link can carry as many
answers."""
MAX_PAUSE_SECONDS = 4.0
"""Longest time without a retry: a process that was cut off must apply decisions again
within this time."""


def simulate_retries(process_count: int, seed: int) -> list[float]:
    """Return the times of the other processes' retries in an outage with no success."""
    random = Random(seed)
    retries = [OutageRetries(Random(random.random())) for _ in range(process_count)]
    retried_at = []
    for step in range(int(OUTAGE_SECONDS / STEP_SECONDS)):
        now = Seconds(step * STEP_SECONDS)
        for rank, process_retries in enumerate(retries):
            if random.random() > STEP_SECONDS / RETRY_SECONDS:
                continue
            if not process_retries.defers_to_others(min(rank, PERSISTENT_READERS), now):
                process_retries.record_failure(process_count, now)
                if rank >= PERSISTENT_READERS:
                    retried_at.append(now)
    return retried_at


@pytest.mark.parametrize("processes", [6, 25, 60, 200])
def test_retry_rate_does_not_grow_with_the_domain(processes: int) -> None:
    retried_at = simulate_retries(processes, seed=7)
    # The first attempt of each process detects the outage.
    later_retries = [now for now in retried_at if now > 3.0]
    assert len(later_retries) / (OUTAGE_SECONDS - 3.0) < MAX_OTHER_RETRIES_PER_S


@pytest.mark.parametrize("processes", [6, 25, 60, 200])
def test_others_retry_while_the_first_few_are_refused(
    processes: int,
) -> None:
    retried_at = [now for now in simulate_retries(processes, seed=8) if now > 5.0]
    pauses = [later - earlier for earlier, later in pairwise(retried_at)]
    assert max(pauses) < MAX_PAUSE_SECONDS


def test_only_the_first_few_processes_retry_without_deferring() -> None:
    retries = OutageRetries(Random(1))
    retries.record_failure(60, Seconds(0.0))
    assert not retries.defers_to_others(PERSISTENT_READERS - 1, Seconds(0.1))
    assert retries.defers_to_others(PERSISTENT_READERS, Seconds(0.1))


def test_process_that_read_the_store_does_not_defer() -> None:
    retries = OutageRetries(Random(1))
    assert not retries.defers_to_others(PERSISTENT_READERS, Seconds(0.0))
    retries.record_failure(60, Seconds(0.0))
    retries.record_success()
    assert not retries.defers_to_others(PERSISTENT_READERS, Seconds(0.1))


def test_outage_in_a_series_is_recognized_by_preceding_large_changes() -> None:
    retries = OutageRetries(Random(1))
    retries.record_answer(Seconds(10.0), [100, LARGE_BYTES])
    retries.record_answer(Seconds(10.0 + SERIES_SECONDS - 0.1), [])
    assert not retries.is_in_series
    retries.record_failure(1, Seconds(30.0))
    assert retries.is_in_series
    retries.record_success()
    retries.record_answer(Seconds(10.0 + SERIES_SECONDS), [])
    retries.record_failure(1, Seconds(30.0))
    assert not retries.is_in_series


def test_small_changes_are_not_a_series() -> None:
    """The store sends several small changes in one answer."""
    retries = OutageRetries(Random(1))
    retries.record_answer(Seconds(10.0), [100, LARGE_BYTES - 1])
    retries.record_failure(1, Seconds(11.0))
    assert not retries.is_in_series
