"""Connections on which all HTTP clients of this system receive answers.

An answer that is cut inside the size of a chunk or before the end of its trailer fields
is an error here. ``http.client`` takes such an answer for a whole one with a shorter
body.
"""

import re
from http.client import HTTPResponse, IncompleteRead
from typing import Any, BinaryIO

from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

from ridgecourse.net.head_end import HeadEnd

EMPTY_LINES = (b"\r\n", b"\n")
MAX_LINE_BYTES = 64 * 1024
"""Longest line with the size of a chunk, or trailer field."""
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n\0]*)?\r\n")


class HeadReader:
    """Reads the lines of a head, and records how the head ended.

    Attributes:
        stream: The bytes of the connection.
        end: How the head ended, as far as it was read.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self.stream = stream
        self.end = HeadEnd.NO_ANSWER

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; at the end of the connection, what there is of it."""
        line = self.stream.readline(limit)
        if line in (b"\r\n", b"\n"):
            self.end = HeadEnd.EMPTY_LINE
        elif line or self.end is not HeadEnd.NO_ANSWER:
            self.end = HeadEnd.CLOSE
        return line

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()


class AnswerResponse(HTTPResponse):
    """An answer whose chunks are checked, and that tells how its head ended.

    Attributes:
        fp: The bytes of the connection; None after the end of the body.
        chunk_left: Bytes left of the current chunk; None before and after a chunk.
        head_end: How the head ended; None before it was read.
    """

    fp: Any
    chunk_left: Any
    head_end: HeadEnd | None = None

    def begin(self) -> None:
        """Read the head."""
        stream = self.fp
        reader = HeadReader(stream)
        self.fp = reader
        try:
            super().begin()
        finally:
            self.head_end = reader.end
            if self.fp is reader:
                self.fp = stream

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
        while (line := self.fp.readline(MAX_LINE_BYTES + 1)) not in EMPTY_LINES:
            if not line.endswith(b"\n"):
                raise IncompleteRead(line)


class AnswerConnection(HTTPConnection):
    """A connection whose answers are checked."""

    response_class = AnswerResponse


class AnswerPool(HTTPConnectionPool):
    """Connections to one server whose answers are checked."""

    ConnectionCls = AnswerConnection


class AnswerPoolManager(PoolManager):
    """Connections to several servers whose answers are checked."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": AnswerPool}
