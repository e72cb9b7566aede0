"""Connections on which the HTTP clients of all programs receive answers.

An answer that is cut inside its head, inside the size of a chunk or before the end of
its trailer fields is an error here. ``http.client`` takes such an answer for a whole
one with fewer fields or a shorter body.
"""

from http.client import (
    CONTINUE,
    OK,
    SWITCHING_PROTOCOLS,
    HTTPResponse,
    IncompleteRead,
)
from typing import Any

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3 import HTTPResponse as UrllibResponse
from urllib3.connection import HTTPConnection

from ridgecourse.net.head_reader import (
    CHUNK_SIZE_LINE,
    MAX_LINE_BYTES,
    HeadReader,
    IncompleteHead,
    InvalidHead,
    check_framing,
    skip_trailer,
)


class AnswerResponse(HTTPResponse):
    """An answer whose head and whose chunks are checked.

    Attributes:
        fp: The bytes of the connection; None after the end of the body.
        chunk_left: Bytes left of the current chunk; None before and after a chunk.
    """

    fp: Any
    chunk_left: Any

    def begin(self) -> None:
        """Read the head.

        Raises:
            IncompleteHead: The connection ended inside the head.
            InvalidHead: The head is malformed or contradicts itself.
        """
        stream = self.fp
        reader = HeadReader(stream)
        self.fp = reader
        try:
            super().begin()
            check_framing(self.headers)
        finally:
            if self.fp is reader:
                self.fp = stream

    def _read_status(self) -> tuple[str, int, str]:
        """Return version, status and reason of the next head.

        ``http.client`` skips only heads with the status 100, so that this status stands
        for that of every interim answer (RFC 9110, section 15.2).

        Raises:
            InvalidHead: The server switches protocols, for which no client here asks.
        """
        version, status, reason = super()._read_status()  # type: ignore[misc]
        if status == SWITCHING_PROTOCOLS:
            raise InvalidHead("status 101 without a request to switch protocols")
        return version, CONTINUE if status < OK else status, reason

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the current chunk; None after the last one.

        Raises:
            IncompleteRead: The framing is malformed, or the connection ended inside it.
        """
        if self.chunk_left == 0:
            end = self.fp.read(2)
            if end != b"\r\n":
                raise IncompleteRead(end)
            self.chunk_left = None
        return super()._get_chunk_left()  # type: ignore[misc]

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk.

        Raises:
            IncompleteRead: The size is malformed, or the connection ended inside it.
        """
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        size_line = CHUNK_SIZE_LINE.fullmatch(line)
        if size_line is None:
            raise IncompleteRead(line)
        return int(size_line[1], 16)

    def _read_and_discard_trailer(self) -> None:
        """Read the trailer fields up to the empty line that ends the body.

        Raises:
            IncompleteRead: The trailer is malformed, or the connection ended inside it.
        """
        try:
            skip_trailer(self.fp)
        except (IncompleteHead, InvalidHead) as error:
            raise IncompleteRead(b"") from error


class AnswerConnection(HTTPConnection):
    """A connection whose answers are checked."""

    response_class = AnswerResponse

    def getresponse(self) -> UrllibResponse:  # type: ignore[override]
        """Return the answer with its body unread."""
        response = super().getresponse()
        response.supports_chunked_reads = _never  # type: ignore[method-assign]
        return response


def _never() -> bool:
    """Keep urllib3 from reading chunks itself, past the checks of the answer."""
    return False


class AnswerPool(HTTPConnectionPool):
    """Connections to one server whose answers are checked."""

    ConnectionCls = AnswerConnection


class AnswerPoolManager(PoolManager):
    """Connections to several servers whose answers are checked."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": AnswerPool}
