"""A look that finds what gateways reckon with anyway is not told.

Load pattern: 45 engines and 40 gateways, each engine looked at 20 times a second by its
loader and all gateways of the region told each time; taking reports in was the largest
part of a gateway's processor time beside its requests.
"""

from collections.abc import Iterator
from typing import Any
from unittest.mock import Mock

import pytest
from msgspec import structs

from ridgecourse.core.engine_load import EngineLoad, EngineStatus
from ridgecourse.core.ids import Seconds, WeightsVersion
from ridgecourse.core.report_rate import differs_from_reported
from ridgecourse.loader.status import UNCHANGED_REPORT_SECONDS, StatusFeed, Watcher
from ridgecourse.net.address import Address

LOOK_SECONDS = 0.05
SILENT_LOOKS = round(UNCHANGED_REPORT_SECONDS / LOOK_SECONDS) + 1
STATUS = EngineStatus(
    WeightsVersion(1), False, 2, 10, 40_000, 1_180_000, prefill_backlog=0.2
)
OTHERS: dict[str, Any] = {
    "version": WeightsVersion(2),
    "busy": True,
    "queued": 3,
    "active": 9,
    "slowdown": 1.5,
    "link_share": 0.3,
    "started": 7,
    "prefill_backlog": 0.5,
}


@pytest.mark.parametrize("field", OTHERS)
def test_what_gateways_use_is_told(field: str) -> None:
    other = structs.replace(STATUS, **{field: OTHERS[field]})
    assert differs_from_reported(STATUS, Seconds(5.0), other, Seconds(5.0))


def test_memory_and_time_that_passes_are_not() -> None:
    later = structs.replace(STATUS, cache_used=41_000, prefill_backlog=0.15)
    assert not differs_from_reported(STATUS, Seconds(5.0), later, Seconds(5.05))
    assert differs_from_reported(STATUS, Seconds(5.0), later, Seconds(5.0))


def test_a_first_load_is_told() -> None:
    assert differs_from_reported(None, Seconds(0.0), STATUS, Seconds(5.0))


def make_feed(near: int, far: int) -> StatusFeed:
    feed = StatusFeed(Mock(), Mock(), Mock(), Mock())
    for number in range(near + far):
        address = Address(f"10.0.0.{number}", 7000)
        feed.watchers.append(Watcher(address, near=number < near))
    return feed


def play(feed: StatusFeed, statuses: Iterator[EngineStatus]) -> list[int]:
    """Look once for each status; return how many are told each time."""
    told = []
    for look, status in enumerate(statuses):
        due: list[Address] = []
        feed.reports.send = lambda _, addresses, due=due: due.extend(addresses)  # type: ignore[method-assign]
        feed._send_reports(status, Seconds(100.0 + look * LOOK_SECONDS))
        told.append(len(due))
    return told


def draining(looks: int) -> Iterator[EngineStatus]:
    """An engine that reads on, and whose memory fills up, while none come or go."""
    for look in range(looks):
        unread = max(0.0, STATUS.prefill_backlog - look * LOOK_SECONDS)
        yield structs.replace(
            STATUS, cache_used=40_000 + 500 * look, prefill_backlog=unread
        )


def test_a_load_that_goes_as_reckoned_is_told_as_rarely_as_one_that_stays() -> None:
    told = play(make_feed(15, 25), draining(37))
    assert told[0] == 40
    assert sum(told[1:]) <= 2 * 40
    assert all(any(told[look : look + SILENT_LOOKS]) for look in range(20))


def test_each_gateway_hears_of_a_change_that_came_within_its_interval() -> None:
    """Those elsewhere are told less often; what they missed comes when it is time."""
    feed = make_feed(2, 60)
    changes = [STATUS, structs.replace(STATUS, queued=3, prefill_backlog=0.2)]
    told = play(feed, iter([changes[0], *changes[1:] * 24]))
    assert told[0] == 62
    assert told[1] == 2
    assert sum(told[2:]) >= 60


def test_gateways_reckon_the_same_from_an_old_report() -> None:
    load, fresh = EngineLoad(), EngineLoad()
    load.record_report(STATUS, Seconds(5.0))
    fresh.record_report(structs.replace(STATUS, prefill_backlog=0.1), Seconds(5.1))
    now = Seconds(5.12)
    assert abs(load.prefill_backlog(now, 4) - fresh.prefill_backlog(now, 4)) < 1e-9
