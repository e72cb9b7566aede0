"""Processes that the store turns away learn its records from others."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_site import KEY, GatewaySite, make_config, make_route, make_settings
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode

from ridgecourse.cluster.record_server import RecordServer, RecordsResponse
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.http_server import HttpRequest, HttpRouter
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.wire.codec import decode_message
from ridgecourse_standins.managed_process import ManagedProcess
from ridgecourse_standins.platform.store import StoreMode, StoreStandIn
from ridgecourse_standins.ports import free_address

OTHER_KEY = "key-of-market"
NOW = Seconds(1.0)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30))
def test_what_is_shared_is_the_newest_of_each_key(changes) -> None:
    share = RecordServer()
    topic = share.topics[Topic.TARGETS]
    newest: dict[str, KeyedRecord] = {}
    for offset, (key, kept) in enumerate(changes):
        record = KeyedRecord(key, b"x" if kept else b"", Offset(offset))
        newest[key] = record
        topic.apply(RecordBatch([record], Offset(offset + 1), NOW))
        # Read once more, as after an outage: nothing goes back.
        topic.apply(RecordBatch([KeyedRecord(key, b"old", Offset(0))], Offset(1), NOW))
    for start in range(len(changes) + 1):
        shared = topic.records_since(Offset(start))
        expected = [r for r in newest.values() if r.offset >= start]
        assert list(shared.records) == sorted(expected, key=lambda r: r.offset)
        assert shared.end == len(changes)


def test_a_process_that_has_read_nothing_says_so() -> None:
    """Found by review: it answered 500, and who asked stayed away for 5 s."""
    router = HttpRouter()
    RecordServer().add_routes(router)
    told: list[str] = []
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/records/decisions/0"}
    list(router(environ, lambda status, headers: told.append(status)))
    assert told[0].startswith("204")


@pytest.mark.parametrize("path", ["decisions/", "decisions/x", "other/0", "", "/0"])
def test_a_question_that_makes_no_sense_is_answered_so(path: str) -> None:
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": f"/records/{path}"}
    assert RecordServer().serve(HttpRequest(environ)).status == 400


@given(st.binary(max_size=60))
def test_what_is_no_answer_is_told_apart(data: bytes) -> None:
    decode_message(data, RecordsResponse)


class TurnedAwaySite(GatewaySite):
    """A gateway whose store is away, beside one that reads it."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.deaf_store = StoreStandIn()
        self.deaf_store.start()
        # Before the settings, whose last port is followed by others in use.
        listen = {
            "frontend": free_address("127.0.0.3"),
            "readiness": free_address("127.0.0.3"),
        }
        self.settings = make_settings(
            self.deaf_store.address,
            seed_nodes=["127.0.0.9:1", "127.0.0.3:1"],
        )
        self.path.write_bytes(encode(self.settings))
        other = make_settings(
            self.store.address,
            node_name="edge-a-2",
            ip="127.0.0.3",
            listen=listen,
            internal_port_range=self.settings["internal_port_range"],
        )
        path = directory / "other.json"
        path.write_bytes(encode(other))
        command = ["-m", "ridgecourse.platform.gateway_main", str(path)]
        self.other = ManagedProcess("other", command, directory)

    def close(self) -> None:
        self.other.close()
        super().close()
        self.deaf_store.close()


@pytest.fixture
def turned_away(tmp_path: Path) -> Iterator[TurnedAwaySite]:
    site = TurnedAwaySite(tmp_path)
    yield site
    site.close()


@pytest.mark.parametrize("mode", [StoreMode.DOWN, StoreMode.SILENT])
def test_a_gateway_that_starts_turned_away_serves(turned_away, mode) -> None:
    turned_away.add_engine("app")
    turned_away.deaf_store.set_mode(mode)
    turned_away.other.start()
    turned_away.start()
    assert turned_away.ask("/safe/x")[0] == 200


def test_a_key_taken_away_is_refused_where_the_store_turns_away(turned_away) -> None:
    turned_away.add_engine("app")
    turned_away.deaf_store.set_mode(StoreMode.DOWN)
    turned_away.other.start()
    turned_away.start()
    assert turned_away.ask("/safe/x", key=KEY)[0] == 200
    config = make_config(2, tenants=[{"name": "market", "api_keys": [OTHER_KEY]}])
    config["routes"].append(make_route("/new/", "safe", "app"))
    turned_away.store.put_config(config)
    turned_away.wait_until(lambda: turned_away.ask("/safe/x", key=KEY)[0] == 401, 3.0)
    assert turned_away.ask("/new/x", key=OTHER_KEY)[0] == 200


def test_a_target_listed_meanwhile_gets_requests(turned_away) -> None:
    turned_away.deaf_store.set_mode(StoreMode.DOWN)
    turned_away.other.start()
    turned_away.store.put_config(make_config())
    turned_away.gateway.start()
    turned_away.other.wait_event("config-folded")
    turned_away.add_engine("app")
    turned_away.wait_until(lambda: turned_away.ready() == 200)
    turned_away.wait_until(lambda: turned_away.ask("/safe/x")[0] == 200, 5.0)
