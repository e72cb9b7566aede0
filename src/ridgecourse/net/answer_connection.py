"""HTTP connections that tell how the head of an answer ended."""

from http.client import HTTPResponse
from typing import Any, BinaryIO

from urllib3.connection import HTTPConnection

from ridgecourse.net.head_end import HeadEnd


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
    """An answer that tells how its head ended.

    Attributes:
        head_end: How the head ended; None before it was read.
    """

    head_end: HeadEnd | None = None

    def begin(self) -> None:
        """Read the head."""
        stream: Any = self.fp
        reader = HeadReader(stream)
        self.fp: Any = reader
        try:
            super().begin()
        finally:
            self.head_end = reader.end
            if self.fp is reader:
                self.fp = stream


class AnswerConnection(HTTPConnection):
    """A connection whose answers tell how their heads ended."""

    response_class = AnswerResponse
