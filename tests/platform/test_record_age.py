"""What another process told of the store is as old as the way made it."""

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

DELAY = 0.4


class SlowPeer(HttpStandIn):
    """A process that has just heard of the store, behind a slow link."""

    def __init__(self, waited: float) -> None:
        super().__init__()
        self.waited = waited

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Any:
        sleep(DELAY)
        shared = RecordsResponse([], Offset(7), 0.1, self.waited)
        return 200, encode_message(shared)


def ask_slow_peer(waited: float) -> float:
    peer = SlowPeer(waited)
    peer.start()
    try:
        topic = Topic.DECISIONS
        return fetch_records(HttpClient(), peer.address, topic, Offset(0), 2.0).age
    finally:
        peer.close()


def test_the_way_of_an_answer_makes_it_older() -> None:
    assert ask_slow_peer(waited=0.0) >= 0.1 + DELAY


def test_what_the_other_process_waited_for_does_not() -> None:
    assert ask_slow_peer(waited=DELAY) < 0.1 + DELAY


def test_a_process_tells_how_long_it_waited() -> None:
    share = RecordServer()
    share.topics[Topic.DECISIONS].apply(
        RecordBatch([], Offset(7), Seconds(monotonic()))
    )
    path = f"/records/{Topic.DECISIONS.value}/7"
    request = HttpRequest(
        {"REQUEST_METHOD": "GET", "PATH_INFO": path, "QUERY_STRING": "wait=0.2"}
    )
    shared = decode_message(share.serve(request).body, RecordsResponse).unwrap()
    assert 0.15 < shared.waited < 1.0


def test_a_record_tells_since_when_it_is_known_on_each_level() -> None:
    above, below = RecordServer(), RecordServer()
    topic = Topic.DECISIONS
    read_at = Seconds(monotonic() - DELAY)
    record = KeyedRecord("config", b"{}", Offset(6))
    batch = RecordBatch([record], Offset(7), Seconds(monotonic()), read_at=read_at)
    above.topics[topic].apply(batch)
    below.topics[topic].apply(to_batch(above.topics[topic].records_since(Offset(0))))
    assert above.topics[topic].level == 0
    assert below.topics[topic].level == 1
    assert below.topics[topic].lag >= DELAY


def test_quiet_does_not_make_a_record_look_newly_read() -> None:
    topic = RecordServer().topics[Topic.DECISIONS]
    long_ago = Seconds(monotonic() - 100.0)
    record = KeyedRecord("config", b"{}", Offset(6))
    topic.apply(RecordBatch([record], Offset(7), long_ago, read_at=long_ago))
    now = Seconds(monotonic())
    topic.apply(RecordBatch([], Offset(7), now, read_at=now))
    assert topic.lag >= 100.0
