"""HTTP servers on ``eventlet.wsgi``."""

import logging
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi

from ridgecourse.net.address import Address
from ridgecourse.net.auth import AUTH_HEADER, verify_request

logger = logging.getLogger(__name__)

SLOW_SENDER_SECONDS = 15.0
"""A connection that sends nothing for this long while it should is closed."""
MAX_CONNECTIONS = 1024

STATUS_TEXT = {
    200: "200 OK",
    204: "204 No Content",
    206: "206 Partial Content",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
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


class BodyTooLarge(Exception):
    """A body longer than its reader accepts."""


class HttpRequest:
    """A request as a handler sees it."""

    def __init__(self, environ: dict[str, Any]) -> None:
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ.get("PATH_INFO", "/")
        self.query = {
            name: values[-1]
            for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()
        }

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key, default)
        return self.environ.get(f"HTTP_{key}", default)

    def is_signed(self, key: str, body: bytes = b"") -> bool:
        """Tell whether a process that holds the key signed this request."""
        header = self.header(AUTH_HEADER)
        return verify_request(key, header, self.method, self.path, body)

    def read_body(self, limit: int) -> bytes:
        """Return the body.

        Args:
            limit: Most bytes accepted.

        Raises:
            BodyTooLarge: The body is longer.
        """
        declared = self.header("Content-Length")
        if declared and (not declared.isdecimal() or int(declared) > limit):
            raise BodyTooLarge(f"{declared} bytes, at most {limit} accepted")
        data = self.environ["wsgi.input"].read(limit + 1)
        if len(data) > limit:
            raise BodyTooLarge(f"over {limit} bytes")
        if declared and len(data) < int(declared):
            raise ConnectionError("the body ended early")
        return data


class HttpReply(NamedTuple):
    """What a handler answers.

    Attributes:
        status: HTTP status.
        body: Bytes, or an iterable of them for a streamed answer.
        headers: Names and values.
    """

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: HeaderList = []


Handler = Callable[[HttpRequest], HttpReply]
WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class HttpRouter:
    """A WSGI application that finds a handler by method and path prefix."""

    def __init__(self) -> None:
        self.routes: list[tuple[str, str, Handler]] = []
        self.mounts: list[tuple[str, WsgiApp]] = []

    def add(self, method: str, prefix: str, handler: Handler) -> None:
        """Send requests whose path starts with a prefix to a handler."""
        self.routes.append((method, prefix, handler))

    def mount(self, prefix: str, app: WsgiApp) -> None:
        """Send everything below a prefix to a WSGI application."""
        self.mounts.append((prefix, app))

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request, as WSGI has it."""
        path = environ.get("PATH_INFO", "/")
        for prefix, app in self.mounts:
            if path.startswith(prefix):
                return app(environ, start_response)
        reply = self.answer(HttpRequest(environ))
        headers = list(reply.headers)
        body = reply.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        start_response(STATUS_TEXT[reply.status], headers)
        return body

    def answer(self, request: HttpRequest) -> HttpReply:
        """Return the reply to a request; a handler's fault becomes a status."""
        handler = self.find(request)
        if handler is None:
            return HttpReply(404, b"no such path\n")
        try:
            return handler(request)
        except BodyTooLarge as error:
            return HttpReply(413, f"{error}\n".encode(), [("Connection", "close")])
        except ConnectionError as error:
            return HttpReply(400, f"{error}\n".encode(), [("Connection", "close")])
        except Exception:
            logger.exception("handler of %s %s failed", request.method, request.path)
            return HttpReply(500, b"internal error\n")

    def find(self, request: HttpRequest) -> Handler | None:
        """Return the handler with the longest matching prefix."""
        best: tuple[int, Handler] | None = None
        for method, prefix, handler in self.routes:
            if method != request.method or not request.path.startswith(prefix):
                continue
            if best is None or len(prefix) > best[0]:
                best = (len(prefix), handler)
        return best[1] if best else None


class HttpServer:
    """Serves a WSGI application on one address.

    Attributes:
        address: Where it listens; the port is the real one after ``start``.
    """

    def __init__(self, address: Address, app: WsgiApp) -> None:
        self.address = address
        self.app = app
        self.pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self.listener: Any = None
        self.thread: Any = None

    def start(self) -> None:
        """Listen and begin to serve.

        Raises:
            OSError: The address cannot be listened on.
        """
        self.listener = eventlet.listen(self.address, reuse_port=False, backlog=512)
        self.address = Address(*self.listener.getsockname()[:2])
        self.thread = eventlet.spawn(self._serve)

    def _serve(self) -> None:
        with suppress(OSError, eventlet.greenlet.GreenletExit):
            eventlet.wsgi.server(
                self.listener,
                self.app,
                custom_pool=self.pool,
                log_output=False,
                socket_timeout=SLOW_SENDER_SECONDS,
                # Tokens go out as they come, not when 4 KiB have gathered.
                minimum_chunk_size=1,
                debug=False,
            )

    def stop_listening(self) -> None:
        """Accept no further connections; those open go on."""
        if self.thread is not None:
            self.thread.kill()
            self.thread = None
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Stop listening and end what is open."""
        self.stop_listening()
        for worker in list(self.pool.coroutines_running):
            worker.kill()
