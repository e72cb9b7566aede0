"""The callers' HTTP server, on ``eventlet.wsgi``.

Unlike ``http_server`` it hands out requests unaltered: the target as it was
sent, header lines in their order. It also tells a handler that its caller has
gone away while the handler still waits for something else.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any, NamedTuple

import eventlet
import eventlet.wsgi
from eventlet import greenthread
from eventlet.hubs import trampoline
from greenlet import getcurrent

from ridgecourse.core.routes import CallerLimits
from ridgecourse.net.address import Address
from ridgecourse.net.http_server import (
    STATUS_TEXT,
    BodyTooLarge,
    HeaderList,
    HttpServer,
)

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 2048
"""Open connections; an entry has some 4,000 descriptors, each request takes two."""
MAX_LINE_BYTES = 64 * 1024
"""Longest header line read; what is really accepted is in the caller limits."""
READ_BYTES = 64 * 1024
NO_REUSE = ("Connection", "close")

eventlet.wsgi.MAX_HEADER_LINE = MAX_LINE_BYTES
eventlet.wsgi.MAX_TOTAL_HEADER_SIZE = 4 * MAX_LINE_BYTES


class CallerGone(Exception):
    """The caller closed its connection before it had its whole answer."""


class BadHead(Exception):
    """A request's head that cannot be passed on."""


class FrontRequest:
    """A caller's request.

    Attributes:
        method: As sent.
        target: Path and query as sent, not decoded.
        headers: Names and values in the order sent.
        head_bytes: Length of the head.
    """

    def __init__(self, environ: dict[str, Any], protocol: "FrontProtocol") -> None:
        self.environ = environ
        self.protocol = protocol
        self.method: str = environ["REQUEST_METHOD"]
        self.target = protocol.raw_target()
        self.headers: HeaderList = list(environ["headers_raw"])
        self.head_bytes = len(protocol.raw_requestline) + sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return self.protocol.headers.get_all(name, [])

    def read_body(self, limit: int) -> bytes:
        """Return the body.

        Raises:
            BodyTooLarge: It has more bytes than the limit.
            BadHead: Its length or framing is wrong.
            CallerGone: The caller went away before its end.
        """
        source = self.environ["wsgi.input"]
        declared = source.content_length or 0
        if declared > limit:
            raise BodyTooLarge(f"{declared} bytes, at most {limit} accepted")
        try:
            data = b"".join(self._read_pieces(source, limit))
        except ValueError as error:
            raise BadHead(f"chunk framing: {error}") from error
        except OSError as error:
            raise CallerGone(str(error)) from error
        if not source.chunked_input and len(data) < declared:
            raise CallerGone("the body ended early")
        return data

    def _read_pieces(self, source: Any, limit: int) -> Iterator[bytes]:
        if not source.chunked_input and not source.content_length:
            return
        total = 0
        while piece := source.read(READ_BYTES):
            total += len(piece)
            if total > limit:
                raise BodyTooLarge(f"over {limit} bytes")
            yield piece

    def is_abandoned(self) -> bool:
        """Tell whether the caller's connection has ended by now.

        A process that was frozen learns of several things at the same time, and
        this may be the last of them that its watch comes to.
        """
        try:
            return not self.protocol.connection.fd.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    @contextmanager
    def watched(self) -> Iterator[None]:
        """Raise ``CallerGone`` in the block when the caller goes away."""
        watcher = eventlet.spawn(self._watch, getcurrent())
        try:
            yield
        finally:
            watcher.kill()

    def _watch(self, handler: Any) -> None:
        """Interrupt the handler once the caller's connection has ended.

        Bytes that wait to be read are a next request, sent early; then an end
        cannot be seen any more and the watch is over.
        """
        connection = self.protocol.connection
        with suppress(OSError):
            trampoline(connection.fileno(), read=True)
            if connection.fd.recv(1, MSG_PEEK):
                return
        greenthread.kill(handler, CallerGone("the connection ended"))


class FrontReply(NamedTuple):
    """What a caller is answered.

    Attributes:
        status: HTTP status.
        reason: Its text; empty for the usual one.
        headers: Names and values, without framing.
        body: Bytes, or an iterable of them for a stream.
    """

    status: int
    reason: str = ""
    headers: HeaderList = []
    body: bytes | Iterable[bytes] = b""


FrontHandler = Callable[[FrontRequest], FrontReply]


class FrontProtocol(eventlet.wsgi.HttpProtocol):
    """One caller's connection."""

    def raw_target(self) -> str:
        """Return the request's target as it was sent."""
        words = self.raw_requestline.decode("latin1").split()
        return words[1] if len(words) > 1 else self.path

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with this connection in it."""
        environ = super().get_environ()
        environ["ridgecourse.protocol"] = self
        return environ

    def _read_request_line(self) -> bytes:
        limits = self.server.front.limits
        self.server.keepalive = limits.idle_seconds
        self.server.socket_timeout = limits.header_seconds
        try:
            line = super()._read_request_line()
        except (OSError, eventlet.Timeout) as error:
            logger.debug("connection rested too long: %s", error)
            return b""
        return line or b""

    def handle(self) -> None:
        """Serve the connection's requests until it ends."""
        connections = self.server.front.connections
        connections.add(self)
        try:
            super().handle()
        except (OSError, eventlet.Timeout) as error:
            logger.debug("connection lost: %s", error)
        finally:
            connections.discard(self)

    def finish(self) -> None:
        """Flush and close; the caller may be gone already."""
        with suppress(OSError):
            super().finish()

    def end_if_idle(self) -> None:
        """Close the connection if it waits for a request."""
        if self.conn_state[2] == eventlet.wsgi.STATE_IDLE:
            with suppress(OSError):
                self.connection.shutdown(2)


class FrontServer(HttpServer):
    """Serves callers on one address.

    Attributes:
        limits: What callers may send; may change at any time.
        closing: Whether each answer ends its connection.
        connections: Open connections.
        in_flight: Requests being answered.
    """

    def __init__(self, address: Address, handler: FrontHandler) -> None:
        super().__init__(address, self.answer)
        self.handler = handler
        self.limits = CallerLimits()
        self.closing = False
        self.connections: set[FrontProtocol] = set()
        self.in_flight = 0
        self.pool = eventlet.GreenPool(MAX_CONNECTIONS)

    def _serve(self) -> None:
        front = self

        class BoundProtocol(FrontProtocol):
            """The protocol, with its way back to this server."""

            def __init__(self, conn_state: Any, server: Any) -> None:
                server.front = front
                super().__init__(conn_state, server)

        with suppress(OSError, eventlet.greenlet.GreenletExit):
            eventlet.wsgi.server(
                self.listener,
                self.app,
                protocol=BoundProtocol,
                custom_pool=self.pool,
                log=eventlet.wsgi.LoggerNull(),
                log_output=False,
                minimum_chunk_size=1,
                capitalize_response_headers=False,
                url_length_limit=MAX_LINE_BYTES,
                socket_timeout=self.limits.header_seconds,
                keepalive=self.limits.idle_seconds,
                debug=False,
            )

    def answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request, as WSGI has it."""
        protocol: FrontProtocol = environ["ridgecourse.protocol"]
        request = FrontRequest(environ, protocol)
        self.in_flight += 1
        try:
            reply = self._reply(request)
        except BaseException:
            self.in_flight -= 1
            raise
        headers = list(reply.headers)
        if self.closing:
            headers.append(NO_REUSE)
        if NO_REUSE in headers:
            headers.remove(NO_REUSE)
            protocol.close_connection = True
        status = f"{reply.status} {reply.reason}"
        if not reply.reason:
            status = STATUS_TEXT.get(reply.status, f"{reply.status} Status")
        if isinstance(reply.body, bytes):
            headers.append(("Content-Length", str(len(reply.body))))
        start_response(status, headers)
        return self._send(reply)

    def _send(self, reply: FrontReply) -> Iterator[bytes]:
        try:
            if isinstance(reply.body, bytes):
                yield reply.body
            else:
                yield from reply.body
        finally:
            self.in_flight -= 1

    def _reply(self, request: FrontRequest) -> FrontReply:
        try:
            return self.handler(request)
        except BodyTooLarge as error:
            return FrontReply(413, headers=[NO_REUSE], body=f"{error}\n".encode())
        except BadHead as error:
            return FrontReply(400, headers=[NO_REUSE], body=f"{error}\n".encode())
        except CallerGone:
            raise
        except Exception:
            logger.exception("%s %s failed", request.method, request.target)
            return FrontReply(502, body=b"internal error\n")

    def end_idle_connections(self) -> None:
        """Close the connections that wait for a request."""
        for protocol in list(self.connections):
            protocol.end_if_idle()
