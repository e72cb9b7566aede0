"""A server whose answers are cut by the end of their connection."""

import socket
from collections.abc import Callable, Iterator
from contextlib import closing
from typing import NamedTuple

import pytest
from answering_server import ClosingServer, end_in_order, receive_head

CONNECTION_FIELD = "Connection: close"


class EncodedAnswer(NamedTuple):
    """All bytes of an answer.

    Attributes:
        head: Start line and fields, with the empty line behind them.
        body: The body as it is sent, chunk sizes included.
        ends_by_close: Whether nothing but the end of the connection ends the body.
    """

    head: bytes
    body: bytes
    ends_by_close: bool

    def cuts(self) -> Iterator[int]:
        """Yield each number of bytes after which the answer can be cut."""
        yield from range(len(self.head) + len(self.body))

    def is_framed_at(self, cut: int) -> bool:
        """Check whether HTTP alone shows that the answer is cut there."""
        return cut < len(self.head) or not self.ends_by_close

    def first_bytes(self, cut: int) -> bytes:
        """Return the bytes of the answer before a cut."""
        return (self.head + self.body)[:cut]

    @property
    def whole(self) -> bytes:
        """All bytes of the answer."""
        return self.head + self.body


def length_behind_fields(status: str, fields: list[str], body: bytes) -> EncodedAnswer:
    """Return an answer with a length, which the last field states."""
    lines = [*fields, f"Content-Length: {len(body)}"]
    return EncodedAnswer(encode_head(status, lines), body, False)


def length_before_fields(status: str, fields: list[str], body: bytes) -> EncodedAnswer:
    """Return an answer with a length, which the first field states."""
    lines = [f"Content-Length: {len(body)}", *fields]
    return EncodedAnswer(encode_head(status, lines), body, False)


def in_chunks(status: str, fields: list[str], body: bytes) -> EncodedAnswer:
    """Return an answer in chunks, whose sizes have leading zeros."""
    chunks = b"%04x\r\n%s\r\n" % (len(body), body) if body else b""
    head = encode_head(status, ["Transfer-Encoding: chunked", *fields])
    return EncodedAnswer(head, chunks + b"0\r\n\r\n", False)


def without_length(status: str, fields: list[str], body: bytes) -> EncodedAnswer:
    """Return an answer that the end of the connection ends."""
    return EncodedAnswer(encode_head(status, fields), body, True)


def encode_head(status: str, fields: list[str]) -> bytes:
    """Return a head whose connection is not used again."""
    lines = [f"HTTP/1.1 {status}", CONNECTION_FIELD, *fields, "", ""]
    return "\r\n".join(lines).encode()


Framing = Callable[[str, list[str], bytes], EncodedAnswer]
FRAMINGS: list[Framing] = [
    length_behind_fields,
    length_before_fields,
    in_chunks,
    without_length,
]


class ScriptedServer(ClosingServer):
    """Sends prepared bytes on each connection, then closes it in order.

    Attributes:
        answers: The bytes for the next connections; the last ones are sent again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answers = [b""]

    def serve(self, connection: socket.socket) -> None:
        """Answer a request."""
        receive_head(connection)
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.pop(0)
        connection.sendall(answer)
        end_in_order(connection)


@pytest.fixture
def server() -> Iterator[ScriptedServer]:
    """Provide a started server."""
    with closing(ScriptedServer()) as scripted_server:
        scripted_server.start()
        yield scripted_server
