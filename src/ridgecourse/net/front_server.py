"""The HTTP server for clients, on ``eventlet.wsgi``.

Unlike ``http_server`` it passes requests on unaltered, with the request target as sent
and the header lines in their order. It also interrupts a handler whose client
disconnects while the handler waits for something else.
"""

import logging
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any, NamedTuple

import eventlet
import eventlet.wsgi
from eventlet import greenthread
from eventlet.hubs import trampoline
from greenlet import getcurrent

from ridgecourse.core.memory_budget import (
    MAX_CONNECTIONS,
    BudgetExceeded,
    Resources,
    plan_capacity,
)
from ridgecourse.core.routes import ClientLimits
from ridgecourse.net.address import Address
from ridgecourse.net.http_connection import CONNECTION_KEY, HttpConnection
from ridgecourse.net.http_server import (
    CONNECTION_CLOSE,
    RETRY_LATER,
    STATUS_TEXT,
    HeaderList,
    HttpServer,
    WsgiServer,
)
from ridgecourse.net.request_body import DISCARD_BYTES, Body, BodyTooLarge, BodyTooLate

logger = logging.getLogger(__name__)

REQUEST_BYTES = 32 * 1024
"""Memory of a request in progress: its environment and a connection to a target."""
HEAD_FACTOR = 6
"""Memory of a parsed head as a multiple of its length."""


class ClientDisconnected(Exception):
    """The client closed its connection before it received the complete answer."""


class BadRequestHead(Exception):
    """The head of a request is malformed and cannot be passed on."""


class FrontRequest:
    """A request of a client.

    Attributes:
        environ: The WSGI environment.
        protocol: The connection of the client.
        method: HTTP method as sent.
        target: Path and query as sent, not decoded.
        headers: Names and values in the order sent.
    """

    def __init__(self, environ: dict[str, Any], protocol: "FrontConnection") -> None:
        self.environ = environ
        self.protocol = protocol
        self.method: str = environ["REQUEST_METHOD"]
        self.target = protocol.raw_target()
        self.headers: HeaderList = list(environ["headers_raw"])

    @property
    def path(self) -> str:
        """Return the request target without its query."""
        return self.target.partition("?")[0]

    def header_values(self, name: str) -> list[str]:
        """Return all values of a header, in the order sent."""
        return self.protocol.headers.get_all(name, [])

    def reserve_memory(self) -> None:
        """Reserve the memory that a request needs while it is in progress.

        Raises:
            BudgetExceeded: The memory for clients' requests is in use.
        """
        size = REQUEST_BYTES + HEAD_FACTOR * self.protocol.head_bytes
        self.protocol.reserve_memory(size)

    def read_body(self, limit: int, seconds: float | None = None) -> Body:
        """Return the body.

        Args:
            limit: Largest accepted size in bytes.
            seconds: Longest time in which the body must be complete; None for that of
                the server.

        Raises:
            BodyTooLarge: The body is larger than the limit.
            BodyTooLate: The body was not complete in time.
            BudgetExceeded: There is no memory for the body.
            BadRequestHead: The length or the chunk framing of the body is wrong.
            ClientDisconnected: The client disconnected before the end of the body.
        """
        try:
            return self.protocol.receive_body(limit, seconds)
        except ValueError as error:
            raise BadRequestHead(f"chunk framing: {error}") from error
        except OSError as error:
            raise ClientDisconnected(str(error)) from error

    def has_disconnected(self) -> bool:
        """Check whether the client has disconnected.

        After a freeze a process has several events to handle at once, and the green
        thread that watches the connection may run last.
        """
        try:
            return not self.protocol.connection.fd.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    @contextmanager
    def cancel_on_disconnect(self) -> Iterator[None]:
        """Raise ``ClientDisconnected`` in the block when the client disconnects."""
        watcher = eventlet.spawn(self._interrupt_on_disconnect, getcurrent())
        try:
            yield
        finally:
            watcher.kill()

    def _interrupt_on_disconnect(self, handler: Any) -> None:
        """Interrupt the handler once the client has disconnected.

        Readable bytes belong to a pipelined request. They hide a later end of the
        connection, so that the watch ends when there are any.

        Args:
            handler: The greenlet to interrupt.
        """
        connection = self.protocol.connection
        with suppress(OSError):
            trampoline(connection.fileno(), read=True)
            if connection.fd.recv(1, MSG_PEEK):
                return
        greenthread.kill(handler, ClientDisconnected("the connection ended"))


class FrontReply(NamedTuple):
    """A reply to a client.

    Attributes:
        status: HTTP status.
        reason: Reason phrase; empty for the standard phrase.
        headers: Names and values, without framing headers.
        body: The whole body, or an iterable of bytes for a stream.
    """

    status: int
    reason: str = ""
    headers: HeaderList = []
    body: Body | Iterable[bytes] = b""


FrontHandler = Callable[[FrontRequest], FrontReply]


class FrontConnection(HttpConnection):
    """The connection of one client."""

    def raw_target(self) -> str:
        """Return the request target as sent, not decoded."""
        words = self.raw_requestline.decode("latin1").split()
        return words[1] if len(words) > 1 else self.path

    def _read_request_line(self) -> bytes:
        # The library tells clients in Keep-Alive how long a connection may be idle.
        self.server.keepalive = self.owner.limits.idle_seconds
        return super()._read_request_line()


class FrontServer(HttpServer):
    """Serves clients on one address.

    Attributes:
        handler: Answers the requests.
        limits: Limits on requests and connections; may change at any time.
        in_flight: Number of requests in progress.
    """

    def __init__(self, address: Address, handler: FrontHandler) -> None:
        super().__init__(address, self.answer, MAX_CONNECTIONS)
        self.handler = handler
        self.limits = ClientLimits()
        self.in_flight = 0

    def apply_limits(self, limits: ClientLimits, resources: Resources) -> None:
        """Apply limits on each client and, under these, on all clients together."""
        self.limits = limits
        capacity = plan_capacity(resources, limits.body_bytes)
        self.budget.capacity_bytes = capacity.request_bytes
        self.pool.resize(capacity.connections)

    def make_wsgi_server(self) -> WsgiServer:
        """Return the settings of the connections."""
        return WsgiServer(
            self,
            protocol=FrontConnection,
            minimum_chunk_size=1,
            capitalize_response_headers=False,
            url_length_limit=sys.maxsize,
            socket_timeout=self.limits.header_seconds,
            keepalive=self.limits.idle_seconds,
            debug=False,
        )

    def answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request as a WSGI application."""
        protocol: FrontConnection = environ[CONNECTION_KEY]
        request = FrontRequest(environ, protocol)
        self.in_flight += 1
        try:
            reply = self._call_handler(request)
        except BaseException:
            self.in_flight -= 1
            raise
        unread_bytes = environ["eventlet.input"].count_unread()
        if unread_bytes is not None and unread_bytes > DISCARD_BYTES:
            protocol.close_behind_answer()
        headers = list(reply.headers)
        if CONNECTION_CLOSE in headers:
            headers.remove(CONNECTION_CLOSE)
            protocol.close_connection = True
        status = f"{reply.status} {reply.reason}"
        if not reply.reason:
            status = STATUS_TEXT.get(reply.status, f"{reply.status} Status")
        if isinstance(reply.body, Body):
            headers.append(("Content-Length", str(len(reply.body))))
        start_response(status, headers)
        return self._send_body(reply, protocol)

    def _send_body(
        self, reply: FrontReply, protocol: FrontConnection
    ) -> Iterator[bytes]:
        try:
            if isinstance(reply.body, Body):
                yield from protocol.body_to_send(reply.body)
            else:
                protocol.begin_stream()
                yield from reply.body
                protocol.end_stream()
        finally:
            self.in_flight -= 1

    def _call_handler(self, request: FrontRequest) -> FrontReply:
        try:
            return self.handler(request)
        except BodyTooLarge as error:
            return FrontReply(
                413, headers=[CONNECTION_CLOSE], body=f"{error}\n".encode()
            )
        except BodyTooLate as error:
            return FrontReply(
                408, headers=[CONNECTION_CLOSE], body=f"{error}\n".encode()
            )
        except BudgetExceeded as error:
            return FrontReply(503, headers=[RETRY_LATER], body=f"{error}\n".encode())
        except BadRequestHead as error:
            return FrontReply(
                400, headers=[CONNECTION_CLOSE], body=f"{error}\n".encode()
            )
        except ClientDisconnected:
            raise
        except Exception:
            logger.exception("%s %s failed", request.method, request.target)
            return FrontReply(502, body=b"internal error\n")
