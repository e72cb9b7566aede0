"""Limits on what one client sends, as each HTTP server applies them."""

import socket
from collections.abc import Iterator
from contextlib import suppress
from time import monotonic, sleep

import pytest
from request_servers import RecordingServer, receive_all, run_server

from ridgecourse.core.routes import ClientLimit, ClientLimits

HEADER_BYTES = 512
HEADER_SECONDS = 0.4
START = b"GET /a HTTP/1.1\r\nHost: x\r\n"
MAX_FIELDS = 99
DRIP_SECONDS = 0.05
DRIPS = 100


@pytest.fixture(params=[True, False], ids=["front", "internal"])
def server(request) -> Iterator[RecordingServer]:
    with run_server(request.param) as recording_server:
        recording_server.server.limits = ClientLimits(
            header_bytes=HEADER_BYTES, header_seconds=HEADER_SECONDS
        )
        yield recording_server


@pytest.fixture
def exceeded(server: RecordingServer) -> list[ClientLimit]:
    """Return the limits that clients exceed."""
    limits: list[ClientLimit] = []
    server.server.on_limit = lambda limit, detail: limits.append(limit)
    return limits


def head_of(size: int) -> bytes:
    """Return a head of a number of bytes, without the empty line that ends it."""
    note = b"X-Note: "
    padding = size - len(START) - len(note) - 2
    return START + note + b"n" * padding + b"\r\n"


def test_a_head_of_the_largest_size_is_served(
    server: RecordingServer, exceeded: list[ClientLimit]
) -> None:
    # Guards against a limit that a client inside the limits meets.
    received = server.exchange(head_of(HEADER_BYTES) + b"\r\n")
    assert received.startswith(b"HTTP/1.1 200 ")
    assert len(server.settle()) == 1
    assert exceeded == []


@pytest.mark.parametrize(
    "head",
    [
        head_of(HEADER_BYTES + 1) + b"\r\n",
        head_of(HEADER_BYTES + 1),
        b"GET /" + b"a" * HEADER_BYTES + b" HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /" + b"a" * HEADER_BYTES,
    ],
)
def test_a_longer_head_is_refused_before_its_end(
    server: RecordingServer, exceeded: list[ClientLimit], head: bytes
) -> None:
    # Guards against a limit that acts only once the whole head is held.
    with server.open() as connection:
        connection.sendall(head)
        received = receive_all(connection)
    assert received.startswith(b"HTTP/1.1 431 Request Header Fields Too Large\r\n")
    assert server.settle() == []
    assert exceeded == [ClientLimit.HEAD_SIZE]


def test_a_head_with_too_many_fields_is_refused(
    server: RecordingServer, exceeded: list[ClientLimit]
) -> None:
    # Guards against heads that cost many times their size.
    server.server.limits = ClientLimits()
    fields = b"a:b\r\n" * (MAX_FIELDS - 1)
    assert b" 200 OK" in server.exchange(START + fields + b"\r\n")
    received = server.exchange(START + fields + b"a:b\r\n")
    assert received.startswith(b"HTTP/1.1 431 ")
    assert len(server.settle()) == 1
    assert exceeded == [ClientLimit.HEAD_FIELDS]


@pytest.mark.parametrize("begun", [b"GET /", START + b"X-Note: "])
def test_a_head_that_drips_is_closed(
    server: RecordingServer, exceeded: list[ClientLimit], begun: bytes
) -> None:
    # Guards against a limit of time for each read: a byte now and then keeps a
    # connection, and what it has sent, for as long as its client likes.
    with server.open() as connection:
        connection.sendall(begun)
        assert drip(connection) == b""
    assert server.settle() == []
    assert exceeded == [ClientLimit.HEAD_TIME]


def drip(connection: socket.socket) -> bytes:
    """Send a byte now and then until the server ends the connection.

    Returns:
        What the server has answered.
    """
    connection.settimeout(DRIP_SECONDS)
    received = b""
    for _ in range(DRIPS):
        with suppress(TimeoutError):
            try:
                connection.sendall(b"x")
                piece = connection.recv(65536)
            except ConnectionError:
                return received
            if not piece:
                return received
            received += piece
    raise AssertionError("the server kept the connection")


def test_the_time_of_a_head_ends_with_the_head(server: RecordingServer) -> None:
    # Guards against a timer of one head that ends the request, or the next one.
    with server.open() as connection:
        for _ in range(2):
            connection.sendall(START + b"\r\n")
            answer = b""
            while not answer.endswith(b"served"):
                answer += connection.recv(65536)
            wake_at = monotonic() + 1.5 * HEADER_SECONDS
            sleep(wake_at - monotonic())
        assert answer.startswith(b"HTTP/1.1 200 ")
    assert len(server.settle()) == 2
