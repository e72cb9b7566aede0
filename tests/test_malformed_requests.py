"""Malformed or contradictory heads of requests, as each HTTP server reads them."""

from collections.abc import Iterator

import pytest
from request_servers import RecordingServer, run_server

START = b"POST /a HTTP/1.1\r\nHost: x\r\n"
END = b"Content-Length: 5\r\n\r\nwhole"
CHUNKED_END = b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
SECOND = b"GET /second HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture(scope="module", params=[True, False], ids=["front", "internal"])
def server(request) -> Iterator[RecordingServer]:
    with run_server(request.param) as recording_server:
        yield recording_server


def check_refused(server: RecordingServer, data: bytes) -> None:
    """Check that bytes are answered with a 400 alone and reach no handler."""
    received = server.exchange(data + SECOND)
    assert server.settle() == []
    assert received.startswith(b"HTTP/1.1 400 "), received[:80]
    assert received.count(b"\r\n\r\n") == 1
    assert b"\r\nConnection: close\r\n" in received


@pytest.mark.parametrize(
    "line",
    [
        b"no field\r\n",
        b" folded: 1\r\n",
        b"\tfolded\r\n",
        b"Name : 1\r\n",
        b": 1\r\n",
        b"Name: 1\rContent-Length: 0\r\n",
        b"Name: 1\r\r\n",
        b"Name: \x00\r\n",
        b"N\xe4me: 1\r\n",
        b"From x: 1\r\n",
        b"Content-Length: 6\r\n",
        b"Content-Length: 5, 5\r\n",
        b"Content-Length: +5\r\n",
        b"Content-Length: 0_5\r\n",
        b"Content-Length: \xb2\r\n",
        b"Content-Length:\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: identity\r\n",
    ],
)
def test_malformed_field_is_refused(server: RecordingServer, line: bytes) -> None:
    # Guards against fields that are dropped behind a line that is not a field, and
    # against a body that is read as the next request.
    check_refused(server, START + line + END)


@pytest.mark.parametrize(
    "line",
    [
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding: \x0bchunked\r\n",
        b"Transfer-Encoding:\r\n",
    ],
)
def test_coding_beside_chunks_is_refused(server: RecordingServer, line: bytes) -> None:
    # Guards against a coded body that is read as the next request.
    check_refused(server, START + line + CHUNKED_END)
    if b": chunked\r\n" not in line:
        check_refused(server, START + line + b"\r\n5\r\nwhole\r\n0\r\n\r\n")


@pytest.mark.parametrize(
    "line",
    [
        b"GET /a\r\n",
        b"GET\r\n",
        b"POST /a\r\n",
        b"GET /a b HTTP/1.1\r\n",
        b"GET  /a HTTP/1.1\r\n",
        b"GET\t/a HTTP/1.1\r\n",
        b" GET /a HTTP/1.1\r\n",
        b"GET /a HTTP/1.1 \r\n",
        b"GET /a HTTP/1.2\r\n",
        b"GET /a HTTP/01.1\r\n",
        b"GET /a HTTP/0.9\r\n",
        b"GET /a http/1.1\r\n",
        b"GET /a HTTP/1.1\rHost: y\r\n",
        b"GET /a\x0bHTTP/1.1\r\n",
        b"GET /a\x00 HTTP/1.1\r\n",
        b"G(T /a HTTP/1.1\r\n",
    ],
)
def test_malformed_request_line_is_refused(
    server: RecordingServer, line: bytes
) -> None:
    # Guards against a request of HTTP/0.9, which has no fields, and against a line that
    # two readers could take for different targets.
    check_refused(server, line + b"Host: x\r\n\r\n")
    if line.count(b" ") < 2:
        check_refused(server, line)


def test_repeated_equal_length_is_accepted(server: RecordingServer) -> None:
    # Guards against refusing a whole request whose length is stated twice.
    received = server.exchange(START + b"Content-Length: 5\r\n" + END)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert [request.body for request in server.settle()] == [b"whole"]


@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b" \tchunked \t"])
def test_chunked_in_any_spelling_is_read_as_chunks(
    server: RecordingServer, coding: bytes
) -> None:
    # Guards against two places that disagree on whether a body is chunked.
    received = server.exchange(START + CHUNKED_END.replace(b"chunked", coding))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert [request.body for request in server.settle()] == [b"whole"]


@pytest.mark.parametrize(
    "field",
    [
        b"A: " + b"a" * 70_000 + b"\r\n",
        (b"A: " + b"a" * 1000 + b"\r\n") * 300,
        b"A: a\r\n" * 101,
    ],
)
def test_too_large_head_is_refused(server: RecordingServer, field: bytes) -> None:
    # Guards against a check of a head that replaces the limits on its size.
    received = server.exchange(START + field + END)
    status = received.partition(b"\r\n")[0][9:]
    assert status == b"431 Request Header Fields Too Large"
    assert server.settle() == []


def test_later_version_of_the_protocol_is_refused(server: RecordingServer) -> None:
    # Guards against a 400 in place of the status that tells which version is wrong.
    received = server.exchange(b"GET /a HTTP/2.0\r\nHost: x\r\n\r\n")
    assert b" 505 " in received.partition(b"\r\n")[0]
    assert server.settle() == []
