"""The body of a request to one of the HTTP servers.

``eventlet.wsgi`` returns the beginning of a body that a length frames if the connection
ends before the body does. Of chunks it accepts sizes that are cut inside leading zeros,
cut or malformed trailers, and any bytes between two chunks.
"""

from collections.abc import Callable, Iterable
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap
from typing import Any

import eventlet
from eventlet.wsgi import ChunkReadError, Input

from ridgecourse.net.head_reader import (
    CHUNK_SIZE_LINE,
    MAX_LINE_BYTES,
    IncompleteHead,
    InvalidHead,
    skip_trailer,
)
from ridgecourse.net.threads import PARSE_TURNS, StepCounter

CHUNK_END = b"\r\n"
DISCARD_BYTES = 64 * 1024
"""Longest rest of a body that is read and dropped to keep the connection."""
DISCARD_SECONDS = 1.0
"""Longest time for that."""
MAX_SMALL_BODY_BYTES = 16 * 1024
"""Longest body that is kept on the heap."""

Body = bytes | memoryview
"""The content of a body."""


class BodyTooLarge(Exception):
    """The body is larger than the handler accepts."""


class BodyTooLate(Exception):
    """The body was not complete in time."""


class IncompleteBody(ConnectionError):
    """The connection ended inside the body of a request."""


class RequestBody(Input):
    """A body that is never shorter than the client framed it.

    Each read raises ``IncompleteBody`` if the connection ended inside the body, and
    ``ChunkReadError`` if the framing is malformed. So do all later reads.

    Attributes:
        failure: The error that ended the reading of chunks; None if there is none.
        is_cut: Whether the connection was found to have ended inside the body.
        steps: Counts the chunks that are parsed before other green threads run.
        on_unread: Called if too much of the body is left unread to be dropped.
    """

    chunk_length: int
    position: int

    def __init__(
        self, source: Input, chunked_input: bool, on_unread: Callable[[], None]
    ) -> None:
        """Take the place of an input from which nothing has been read.

        Args:
            source: The input that ``eventlet.wsgi`` has made.
            chunked_input: Whether the body is framed by chunks.
            on_unread: Called if too much of the body is left unread to be dropped.
        """
        super().__init__(
            source.rfile,
            source.content_length,
            source.get_socket(),
            source.wfile,
            source.wfile_line,
            chunked_input,
        )
        self.failure: Exception | None = None
        self.is_cut = False
        self.steps = StepCounter(PARSE_TURNS)
        self.on_unread = on_unread

    def read(self, length: int | None = None) -> bytes:
        """Return a number of bytes, fewer only at the end of the body."""
        if length is not None and length < 0:
            length = None
        data = super().read(length)
        if length is None or len(data) < length:
            self._check_length()
        return data

    def readline(self, size: int | None = None) -> bytes:
        """Return the bytes up to the end of a line, or up to a number of bytes."""
        if size is not None and size < 0:
            size = None
        data = super().readline(size)
        if not data.endswith(b"\n") and (size is None or len(data) < size):
            self._check_length()
        return data

    def readlines(self, hint: int | None = None) -> list[bytes]:
        """Return all lines of the body, whatever the hint."""
        return list(iter(self.readline, b""))

    def count_unread(self) -> int | None:
        """Return the bytes that are left; None if unknown, since chunks go on."""
        if self.chunked_input:
            return 0 if self.chunk_length == 0 else None
        return (self.content_length or 0) - self.position

    def discard(self, buffer_size: int = 16 * 1024) -> None:
        """Read and drop the rest of the body, unless it is too long or too slow."""
        left_bytes = DISCARD_BYTES
        with eventlet.Timeout(DISCARD_SECONDS, False):
            while left_bytes > 0:
                piece = self.read(min(buffer_size, left_bytes))
                if not piece:
                    return
                left_bytes -= len(piece)
        self.on_unread()

    def _check_length(self) -> None:
        """Check that the body ended where its length says."""
        if not self.chunked_input and self.position < self.content_length:
            raise self._record_cut()

    def _record_cut(self) -> IncompleteBody:
        self.is_cut = True
        return IncompleteBody("the body ended early")

    def _chunked_read(
        self, rfile: Any, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        if self.failure is not None:
            raise self.failure
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        reader = rfile.readline if use_readline else rfile.read
        try:
            return self._read_chunks(reader, length, use_readline)
        except (ChunkReadError, IncompleteBody) as error:
            self.failure = error
            raise

    def _read_chunks(
        self, reader: Callable[[int], bytes], length: int | None, use_readline: bool
    ) -> bytes:
        body = bytearray()
        while self.chunk_length != 0 and length != 0:
            left_bytes = self.chunk_length - self.position
            if left_bytes <= 0:
                self._begin_chunk()
                continue
            data = reader(left_bytes if length is None else min(left_bytes, length))
            if not data:
                raise self._record_cut()
            body += data
            self.position += len(data)
            if self.position == self.chunk_length:
                self._end_chunk()
            if length is not None:
                length -= len(data)
            if use_readline and data.endswith(b"\n"):
                break
        return bytes(body)

    def _begin_chunk(self) -> None:
        """Read the size of a chunk, and the trailer behind the last one."""
        self.steps.step()
        line = self.rfile.readline(MAX_LINE_BYTES + 1)
        size_line = CHUNK_SIZE_LINE.fullmatch(line)
        if size_line is None:
            if not line.endswith(b"\n") and len(line) <= MAX_LINE_BYTES:
                raise self._record_cut()
            raise ChunkReadError(f"malformed size {line[:80]!r}")
        size = int(size_line[1], 16)
        if size == 0:
            self._skip_trailer()
        self.chunk_length = size
        self.position = 0

    def _skip_trailer(self) -> None:
        try:
            skip_trailer(self.rfile)
        except IncompleteHead as error:
            raise self._record_cut() from error
        except InvalidHead as error:
            raise ChunkReadError(f"trailer: {error}") from error

    def _end_chunk(self) -> None:
        """Read the end of a chunk."""
        end = self.rfile.read(len(CHUNK_END))
        if len(end) < len(CHUNK_END):
            raise self._record_cut()
        if end != CHUNK_END:
            raise ChunkReadError(f"{end!r} behind a chunk, expected {CHUNK_END!r}")


class BodyBuffer:
    """Gathers a body.

    A large body stands in a mapping of its own, which the system gets back as soon as
    the body is not used any more. On the heap it would leave holes between longer-lived
    objects, so that a crowd of bodies would raise the memory of the process for good.

    Attributes:
        size: Length of the body if it is known, else 0.
        small: The body as long as it is small.
        mapping: Memory of a large body; None for a small one.
        end: Length of what was gathered.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.small = bytearray()
        self.mapping: mmap | None = None
        self.end = 0

    def append(self, piece: bytes) -> None:
        """Add a piece behind the others."""
        start, self.end = self.end, self.end + len(piece)
        if self.mapping is None and self.end <= MAX_SMALL_BODY_BYTES:
            self.small += piece
            return
        if self.mapping is None:
            size = max(self.size, 2 * self.end)
            self.mapping = mmap(-1, size, flags=MAP_PRIVATE | MAP_ANONYMOUS)
            self.mapping[:start] = bytes(self.small)
            self.small.clear()
        elif self.end > len(self.mapping):
            self.mapping.resize(2 * self.end)
        self.mapping[start : self.end] = piece

    def content(self) -> Body:
        """Return the body; nothing may be added after that."""
        if self.mapping is None:
            return bytes(self.small)
        return memoryview(self.mapping)[: self.end]


def gather(pieces: Iterable[bytes], size: int) -> Body:
    """Return all pieces as one body, without a copy if it is large.

    Args:
        pieces: The pieces in their order.
        size: Length of the body if it is known, else 0.
    """
    buffer = BodyBuffer(size)
    for piece in pieces:
        buffer.append(piece)
    return buffer.content()
