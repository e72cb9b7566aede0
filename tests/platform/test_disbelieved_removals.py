"""A removal that may be due to an outage counts once its target says that it leaves.

Guards against requests to an engine 2.0 to 2.9 s after its removal. The gateway had
been refused by the store for a moment, or had read from a gateway that was. It took
this for an outage in which entries lapse, and kept the engine for 2 s without asking
it.
"""

from collections.abc import Callable, Iterator
from pathlib import Path
from time import sleep
from typing import Any

import pytest
from msgspec.structs import replace
from test_missed_removals import ENGINE as LISTED
from test_missed_removals import Log, Reader, start_reader
from test_relisted_engines import (
    DRAIN_SECONDS,
    CountingEngine,
    RelistingSite,
    answer_healthy,
    answer_leaving,
    answer_misdirected,
)

from ridgecourse.cluster.peer_records import to_batch
from ridgecourse.cluster.record_server import STALE_SECONDS
from ridgecourse.core.ids import Seconds, TargetId
from ridgecourse.core.relisted_targets import HealthAnswer
from ridgecourse.core.target_list import RETURN_SECONDS
from ridgecourse.net.clock import boottime
from ridgecourse_standins.platform.engine import ReceivedRequest

GATEWAY_HOST = "127.0.0.1"
REFUSED_SECONDS = 0.5
LINGER_SECONDS = 2.0
"""Time beyond the drain bound for which the engine accepts requests."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[RelistingSite]:
    relisting_site = RelistingSite(tmp_path)
    yield relisting_site
    relisting_site.close()


def remove_while_refused(
    site: RelistingSite, answer_health: Callable[[ReceivedRequest], None]
) -> tuple[CountingEngine, float]:
    """Remove an engine while the store refuses the gateway; return it and when."""
    engine = CountingEngine(site, answer_healthy)
    engine.put_entry(1)
    site.start()
    site.run_clients()
    site.wait_until(lambda: bool(engine.arrivals))
    site.store.refused_readers.add(GATEWAY_HOST)
    site.gateway.wait_event("log-lost", 5.0)
    engine.answer_health = answer_health
    removed_at = engine.remove_entry()
    sleep(REFUSED_SECONDS)
    site.store.refused_readers.discard(GATEWAY_HOST)
    return engine, removed_at


def test_engine_that_left_during_an_outage_of_one_gateway_gets_no_requests(
    site: RelistingSite,
) -> None:
    engine, removed_at = remove_while_refused(site, answer_leaving)
    sleep(DRAIN_SECONDS + LINGER_SECONDS - REFUSED_SECONDS)
    assert [at for at in engine.arrivals if at > removed_at + DRAIN_SECONDS] == []


@pytest.mark.parametrize("answer_health", [answer_healthy, answer_misdirected])
def test_engine_that_lapsed_in_an_outage_stays_in_use(
    site: RelistingSite, answer_health: Callable[[ReceivedRequest], None]
) -> None:
    engine, removed_at = remove_while_refused(site, answer_health)
    sleep(1.0)
    engine.put_entry(9)
    sleep(1.0)
    gone = [event for event in site.gateway.events() if is_removal(event)]
    assert gone == []
    assert engine.arrivals[-1] > removed_at + REFUSED_SECONDS


def is_removal(event: dict[str, Any]) -> bool:
    return event.get("kind") == "target-gone" and event.get("target") == LISTED


def read_removal_in_doubt(log: Log, silent_seconds: float) -> Reader:
    """Return a reader whose parent ignores removals after an outage.

    Args:
        log: The list, with the engine.
        silent_seconds: Time since the store last confirmed the list of the reader.
    """
    parent, reader = start_reader(log), start_reader(log)
    log.remove(LISTED)
    parent.read_store(log)
    batch = to_batch(parent.answer(reader.position))
    reader.records.confirmed_at = Seconds(boottime() - silent_seconds)
    reader.view.apply_targets(
        replace(batch, removal_grace_seconds=RETURN_SECONDS), False
    )
    return reader


@pytest.mark.parametrize(
    ("answer", "is_kept"),
    [
        (HealthAnswer.UNHEALTHY, False),
        (HealthAnswer.UNKNOWN, True),
        (HealthAnswer.UNREACHABLE, True),
        (HealthAnswer.HEALTHY, True),
    ],
)
def test_removal_that_another_process_disbelieves_counts_by_the_health_answer(
    answer: HealthAnswer, is_kept: bool
) -> None:
    log = Log()
    log.put(LISTED)
    reader = read_removal_in_doubt(log, STALE_SECONDS + 0.5)
    assert reader.listed == {LISTED}
    reader.view.record_health(TargetId(LISTED), answer)
    assert reader.listed == ({LISTED} if is_kept else set())


def test_process_whose_list_was_confirmed_takes_over_no_disbelief() -> None:
    log = Log()
    log.put(LISTED)
    assert read_removal_in_doubt(log, STALE_SECONDS - 0.5).listed == set()


def test_lost_read_of_decisions_raises_no_doubt_in_a_removal() -> None:
    log = Log()
    log.put(LISTED)
    reader = start_reader(log)
    reader.view.decisions_reader.unavailable_since = boottime()
    log.remove(LISTED)
    reader.read_store(log)
    assert reader.listed == set()


def test_removal_that_is_read_while_the_list_cannot_be_read_is_kept() -> None:
    log = Log()
    log.put(LISTED)
    reader, peer = start_reader(log), start_reader(log)
    log.remove(LISTED)
    peer.read_store(log)
    reader.view.targets_reader.unavailable_since = boottime()
    reader.ask_in_outage(peer)
    assert reader.listed == {LISTED}
