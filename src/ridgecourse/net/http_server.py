"""HTTP server on ``eventlet.wsgi`` for requests between processes."""

import logging
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM
from heapq import nsmallest
from io import BytesIO
from operator import attrgetter
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi
from eventlet.wsgi import WSGI_LOCAL, ChunkReadError

from ridgecourse.core.memory_budget import BudgetExceeded, MemoryBudget
from ridgecourse.core.routes import ClientLimit, ClientLimits
from ridgecourse.net.address import Address
from ridgecourse.net.auth import AUTH_HEADER, verify_request
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_connection import (
    CONNECTION_KEY,
    ConnectionState,
    HttpConnection,
)
from ridgecourse.net.request_body import BodyTooLarge, BodyTooLate
from ridgecourse.net.tcp import accept_queued, count_queued, drop_new_connections
from ridgecourse.net.threads import spawn_loop

logger = logging.getLogger(__name__)

RECEIVE_TIMEOUT_SECONDS = 15.0
"""Time without a byte after which the server closes a connection that should send."""
BODY_SECONDS = 60.0
"""Longest time in which a body must be complete."""
BUDGET_BYTES = 48 * 1024 * 1024
"""Memory for the requests of one server, unless its owner states it."""
MAX_MOUNTED_BODY_BYTES = 4 * 1024 * 1024
"""Longest body of a request to a mounted application."""
CONNECTION_CLOSE = ("Connection", "close")
RETRY_LATER = ("Retry-After", "1")
MAX_CONNECTIONS = 1024
PROBE_CONNECTIONS = 64
"""Most connections of a server that only few clients ask now and then."""
NO_DESCRIPTORS = (EMFILE, ENFILE, ENOBUFS, ENOMEM)
NO_DESCRIPTORS_SECONDS = 0.05
"""Pause before the next attempt to accept a connection."""
BACKLOG = 512
"""Most connections that wait to be accepted."""
IDLE_SECONDS = 1.0
"""How long a connection of a closing server may wait for a request. Clients that use
the connection send within this time and are told that it closes."""
PEER_DRAIN_SECONDS = 2.0
"""Longest wait of a stop for requests of other processes; they can be repeated."""
HANDSHAKE_SECONDS = 0.01
"""Time for handshakes that have begun when the listener closes; a round trip within a
domain takes less."""
DRAIN_POLL_SECONDS = 0.05
IDLE_TRIES = 8
"""Idle connections that are looked at to close one. One whose next request has just
arrived is kept."""
STATUS_TEXT = {
    200: "200 OK",
    204: "204 No Content",
    206: "206 Partial Content",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    416: "416 Range Not Satisfiable",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}

HeaderList = list[tuple[str, str]]
LimitObserver = Callable[[ClientLimit, str], None]
"""Called with the limit that a client exceeded, and further detail."""


def ignore_limit(limit: ClientLimit, detail: str) -> None:
    """Do nothing about a client that exceeded a limit."""


class HttpRequest:
    """A request, as it is passed to a handler.

    Attributes:
        environ: The WSGI environment.
        method: HTTP method.
        path: Decoded path.
        query: Parameters of the query; of a repeated one, the last value.
    """

    def __init__(self, environ: dict[str, Any]) -> None:
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ.get("PATH_INFO", "/")
        self.query = {
            name: values[-1]
            for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header.

        Args:
            name: Name of the header, in any case.
            default: Returned if the request lacks the header.
        """
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key, default)
        return self.environ.get(f"HTTP_{key}", default)

    def is_signed(self, key: str, body: bytes = b"") -> bool:
        """Check whether a process that holds the shared key signed this request."""
        header = self.header(AUTH_HEADER)
        return verify_request(key, header, self.method, self.path, body)

    def read_body(self, limit: int) -> bytes:
        """Return the body.

        Args:
            limit: Largest accepted size in bytes.

        Raises:
            BodyTooLarge: The body is larger than the limit.
            BodyTooLate: The body was not complete in the time of the server.
            BudgetExceeded: There is no memory for the body.
            ConnectionError: The body ended early.
            ChunkReadError: The chunk framing of the body is malformed.
        """
        connection: HttpConnection = self.environ[CONNECTION_KEY]
        return bytes(connection.receive_body(limit))


class HttpReply(NamedTuple):
    """The reply of a handler.

    Attributes:
        status: HTTP status.
        body: Bytes, or an iterable of bytes for a streamed reply.
        headers: Names and values.
    """

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: HeaderList = []


BODY_STORED = HttpReply(200)
Handler = Callable[[HttpRequest], HttpReply]
WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def store_body(request: HttpRequest) -> HttpReply:
    """Read the body under the limits of the server, for an application that reads it.

    Raises:
        BodyTooLarge, BodyTooLate, BudgetExceeded, ConnectionError, ChunkReadError: As
            in ``HttpRequest.read_body``.
    """
    body = request.read_body(MAX_MOUNTED_BODY_BYTES)
    request.environ["wsgi.input"] = BytesIO(body)
    request.environ["CONTENT_LENGTH"] = str(len(body))
    return BODY_STORED


class HttpRouter:
    """A WSGI application that selects a handler by method and path prefix."""

    def __init__(self) -> None:
        self.routes: list[tuple[str, str, Handler]] = []
        self.mounts: list[tuple[str, WsgiApp]] = []

    def add(self, method: str, prefix: str, handler: Handler) -> None:
        """Route requests with a method and a path prefix to a handler."""
        self.routes.append((method, prefix, handler))

    def mount(self, prefix: str, app: WsgiApp) -> None:
        """Route all requests with a path prefix to a WSGI application."""
        self.mounts.append((prefix, app))

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request as a WSGI application."""
        request = HttpRequest(environ)
        reply = None
        for prefix, app in self.mounts:
            if request.path.startswith(prefix):
                reply = self.call(store_body, request)
                if reply is BODY_STORED:
                    return app(environ, start_response)
        if reply is None:
            reply = self.answer(request)
        headers = list(reply.headers)
        body = reply.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        start_response(STATUS_TEXT[reply.status], headers)
        return body

    def answer(self, request: HttpRequest) -> HttpReply:
        """Return the reply to a request, with an error status if the handler raises."""
        handler = self.find_handler(request)
        if handler is None:
            return HttpReply(404, b"no such path\n")
        return self.call(handler, request)

    def call(self, handler: Handler, request: HttpRequest) -> HttpReply:
        """Return the reply of a handler, with an error status if the handler raises."""
        try:
            return handler(request)
        except BodyTooLarge as error:
            return HttpReply(413, f"{error}\n".encode(), [CONNECTION_CLOSE])
        except BodyTooLate as error:
            return HttpReply(408, f"{error}\n".encode(), [CONNECTION_CLOSE])
        except BudgetExceeded as error:
            return HttpReply(
                503, f"{error}\n".encode(), [CONNECTION_CLOSE, RETRY_LATER]
            )
        except (ConnectionError, ChunkReadError) as error:
            return HttpReply(400, f"{error}\n".encode(), [CONNECTION_CLOSE])
        except Exception:
            logger.exception("handler of %s %s failed", request.method, request.path)
            return HttpReply(500, b"internal error\n")

    def find_handler(self, request: HttpRequest) -> Handler | None:
        """Return the handler with the longest matching prefix, or None."""
        longest_match: tuple[int, Handler] | None = None
        for method, prefix, handler in self.routes:
            if method != request.method or not request.path.startswith(prefix):
                continue
            if longest_match is None or len(prefix) > longest_match[0]:
                longest_match = (len(prefix), handler)
        return longest_match[1] if longest_match else None


class WsgiServer(eventlet.wsgi.Server):
    """Settings that eventlet's protocol reads, and the server they belong to."""

    def __init__(self, owner: "HttpServer", **settings: Any) -> None:
        super().__init__(
            owner.listener, owner.address, owner.call_app, log_output=False, **settings
        )
        self.owner = owner


class HttpServer:
    """Serves a WSGI application on one address.

    Attributes:
        address: Address to listen on; after ``start`` with the port that the system
            has assigned.
        app: The WSGI application.
        connections: Open connections whose threads have started.
        limits: Limits on the heads of requests and on idle connections.
        body_seconds: Longest time in which a body must be complete, unless its handler
            sets another one.
        budget: Memory for all requests in progress.
        on_limit: Called when a client exceeds a limit.
        is_closing: Whether the server closes each connection after its next answer.
    """

    def __init__(
        self, address: Address, app: WsgiApp, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            address: Address to listen on.
            app: The WSGI application.
            max_connections: Most open connections.
        """
        self.address = address
        self.app = app
        self.pool = eventlet.GreenPool(max_connections)
        self.connections: set[HttpConnection] = set()
        self.limits = ClientLimits(
            header_seconds=RECEIVE_TIMEOUT_SECONDS, idle_seconds=RECEIVE_TIMEOUT_SECONDS
        )
        self.body_seconds = BODY_SECONDS
        self.budget = MemoryBudget(BUDGET_BYTES)
        self.on_limit: LimitObserver = ignore_limit
        self.is_closing = False
        self.wsgi_server: Any = None
        self.listener: Any = None
        self.thread: Any = None

    def start(self) -> None:
        """Listen and start serving.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self.listener = eventlet.listen(self.address, reuse_port=False, backlog=BACKLOG)
        self.address = Address(*self.listener.getsockname()[:2])
        self.wsgi_server = self.make_wsgi_server()
        self.thread = spawn_loop(self._accept_connections)

    def make_wsgi_server(self) -> WsgiServer:
        """Return the settings of the connections."""
        return WsgiServer(
            self,
            protocol=HttpConnection,
            socket_timeout=RECEIVE_TIMEOUT_SECONDS,
            # The limit on the whole head holds for its first line as well.
            url_length_limit=sys.maxsize,
            # Send each token at once instead of buffering 4 KiB.
            minimum_chunk_size=1,
            debug=False,
        )

    def _accept_connections(self) -> None:
        while True:
            try:
                connection, client_address = self.listener.accept()
            except OSError as error:
                if error.errno not in NO_DESCRIPTORS:
                    raise
                logger.warning("cannot accept a connection: %s", error)
                self._make_room()
                eventlet.sleep(NO_DESCRIPTORS_SECONDS)
                continue
            if self.pool.free() <= 0:
                self._make_room()
            self._serve(connection, client_address)

    def _make_room(self) -> None:
        """Close the connection that can be spared most, if one can be.

        Slow transfers are closed first, the slowest of them, then the connection that
        has been idle for the longest time. Requests that are answered are not touched.
        """
        now = boottime()
        slow = [
            connection
            for connection in self.connections
            if connection.memory.is_slow(now)
        ]
        if slow:
            self.on_limit(ClientLimit.CONNECTIONS, "slow")
            min(slow, key=attrgetter("memory.paid_until")).memory.evict()
            return
        idle = [
            connection
            for connection in self.connections
            if connection.state is ConnectionState.IDLE
        ]
        for connection in nsmallest(IDLE_TRIES, idle, key=attrgetter("idle_since")):
            if connection.close_if_idle():
                self.on_limit(ClientLimit.CONNECTIONS, "idle")
                return

    def _serve(self, connection: Any, client_address: Any) -> None:
        """Serve a connection in a green thread, once the pool has one free."""
        connection.settimeout(self.wsgi_server.socket_timeout)
        state = [client_address, connection, eventlet.wsgi.STATE_IDLE]
        self.pool.spawn(self.wsgi_server.process_request, state)

    def call_app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Call the application; while the server closes, answers end connections.

        A request whose body is cut is not answered, like one whose head is.
        """

        def start(status: str, headers: HeaderList, exc_info: Any = None) -> Any:
            if self.is_closing:
                environ[CONNECTION_KEY].close_connection = True
            return start_response(status, headers, exc_info)

        source = environ["eventlet.input"]
        try:
            result = self.app(environ, start)
        except Exception as error:
            if not source.is_cut:
                raise
            logger.debug("request ended early: %s", error)
            result = []
        if source.is_cut:
            # The connection is closed without anything being sent.
            WSGI_LOCAL.already_handled = True
            return []
        return result

    def drain(self, deadline: float) -> None:
        """Stop listening, then return when all connections have ended.

        Requests that have arrived are answered, and each answer ends its connection. A
        connection without a request is closed after ``IDLE_SECONDS``, so that clients
        which use theirs get an answer instead of a reset. A connection that was just
        accepted counts as open: its thread has not run yet, so that ``connections``
        lacks it.

        Args:
            deadline: When to return at the latest, on this process's clock.
        """
        started_at = boottime()
        self.is_closing = True
        self.stop_listening()
        while self.pool.running() and boottime() < deadline:
            eventlet.sleep(DRAIN_POLL_SECONDS)
            idle_since = boottime() - IDLE_SECONDS
            if started_at <= idle_since:
                self._close_idle_connections(idle_since)

    def _close_idle_connections(self, idle_since: float) -> None:
        """Close the connections that have been idle since a time or longer."""
        for connection in list(self.connections):
            if connection.idle_since <= idle_since:
                connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no connections beyond those that wait; open ones are still served."""
        if self.listener is not None:
            drop_new_connections(self.listener)
            eventlet.sleep(HANDSHAKE_SECONDS)
        if self.thread is not None:
            self.thread.kill()
            self.thread = None
        if self.listener is not None:
            accepted = list(accept_queued(self.listener, self.pool.free()))
            self.listener.close()
            self.listener = None
            for connection, client_address in accepted:
                self._serve(connection, client_address)

    def count_states(self) -> dict[str, int]:
        """Return the number of connections in each state, and of those not accepted."""
        counts = Counter(
            "unread" if connection.has_request_waiting() else connection.state.value
            for connection in self.connections
        )
        if self.listener is not None and (queued := count_queued(self.listener)):
            counts["queued"] = queued
        return dict(counts)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for worker in list(self.pool.coroutines_running):
            worker.kill()
