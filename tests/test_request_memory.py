"""The memory and the time that a body may take, at each HTTP server.

Whatever way a request ends, what it held is given back: otherwise a server would refuse
everything after enough clients that left in the middle.
"""

import socket
from collections.abc import Iterator
from contextlib import suppress
from time import monotonic, sleep

import pytest
from request_servers import (
    ClientEnd,
    RecordingServer,
    receive_all,
    run_server,
)

from ridgecourse.core.routes import ClientLimit, ClientLimits
from ridgecourse.net.request_body import gather

BODY_BYTES = 60_000
LENGTH_HEAD = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
CHUNKED_HEAD = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = LENGTH_HEAD.encode() + b"x" * BODY_BYTES
WHOLE_CHUNKED = CHUNKED_HEAD.encode() + b"ea60\r\n" + b"x" * BODY_BYTES
BODY_SECONDS = 0.5
SETTLE_SECONDS = 5.0


@pytest.fixture(params=[True, False], ids=["front", "internal"])
def server(request) -> Iterator[RecordingServer]:
    with run_server(request.param) as recording_server:
        recording_server.server.body_seconds = BODY_SECONDS
        yield recording_server


@pytest.fixture
def exceeded(server: RecordingServer) -> list[ClientLimit]:
    """Return the limits that clients exceed."""
    limits: list[ClientLimit] = []
    server.server.on_limit = lambda limit, detail: limits.append(limit)
    return limits


def wait_unused(server: RecordingServer) -> None:
    """Wait until all memory was given back."""
    deadline = monotonic() + SETTLE_SECONDS
    while server.server.budget.used_bytes or server.server.budget.reservations:
        assert monotonic() < deadline, server.server.budget.used_bytes
        sleep(0.005)


def wait_used(server: RecordingServer, size: int) -> None:
    """Wait until memory of a size is held."""
    deadline = monotonic() + SETTLE_SECONDS
    while server.server.budget.used_bytes < size:
        assert monotonic() < deadline, server.server.budget.used_bytes
        sleep(0.005)


@pytest.mark.parametrize("end", ClientEnd)
@pytest.mark.parametrize("data", [WHOLE, WHOLE_CHUNKED], ids=["length", "chunks"])
def test_memory_is_given_back_however_a_client_ends(
    server: RecordingServer, data: bytes, end: ClientEnd
) -> None:
    for cut in (len(data), len(data) - 1, len(data) - 30_000, 200, 20):
        server.exchange(data[:cut], end)
        wait_unused(server)


@pytest.mark.parametrize(
    "data",
    [
        LENGTH_HEAD.replace("60000", "99999999").encode() + b"x" * 1000,
        CHUNKED_HEAD.encode() + b"no size\r\n",
        CHUNKED_HEAD.encode() + b"ffff\r\n" + b"x" * 0xFFFF + b"\r\nffff\r\n",
        b"GET /a HTTP/1.1\r\nHost: x\r\nX-Note: " + b"y" * 20_000,
        b"GET /a HTTP/1.1\r\nno field\r\n",
    ],
    ids=["too-large", "malformed", "stalled-chunks", "large-head", "malformed-head"],
)
def test_memory_is_given_back_after_a_refusal(
    server: RecordingServer, data: bytes
) -> None:
    server.exchange(data)
    wait_unused(server)


def test_memory_is_given_back_when_the_server_closes(server: RecordingServer) -> None:
    with server.open() as connection:
        connection.sendall(LENGTH_HEAD.encode())
        wait_used(server, BODY_BYTES)
        server.ended.set()
        server.thread.join()
        wait_unused(server)


@pytest.mark.parametrize("head", [LENGTH_HEAD, CHUNKED_HEAD], ids=["length", "chunks"])
def test_a_body_that_drips_is_refused_at_its_deadline(
    server: RecordingServer, exceeded: list[ClientLimit], head: str
) -> None:
    # Guards against a limit of time for each read alone, and against an answer that
    # says nothing: 408 promises that the request has not run.
    received = b""
    with server.open() as connection:
        connection.sendall(head.encode())
        connection.settimeout(0.05)
        deadline = monotonic() + SETTLE_SECONDS
        while not received:
            assert monotonic() < deadline
            with suppress(TimeoutError):
                connection.sendall(b"0" if head is CHUNKED_HEAD else b"x")
                received = connection.recv(65536)
    assert received.startswith(b"HTTP/1.1 408 Request Timeout\r\n")
    assert b"Connection: close" in received or b"connection: close" in received
    assert [request.body for request in server.settle()] == [None]
    wait_unused(server)


def test_a_body_that_pauses_within_its_deadline_is_served(
    server: RecordingServer,
) -> None:
    # Guards against a limit on heads that ends bodies.
    server.server.limits = ClientLimits(header_seconds=0.1, idle_seconds=0.1)
    with server.open() as connection:
        connection.sendall(WHOLE[:-1])
        sleep(0.3)
        connection.sendall(WHOLE[-1:])
        connection.shutdown(socket.SHUT_WR)
        assert b" 200 OK" in receive_all(connection)
    [request] = server.settle()
    assert request.body == b"x" * BODY_BYTES


def test_without_memory_a_body_is_refused_at_once(server: RecordingServer) -> None:
    # Guards against a body that is read although there is no memory for it.
    server.server.budget.capacity_bytes = BODY_BYTES // 2
    with server.open() as connection:
        connection.sendall(LENGTH_HEAD.encode())
        received = receive_all(connection)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in received
    wait_unused(server)
    assert b" 200 OK" in server.exchange(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")


def test_a_stalled_body_gives_way_to_another(
    server: RecordingServer, exceeded: list[ClientLimit]
) -> None:
    # Guards against clients that never end their bodies and so keep all memory.
    server.server.budget.capacity_bytes = BODY_BYTES + BODY_BYTES // 2
    server.server.body_seconds = 2 * SETTLE_SECONDS
    with server.open() as stalled:
        stalled.sendall(WHOLE[:-1])
        wait_used(server, BODY_BYTES)
        deadline = monotonic() + SETTLE_SECONDS
        while b" 200 OK" not in server.exchange(WHOLE):
            assert monotonic() < deadline
        assert receive_all(stalled).startswith(b"HTTP/1.1 503 ")
    wait_unused(server)
    assert ClientLimit.SLOW_TRANSFER in exceeded


def test_a_mounted_application_gets_whole_bodies_within_the_limits() -> None:
    # Guards against an application of a library that reads bodies without a limit on
    # their sum and on their time.
    bodies: list[bytes] = []

    def record(environ, start_response):  # type: ignore[no-untyped-def]
        bodies.append(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    with run_server(is_front=False) as recording_server:
        recording_server.server.app.mount("/a", record)  # type: ignore[attr-defined]
        recording_server.server.body_seconds = BODY_SECONDS
        end = b"\r\n0\r\n\r\n"
        assert b" 200 OK" in recording_server.exchange(WHOLE)
        assert b" 200 OK" in recording_server.exchange(WHOLE_CHUNKED + end)
        assert bodies == [b"x" * BODY_BYTES] * 2
        with recording_server.open() as connection:
            connection.sendall(WHOLE[:-1])
            assert receive_all(connection).startswith(b"HTTP/1.1 408 ")
        recording_server.server.budget.capacity_bytes = BODY_BYTES - 1
        assert recording_server.exchange(WHOLE).startswith(b"HTTP/1.1 503 ")
        wait_unused(recording_server)
    assert len(bodies) == 2


@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 300_000])
@pytest.mark.parametrize("is_known", [True, False], ids=["length", "chunks"])
def test_a_body_is_gathered_whole(size: int, is_known: bool) -> None:
    data = bytes(index % 251 for index in range(size))
    pieces = [data[start : start + 7_000] for start in range(0, size, 7_000)]
    body = gather(pieces, size if is_known else 0)
    assert len(body) == size
    assert body == data


def test_a_body_that_ends_before_its_stated_length_is_as_long_as_it_is() -> None:
    assert gather([b"x" * 100_000], 200_000) == b"x" * 100_000


def test_a_body_that_gave_way_is_not_served_though_its_rest_had_arrived(
    server: RecordingServer,
) -> None:
    # Guards against a request that runs with memory that was given to another one.
    server.server.body_seconds = 2 * SETTLE_SECONDS
    with server.open() as connection:
        connection.sendall(WHOLE[:-1])
        wait_used(server, BODY_BYTES)
        [reservation] = server.server.budget.reservations

        def evict_behind_the_rest() -> None:
            connection.sendall(WHOLE[-1:])
            reservation.evict()

        server.run_in_loop(evict_behind_the_rest)
        assert receive_all(connection).startswith(b"HTTP/1.1 503 ")
    assert [request.body for request in server.settle()] == [None]
    wait_unused(server)


def test_a_long_unread_body_ends_the_connection(
    server: RecordingServer, exceeded: list[ClientLimit]
) -> None:
    # Guards against reading on for as long as a refused client sends.
    length = f"POST /probe HTTP/1.1\r\nHost: x\r\nContent-Length: {2 * 65536}\r\n\r\n"
    chunks = CHUNKED_HEAD.replace("/a", "/probe") + "20000\r\n"
    for head in (length, chunks):
        with server.open() as connection:
            connection.sendall(head.encode() + b"x" * (2 * 65536 - 1))
            assert b" 200 OK" in receive_all(connection)
    assert exceeded == [ClientLimit.UNREAD_BODY] * 2
    wait_unused(server)
