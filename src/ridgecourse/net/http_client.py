"""HTTP clients on ``urllib3``."""

from collections.abc import Callable, Iterator
from contextlib import closing

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, PoolManager, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)
from urllib3.exceptions import TimeoutError as HttpTimeout

from ridgecourse.net.address import parse_address

READ_BYTES = 16 * 1024
"""Read at a time: so little that a body on a slow link shows that it comes."""


class NoConnection(Exception):
    """No connection could be made, so no byte of the request was sent."""


class ExchangeFailed(Exception):
    """The connection failed after the request may have been sent."""


class HttpClient:
    """Requests with connection reuse and without hidden retries.

    Attributes:
        connect_seconds: Longest wait for a connection.
        source_address: Local address to connect from; None for any.
    """

    def __init__(
        self,
        connect_seconds: float = 1.0,
        pool_size: int = 64,
        source: str | None = None,
    ) -> None:
        self.connect_seconds = connect_seconds
        self.source_address = None if source is None else (source, 0)
        self.pool = PoolManager(
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
            timeout: Longest wait for each read, in seconds.
            fresh: Open a connection for this request alone. A reused one may
                have been closed by the server while idle, which cannot be told
                apart from one lost after sending.

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
        where = parse_address(address)
        return HTTPConnectionPool(
            where.host,
            where.port,
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
        """Send a request and return status, whole body and headers.

        Args:
            method: Its method.
            address: HOST:PORT.
            path: Its path and query.
            body: Its body; None for none.
            headers: Its headers; None for none.
            timeout: Longest wait for each read, in seconds.
            limit: Most bytes of the answer's body.
            on_piece: Called with each piece of the body that has come.

        Raises:
            NoConnection: Nothing was sent.
            ExchangeFailed: The request may have been received.
        """
        response = self.send(method, address, path, body, headers, timeout)
        with closing(response):
            pieces = read_pieces(response, limit)
            data = b"".join(noting(pieces, on_piece) if on_piece else pieces)
            response.release_conn()
            return response.status, data, dict(response.headers)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.clear()


def read_pieces(response: BaseHTTPResponse, limit: int) -> Iterator[bytes]:
    """Yield a body in pieces.

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


def noting(pieces: Iterator[bytes], on_piece: Callable[[], None]) -> Iterator[bytes]:
    """Yield pieces, and note that each has come."""
    for piece in pieces:
        on_piece()
        yield piece


def read_lines(response: BaseHTTPResponse, limit: int) -> Iterator[bytes]:
    """Yield the lines of a streamed body as they come, ends stripped.

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
