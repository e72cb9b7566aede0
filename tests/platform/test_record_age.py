"""Tests that the age of records from a peer includes the network delay."""

from time import monotonic, sleep
from typing import Any

from ridgecourse.cluster.peer_records import fetch_records, to_batch
from ridgecourse.cluster.record_server import RecordServer, RecordsResponse
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.http_server import HttpRequest
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse_standins.platform.weights import HttpStandIn

DELAY_SECONDS = 0.4


class SlowPeer(HttpStandIn):
    """A process with current records of the store, behind a slow link."""

    def __init__(self, waited: float) -> None:
        super().__init__()
        self.waited = waited

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Any:
        sleep(DELAY_SECONDS)
        response = RecordsResponse([], Offset(7), 0.1, self.waited)
        return 200, encode_message(response)


def age_from_slow_peer(waited: float) -> float:
    """Return the age of the records of a slow peer that waited for some seconds."""
    peer = SlowPeer(waited)
    peer.start()
    try:
        topic = Topic.DECISIONS
        return fetch_records(HttpClient(), peer.address, topic, Offset(0), 2.0).age
    finally:
        peer.close()


def test_network_delay_adds_to_the_age() -> None:
    assert age_from_slow_peer(waited=0.0) >= 0.1 + DELAY_SECONDS


def test_wait_of_the_peer_does_not_add_to_the_age() -> None:
    assert age_from_slow_peer(waited=DELAY_SECONDS) < 0.1 + DELAY_SECONDS


def test_response_states_the_wait() -> None:
    record_server = RecordServer()
    record_server.topics[Topic.DECISIONS].apply(
        RecordBatch([], Offset(7), Seconds(monotonic()))
    )
    path = f"/records/{Topic.DECISIONS.value}/7"
    request = HttpRequest(
        {"REQUEST_METHOD": "GET", "PATH_INFO": path, "QUERY_STRING": "wait=0.2"}
    )
    response = decode_message(
        record_server.serve(request).body, RecordsResponse
    ).unwrap()
    assert 0.15 < response.waited < 1.0


def test_lag_of_a_record_is_passed_on_to_each_level() -> None:
    upstream, downstream = RecordServer(), RecordServer()
    topic = Topic.DECISIONS
    read_at = Seconds(monotonic() - DELAY_SECONDS)
    record = KeyedRecord("config", b"{}", Offset(6))
    batch = RecordBatch([record], Offset(7), Seconds(monotonic()), read_at=read_at)
    upstream.topics[topic].apply(batch)
    downstream.topics[topic].apply(
        to_batch(upstream.topics[topic].records_since(Offset(0)))
    )
    assert upstream.topics[topic].level == 0
    assert downstream.topics[topic].level == 1
    assert downstream.topics[topic].lag >= DELAY_SECONDS


def test_empty_batch_does_not_reset_the_lag_of_a_record() -> None:
    topic = RecordServer().topics[Topic.DECISIONS]
    long_ago = Seconds(monotonic() - 100.0)
    record = KeyedRecord("config", b"{}", Offset(6))
    topic.apply(RecordBatch([record], Offset(7), long_ago, read_at=long_ago))
    now = Seconds(monotonic())
    topic.apply(RecordBatch([], Offset(7), now, read_at=now))
    assert topic.lag >= 100.0
