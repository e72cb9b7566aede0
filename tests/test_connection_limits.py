"""A server whose connections are all in use spares those that it can."""

import socket
from collections.abc import Iterator
from time import monotonic, sleep

import pytest
from request_servers import RecordingServer, receive_all, run_server

from ridgecourse.core.memory_budget import GRACE_SECONDS
from ridgecourse.core.routes import ClientLimit

CONNECTIONS = 4
SETTLE_SECONDS = 5.0
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
BEGUN = b"GET /a HTTP/1.1\r\nHost: x\r\nX-Note: "
BEGUN_BODY = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\nx"


@pytest.fixture(params=[True, False], ids=["front", "internal"])
def server(request) -> Iterator[RecordingServer]:
    with run_server(request.param) as recording_server:
        recording_server.server.pool.resize(CONNECTIONS)
        yield recording_server


@pytest.fixture
def exceeded(server: RecordingServer) -> list[ClientLimit]:
    """Return the limits that clients exceed."""
    limits: list[ClientLimit] = []
    server.server.on_limit = lambda limit, detail: limits.append(limit)
    return limits


def fill(server: RecordingServer, data: bytes) -> list[socket.socket]:
    """Open as many connections as the server has, and send the same on each."""
    connections = []
    for _ in range(CONNECTIONS):
        connections.append(server.open())
        connections[-1].sendall(data)
        deadline = monotonic() + SETTLE_SECONDS
        while server.server.pool.running() < len(connections):
            assert monotonic() < deadline
            sleep(0.002)
    return connections


def is_answered(connection: socket.socket) -> bool:
    """Check whether a request on an open connection is answered."""
    try:
        connection.sendall(REQUEST)
        return b" 200 OK" in connection.recv(65536)
    except ConnectionError:
        return False


def test_the_longest_idle_connection_gives_way(
    server: RecordingServer, exceeded: list[ClientLimit]
) -> None:
    # Guards against silent clients that keep everybody else out.
    connections = fill(server, b"")
    with server.open() as newcomer:
        assert is_answered(newcomer)
        assert receive_all(connections[0]) == b""
        assert all(is_answered(connection) for connection in connections[1:])
    assert exceeded == [ClientLimit.CONNECTIONS]
    for connection in connections:
        connection.close()


@pytest.mark.parametrize("data", [BEGUN, BEGUN_BODY], ids=["head", "body"])
def test_a_slow_request_gives_way_before_an_idle_connection(
    server: RecordingServer, exceeded: list[ClientLimit], data: bytes
) -> None:
    # Guards against requests that never end and so keep everybody else out.
    connections = fill(server, b"")
    connections[2].sendall(data)
    sleep(2 * GRACE_SECONDS)
    with server.open() as newcomer:
        assert is_answered(newcomer)
        assert b" 200 " not in receive_all(connections.pop(2))
        assert all(is_answered(connection) for connection in connections)
    assert ClientLimit.CONNECTIONS in exceeded
    for connection in connections:
        connection.close()


def test_a_connection_whose_request_has_arrived_is_kept(
    server: RecordingServer,
) -> None:
    # Guards against closing a connection whose client uses it.
    connections = fill(server, b"")
    for connection in connections:
        assert is_answered(connection)
    newcomers = [server.open() for _ in range(CONNECTIONS)]
    for newcomer in newcomers:
        assert is_answered(newcomer)
    for connection in connections:
        assert receive_all(connection) == b""
        connection.close()
    for newcomer in newcomers:
        newcomer.close()
