"""Requests that end before their last byte, as each HTTP server reads them.

The end of a connection inside a request must not pass for the end of the request: its
target, its fields or its body would be others than those that the client meant.
"""

from collections.abc import Iterator
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from request_servers import (
    NOTE_HEADER,
    ClientEnd,
    RecordedRequest,
    RecordingServer,
    receive_all,
    run_server,
)

from ridgecourse.core.routes import ClientLimits


class WholeRequest(NamedTuple):
    """All bytes of a request, and what its handler must get."""

    data: bytes
    recorded: RecordedRequest
    head_bytes: int


@pytest.fixture(scope="module", params=[True, False], ids=["front", "internal"])
def server(request) -> Iterator[RecordingServer]:
    with run_server(request.param) as recording_server:
        yield recording_server


def make_request(
    method: str = "GET",
    target: str = "/a?b=c",
    note: str = "one two",
    chunks: tuple[bytes, ...] | None = None,
    size_zeros: int = 0,
    extension: bytes = b"",
    trailers: bytes = b"",
    body: bytes = b"",
) -> WholeRequest:
    """Return a request; one with ``chunks`` has a chunked body, else ``body``."""
    head = f"{method} {target} HTTP/1.1\r\nHost: x\r\n{NOTE_HEADER}: {note}\r\n"
    framed = body
    if chunks is not None:
        head += "Transfer-Encoding: chunked\r\n"
        zeros = b"0" * size_zeros
        framed = b"".join(
            b"%s%x%s\r\n%s\r\n" % (zeros, len(chunk), extension, chunk)
            for chunk in chunks
        )
        framed += b"%s0%s\r\n%s\r\n" % (zeros, extension, trailers)
        body = b"".join(chunks)
    elif body:
        head += f"Content-Length: {len(body):04}\r\n"
    head_data = f"{head}\r\n".encode()
    recorded = RecordedRequest(method, target, note, body)
    return WholeRequest(head_data + framed, recorded, len(head_data))


words = st.text("abcXYZ019.-_~", min_size=1, max_size=8)
requests = st.one_of(
    st.builds(make_request, target=words.map("/{}".format), note=words),
    st.builds(
        make_request,
        method=st.just("POST"),
        note=words,
        body=st.binary(min_size=1, max_size=40),
    ),
    st.builds(
        make_request,
        method=st.just("POST"),
        note=words,
        chunks=st.lists(st.binary(min_size=1, max_size=20), max_size=3).map(tuple),
        size_zeros=st.integers(0, 4),
        extension=st.sampled_from([b"", b";a", b';a="b c"', b" ;x=0"]),
        trailers=st.sampled_from([b"", b"X-Sum: 1\r\n", b"A: 1\r\nB: 2\r\n"]),
    ),
)
EXAMPLES = [
    make_request(),
    make_request(method="POST", body=b"0\r\n\r\n whole body"),
    make_request(
        method="POST",
        chunks=(b"whole", b" body"),
        size_zeros=4,
        extension=b";name=value",
        trailers=b"X-Sum: 1\r\nX-Two: 2\r\n",
    ),
]


def is_prefix_of_whole(
    recorded: list[RecordedRequest],
    whole: list[WholeRequest],
    cut: int,
    end: ClientEnd,
) -> bool:
    """Check whether a handler got no other requests than whole ones, each in its turn.

    It may also have got the head of the request that was cut, if the head is whole and
    the body could not be read. A reset also discards what the client's system has not
    sent yet, so that it may cut the requests earlier than ``cut``.
    """
    start = 0
    for index, request in enumerate(whole):
        is_whole = start + len(request.data) <= cut
        if index == len(recorded):
            return True
        expected = request.recorded
        if not is_whole:
            expected = expected._replace(body=None)
            has_head = start + request.head_bytes <= cut
            return has_head and recorded[index:] == [expected]
        if recorded[index] != expected:
            unread = expected._replace(body=None)
            return end is ClientEnd.RESET and recorded[index:] == [unread]
        start += len(request.data)
    return len(recorded) == len(whole)


@given(
    whole=st.lists(requests, min_size=1, max_size=2),
    end=st.sampled_from(ClientEnd),
    is_bytewise=st.booleans(),
    choices=st.data(),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_no_cut_request_is_taken_for_whole(
    server: RecordingServer,
    whole: list[WholeRequest],
    end: ClientEnd,
    is_bytewise: bool,
    choices: st.DataObject,
) -> None:
    # Guards against the end of a connection passing for the end of a head or a body.
    data = b"".join(request.data for request in whole)
    cut = choices.draw(st.integers(0, len(data)))
    received = server.exchange(data[:cut], end, is_bytewise)
    recorded = server.settle()
    assert is_prefix_of_whole(recorded, whole, cut, end), (data[:cut], recorded)
    if end is ClientEnd.HALF_CLOSE:
        served = [request for request in recorded if request.body is not None]
        assert received.count(b"HTTP/1.1 200 OK\r\n") == len(served)
        assert (len(served) == len(whole)) == (cut == len(data))


@pytest.mark.parametrize("whole", EXAMPLES)
def test_cut_request_is_not_answered(
    server: RecordingServer, whole: WholeRequest
) -> None:
    # Guards against an answer that depends on where a request was cut.
    assert b" 200 OK" in server.exchange(whole.data)
    assert server.settle() == [whole.recorded]
    for cut in range(len(whole.data)):
        received = server.exchange(whole.data[:cut])
        recorded = server.settle()
        is_prefix = is_prefix_of_whole(recorded, [whole], cut, ClientEnd.HALF_CLOSE)
        assert is_prefix, (whole.data[:cut], recorded)
        assert received == b"", whole.data[:cut]


@pytest.mark.parametrize("whole", EXAMPLES)
def test_cut_body_is_not_taken_for_a_shorter_one(
    server: RecordingServer, whole: WholeRequest
) -> None:
    # Guards against a size cut inside its zeros, or a cut trailer, that ends the body.
    assert b" 200 OK" in server.exchange(whole.data)
    assert server.settle() == [whole.recorded]
    for cut in range(whole.head_bytes, len(whole.data)):
        received = server.exchange(whole.data[:cut])
        assert server.settle() == [whole.recorded._replace(body=None)], whole.data[:cut]
        assert received == b"", whole.data[:cut]


CHUNKED_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "body",
    [
        b"5\r\nwholeXX0\r\n\r\n",
        b"5\r\nwhole\n0\r\n\r\n",
        b"5\r\nwhole-more\r\n0\r\n\r\n",
        b"+5\r\nwhole\r\n0\r\n\r\n",
        b"0x5\r\nwhole\r\n0\r\n\r\n",
        b" 5\r\nwhole\r\n0\r\n\r\n",
        b"5\nwhole\r\n0\r\n\r\n",
        b"-1\r\nwhole\r\n0\r\n\r\n",
        b"0_5\r\nwhole\r\n0\r\n\r\n",
        b"\r\n5\r\nwhole\r\n0\r\n\r\n",
        b"5\r\nwhole\r\n0\r\nno field\r\n\r\n",
        b"5\r\nwhole\r\n0\r\n" + b"A: " + b"a" * 70_000 + b"\r\n\r\n",
    ],
)
def test_malformed_chunk_is_refused(server: RecordingServer, body: bytes) -> None:
    # Guards against framing that two readers of the same bytes could read differently:
    # what one takes for the rest of a body, the other takes for the next request.
    received = server.exchange(CHUNKED_HEAD + body + make_request().data)
    [recorded] = server.settle()
    assert recorded.body is None
    assert received.startswith(b"HTTP/1.1 400 Bad Request\r\n")
    assert received.count(b"HTTP/1.1 ") == 1


def test_client_that_waits_for_100_continue_sends_its_body(
    server: RecordingServer,
) -> None:
    # Guards against a check of the body that leaves out the interim answer.
    whole = EXAMPLES[-1]
    head = whole.data[: whole.head_bytes - 2] + b"Expect: 100-continue\r\n\r\n"
    with server.open() as connection, connection.makefile("rb") as file:
        connection.sendall(head)
        assert file.readline() == b"HTTP/1.1 100 Continue\r\n"
        assert file.readline() == b"\r\n"
        connection.sendall(whole.data[whole.head_bytes :])
        assert file.readline() == b"HTTP/1.1 200 OK\r\n"
    assert server.settle() == [whole.recorded]


@pytest.mark.parametrize("first", EXAMPLES)
def test_cut_second_request_does_not_disturb_the_first(
    server: RecordingServer, first: WholeRequest
) -> None:
    # Guards against bytes behind a request that end the answer to this request.
    second = EXAMPLES[-1]
    for cut in range(len(second.data)):
        received = server.exchange(first.data + second.data[:cut])
        assert server.settle()[0] == first.recorded
        assert received.endswith(b"served"), second.data[:cut]
        assert received.count(b"HTTP/1.1 ") == 1, second.data[:cut]
    received = server.exchange(first.data + second.data)
    assert server.settle() == [first.recorded, second.recorded]
    assert received.count(b"HTTP/1.1 200 OK\r\n") == 2


@pytest.mark.parametrize("sent", [b"GET /a HT", b"GET /a HTTP/1.1\r\nHost: x\r\nX-No"])
def test_stalled_head_is_not_answered(sent: bytes) -> None:
    # Guards against a reader of heads that waits for the rest without a limit, or takes
    # a time-out for the end of the head.
    with run_server(is_front=True) as recording_server:
        limits = ClientLimits(header_seconds=0.2, idle_seconds=0.2)
        recording_server.server.limits = limits
        with recording_server.open() as connection:
            connection.sendall(sent)
            assert receive_all(connection) == b""
        assert recording_server.settle() == []
