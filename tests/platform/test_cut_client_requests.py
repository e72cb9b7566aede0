"""Requests of clients that end before their last byte, at a gateway."""

import socket
from contextlib import suppress
from struct import pack

import pytest
from gateway_site import GatewaySite, receive_response

STREAM_HEADERS = ("Model: m0", "Token-Usage: 100,50")
CHUNKED_BODY = b"00005;name=value\r\nwhole\r\n0005\r\n body\r\n000\r\nNote: 1\r\n\r\n"
ROUTES = ("/safe/x", "/once/x", "/stream/x", "/once-stream/x", "/open/x")


def make_request(front: GatewaySite, path: str, is_chunked: bool) -> bytes:
    """Return a whole request with a body."""
    framing = "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 0010"
    head = front.head(path, method="POST", extra=(*STREAM_HEADERS, framing))
    return head.encode() + (CHUNKED_BODY if is_chunked else b"whole body")


def receive_all(connection: socket.socket) -> bytes:
    """Return all bytes up to the end of a connection."""
    return b"".join(iter(lambda: connection.recv(65536), b""))


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_cut_request_reaches_no_engine_and_is_not_answered(
    front, is_chunked: bool
) -> None:
    # Guards against the end of a connection passing for the end of a request, and
    # against an answer that depends on where the cut falls.
    for service in ("app", "llm"):
        front.add_engine(service)
    front.start()
    for path in ROUTES:
        whole = make_request(front, path, is_chunked)
        for cut in range(len(whole)):
            with socket.create_connection(front.frontend, 10.0) as connection:
                connection.sendall(whole[:cut])
                connection.shutdown(socket.SHUT_WR)
                assert receive_all(connection) == b"", whole[:cut]
            linger = pack("ii", 1, 0) if cut % 2 else pack("ii", 0, 0)
            with (
                socket.create_connection(front.frontend, 10.0) as connection,
                suppress(ConnectionError),
            ):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.sendall(whole[:cut])
        # A whole request behind all the others shows that the routes are in use.
        with socket.create_connection(front.frontend, 10.0) as connection:
            connection.sendall(whole)
            assert receive_response(connection)[0] == 200
    received = [
        request
        for engine in front.engines
        for request in engine.requests
        if not request.request_line.startswith("GET /healthz ")
    ]
    assert [request.body for request in received] == [b"whole body"] * len(ROUTES)


@pytest.mark.parametrize(
    "line", ["no field", " folded: 1", "Name : 1", "Name: 1\rKey: x"]
)
def test_malformed_field_of_a_client_is_refused(front, line: str) -> None:
    # Guards against fields, the deadline or the key say, that are dropped behind a line
    # that is not a field.
    engine = front.add_engine("app")
    front.start()
    status, _, body, is_complete = front.ask("/once/x", method="POST", extra=(line,))
    assert (status, is_complete) == (400, True)
    assert body.startswith(b"malformed line ")
    assert engine.requests == []


def test_request_of_two_words_reaches_no_engine(front) -> None:
    # Guards against a cut request line that passes for one of HTTP/0.9.
    engine = front.add_engine("app")
    front.start()
    for line in (b"GET /open/x\r\n", b"GET /open/x\r\n\r\n"):
        with front.open() as connection:
            connection.sendall(line)
            assert receive_response(connection)[0] == 400
    assert engine.requests == []
