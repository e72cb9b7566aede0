"""A loader whose engine starts again under the identity that it had.

The loader took for true of the new life what it knew of the earlier one: that an order
was under way, that the staging area had been found whole a moment ago, and the report
of a process that was frozen meanwhile.
"""

from unittest.mock import Mock

from test_loader import CHUNKS, LoaderSite, loader_site

from bench.placement import MODEL as ENGINE_MODEL
from ridgecourse.core.ids import EngineStart
from ridgecourse.loader.engine_control import EngineReport
from ridgecourse.loader.status import StatusFeed

BORN = 1_790_000_000_000


def make_report(started: int, active: int) -> EngineReport:
    return EngineReport(
        None, 0, False, 0, active, 0, 317_000, started=EngineStart(started)
    )


def test_orders_to_an_earlier_life_count_for_nothing(loader_site: LoaderSite) -> None:
    """The new life is busy with something else, as the earlier one was with the order.

    A loader that goes by its order waits for the end of work that nobody began.
    """
    loader_site.engine.born = BORN
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.engine.restart(busy=True)
    loader_site.wait_serving(1)


def test_a_new_life_without_its_staging_area_gets_every_chunk(
    loader_site: LoaderSite,
) -> None:
    loader_site.engine.born = BORN
    loader_site.start()
    loader_site.wait_serving(1)
    loader_site.engine.restart(keeps_staged=False)
    loader_site.wait_serving(1)


def test_a_restart_between_the_last_look_and_the_start_has_all_checked_anew(
    loader_site: LoaderSite,
) -> None:
    """The area was found whole; then the instance lost power, the engine restarted."""
    engine = loader_site.engine
    engine.born = BORN
    whole_looks = []

    def lose_power(index: int) -> None:
        """Restart after the look that the start follows, the second one."""
        if index == CHUNKS - 1 and len(engine.staged) == CHUNKS:
            whole_looks.append(engine.born)
            if len(whole_looks) == 2:
                engine.restart(keeps_staged=False)

    loader_site.start()
    loader_site.wait_serving(1)
    engine.restart()
    engine.on_staging_read = lose_power
    loader_site.wait_serving(1)
    assert len(whole_looks) > 2


def test_a_report_whose_start_is_no_whole_number_is_bad_input(
    loader_site: LoaderSite,
) -> None:
    loader_site.engine.born = 1.0
    loader_site.start()
    loader_site.loader.wait_event("bad-input", 10)
    assert loader_site.engine.version == 0
    with loader_site.engine.changed:
        loader_site.engine.born = BORN
    loader_site.wait_serving(1)


def test_a_report_of_an_earlier_life_is_not_believed(loader_site: LoaderSite) -> None:
    """A frozen earlier life answers on a connection that it still holds."""
    engine = loader_site.engine
    engine.born = BORN + 5
    loader_site.start()
    loader_site.wait_serving(1)
    with engine.changed:
        engine.born, engine.version = BORN, 0
        seen = len(engine.calls)
    engine.wait_until(lambda: len(engine.calls) > seen + 3)
    with engine.changed:
        assert not [c for c in engine.calls[seen:] if "/report" not in c[1]]
        engine.born = BORN + 6
    loader_site.wait_serving(1)


def test_prompts_of_the_earlier_life_are_not_waited_for() -> None:
    """A loader estimates what its engine has not read yet from one look to the next."""
    rollout = Mock(transfer=None)
    rollout.find_model.return_value = ENGINE_MODEL, None
    feed = StatusFeed(Mock(), rollout, Mock(), Mock())
    assert feed.describe(make_report(5, active=0)).prefill_backlog == 0.0
    assert feed.describe(make_report(5, active=12)).prefill_backlog > 0.0
    new = feed.describe(make_report(7, active=12))
    assert (new.prefill_backlog, new.started) == (0.0, 7)


__all__ = ["loader_site"]
