"""One connection of an HTTP server, with the state that a planned stop has to know."""

import logging
import re
from contextlib import suppress
from enum import Enum
from io import BufferedReader, BytesIO
from socket import (
    MSG_DONTWAIT,
    MSG_PEEK,
    SHUT_RDWR,
    SHUT_WR,
    SO_LINGER,
    SOL_SOCKET,
)
from typing import Any

import eventlet
import eventlet.wsgi

from ridgecourse.core.memory_budget import BudgetExceeded, Reservation
from ridgecourse.core.routes import ClientLimit
from ridgecourse.net.clock import boottime
from ridgecourse.net.head_reader import (
    EMPTY_LINES,
    MAX_HEAD_FIELDS,
    HeadReader,
    HeadTooLarge,
    IncompleteHead,
    InvalidHead,
    check_framing,
)
from ridgecourse.net.request_body import (
    BodyTransfers,
    RequestBody,
)
from ridgecourse.net.tcp import LINGER_OFF, LINGER_RESET
from ridgecourse.net.threads import FairReader

logger = logging.getLogger(__name__)

CONNECTION_KEY = "ridgecourse.connection"
"""Key of the connection in the WSGI environment."""
REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [!-~\x80-\xff]+ HTTP/(?:1\.[01]|[2-9]\.[0-9])\r?\n"
)
"""The parser refuses versions from 2.0 on with a status of their own."""
LINGER_SECONDS = 1.0
"""Longest wait for the client to close after the server has ended its side."""
LINGER_READ_BYTES = 64 * 1024
FREE_HEAD_BYTES = 4 * 1024
"""Bytes of a head that are not part of the memory budget: more than most heads have."""
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
BAD_REQUEST = b"400 Bad Request"
UNAVAILABLE = b"503 Service Unavailable\r\nRetry-After: 1"
HEAD_TOO_LARGE = b"431 Request Header Fields Too Large"


class ConnectionState(Enum):
    """What a connection is used for at present."""

    IDLE = "idle"
    """No byte of the next request has been received."""
    RECEIVING = "receiving"
    """The head of a request is being received."""
    ANSWERING = "answering"
    """The application handles a request, or its answer is being sent."""
    CLOSED = "closed"
    """The server has closed its side and serves no further request."""


class HttpConnection(BodyTransfers, eventlet.wsgi.HttpProtocol):
    """A connection; the constructor serves its requests until the connection ends.

    Attributes:
        owner: The server, an ``HttpServer``.
        state: What the connection is used for at present.
        idle_since: When the connection became idle, on this process's clock.
        must_linger: Whether the client may still be sending when the server closes. The
            server then reads on for a while, since closing a socket with unread data
            resets the connection and may destroy the answer.
        head_timer: Ends the wait for the rest of a head; None before the first.
        has_whole_head: Whether all of the next head had arrived with its first byte, as
            usual, so that it needs no limit of time.
        head_bytes: Length of the last head.
        must_reset: Whether a stream without chunks is under way, so that the client
            would take a close for its end.
    """

    rfile: Any

    def __init__(self, conn_state: list[Any], server: Any) -> None:
        self.owner = server.owner
        self.state = ConnectionState.IDLE
        self.idle_since = boottime()
        self.must_linger = False
        self.must_reset = False
        self.head_timer: Any = None
        self.has_whole_head = False
        self.head_bytes = 0
        self.memory = Reservation(self.owner.budget)
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Register the connection with its server."""
        super().setup()
        self.rfile = BufferedReader(FairReader(self.rfile.detach()))
        self.owner.connections.add(self)

    def handle(self) -> None:
        """Serve the requests of the connection until the connection ends."""
        try:
            super().handle()
        except (OSError, eventlet.Timeout) as error:
            logger.debug("connection lost: %s", error)
            self.must_linger = False
        except eventlet.greenlet.GreenletExit:
            self.must_linger = False
            raise

    def _read_request_line(self) -> bytes:
        """Wait for the next request and return its first line; empty at the end."""
        self.state = ConnectionState.IDLE
        self.idle_since = boottime()
        self.must_linger = False
        if not self._wait_for_request():
            return b""
        self.state = ConnectionState.RECEIVING
        self.must_linger = True
        limits = self.owner.limits
        self.connection.settimeout(limits.header_seconds)
        if not self.has_whole_head:
            self.head_timer = eventlet.Timeout(limits.header_seconds)
            self.memory.begin_transfer(self._end_receiving, boottime())
        try:
            line: bytes = self.rfile.readline(limits.header_bytes + len(LINE_END))
        except (OSError, eventlet.Timeout) as error:
            self._give_up_head(error)
            return b""
        if len(line) > limits.header_bytes:
            self._refuse_large_head(HeadTooLarge("the request line is too long"))
            return b""
        return line

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return whether to serve the request."""
        self.connection.settimeout(self.owner.limits.idle_seconds)
        try:
            first_bytes = self.rfile.peek(1)
        except (OSError, eventlet.Timeout) as error:
            logger.debug("connection idle for too long, or lost: %s", error)
            return False
        self.has_whole_head = HEAD_END in first_bytes
        return bool(first_bytes) and self.state is ConnectionState.IDLE

    def handle_one_request(self) -> None:
        """Serve one request, with limits on its head's time and on its memory."""
        try:
            super().handle_one_request()
        finally:
            self._stop_head_timer()
            self.memory.release()

    def _stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def parse_request(self) -> bool:
        """Read the head of a request; return whether to serve the request.

        A request whose head is cut by the end of the connection, or not complete in
        time, is not answered. One whose head is malformed gets a 400, one whose head is
        too large a 431.
        """
        try:
            # The parser does not see the end of the connection.
            self.rfile = BytesIO(self._read_fields())
            if not super().parse_request():
                return False
            check_framing(self.headers)
            return True
        except IncompleteHead as error:
            logger.debug("connection ended inside the head of a request: %s", error)
        except HeadTooLarge as error:
            self._refuse_large_head(error)
        except InvalidHead as error:
            self._refuse_head(BAD_REQUEST, str(error))
        except BudgetExceeded as error:
            self.owner.on_limit(ClientLimit.MEMORY, f"head: {error}")
            self._refuse_head(UNAVAILABLE, "out of memory for requests")
        except eventlet.Timeout as error:
            self._give_up_head(error)
        finally:
            self._stop_head_timer()
            self.memory.end_transfer()
        self.close_connection = True
        return False

    def _give_up_head(self, error: BaseException) -> None:
        """End a connection whose head is not complete in time, without an answer.

        Raises:
            eventlet.Timeout: The error is a time-out of something else.
        """
        if isinstance(error, eventlet.Timeout) and error is not self.head_timer:
            raise error
        if isinstance(error, (TimeoutError, eventlet.Timeout)):
            self.owner.on_limit(ClientLimit.HEAD_TIME, "")
        logger.debug("head not received: %s", error)

    def _read_fields(self) -> bytes:
        """Return the lines behind the request line, with the empty line that ends them.

        Raises:
            IncompleteHead: The connection ended inside the head.
            InvalidHead: The request line is malformed, or a line is no field.
            HeadTooLarge: The head exceeds the limits of the server.
            BudgetExceeded: There is no memory for the head.
        """
        if not self.raw_requestline.endswith(b"\n"):
            raise IncompleteHead(f"request line {self.raw_requestline[-40:]!r}")
        if self.raw_requestline in EMPTY_LINES:
            return b""
        if REQUEST_LINE.fullmatch(self.raw_requestline) is None:
            raise InvalidHead(f"malformed request line {self.raw_requestline[:80]!r}")
        # The library wraps the file of the connection in one with limits of its own.
        reader = HeadReader(self.rfile.fp, in_fields=True)
        self.head_bytes = len(self.raw_requestline)
        left_bytes = self.owner.limits.header_bytes - self.head_bytes
        head = bytearray()
        field_count = 0
        while True:
            line = reader.readline(left_bytes + len(LINE_END))
            head += line
            if line in EMPTY_LINES:
                return bytes(head)
            self.head_bytes += len(line)
            left_bytes -= len(line)
            if self.head_bytes > FREE_HEAD_BYTES:
                self.memory.take(len(line), boottime())
            if left_bytes < 0:
                raise HeadTooLarge("the head is too long")
            field_count += 1
            if field_count > MAX_HEAD_FIELDS:
                raise HeadTooLarge(f"over {MAX_HEAD_FIELDS} fields", is_count=True)

    def _refuse_large_head(self, error: HeadTooLarge) -> None:
        """Answer a request whose head exceeds the limits of the server."""
        limit = ClientLimit.HEAD_FIELDS if error.is_count else ClientLimit.HEAD_SIZE
        self.owner.on_limit(limit, str(error))
        self._refuse_head(HEAD_TOO_LARGE, str(error))

    def _refuse_head(self, status: bytes, why: str) -> None:
        """Answer a request whose head cannot be served."""
        body = f"{why}\n".encode()
        self.wfile.write(
            b"HTTP/1.1 %s\r\nConnection: close\r\n"
            b"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
            % (status, len(body), body)
        )

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the checked body and this connection."""
        environ = super().get_environ()
        source = environ["eventlet.input"]
        body = RequestBody(
            source, "Transfer-Encoding" in self.headers, self.close_behind_answer
        )
        environ["eventlet.input"] = environ["wsgi.input"] = body
        environ[CONNECTION_KEY] = self
        return environ

    def close_behind_answer(self) -> None:
        """Close the connection, since the rest of a body is too long to be skipped."""
        self.owner.on_limit(ClientLimit.UNREAD_BODY, "")
        self.close_connection = True

    def handle_one_response(self) -> None:
        """Call the application and send its answer."""
        self.state = ConnectionState.ANSWERING
        super().handle_one_response()
        self.must_linger = self.owner.is_closing or self._has_unread_body()

    def begin_stream(self) -> None:
        """Turn each end of the connection into a reset, until the stream is complete.

        A client before HTTP/1.1 gets no chunks, and takes a close for the end of the
        answer. The system also resets the connection if this process is killed.
        """
        if self.request_version != "HTTP/1.1":
            self.must_reset = True
            self.connection.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)

    def end_stream(self) -> None:
        """End the connection with a close again, since the stream is complete."""
        if self.must_reset:
            self.must_reset = False
            self.connection.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_OFF)

    def _has_unread_body(self) -> bool:
        unread: int | None = self.environ["eventlet.input"].count_unread()
        return unread != 0

    def has_request_waiting(self) -> bool:
        """Check whether a request has arrived that is not being read yet."""
        if self.state is not ConnectionState.IDLE:
            return False
        try:
            return bool(self.connection.fd.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            return False

    def close_if_idle(self) -> bool:
        """Close the connection if no request is in progress or has arrived.

        A request that arrives later is not run.

        Returns:
            Whether the connection was closed.
        """
        if self.state is not ConnectionState.IDLE or self.has_request_waiting():
            return False
        self.state = ConnectionState.CLOSED
        with suppress(OSError):
            self.connection.shutdown(SHUT_RDWR)
        return True

    def finish(self) -> None:
        """Flush and close; the client may have disconnected."""
        self.state = ConnectionState.CLOSED
        try:
            with suppress(OSError, ValueError):
                if self.must_reset:
                    self._reset()
                elif self.must_linger:
                    self._linger()
            with suppress(OSError, ValueError):
                super().finish()
        finally:
            self.memory.release()
            self.owner.connections.discard(self)

    def _reset(self) -> None:
        """Send what is buffered, then close without a shutdown, which is a reset."""
        self.wfile.flush()
        # The socket is closed once the files on it are.
        self.rfile.close()
        self.wfile.close()
        self.connection.close()

    def _linger(self) -> None:
        """End the server's side, then discard what the client sends until it closes."""
        self.wfile.flush()
        self.connection.shutdown(SHUT_WR)
        with eventlet.Timeout(LINGER_SECONDS, False):
            while self.connection.recv(LINGER_READ_BYTES):
                # The time limit acts, and others run, even if bytes come without end.
                eventlet.sleep(0)
