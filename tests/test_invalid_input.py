"""Tests that invalid input gets a typed error or a closed connection.

No input may end a process.
"""

import socket
from collections.abc import Callable
from pathlib import Path

import cbor2
import pytest
from conftest import ClusterSite
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from ridgecourse.agent.settings import AgentSettings
from ridgecourse.core.change import ConfigRecord
from ridgecourse.core.claim import Claim
from ridgecourse.core.config_objects import ConfigSnapshot
from ridgecourse.core.lease import LeaseRecord
from ridgecourse.core.manifest import parse_manifest
from ridgecourse.entry.settings import EntrySettings
from ridgecourse.net.address import parse_address
from ridgecourse.net.settings import Settings, load_settings, parse_settings
from ridgecourse.wire.codec import decode_message
from ridgecourse.wire.control import HeldChunks
from ridgecourse.wire.entry_control import (
    AgentMessage,
    EntryMessage,
    FirstMessage,
)
from ridgecourse.wire.request import FenceReply, FenceRequest, Work
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, OPERATOR_TOKEN, Plan

MESSAGES = [
    ConfigRecord,
    Claim,
    ConfigSnapshot,
    LeaseRecord,
    AgentMessage,
    EntryMessage,
    FirstMessage,
    HeldChunks,
    Work,
    FenceRequest,
    FenceReply,
]
EXAMPLES = sorted((Path(__file__).parent.parent / "examples").rglob("*.json"))

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["type", "record", "fleet", "offset", "first"]) | st.text(),
            inner,
            max_size=5,
        )
    ),
    max_leaves=20,
)


@given(data=st.binary(max_size=200))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_decoders_take_any_bytes(data: bytes) -> None:
    for expected in MESSAGES:
        decode_message(data, expected)
    parse_manifest(data)


@given(value=values)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_decoders_take_any_values(value: object) -> None:
    data = cbor2.dumps(value)
    for expected in MESSAGES:
        decoded = decode_message(data, expected)
        if not isinstance(decoded, Failure):
            assert type(decoded.unwrap()).__module__.startswith("ridgecourse")


def test_settings_problems_are_reported_together_with_their_lines() -> None:
    text = """{
      // An entry.
      "process": "e",
      "domain": "a",
      "http": "localhost:1",
      "log": "127.0.0.1:2",
      "shared_key": "short",
      "operators": [{"name": "o", "token_digest": "x", "role": "king"}],
      "colour": 1,
    }"""
    problems = parse_settings(text, "f.json", EntrySettings).failure()
    places = {problem.place for problem in problems}
    assert places == {
        "f.json:5: http",
        "f.json:7: shared_key",
        "f.json:8: operators.0.token_digest",
        "f.json:8: operators.0.role",
        "f.json:9: colour",
    }


def test_settings_that_are_not_json_are_a_problem() -> None:
    assert isinstance(parse_settings("{", "f", AgentSettings), Failure)
    assert isinstance(load_settings(Path("/nowhere"), AgentSettings), Failure)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_example_settings_are_valid(path: Path) -> None:
    kind: type[Settings] = EntrySettings if "entry" in path.name else AgentSettings
    loaded = load_settings(path, kind)
    assert not isinstance(loaded, Failure), loaded.failure()


def send_and_receive(address: str, data: bytes) -> bytes:
    """Send bytes and return all bytes received until the connection is closed."""
    with socket.create_connection(parse_address(address), timeout=20.0) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        answer = b""
        while chunk := connection.recv(65536):
            answer += chunk
        return answer


INVALID_REQUESTS = [
    b"\x00\xff" * 200,
    b"POST /work HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
    b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: nine\r\n\r\nabc",
    b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc",
    b"GET /chunks/../../etc HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /control HTTP/1.1\r\nUpgrade: websocket\r\n\r\n",
    b"POST /v1/demo/text HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}",
    b"GET " + b"a" * 70000 + b" HTTP/1.1\r\n\r\n",
]


def test_processes_survive_invalid_bytes_on_every_socket(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(Plan(domains=("a",), entries=1, targets=1, plain=0))
    agent, entry = site.cluster.agents[0], site.cluster.entries[0]
    incarnation = site.cluster.status(agent)["incarnation"]
    for address in (agent.http, agent.settings["control"], entry.http):
        for data in INVALID_REQUESTS:
            answer = send_and_receive(address, data)
            assert b" 200 " not in answer[:20]
    assert site.cluster.status(agent)["incarnation"] == incarnation
    assert site.cluster.status(entry)["ready"]


def test_clients_and_operators_get_specific_errors(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    site = start_site(Plan(domains=("a",), entries=1, targets=0, plain=0))
    entry = site.cluster.entries[0].http
    pool = site.cluster.pool

    def post_request(path: str, **headers: str) -> tuple[int, str]:
        reply = pool.request(
            "POST", f"http://{entry}{path}", headers=headers, body="{}"
        )
        return reply.status, reply.headers.get("Ridgecourse-Outcome", "")

    authorization = {"Authorization": f"Bearer {site.client.key}"}
    path = f"/v1/{FLEET}/{MODEL_SERVICE}"
    assert post_request(path) == (401, "not-run")
    assert post_request(path, Authorization="Bearer wrong") == (401, "not-run")
    assert post_request(f"/v1/other/{MODEL_SERVICE}", **authorization) == (
        401,
        "not-run",
    )
    assert post_request(f"/v1/{FLEET}/none", **authorization) == (404, "not-run")
    invalid_deadline = {"Ridgecourse-Deadline-Ms": "soon", **authorization}
    assert post_request(path, **invalid_deadline) == (400, "not-run")
    assert post_request(path, **authorization) == (503, "not-run")

    def create_fleet(fields: dict[str, object], token: str) -> dict[str, object]:
        return site.cluster.post_json(
            entry,
            "/ridgecourse.wire.Admin/CreateFleet",
            fields,
            {"Authorization": f"Bearer {token}"},
        )

    assert create_fleet({"fleet": "x"}, "wrong")["code"] == "unauthenticated"
    field_error = create_fleet({"fleet": "x", "originCopys": 3}, OPERATOR_TOKEN)
    assert "originCopys" in str(field_error["message"])
    nested_field_error = create_fleet(
        {"fleet": "x", "header": {"changeID": "1"}}, OPERATOR_TOKEN
    )
    assert "header.changeID" in str(nested_field_error["message"])
    assert create_fleet({"fleet": "a b"}, OPERATOR_TOKEN)["code"] == "invalid_argument"
