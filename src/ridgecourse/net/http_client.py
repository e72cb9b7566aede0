"""HTTP client on ``urllib3`` for requests between processes."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import closing

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.exceptions import TimeoutError as HttpTimeout

from ridgecourse.net.address import parse_address
from ridgecourse.net.answer_connection import AnswerPool, AnswerPoolManager

READ_BYTES = 16 * 1024
"""Bytes per read; small, so that the progress of a body on a slow link can be seen."""

FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class NoConnection(Exception):
    """The connection could not be opened, so no byte of the request was sent."""


class ExchangeFailed(Exception):
    """The connection failed after the request may have been sent."""


class HttpClient:
    """Sends requests over reused connections, without retries.

    Attributes:
        connect_seconds: Longest wait for a connection.
        source_address: Local address to connect from; None for any.
        pool: Connection pools, one for each server.
    """

    def __init__(
        self,
        connect_seconds: float = 1.0,
        pool_size: int = 64,
        source: str | None = None,
    ) -> None:
        self.connect_seconds = connect_seconds
        self.source_address = None if source is None else (source, 0)
        self.pool = AnswerPoolManager(
            num_pools=256,
            maxsize=pool_size,
            block=False,
            retries=False,
            source_address=self.source_address,
        )

    def send(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
        fresh: bool = False,
    ) -> BaseHTTPResponse:
        """Send a request and return the response with its body unread.

        Args:
            method: HTTP method.
            address: HOST:PORT of the server.
            path: Path and query.
            body: Body of the request; None for none.
            headers: Headers of the request; None for none.
            timeout: Longest wait for each read, in seconds.
            fresh: Whether to open a connection for this request alone. The server
                may have closed a reused connection while it was idle, and the
                client cannot distinguish that from a loss after sending.

        Raises:
            NoConnection: Nothing was sent.
            ExchangeFailed: The request may have been received.
        """
        pool = self._pool(address, fresh)
        try:
            return pool.urlopen(
                method,
                path,
                body=body,
                headers=headers or {},
                timeout=Timeout(connect=self.connect_seconds, read=timeout),
                preload_content=False,
                redirect=False,
                retries=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NoConnection(f"{address}: {error}") from error
        except (HTTPError, OSError) as error:
            raise ExchangeFailed(f"{address}: {error}") from error

    def _pool(self, address: str, fresh: bool) -> HTTPConnectionPool:
        if not fresh:
            return self.pool.connection_from_url(f"http://{address}")
        socket_address = parse_address(address)
        return AnswerPool(
            socket_address.host,
            socket_address.port,
            maxsize=1,
            retries=False,
            source_address=self.source_address,
        )

    def fetch(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
        limit: int = 64 * 1024 * 1024,
        on_piece: Callable[[], None] | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request and return status, complete body and headers.

        Args:
            method: HTTP method.
            address: HOST:PORT of the server.
            path: Path and query.
            body: Body of the request; None for none.
            headers: Headers of the request; None for none.
            timeout: Longest wait for each read, in seconds.
            limit: Largest accepted size of the response body, in bytes.
            on_piece: Called without arguments for each received piece of the body.

        Raises:
            NoConnection: Nothing was sent.
            ExchangeFailed: The request may have been received.
        """
        response = self.send(method, address, path, body, headers, timeout)
        with closing(response):
            pieces = read_pieces(response, limit)
            data = b"".join(with_progress(pieces, on_piece) if on_piece else pieces)
            response.release_conn()
            return response.status, data, dict(response.headers)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.clear()


def states_end(headers: Mapping[str, str]) -> bool:
    """Check whether the head of an answer states where the body ends.

    Otherwise the body ends with its connection, and may be cut.

    Args:
        headers: Headers of the answer.
    """
    return not FRAMING_HEADERS.isdisjoint(map(str.lower, headers))


def read_pieces(response: BaseHTTPResponse, limit: int) -> Iterator[bytes]:
    """Yield the pieces of a response body.

    Args:
        response: The response, with its body unread.
        limit: Largest accepted size of the body, in bytes.

    Raises:
        ExchangeFailed: The connection failed, or the body is over the limit.
    """
    total = 0
    try:
        while piece := response.read(READ_BYTES):
            total += len(piece)
            if total > limit:
                raise ExchangeFailed(f"the answer is over {limit} bytes")
            yield piece
    except (HTTPError, HttpTimeout, OSError) as error:
        raise ExchangeFailed(str(error)) from error


def with_progress(
    pieces: Iterator[bytes], on_piece: Callable[[], None]
) -> Iterator[bytes]:
    """Yield pieces, calling a function before each piece."""
    for piece in pieces:
        on_piece()
        yield piece


def read_lines(response: BaseHTTPResponse, limit: int) -> Iterator[bytes]:
    """Yield the lines of a streamed body as they arrive, without line ends.

    Args:
        response: The response, with its body unread.
        limit: Largest accepted length of an unfinished line, in bytes.

    Raises:
        ExchangeFailed: The connection failed, or a line is over the limit.
    """
    rest = b""
    try:
        while piece := response.read1(READ_BYTES):
            *lines, rest = (rest + piece).split(b"\n")
            yield from lines
            if len(rest) > limit:
                raise ExchangeFailed(f"a line is over {limit} bytes")
    except (HTTPError, HttpTimeout, OSError) as error:
        raise ExchangeFailed(str(error)) from error
    if rest:
        yield rest
