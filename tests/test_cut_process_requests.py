"""Requests that end before their last byte, at an entry and at an agent."""

import json
import socket
from collections.abc import Callable

import pytest
from conftest import ClusterSite

from ridgecourse.core.ids import AccountName, RequestId
from ridgecourse.net.address import parse_address
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.request import WORK_PATH, Work
from ridgecourse_standins.cluster import (
    FLEET,
    OPERATOR_TOKEN,
    PLAIN_SERVICE,
    SHARED_KEY,
    Plan,
)

PLAIN = Plan(domains=("a",), entries=1, targets=0, plain=1)


def make_request(path: str, fields: dict[str, str], body: bytes) -> bytes:
    """Return a POST whose last field is the length of its body."""
    lines = [f"POST {path} HTTP/1.1", "Host: x"]
    lines.extend(f"{name}: {value}" for name, value in fields.items())
    lines.extend([f"Content-Length: {len(body)}", "", ""])
    return "\r\n".join(lines).encode() + body


def send_part(address: str, data: bytes) -> bytes:
    """Send bytes, end the client's side, and return all bytes of the answer."""
    with socket.create_connection(parse_address(address), timeout=20.0) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: connection.recv(65536), b""))


def check_cuts(address: str, whole: bytes) -> None:
    """Check that no beginning of a request is answered, and the whole request is."""
    for cut in range(len(whole)):
        assert send_part(address, whole[:cut]) == b"", whole[:cut]
    assert b" 200 OK\r\n" in send_part(address, whole)


@pytest.fixture
def site(start_site: Callable[[Plan], ClusterSite]) -> ClusterSite:
    started = start_site(PLAIN)
    started.cluster.wait_ready()
    return started


def test_cut_call_of_a_client_is_not_run(site: ClusterSite) -> None:
    # Guards against a call that runs with an empty body or without its key.
    fields = {
        "Authorization": f"Bearer {site.client.key}",
        "Content-Type": "text/plain",
        "Idempotency-Key": "k",
    }
    whole = make_request(f"/v1/{FLEET}/{PLAIN_SERVICE}", fields, b"transfer 100")
    check_cuts(site.cluster.entries[0].http, whole)
    assert site.call_counts() == {"transfer 100": 1}


def test_cut_order_to_an_agent_is_not_run(site: ClusterSite) -> None:
    # Guards against an order that an agent takes for another one.
    order = Work(RequestId("r"), AccountName("shop"), 0, 1, 5000, b"transfer 100")
    body = encode_message(order)
    fields = {AUTH_HEADER: sign_request(SHARED_KEY, "POST", WORK_PATH, body)}
    whole = make_request(WORK_PATH, fields, body)
    check_cuts(site.cluster.agents[0].http, whole)
    assert site.call_counts() == {"transfer 100": 1}


def test_cut_change_of_an_operator_is_not_made(site: ClusterSite) -> None:
    # Guards against a change with fewer or shorter fields than the operator's.
    entry = site.cluster.entries[0].http
    account = {"fleet": FLEET, "account": "bank", "keyDigest": "0" * 64, "weight": 12}
    fields = {
        "Authorization": f"Bearer {OPERATOR_TOKEN}",
        "Content-Type": "application/json",
    }
    # The white space shows whether a body is cut that would be valid without it.
    body = json.dumps(account).encode() + b"   "
    show = site.cluster.call_admin("Show", fleet=FLEET)
    path = "/ridgecourse.wire.Admin/PutAccount"
    whole = make_request(path, fields, body)
    for cut in range(len(whole)):
        assert send_part(entry, whole[:cut]) == b"", whole[:cut]
    assert site.cluster.call_admin("Show", fleet=FLEET) == show
    assert b"CHANGE_STATUS_ACCEPTED" in send_part(entry, whole)
