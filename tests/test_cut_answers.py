"""Generated answers, whole or cut at any byte, as each HTTP client receives them."""

from collections.abc import Iterator
from typing import NamedTuple

import pytest
from answer_clients import (
    CLIENTS,
    Client,
    ask,
    ask_on_kept_connection_again,
    read_lines_by_client,
)
from answering_server import AnsweringServer, run_server
from hypothesis import given, settings
from hypothesis import strategies as st

MAX_EXAMPLES = 60
LAST_BYTES = 8
"""Bytes at the end of an answer in which half of the cuts fall."""

TOKEN_CHARACTERS = "abcxyzABCXYZ0189!#$%&'*+-.^_`|~"
VALUE_CHARACTERS = TOKEN_CHARACTERS + ' \t:;,="()/<>?@[]{}\\'
FRAMING_NAMES = ("content-length", "transfer-encoding", "content-encoding")
LENGTH_STATUSES = (200, 201, 202, 206, 400, 404, 409, 429, 500, 503, 599)
SIZE_EXTENSIONS = (b"", b"", b";name", b" ;name=value", b'; name="quoted value"')


class WholeAnswer(NamedTuple):
    """All bytes of an answer, and what they mean.

    Attributes:
        data: The bytes.
        status: Status of the answer.
        body: The decoded body.
        close_from: Length of all heads if only a close ends the body, else None.
    """

    data: bytes
    status: int
    body: bytes
    close_from: int | None


values = st.text(VALUE_CHARACTERS, max_size=12).map(str.strip)
fields = st.one_of(
    st.tuples(
        st.text(TOKEN_CHARACTERS, min_size=1, max_size=8).filter(
            lambda name: name.lower() not in FRAMING_NAMES
        ),
        values,
    ),
    st.sampled_from(
        [
            ("Server-Limit", "16"),
            ("Not-Executed", "1"),
            ("Content-Type", "text/event-stream"),
            ("Retry-After", "0.25"),
            ("Connection", "close"),
            ("Connection", "keep-alive"),
        ]
    ),
)
bodies = st.one_of(
    st.binary(max_size=40),
    st.lists(
        st.sampled_from(
            [b"0\r\n\r\n", b"\r\n", b"data: 1\n\n", b"HTTP/1.1 200 OK\r\n"]
        ),
        max_size=4,
    ).map(b"".join),
)


def encode_fields(pairs: list[tuple[str, str]]) -> bytes:
    return b"".join(f"{name}: {value}\r\n".encode() for name, value in pairs)


@st.composite
def chunked_bodies(draw, body: bytes) -> bytes:
    """Return a body in chunks, with all that may stand between the pieces."""

    def draw_size(size: int) -> bytes:
        digits = b"0" * draw(st.integers(0, 4)) + b"%x" % size
        digits = digits.upper() if draw(st.booleans()) else digits
        return digits + draw(st.sampled_from(SIZE_EXTENSIONS)) + b"\r\n"

    encoded = b""
    while body:
        size = draw(st.integers(1, len(body)))
        encoded += draw_size(size) + body[:size] + b"\r\n"
        body = body[size:]
    trailer = encode_fields(draw(st.lists(fields, max_size=2)))
    return encoded + draw_size(0) + trailer + b"\r\n"


@st.composite
def heads(draw, status: int, version: str, pairs: list[tuple[str, str]]) -> bytes:
    reason = draw(st.sampled_from(["", " ", " OK", " Not Found", " 200", " a: b"]))
    return f"{version} {status}{reason}\r\n".encode() + encode_fields(pairs) + b"\r\n"


@st.composite
def whole_answers(draw) -> WholeAnswer:
    pairs = draw(st.lists(fields, max_size=4))
    interim = b""
    for _ in range(draw(st.integers(0, 2))):
        extra = draw(st.lists(fields, max_size=2))
        interim += draw(
            heads(draw(st.sampled_from([100, 100, 103])), "HTTP/1.1", extra)
        )
    framing = draw(st.sampled_from(["length", "chunks", "chunks", "close", "none"]))
    body = b"" if framing == "none" else draw(bodies)
    encoded = body
    version = "HTTP/1.1"
    status = 204 if framing == "none" else draw(st.sampled_from(LENGTH_STATUSES))
    if framing == "length":
        length = "0" * draw(st.integers(0, 2)) + str(len(body))
        for _ in range(draw(st.integers(1, 2))):
            place = draw(st.integers(0, len(pairs)))
            name = draw(st.sampled_from(["Content-Length", "content-length"]))
            pairs.insert(place, (name, length))
    elif framing == "chunks":
        place = draw(st.integers(0, len(pairs)))
        coding = draw(st.sampled_from(["chunked", "Chunked"]))
        pairs.insert(place, ("Transfer-Encoding", coding))
        encoded = draw(chunked_bodies(body))
    if framing != "chunks":
        version = draw(st.sampled_from(["HTTP/1.1", "HTTP/1.0"]))
    head = interim + draw(heads(status, version, pairs))
    close_from = len(head) if framing == "close" else None
    return WholeAnswer(head + encoded, status, body, close_from)


@pytest.fixture(scope="module")
def server() -> Iterator[AnsweringServer]:
    with run_server() as answering_server:
        yield answering_server


def expect(client: Client, status: int, body: bytes) -> tuple[int, bytes]:
    """Return what a client returns for an answer."""
    if client is read_lines_by_client:
        body = body.removesuffix(b"\n")
    return status, body


@pytest.mark.parametrize("client", CLIENTS)
@settings(max_examples=MAX_EXAMPLES, deadline=None)
@given(whole_answers(), st.booleans())
def test_whole_answer_is_returned_whole(
    client, server, answer: WholeAnswer, is_bytewise: bool
) -> None:
    # Guards against refusing, or cutting, an answer that is valid and whole.
    server.is_bytewise, server.resets = is_bytewise, False
    received = ask(client, server, answer.data)
    assert received == expect(client, answer.status, answer.body)


@pytest.mark.parametrize("client", CLIENTS)
@settings(max_examples=2 * MAX_EXAMPLES, deadline=None)
@given(whole_answers(), st.data(), st.booleans(), st.booleans())
def test_cut_answer_is_never_returned(
    client, server, answer: WholeAnswer, data, is_bytewise: bool, resets: bool
) -> None:
    # Guards against the end of a connection passing for the end of an answer.
    last = len(answer.data) - 1
    # The last size and the trailer are short; half of the cuts fall on the end.
    first = data.draw(st.sampled_from([0, max(0, last - LAST_BYTES)]))
    cut = data.draw(st.integers(first, last), label="cut")
    server.is_bytewise, server.resets, server.request_count = is_bytewise, resets, 0
    received = ask(client, server, answer.data[:cut])
    if answer.close_from is None or cut < answer.close_from or resets:
        assert received is None
    else:
        part = answer.data[answer.close_from : cut]
        assert received == expect(client, answer.status, part)
    # A connection that was closed before any byte, or reset, may have been closed
    # before the request arrived; only there a GET is sent again.
    is_repeated = client is ask_on_kept_connection_again and (cut == 0 or resets)
    assert server.request_count in ((1, 2) if is_repeated else (1,))
