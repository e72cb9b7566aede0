"""The list of targets stays fresh at its reader while the store answers slowly.

Guards against a domain of which all processes avoid the reader of the target list. The
reader paused for 0.6 s between two reads. With 0.35 s for an answer its list became 1.3
s old, and 1.41 s on a machine on which processes waited 0.1 s for a processor. From
1.4 s on all other processes avoid the reader, and some of them read the store.
"""

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.read_tree import (
    MAX_LIST_AGE_SECONDS,
    MIN_LIST_PAUSE_SECONDS,
    list_pause,
)

PAUSE_SECONDS = 0.6
SLOW_ANSWER_SECONDS = 0.35
LOADER_PAUSE_SECONDS = 6.0


def test_quick_store_is_read_with_the_usual_pause() -> None:
    assert list_pause(PAUSE_SECONDS, 0.02) == PAUSE_SECONDS


def test_pause_after_a_slow_answer_keeps_the_list_fresh() -> None:
    pause = list_pause(PAUSE_SECONDS, SLOW_ANSWER_SECONDS)
    assert 2 * SLOW_ANSWER_SECONDS + pause <= MAX_LIST_AGE_SECONDS + 1e-9


def test_process_that_reads_the_list_for_itself_keeps_its_pause() -> None:
    assert list_pause(LOADER_PAUSE_SECONDS, SLOW_ANSWER_SECONDS) == LOADER_PAUSE_SECONDS


@given(st.floats(0.0, 5.0), st.floats(0.0, 100.0))
def test_pause_is_never_longer_than_usual_nor_too_short(
    pause: float, answer_seconds: float
) -> None:
    shortened = list_pause(pause, answer_seconds)
    assert min(pause, MIN_LIST_PAUSE_SECONDS) <= shortened <= pause
