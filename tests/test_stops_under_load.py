"""Planned stops under clients that go on until the process is gone."""

import signal
from collections.abc import Callable
from socket import create_connection, socket
from threading import Lock
from time import monotonic, sleep
from typing import Any

import pytest
from conftest import ClusterSite
from gateway_site import GatewaySite, receive_response
from msgspec.json import encode

from ridgecourse.gateway.gateway import UNREADY_GRACE_SECONDS
from ridgecourse.net import http_server
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import (
    IDLE_SECONDS,
    HttpReply,
    HttpRouter,
    HttpServer,
)
from ridgecourse.net.tcp import accept_queued
from ridgecourse_standins.closed_loop import ClosedLoop, Reply
from ridgecourse_standins.cluster import FLEET, MODEL_SERVICE, Plan
from ridgecourse_standins.platform.engine import ReceivedRequest, send_response

PLAN = Plan(domains=("a",), entries=2, targets=2, plain=0)
ENTRY_STOPS = 6
GATEWAY_STOPS = 4
AGENT_STOPS = 3


def describe(replies: list[Reply], stop_started_at: float) -> list[str]:
    """Return a line for each reply, with times from the start of the stop."""
    return [
        f"sent {reply.sent_at - stop_started_at:.3f}"
        f" ended {reply.ended_at - stop_started_at:.3f}"
        f" kept {reply.kept} status {reply.status} {reply.error}"
        for reply in replies
    ]


def make_entry_request(site: ClusterSite, body: bytes) -> bytes:
    """Return a request for a model."""
    lines = [
        f"POST /v1/{FLEET}/{MODEL_SERVICE} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {site.client.key}",
        "Ridgecourse-Deadline-Ms: 10000",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def wait_replies(loop: ClosedLoop, count: int) -> None:
    deadline = monotonic() + 20.0
    while len(loop.replies) < count:
        assert monotonic() < deadline
        sleep(0.01)


def test_stopping_entry_answers_requests_that_arrive_until_its_listener_closes(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    # A drain that ended with the last dispatched request cut off requests that were
    # still being received, refused, or waiting to be accepted.
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    body = b'{"prompt": "p", "max_tokens": 1}'
    managed = site.cluster.entries[0].managed
    cut: list[str] = []
    for _ in range(ENTRY_STOPS):
        loop = ClosedLoop(
            split_address(site.cluster.entries[0].http),
            lambda: make_entry_request(site, body),
            keeping=20,
            reconnecting=20,
        )
        loop.start()
        wait_replies(loop, 200)
        stop_started_at = monotonic()
        assert managed.stop() == 0
        loop.wait()
        cut.extend(describe(loop.incomplete(), stop_started_at))
        late = [reply for reply in loop.replies if reply.status == 503]
        assert all(reply.headers["ridgecourse-outcome"] == "not-run" for reply in late)
        starts = sum(event["kind"] == "started" for event in managed.events())
        managed.start()
        managed.wait_event("ready", after=starts)
        site.wait_targets_ready(0)
    assert not cut


def send_late_response(request: ReceivedRequest) -> None:
    """Answer after 20 ms."""
    sleep(0.02)
    send_response(request)


def make_gateway_request(front: GatewaySite, lock: Lock) -> bytes:
    """Return a request with an attempt id of its own."""
    with lock:
        return front.head("/safe/x").encode()


def test_stopping_gateway_answers_requests_that_arrive_until_its_listener_closes(
    front: GatewaySite,
) -> None:
    # A stop that closed idle connections and the listener at once cut off requests that
    # had just arrived there.
    for _ in range(2):
        front.add_engine("app", send_late_response)
    front.start()
    lock = Lock()
    cut: list[str] = []
    for _ in range(GATEWAY_STOPS):
        loop = ClosedLoop(front.frontend, lambda: make_gateway_request(front, lock))
        loop.start()
        wait_replies(loop, 100)
        stop_started_at = monotonic()
        front.gateway.started_process.send_signal(signal.SIGTERM)
        assert front.gateway.started_process.wait(10) == 0
        loop.wait()
        cut.extend(describe(loop.incomplete(), stop_started_at))
        front.gateway.start()
        front.wait_until(lambda: front.ready() == 200)
    assert not cut


def test_stopping_gateway_refuses_late_request_that_it_might_not_finish(
    front: GatewaySite,
) -> None:
    # A request on a connection from before the stop was sent on after the listener had
    # closed, and its answer was cut off by the end of the process.
    front.add_engine("app", send_late_response)
    front.settings["bounds"]["grace_s"] = 6
    front.path.write_bytes(encode(front.settings))
    front.start()
    front.gateway.started_process.send_signal(signal.SIGTERM)
    sleep(UNREADY_GRACE_SECONDS - IDLE_SECONDS / 2)
    connections = [front.open(), front.open()]
    # No event marks the end of listening; a connection attempt would take too long.
    sleep(IDLE_SECONDS)
    for connection, deadline_ms, expected in zip(
        connections, (4000, 500), (503, 200), strict=True
    ):
        front.send(connection, "/safe/x", deadline_ms=deadline_ms)
        status, headers, _, is_complete = receive_response(connection)
        assert (status, is_complete) == (expected, True)
        assert headers["connection"] == "close"


def test_connection_accepted_as_the_listener_closes_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A server without other connections stopped before the thread of the last accepted
    # connection had started, and reset the connection.
    router = HttpRouter()
    router.add("GET", "/", lambda request: HttpReply(200))
    server = HttpServer(Address("127.0.0.1", 0), router)
    server.start()
    clients: list[socket] = []

    def accept_after_connect(listener: Any, limit: int) -> list[tuple[Any, Any]]:
        clients.append(create_connection(server.address, 10))
        clients[0].sendall(b"GET / HTTP/1.1\r\nHost: server\r\n\r\n")
        return list(accept_queued(listener, limit))

    monkeypatch.setattr(http_server, "drop_new_connections", lambda listener: None)
    monkeypatch.setattr(http_server, "accept_queued", accept_after_connect)
    server.drain(boottime() + 2 * IDLE_SECONDS)
    server.close()
    status, headers, _, is_complete = receive_response(clients[0])
    assert (status, headers["connection"], is_complete) == (200, "close", True)


def open_request(site: ClusterSite, entry: int, body: bytes, sent: int) -> socket:
    """Send a request to an entry without the end of its body."""
    request = make_entry_request(site, body)
    connection = create_connection(split_address(site.cluster.entries[entry].http), 10)
    connection.sendall(request[: len(request) - len(body) + sent])
    return connection


def test_stopping_entry_answers_slow_sender_and_waits_for_no_silent_client(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    # A stop cut off a request of which a part was received; waiting for every open
    # connection instead would let one silent client hold the stop.
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    body = b'{"prompt": "p", "max_tokens": 1}'
    silent = create_connection(split_address(site.cluster.entries[0].http), 10)
    slow = open_request(site, 0, body, 5)
    process = site.cluster.entries[0].managed.started_process
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    sleep(0.5)
    slow.sendall(body[5:])
    status, headers, _, is_complete = receive_response(slow)
    assert is_complete
    assert (status, headers["ridgecourse-outcome"]) == (503, "not-run")
    assert headers["connection"] == "close"
    assert process.wait(5.0) == 0
    assert silent.recv(1) == b""


@pytest.mark.parametrize("drain_seconds", [0, 1])
def test_stop_with_open_stream_and_request_ends_with_its_drain_time(
    start_site: Callable[[Plan], ClusterSite], drain_seconds: int
) -> None:
    # The wait for connections must not outlast the time that the operator has set.
    site = start_site(PLAN._replace(entry={"drain_seconds": drain_seconds}))
    site.roll_out("v1", 1)
    body = b'{"prompt": "p", "max_tokens": 2000}'
    streams = [open_request(site, entry, body, len(body)) for entry in (0, 1)]
    open_request(site, 0, body, 5)
    for stream in streams:
        assert stream.recv(15) == b"HTTP/1.1 200 OK"
    stop_started_at = monotonic()
    processes = [node.managed.started_process for node in site.cluster.entries]
    for process in processes:
        process.send_signal(signal.SIGTERM)
    assert [process.wait(drain_seconds + 3.0) for process in processes] == [0, 0]
    assert monotonic() - stop_started_at >= drain_seconds


def test_refused_request_with_unread_body_gets_its_answer(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    # Closing a connection with unread data resets it; the client lost the refusal.
    site = start_site(PLAN._replace(targets=0))
    body = bytes(4 * 1024 * 1024)
    request = make_entry_request(site, body).replace(
        site.client.key.encode(), b"no-such-key\r\nConnection: close"
    )
    for _ in range(10):
        connection = create_connection(split_address(site.cluster.entries[0].http), 10)
        connection.sendall(request)
        status, _, _, is_complete = receive_response(connection)
        assert (status, is_complete) == (401, True)


def test_stopping_agent_loses_no_request_of_an_entry(
    start_site: Callable[[Plan], ClusterSite],
) -> None:
    # A request of an entry that had just arrived at the agent was reset. Whether it had
    # run was unknown, so that it was not tried elsewhere.
    site = start_site(PLAN)
    site.roll_out("v1", 1)
    body = b'{"prompt": "p", "max_tokens": 1}'
    managed = site.cluster.agents[0].managed
    unknown: list[bytes] = []
    for _ in range(AGENT_STOPS):
        loop = ClosedLoop(
            split_address(site.cluster.entries[0].http),
            lambda: make_entry_request(site, body),
        )
        loop.start()
        wait_replies(loop, 200)
        assert managed.stop() == 0
        loop.close()
        unknown.extend(
            reply.body or reply.error.encode()
            for reply in loop.replies
            if b'"outcome":"completed"' not in reply.body
            and reply.headers.get("ridgecourse-outcome") != "not-run"
        )
        starts = sum(event["kind"] == "started" for event in managed.events())
        managed.start()
        managed.wait_event("started", after=starts)
        site.wait_targets_ready(0)
    assert not unknown
