"""A loader does not report a load that the gateways already expect.

With 45 engines and 40 gateways, a loader that polls its engine 20 times a second and
reports to all gateways of the region each time makes the receipt of reports the largest
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

POLL_SECONDS = 0.05
MAX_SILENT_POLLS = round(UNCHANGED_REPORT_SECONDS / POLL_SECONDS) + 1
STATUS = EngineStatus(
    WeightsVersion(1), False, 2, 10, 40_000, 1_180_000, prefill_backlog=0.2
)
CHANGED_VALUES: dict[str, Any] = {
    "version": WeightsVersion(2),
    "busy": True,
    "queued": 3,
    "active": 9,
    "slowdown": 1.5,
    "link_share": 0.3,
    "started": 7,
    "prefill_backlog": 0.5,
}


@pytest.mark.parametrize("field", CHANGED_VALUES)
def test_change_of_value_used_by_gateways_is_reported(field: str) -> None:
    changed_status = structs.replace(STATUS, **{field: CHANGED_VALUES[field]})
    assert differs_from_reported(STATUS, Seconds(5.0), changed_status, Seconds(5.0))


def test_cache_use_and_elapsed_time_are_not_reported() -> None:
    later_status = structs.replace(STATUS, cache_used=41_000, prefill_backlog=0.15)
    assert not differs_from_reported(STATUS, Seconds(5.0), later_status, Seconds(5.05))
    assert differs_from_reported(STATUS, Seconds(5.0), later_status, Seconds(5.0))


def test_first_load_is_reported() -> None:
    assert differs_from_reported(None, Seconds(0.0), STATUS, Seconds(5.0))


def make_feed(near: int, far: int) -> StatusFeed:
    feed = StatusFeed(Mock(), Mock(), Mock(), Mock())
    for number in range(near + far):
        address = Address(f"10.0.0.{number}", 7000)
        feed.watchers.append(Watcher(address, near=number < near))
    return feed


def count_reports(feed: StatusFeed, statuses: Iterator[EngineStatus]) -> list[int]:
    """Poll once for each status; return the number of reports sent by each poll."""
    report_counts = []
    for poll, status in enumerate(statuses):
        due: list[Address] = []
        feed.reports.send = lambda _, addresses, due=due: due.extend(addresses)  # type: ignore[method-assign]
        feed._send_reports(status, Seconds(100.0 + poll * POLL_SECONDS))
        report_counts.append(len(due))
    return report_counts


def prefill_statuses(polls: int) -> Iterator[EngineStatus]:
    """Yield statuses of an engine that prefills while no request starts or ends.

    Its cache fills up, and its prefill backlog shrinks as time passes.
    """
    for poll in range(polls):
        prefill_backlog = max(0.0, STATUS.prefill_backlog - poll * POLL_SECONDS)
        yield structs.replace(
            STATUS, cache_used=40_000 + 500 * poll, prefill_backlog=prefill_backlog
        )


def test_predicted_load_change_is_reported_as_rarely_as_no_change() -> None:
    report_counts = count_reports(make_feed(15, 25), prefill_statuses(37))
    assert report_counts[0] == 40
    assert sum(report_counts[1:]) <= 2 * 40
    assert all(any(report_counts[poll : poll + MAX_SILENT_POLLS]) for poll in range(20))


def test_each_gateway_receives_change_made_within_its_interval() -> None:
    """Gateways of other regions receive reports less often.

    A change that they missed is reported once their interval has passed.
    """
    feed = make_feed(2, 60)
    statuses = [STATUS, structs.replace(STATUS, queued=3, prefill_backlog=0.2)]
    report_counts = count_reports(feed, iter([statuses[0], *statuses[1:] * 24]))
    assert report_counts[0] == 62
    assert report_counts[1] == 2
    assert sum(report_counts[2:]) >= 60


def test_old_and_fresh_reports_predict_same_backlog() -> None:
    old_load, fresh_load = EngineLoad(), EngineLoad()
    old_load.record_report(STATUS, Seconds(5.0))
    fresh_load.record_report(structs.replace(STATUS, prefill_backlog=0.1), Seconds(5.1))
    now = Seconds(5.12)
    assert (
        abs(old_load.prefill_backlog(now, 4) - fresh_load.prefill_backlog(now, 4))
        < 1e-9
    )
