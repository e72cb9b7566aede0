"""Tests of a loader whose engine restarts with the same identity.

A loader must not apply to the new incarnation its knowledge of the earlier one: that a
start order is in progress, that the staging area was complete a moment ago, or the
report of a process that was frozen in the meantime.
"""

from unittest.mock import Mock

from test_loader import CHUNKS, LoaderSite, loader_site

from bench.placement import MODEL as ENGINE_MODEL
from ridgecourse.core.ids import EngineStart
from ridgecourse.loader.engine_control import EngineReport
from ridgecourse.loader.status import StatusFeed

START_TIME_MS = 1_790_000_000_000


def make_report(started_ms: int, active: int) -> EngineReport:
    return EngineReport(
        None, 0, False, 0, active, 0, 317_000, started=EngineStart(started_ms)
    )


def test_orders_to_an_earlier_incarnation_are_ignored(loader_site: LoaderSite) -> None:
    """The new incarnation reports an order in progress, as the earlier one did.

    A loader that relies on its earlier order waits for work that was never started.
    """
    loader_site.engine.born = START_TIME_MS
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.engine.restart(busy=True)
    loader_site.wait_serving(1)


def test_new_incarnation_without_staged_chunks_gets_every_chunk(
    loader_site: LoaderSite,
) -> None:
    loader_site.engine.born = START_TIME_MS
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.engine.restart(keeps_staged=False)
    loader_site.wait_serving(1)


def test_restart_between_the_last_check_and_the_start_repeats_all_checks(
    loader_site: LoaderSite,
) -> None:
    """The instance loses power after the staging area was found complete."""
    engine = loader_site.engine
    engine.born = START_TIME_MS
    complete_checks = []

    def lose_power(index: int) -> None:
        """Restart after the 2nd check, which precedes the start."""
        if index == CHUNKS - 1 and len(engine.staged) == CHUNKS:
            complete_checks.append(engine.born)
            if len(complete_checks) == 2:
                engine.restart(keeps_staged=False)

    loader_site.start()
    loader_site.wait_serving(1)
    engine.restart()
    engine.on_staging_read = lose_power
    loader_site.wait_serving(1)
    assert len(complete_checks) > 2


def test_report_with_a_fractional_start_time_is_bad_input(
    loader_site: LoaderSite,
) -> None:
    loader_site.engine.born = 1.0
    loader_site.start()
    loader_site.loader.wait_event("bad-input", 10)
    assert loader_site.engine.version == 0
    with loader_site.engine.changed:
        loader_site.engine.born = START_TIME_MS
    loader_site.wait_serving(1)


def test_report_of_an_earlier_incarnation_is_ignored(loader_site: LoaderSite) -> None:
    """A frozen earlier incarnation answers on a connection that is still open."""
    engine = loader_site.engine
    engine.born = START_TIME_MS + 5
    loader_site.start()
    loader_site.wait_serving(1)
    with engine.changed:
        engine.born, engine.version = START_TIME_MS, 0
        call_count = len(engine.calls)
    engine.wait_until(lambda: len(engine.calls) > call_count + 3)
    with engine.changed:
        assert not [
            call for call in engine.calls[call_count:] if "/report" not in call[1]
        ]
        engine.born = START_TIME_MS + 6
    loader_site.wait_serving(1)


def test_prefill_backlog_of_the_earlier_incarnation_is_dropped() -> None:
    """A loader estimates its engine's prefill backlog from one poll to the next."""
    rollout = Mock(transfer=None)
    rollout.find_model.return_value = ENGINE_MODEL, None
    feed = StatusFeed(Mock(), rollout, Mock(), Mock())
    assert feed.describe(make_report(5, active=0)).prefill_backlog == 0.0
    assert feed.describe(make_report(5, active=12)).prefill_backlog > 0.0
    restarted = feed.describe(make_report(7, active=12))
    assert (restarted.prefill_backlog, restarted.started) == (0.0, 7)


__all__ = ["loader_site"]
