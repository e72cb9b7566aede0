"""Reads the head of an HTTP message, which must be whole.

The parsers of the standard library take the end of a connection inside a head for the
end of the head.
"""

from http.client import HTTPException
from typing import BinaryIO

EMPTY_LINES = (b"\r\n", b"\n")


class IncompleteHead(HTTPException):
    """The connection ended inside the head of a message."""


class HeadReader:
    """Reads the lines of heads from a stream, in place of the stream itself.

    Attributes:
        stream: The bytes of the connection.
        in_fields: Whether the next line is a field or ends the head. Otherwise it is a
            start line.
    """

    def __init__(self, stream: BinaryIO, in_fields: bool = False) -> None:
        self.stream = stream
        self.in_fields = in_fields

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        Args:
            limit: Most bytes to return. A line of this length may lack its end, which
                the caller has to check.

        Returns:
            The line with its end. Empty if the connection ended before a start line.

        Raises:
            IncompleteHead: The connection ended inside the head.
        """
        line = self.stream.readline(limit)
        if not line and not self.in_fields:
            return line
        if not line.endswith(b"\n"):
            if len(line) == limit:
                return line
            raise IncompleteHead(f"the connection ended behind {line[-40:]!r}")
        if self.in_fields and line in EMPTY_LINES:
            self.in_fields = False
            return line
        self.in_fields = True
        return line

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()
