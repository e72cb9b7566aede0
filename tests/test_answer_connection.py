"""Cut or malformed answers, as each HTTP client of the system receives them."""

from collections.abc import Iterator

import pytest
from answer_clients import CLIENTS, ask, stream_by_client
from answering_server import AnsweringServer, run_server


@pytest.fixture
def server() -> Iterator[AnsweringServer]:
    with run_server() as answering_server:
        yield answering_server


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("client", CLIENTS)
def test_cut_chunked_body_is_not_taken_for_a_shorter_one(client, server) -> None:
    # Guards against a size cut inside its zeros, or a cut trailer, that ends the body.
    body = b"000005\r\nwhole\r\n0006;name=value\r\n piece\r\n000\r\nNote: x\r\n\r\n"
    whole = (200, b"whole piece")
    assert ask(client, server, CHUNKED_HEAD + body) == whole
    for cut in range(len(body)):
        assert ask(client, server, CHUNKED_HEAD + body[:cut]) is None, body[:cut]


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize(
    "body",
    [
        b"5\r\nwholeXX0\r\n\r\n",
        b"5\r\nwhole\n0\r\n\r\n",
        b"+5\r\nwhole\r\n0\r\n\r\n",
        b"0x5\r\nwhole\r\n0\r\n\r\n",
        b" 5\r\nwhole\r\n0\r\n\r\n",
        b"5\nwhole\r\n0\r\n\r\n",
        b"-1\r\nwhole\r\n0\r\n\r\n",
        b"0_5\r\nwhole\r\n0\r\n\r\n",
        b"\r\n5\r\nwhole\r\n0\r\n\r\n",
        b"5\r\nwhole\r\n0\r\nno field\r\n\r\n",
    ],
)
def test_malformed_chunk_is_an_error(client, server, body: bytes) -> None:
    # Guards against framing that two readers of the same bytes could read differently.
    assert ask(client, server, CHUNKED_HEAD + body) is None


HEADS = [
    (200, b"HTTP/1.1 200 OK\r\nServer-Limit: 16\r\nContent-Length: 11\r\n\r\n"),
    (200, b"HTTP/1.1 200 OK\r\nContent-Length: 011\r\nServer-Limit: 16\r\n\r\n"),
    (204, b"HTTP/1.1 204 No Content\r\nServer-Limit: 16\r\n\r\n"),
    (404, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nRetry-After: 0.25\r\n\r\n"),
    (503, b"HTTP/1.0 503\r\nNot-Executed: 1\r\n\r\n"),
    (
        200,
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 011\r\n\r\n",
    ),
]


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize(("status", "head"), HEADS)
def test_cut_head_is_an_error(client, server, status: int, head: bytes) -> None:
    # Guards against the end of a connection inside a head passing for its end.
    body = b"whole piece" if b"11\r\n" in head else b""
    assert ask(client, server, head + body) == (status, body)
    for cut in range(len(head)):
        assert ask(client, server, head[:cut]) is None, head[:cut]


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize(
    "line",
    [
        b"no field\r\n",
        b" folded: 1\r\n",
        b"Name : 1\r\n",
        b": 1\r\n",
        b"Name: 1\rContent-Length: 0\r\n",
        b"Name: \x00\r\n",
        b"Content-Length: 12\r\n",
        b"Content-Length: 11, 11\r\n",
        b"Content-Length: +11\r\n",
        b"Content-Length:\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
    ],
)
def test_malformed_head_is_an_error(client, server, line: bytes) -> None:
    # Guards against fields that are dropped behind a line that is not a field, and
    # against a body whose end two fields tell differently.
    start = b"HTTP/1.1 200 OK\r\nServer: x\r\n"
    end = b"Content-Length: 11\r\n\r\nwhole piece"
    assert ask(client, server, start + end) == (200, b"whole piece")
    assert ask(client, server, start + line + end) is None


@pytest.mark.parametrize("client", CLIENTS)
def test_transfer_coding_beside_chunks_is_an_error(client, server) -> None:
    # Guards against a coded body that is taken for one that a close ends.
    head = CHUNKED_HEAD.replace(b"chunked", b"gzip, chunked")
    assert ask(client, server, head + b"0\r\n\r\n") is None


@pytest.mark.parametrize("client", CLIENTS)
def test_repeated_equal_length_is_accepted(client, server) -> None:
    # Guards against refusing a whole answer whose length is stated twice.
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n"
    assert ask(client, server, head + b"ok") == (200, b"ok")


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("coding", [b"Chunked", b" \tchunked", b"chunked \t"])
def test_white_space_beside_the_coding_leaves_chunks(client, server, coding) -> None:
    # Guards against chunks that are taken for the body itself, up to the close.
    head = CHUNKED_HEAD.replace(b"chunked", coding)
    assert ask(client, server, head + b"5\r\nwhole\r\n0\r\n\r\n") == (200, b"whole")


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("coding", [b"\x0bchunked", b"chunked\x0b", b"chunked\xa0"])
def test_control_characters_beside_the_coding_are_an_error(
    client, server, coding
) -> None:
    # Guards against a coding that is checked in another spelling than it is read in.
    head = CHUNKED_HEAD.replace(b"chunked", coding)
    assert ask(client, server, head + b"5\r\nwhole\r\n0\r\n\r\n") is None


@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize(
    "trailer", [b"A: " + b"a" * 70_000 + b"\r\n", b"A: a\r\n" * 101]
)
def test_too_large_trailer_is_an_error(client, server, trailer: bytes) -> None:
    # Guards against the rest of a long line that passes for the end of the trailer, and
    # against a trailer that never ends.
    assert ask(client, server, CHUNKED_HEAD + b"0\r\n" + trailer + b"\r\n") is None


@pytest.mark.parametrize("client", CLIENTS)
def test_answer_before_a_close_is_returned_whole(client, server) -> None:
    # Guards against a failure on a socket that is closed once the body is complete.
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
    assert ask(client, server, head + b"ok") == (200, b"ok")


@pytest.mark.parametrize("client", CLIENTS)
def test_interim_head_is_not_taken_for_an_answer(client, server) -> None:
    # Guards against a head before the answer that counts as an answer without a body.
    interim = (
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    )
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    assert ask(client, server, interim + answer) == (200, b"ok")
    assert ask(client, server, interim) is None
    switch = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
    assert ask(client, server, switch + answer) is None


def test_cut_chunked_body_is_an_error_for_a_stream(server) -> None:
    # Guards against the reader of chunks that urllib3 has besides that of http.client.
    body = b"000005\r\nwhole\r\n000\r\nNote: x\r\n\r\n"
    assert ask(stream_by_client, server, CHUNKED_HEAD + body) == (200, b"whole")
    for cut in range(len(body)):
        answer = ask(stream_by_client, server, CHUNKED_HEAD + body[:cut])
        assert answer is None, body[:cut]


@pytest.mark.parametrize("client", CLIENTS)
def test_length_with_too_many_digits_is_an_error(client, server) -> None:
    # Guards against a length that int() refuses, which leaves the body without an end.
    head = b"HTTP/1.1 200 OK\r\nContent-Length: " + b"0" * 4400 + b"11\r\n\r\n"
    assert ask(client, server, head + b"whole") is None
