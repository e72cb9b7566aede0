"""Reads the head of an HTTP message, and the lines between its chunks, strictly.

The parsers of the standard library take the end of a connection inside a head for the
end of the head, and drop all fields behind a line that is not a field.
"""

import re
from collections.abc import Sequence
from http.client import HTTPException
from typing import BinaryIO, Protocol

START_LINE = re.compile(rb"[^\r\n\0]*\r?\n")
FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r?\n")
EMPTY_LINES = (b"\r\n", b"\n")
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n\0]*)?\r\n")
MAX_LINE_BYTES = 64 * 1024
"""Longest line with the size of a chunk, or trailer field."""
MAX_TRAILER_FIELDS = 100
MAX_HEAD_FIELDS = 99
"""As many as the parser accepts, which counts the empty line behind them."""


class IncompleteHead(HTTPException):
    """The connection ended inside the head of a message."""


class InvalidHead(HTTPException):
    """A line of a head is malformed, or its fields contradict each other."""


class HeadTooLarge(InvalidHead):
    """A head exceeds the limits of the server.

    Attributes:
        is_count: Whether the head has too many fields, rather than too many bytes.
    """

    def __init__(self, why: str, is_count: bool = False) -> None:
        super().__init__(why)
        self.is_count = is_count


class FieldValues(Protocol):
    """The fields of a head, as ``email.message.Message`` holds them."""

    def get_all(self, name: str) -> Sequence[str] | None:
        """Return the value of each field of a name, None if there is none."""


class HeadReader:
    """Reads the lines of heads from a stream, in place of the stream itself.

    Attributes:
        stream: The bytes of the connection.
        in_fields: Whether the next line is a field or ends the head. Otherwise it is a
            start line.
        is_begun: Whether a line was read. The heads of interim answers precede that of
            the answer and belong to the message.
    """

    def __init__(self, stream: BinaryIO, in_fields: bool = False) -> None:
        self.stream = stream
        self.in_fields = in_fields
        self.is_begun = in_fields

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        Args:
            limit: Most bytes to return. A line of this length may lack its end, which
                the caller has to check.

        Returns:
            The line with its end; a field without the white space behind its value.
            Empty if the connection ended before the first line.

        Raises:
            IncompleteHead: The connection ended inside the head.
            InvalidHead: The line is no start line or field. A field that is folded over
                several lines is obsolete and invalid.
        """
        line = self.stream.readline(limit)
        if not line and not self.is_begun:
            return line
        self.is_begun = True
        if not line.endswith(b"\n"):
            if len(line) == limit:
                return line
            raise IncompleteHead(f"the connection ended in a line, {line[-40:]!r}")
        if self.in_fields and line in EMPTY_LINES:
            self.in_fields = False
            return line
        expected = FIELD_LINE if self.in_fields else START_LINE
        if expected.fullmatch(line) is None:
            raise InvalidHead(f"malformed line {line[:80]!r}")
        if self.in_fields:
            # The parsers of the library keep white space behind a value.
            return line.rstrip(b" \t\r\n") + b"\r\n"
        self.in_fields = True
        return line

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()


def skip_trailer(stream: BinaryIO) -> None:
    """Read the trailer fields up to the empty line that ends a body of chunks.

    Raises:
        IncompleteHead: The connection ended inside the trailer.
        InvalidHead: The trailer is malformed or too long.
    """
    reader = HeadReader(stream, in_fields=True)
    for _ in range(MAX_TRAILER_FIELDS + 1):
        line = reader.readline(MAX_LINE_BYTES + 1)
        if line in EMPTY_LINES:
            return
        if not line.endswith(b"\n"):
            raise InvalidHead(f"trailer field of over {MAX_LINE_BYTES} bytes")
    raise InvalidHead(f"over {MAX_TRAILER_FIELDS} trailer fields")


def check_framing(fields: FieldValues) -> None:
    """Check that the fields of a head tell in exactly one way where the body ends.

    See RFC 9112, section 6.3.

    Raises:
        InvalidHead: There are several lengths, a length that is no number, a length
            beside a transfer coding, or a coding other than chunks.
    """
    lengths = set(fields.get_all("Content-Length") or ())
    codings = list(fields.get_all("Transfer-Encoding") or ())
    if not all(CONTENT_LENGTH.fullmatch(length) for length in lengths):
        raise InvalidHead(f"Content-Length {sorted(lengths)}, expected a number")
    if len(lengths) > 1:
        raise InvalidHead(f"different values of Content-Length: {sorted(lengths)}")
    if not codings:
        return
    if lengths:
        raise InvalidHead("Content-Length beside Transfer-Encoding")
    if [coding.lower() for coding in codings] != ["chunked"]:
        raise InvalidHead(f"Transfer-Encoding {codings}, expected only chunked")
