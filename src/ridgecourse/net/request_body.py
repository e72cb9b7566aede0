"""The bodies of requests to the HTTP servers, and of their answers.

``eventlet.wsgi`` returns the beginning of a body that a length frames if the connection
ends before the body does. Of chunks it accepts sizes that are cut inside leading zeros,
cut or malformed trailers, and any bytes between two chunks.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap
from socket import SHUT_RD, SHUT_RDWR
from typing import Any

import eventlet
from eventlet.wsgi import ChunkReadError, Input

from ridgecourse.core.memory_budget import BudgetExceeded, Reservation
from ridgecourse.core.routes import ClientLimit
from ridgecourse.net.clock import boottime
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
BODY_READ_BYTES = BODY_SEND_BYTES = 16 * 1024
"""Bytes of a body received or sent at once. A client at the least rate takes well under
the time for which a transfer may stand still."""
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


class BodyTransfers:
    """Receives and sends the bodies of one connection, with limits on memory and time.

    Attributes:
        owner: The server of the connection, an ``HttpServer``.
        connection: The socket.
        environ: The WSGI environment of the present request.
        close_connection: Whether the connection ends with the present request.
        memory: Memory that is held for the present request.
    """

    owner: Any
    connection: Any
    environ: dict[str, Any]
    close_connection: bool
    memory: Reservation

    def reserve_memory(self, size: int) -> None:
        """Reserve memory for the present request.

        Args:
            size: Number of bytes.

        Raises:
            BudgetExceeded: The memory for clients' requests is in use.
        """
        with self._report_excess():
            self.memory.take(size, boottime())

    @contextmanager
    def _report_excess(self) -> Iterator[None]:
        """Report the limit that the client exceeds in the block."""
        try:
            yield
        except BodyTooLarge as error:
            self.owner.on_limit(ClientLimit.BODY_SIZE, str(error))
            raise
        except BodyTooLate as error:
            self.owner.on_limit(ClientLimit.BODY_TIME, str(error))
            raise
        except BudgetExceeded as error:
            if not self.memory.is_evicted:
                self.owner.on_limit(ClientLimit.MEMORY, str(error))
            raise

    def receive_body(self, limit: int, seconds: float | None = None) -> Body:
        """Return the body of the present request.

        Args:
            limit: Largest accepted size in bytes.
            seconds: Longest time in which the body must be complete; None for that of
                the server.

        Raises:
            BodyTooLarge: The body is larger than the limit.
            BodyTooLate: The body was not complete in time.
            BudgetExceeded: There is no memory for the body, or the client sends too
                slowly while another request needs its memory.
            ChunkReadError: The chunk framing of the body is malformed.
            ConnectionError: The connection ended inside the body.
        """
        with self._report_excess():
            if seconds is None:
                seconds = self.owner.body_seconds
            try:
                return self._receive_body(limit, seconds)
            except BaseException:
                # Nothing is read behind a body that was not read to its end.
                self.close_connection = True
                raise

    def _receive_body(self, limit: int, seconds: float) -> Body:
        source = self.environ["eventlet.input"]
        size = source.content_length or 0
        if size > limit:
            raise BodyTooLarge(f"{size} bytes, at most {limit} accepted")
        if not size and not source.chunked_input:
            return b""
        if seconds <= 0:
            raise BodyTooLate("no time is left")
        now = boottime()
        self.memory.take(size, now)
        self.memory.begin_transfer(self._end_receiving, now)
        self.connection.settimeout(None)
        try:
            with eventlet.Timeout(seconds, BodyTooLate(f"not within {seconds:.3f} s")):
                return gather(self._body_pieces(source, limit), size)
        except ConnectionError:
            if not self.memory.is_evicted:
                raise
            # Only this side has ended the body, so that the client gets an answer.
            source.is_cut = False
            raise BudgetExceeded("the body came too slowly") from None
        finally:
            self.memory.end_transfer()
            self.connection.settimeout(self.owner.limits.header_seconds)

    def _body_pieces(self, source: RequestBody, limit: int) -> Iterator[bytes]:
        """Yield the pieces of a body as they are received."""
        received_bytes = 0
        while piece := source.read(BODY_READ_BYTES):
            received_bytes += len(piece)
            if received_bytes > limit:
                raise BodyTooLarge(f"over {limit} bytes")
            if self.memory.is_evicted:
                raise BudgetExceeded("the body came too slowly")
            now = boottime()
            if source.chunked_input:
                self.memory.take(len(piece), now)
            self.memory.record_progress(len(piece), now)
            yield piece

    def body_to_send(self, body: Body) -> Iterator[bytes]:
        """Yield the pieces of the body of an answer.

        A client that does not read a large one gives way to other requests.
        """
        if len(body) <= MAX_SMALL_BODY_BYTES:
            yield bytes(body)
            return
        content = memoryview(body)
        self.memory.begin_transfer(self._end_sending, boottime())
        for start in range(0, len(body), BODY_SEND_BYTES):
            piece = content[start : start + BODY_SEND_BYTES]
            yield bytes(piece)
            self.memory.record_progress(len(piece), boottime())
        self.memory.end_transfer()

    def _end_sending(self) -> None:
        """End the connection, so that the memory can be given to another request."""
        self.owner.on_limit(ClientLimit.SLOW_TRANSFER, "sending")
        with suppress(OSError):
            self.connection.shutdown(SHUT_RDWR)

    def _end_receiving(self) -> None:
        """Receive nothing more, so that the memory can be given to another request."""
        self.owner.on_limit(ClientLimit.SLOW_TRANSFER, "receiving")
        with suppress(OSError):
            self.connection.shutdown(SHUT_RD)
