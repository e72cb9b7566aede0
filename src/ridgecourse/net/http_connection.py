"""One connection of an HTTP server, with the state that a planned stop has to know."""

import logging
import re
from contextlib import suppress
from enum import Enum
from io import BytesIO
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

from ridgecourse.net.clock import boottime
from ridgecourse.net.head_reader import (
    EMPTY_LINES,
    HeadReader,
    IncompleteHead,
    InvalidHead,
    check_framing,
)
from ridgecourse.net.request_body import RequestBody
from ridgecourse.net.tcp import LINGER_OFF, LINGER_RESET

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


class HttpConnection(eventlet.wsgi.HttpProtocol):
    """A connection; the constructor serves its requests until the connection ends.

    Attributes:
        owner: The server, an ``HttpServer``.
        state: What the connection is used for at present.
        idle_since: When the connection became idle, on this process's clock.
        must_linger: Whether the client may still be sending when the server closes. The
            server then reads on for a while, since closing a socket with unread data
            resets the connection and may destroy the answer.
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
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Register the connection with its server."""
        super().setup()
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
        return super()._read_request_line() or b""

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return whether to serve the request."""
        keepalive = self.server.keepalive
        if not isinstance(keepalive, bool):
            self.connection.settimeout(keepalive)
        try:
            first_bytes = self.rfile.peek(1)
        except (OSError, eventlet.Timeout) as error:
            logger.debug("connection idle for too long, or lost: %s", error)
            return False
        return bool(first_bytes) and self.state is ConnectionState.IDLE

    def parse_request(self) -> bool:
        """Read the head of a request; return whether to serve the request.

        A request whose head is cut by the end of the connection is not answered. One
        whose head is malformed gets a 400.
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
        except InvalidHead as error:
            self._refuse_head(error)
        self.close_connection = True
        return False

    def _read_fields(self) -> bytes:
        """Return the lines behind the request line, with the empty line that ends them.

        Raises:
            IncompleteHead: The connection ended inside the head.
            InvalidHead: The request line is malformed, or a line is no field.
        """
        if not self.raw_requestline.endswith(b"\n"):
            raise IncompleteHead(f"request line {self.raw_requestline[-40:]!r}")
        if self.raw_requestline in EMPTY_LINES:
            return b""
        if REQUEST_LINE.fullmatch(self.raw_requestline) is None:
            raise InvalidHead(f"malformed request line {self.raw_requestline[:80]!r}")
        reader = HeadReader(self.rfile, in_fields=True)
        lines = [reader.readline()]
        while lines[-1] not in EMPTY_LINES:
            lines.append(reader.readline())
        return b"".join(lines)

    def _refuse_head(self, error: InvalidHead) -> None:
        """Answer a request whose head is malformed."""
        body = f"{error}\n".encode()
        self.wfile.write(
            b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
            b"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the checked body and this connection."""
        environ = super().get_environ()
        source = environ["eventlet.input"]
        body = RequestBody(source, "Transfer-Encoding" in self.headers)
        environ["eventlet.input"] = environ["wsgi.input"] = body
        environ[CONNECTION_KEY] = self
        return environ

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
        source = self.environ["eventlet.input"]
        return source.chunked_input or source.position < (source.content_length or 0)

    def has_request_waiting(self) -> bool:
        """Check whether a request has arrived that is not being read yet."""
        if self.state is not ConnectionState.IDLE:
            return False
        try:
            return bool(self.connection.fd.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            return False

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress or has arrived.

        A request that arrives later is not run.
        """
        if self.state is ConnectionState.IDLE and not self.has_request_waiting():
            self.state = ConnectionState.CLOSED
            with suppress(OSError):
                self.connection.shutdown(SHUT_RDWR)

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
                pass
