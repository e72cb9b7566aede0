"""Tests that processes refused by the store receive its records from others."""

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
def test_record_server_returns_the_newest_record_of_each_key(changes) -> None:
    record_server = RecordServer()
    topic = record_server.topics[Topic.TARGETS]
    newest: dict[str, KeyedRecord] = {}
    for offset, (key, is_present) in enumerate(changes):
        record = KeyedRecord(key, b"x" if is_present else b"", Offset(offset))
        newest[key] = record
        topic.apply(RecordBatch([record], Offset(offset + 1), NOW))
        # An older record, read again as after an outage, replaces nothing.
        topic.apply(RecordBatch([KeyedRecord(key, b"old", Offset(0))], Offset(1), NOW))
    for start in range(len(changes) + 1):
        response = topic.records_since(Offset(start))
        expected = [record for record in newest.values() if record.offset >= start]
        assert list(response.records) == sorted(
            expected, key=lambda record: record.offset
        )
        assert response.end == len(changes)


def test_record_server_without_records_answers_204() -> None:
    """After an answer of 500, the requesting process would send no request for 5 s."""
    router = HttpRouter()
    RecordServer().add_routes(router)
    statuses: list[str] = []
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/records/decisions/0"}
    list(router(environ, lambda status, headers: statuses.append(status)))
    assert statuses[0].startswith("204")


@pytest.mark.parametrize("path", ["decisions/", "decisions/x", "other/0", "", "/0"])
def test_invalid_request_is_answered_with_400(path: str) -> None:
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": f"/records/{path}"}
    assert RecordServer().serve(HttpRequest(environ)).status == 400


@given(st.binary(max_size=60))
def test_any_bytes_are_decoded_without_an_exception(data: bytes) -> None:
    decode_message(data, RecordsResponse)


class RefusedSite(GatewaySite):
    """A gateway that its store refuses, beside a gateway that reads the store."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.refusing_store = StoreStandIn()
        self.refusing_store.start()
        # Allocated before the settings: the ports after their last port are in use.
        listen = {
            "frontend": free_address("127.0.0.3"),
            "readiness": free_address("127.0.0.3"),
        }
        self.settings = make_settings(
            self.refusing_store.address,
            seed_nodes=["127.0.0.9:1", "127.0.0.3:1"],
        )
        self.path.write_bytes(encode(self.settings))
        other_settings = make_settings(
            self.store.address,
            node_name="edge-a-2",
            ip="127.0.0.3",
            listen=listen,
            internal_port_range=self.settings["internal_port_range"],
        )
        path = directory / "other.json"
        path.write_bytes(encode(other_settings))
        command = ["-m", "ridgecourse.platform.gateway_main", str(path)]
        self.reading_gateway = ManagedProcess("other", command, directory)

    def close(self) -> None:
        self.reading_gateway.close()
        super().close()
        self.refusing_store.close()


@pytest.fixture
def refused_site(tmp_path: Path) -> Iterator[RefusedSite]:
    site = RefusedSite(tmp_path)
    yield site
    site.close()


@pytest.mark.parametrize("mode", [StoreMode.DOWN, StoreMode.SILENT])
def test_gateway_refused_by_the_store_starts_and_serves(refused_site, mode) -> None:
    refused_site.add_engine("app")
    refused_site.refusing_store.set_mode(mode)
    refused_site.reading_gateway.start()
    refused_site.start()
    assert refused_site.ask("/safe/x")[0] == 200


def test_removed_key_is_rejected_by_a_gateway_refused_by_the_store(
    refused_site,
) -> None:
    refused_site.add_engine("app")
    refused_site.refusing_store.set_mode(StoreMode.DOWN)
    refused_site.reading_gateway.start()
    refused_site.start()
    assert refused_site.ask("/safe/x", key=KEY)[0] == 200
    config = make_config(2, tenants=[{"name": "market", "api_keys": [OTHER_KEY]}])
    config["routes"].append(make_route("/new/", "safe", "app"))
    refused_site.store.put_config(config)
    refused_site.wait_until(lambda: refused_site.ask("/safe/x", key=KEY)[0] == 401, 3.0)
    assert refused_site.ask("/new/x", key=OTHER_KEY)[0] == 200


def test_target_listed_while_the_store_refuses_gets_requests(refused_site) -> None:
    refused_site.refusing_store.set_mode(StoreMode.DOWN)
    refused_site.reading_gateway.start()
    refused_site.store.put_config(make_config())
    refused_site.gateway.start()
    refused_site.reading_gateway.wait_event("config-folded")
    refused_site.add_engine("app")
    refused_site.wait_until(lambda: refused_site.ready() == 200)
    refused_site.wait_until(lambda: refused_site.ask("/safe/x")[0] == 200, 5.0)
