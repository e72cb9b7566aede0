"""The bound of an earlier version applies at processes that start after a newer one.

Guards against a gateway that takes the bound of the newest version for that of all. The
store names the newest version alone, and loaders that were restarted between the names
of two versions did not know when the earlier one was named. A gateway that was added
then sent requests that began on version 1 for 3 s after the bound of version 2.
"""

from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import MODEL
from msgspec.json import encode
from view_reader import RecordingEventStream

from ridgecourse.cluster.peer_records import to_batch
from ridgecourse.cluster.record_server import RECORDS_PATH, RecordsResponse
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import ModelName, Offset, Seconds, WeightsVersion
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import HttpRequest
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.names import VERSION_KEY_PREFIX
from ridgecourse.platform.records import PlatformRecordDecoder
from ridgecourse.wire.codec import decode_message

BOUND_SECONDS = 8.0
GAP_SECONDS = 3.8
"""Time between the names of two versions."""
TOLERANCE_SECONDS = 0.1
KEY = f"{VERSION_KEY_PREFIX}{MODEL}"


class VersionView:
    """A process that reads the names of versions.

    Attributes:
        view: The view of the process.
        end: Offset after the last record that was read.
    """

    def __init__(self) -> None:
        source = Mock()
        source.is_receiving.return_value = False
        decoder, events = PlatformRecordDecoder(), RecordingEventStream()
        self.view = ClusterView(source, Mock(), decoder, events, BOUND_SECONDS)
        self.end = 0

    def observe(self, version: int, offset: int, age: float) -> None:
        """Read a version from the store that was named some seconds ago."""
        value = encode({"model": MODEL, "version": version})
        record = KeyedRecord(KEY, value, Offset(offset))
        now = boottime()
        batch = RecordBatch([record], Offset(offset + 1), now)
        since = Seconds(now - age)
        known = self.view.record_server.topics[Topic.DECISIONS]
        known.confirmed_at = since
        self.view.apply(Topic.DECISIONS, batch, False)

    def start_from(self, other: "VersionView") -> None:
        """Read all records of another process, as one that starts."""
        environ: dict[str, Any] = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": f"{RECORDS_PATH}{Topic.DECISIONS.value}/0",
        }
        reply = other.view.record_server.serve(HttpRequest(environ))
        response = decode_message(reply.body, RecordsResponse).unwrap()
        self.view.apply(Topic.DECISIONS, to_batch(response), True)

    def seconds_until_bound(self, version: int) -> float:
        """Return the seconds for which requests may still start on a version."""
        history = self.view.history(ModelName(MODEL))
        deadline = history.start_deadline(WeightsVersion(version))
        assert deadline is not None
        return deadline - boottime()


@pytest.fixture
def observer() -> VersionView:
    """Return a process that was there when versions 2 and 3 were named."""
    process = VersionView()
    process.view.record_server.topics[Topic.DECISIONS].end = Offset(1)
    process.observe(2, 1, GAP_SECONDS)
    process.observe(3, 2, 0.0)
    return process


def test_added_gateway_keeps_the_bound_of_an_earlier_version(observer) -> None:
    added = VersionView()
    added.start_from(observer)
    expected = BOUND_SECONDS - GAP_SECONDS
    assert added.seconds_until_bound(1) == pytest.approx(
        expected, abs=TOLERANCE_SECONDS
    )
    assert added.seconds_until_bound(2) == pytest.approx(
        BOUND_SECONDS, abs=TOLERANCE_SECONDS
    )


def test_restarted_loader_tells_gateways_of_an_earlier_bound(observer) -> None:
    loader = VersionView()
    loader.start_from(observer)
    ages = {age.version: age.age for age in loader.view.version_ages()}
    assert ages[WeightsVersion(2)] == pytest.approx(GAP_SECONDS, abs=TOLERANCE_SECONDS)


def test_a_known_naming_time_is_not_replaced_by_later_answers(observer) -> None:
    """Slow answers would move the bound ahead again and again."""
    added = VersionView()
    added.start_from(observer)
    before = added.seconds_until_bound(1)
    observer.view.histories[ModelName(MODEL)].notices[0].named_at -= 2.0
    added.start_from(observer)
    assert added.seconds_until_bound(1) == pytest.approx(before, abs=TOLERANCE_SECONDS)


def test_ages_are_told_only_while_the_newest_version_is_recent() -> None:
    process = VersionView()
    process.view.record_server.topics[Topic.DECISIONS].end = Offset(1)
    process.observe(2, 1, BOUND_SECONDS + 1.0)
    assert not [*process.view.recent_version_ages()]
