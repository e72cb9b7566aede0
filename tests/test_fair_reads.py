"""A client that sends without a pause does not keep the event loop to itself."""

from collections.abc import Callable
from io import BytesIO

import eventlet
import pytest

from ridgecourse.net.threads import (
    TURN_BYTES,
    TURN_STEPS,
    FairReader,
    ParseTurns,
    StepCounter,
)


def count_rounds(work: Callable[[], None], others: int = 1) -> int:
    """Return how often other green threads run beside some work, at most."""
    rounds = 0

    def run_beside() -> None:
        nonlocal rounds
        while True:
            rounds += 1
            eventlet.sleep(0)

    beside = eventlet.spawn(run_beside)
    workers = [eventlet.spawn(work) for _ in range(others)]
    for worker in workers:
        worker.wait()
    beside.kill()
    return rounds


@pytest.mark.parametrize("turns", [1, 3, 8])
def test_a_reader_with_data_gives_way_after_each_turn(turns: int) -> None:
    data = b"x" * (turns * TURN_BYTES)

    def read_all() -> None:
        reader = FairReader(BytesIO(data))
        assert reader.readable()
        received = b"".join(iter(lambda: reader.read(4096), b""))
        assert received == data

    assert turns <= count_rounds(read_all) <= turns + 2


@pytest.mark.parametrize("workers", [1, 5])
def test_others_run_after_each_turn_of_any_parser(workers: int) -> None:
    # Guards against many clients with costly bodies, each of which gives way to the
    # others but not to a client that comes beside them.
    turns = ParseTurns()
    steps = 4 * TURN_STEPS

    def parse() -> None:
        counter = StepCounter(turns)
        for _ in range(steps):
            counter.step()

    assert count_rounds(parse, workers) >= workers * steps // TURN_STEPS


def test_a_parser_that_is_killed_in_its_turn_leaves_the_turn_to_others() -> None:
    turns = ParseTurns()

    def wait_often() -> None:
        for _ in range(100):
            turns.wait()

    killed = [eventlet.spawn(wait_often) for _ in range(3)]
    survivor = eventlet.spawn(wait_often)
    eventlet.sleep(0)
    for thread in killed:
        thread.kill()
    with eventlet.Timeout(5.0):
        survivor.wait()
