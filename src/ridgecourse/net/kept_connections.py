"""Persistent connections for many small requests a second to one process.

``HttpClient`` costs more per request: it looks up the pool and copies the timeouts
before it sends the request.
"""

from collections.abc import Iterator, Mapping
from contextlib import suppress
from socket import MSG_PEEK, socket
from typing import NamedTuple

from urllib3.exceptions import HTTPError, NewConnectionError

from ridgecourse.core.ids import Seconds
from ridgecourse.net.address import parse_address
from ridgecourse.net.answer_connection import AnswerConnection
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, NoConnection


class SendExpired(Exception):
    """The time to send a request had passed, so no byte of it was sent."""


class PlainAnswer(NamedTuple):
    """The answer to a small request.

    Attributes:
        status: HTTP status.
        headers: Headers by name, which is not case-sensitive.
        body: The whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class PersistentConnections:
    """Sends requests to one process over persistent connections.

    Attributes:
        address: HOST:PORT of the process.
        source_address: Local address to connect from; None for any.
        idle_connections: Open connections without a request in progress.
    """

    def __init__(self, address: str, source_address: str | None = None) -> None:
        self.address = address
        self.source_address = None if source_address is None else (source_address, 0)
        self.idle_connections: list[AnswerConnection] = []

    def get(self, path: str, timeout: float) -> PlainAnswer:
        """Send a GET request and return the answer.

        If the process has closed a kept connection, the request is sent again, at last
        on a new connection. A kept connection with unread bytes is closed.

        Args:
            path: Path and query.
            timeout: Longest wait for the connection and for each read, in seconds.

        Raises:
            NoConnection: Nothing was sent.
            ExchangeFailed: The request may have been received.
        """
        for connection in self._take_quiet_connections():
            with suppress(ConnectionError):
                return self._exchange(connection, path, timeout)
        try:
            return self._exchange(self._make_connection(), path, timeout)
        except ConnectionError as error:
            raise ExchangeFailed(f"{self.address}: {error!r}") from error

    def post(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        send_until: Seconds,
    ) -> PlainAnswer:
        """Send a POST request once, on a new connection, and return the answer.

        Args:
            path: Path and query.
            body: Body of the request.
            headers: Headers of the request.
            timeout: Longest wait for the connection and for each read, in seconds.
            send_until: Time until which the request may be sent, by ``boottime``.

        Raises:
            SendExpired: The connection was open only after ``send_until``.
            NoConnection: Nothing was sent.
            ExchangeFailed: The request may have been received.
        """
        connection = self._make_connection()
        connection.timeout = timeout
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            raise NoConnection(f"{self.address}: {error}") from error
        # The last step before the request is written: opening the connection waits.
        if boottime() > send_until:
            connection.close()
            raise SendExpired(f"{self.address}: {path}")
        try:
            return self._exchange(connection, path, timeout, "POST", body, headers)
        except ConnectionError as error:
            raise ExchangeFailed(f"{self.address}: {error!r}") from error

    def _take_quiet_connections(self) -> Iterator[AnswerConnection]:
        """Take and yield kept connections on which nothing has been received.

        Bytes that arrive while no request is in progress, such as a second answer to an
        earlier request, are not the answer to the next one (RFC 9112, section 9.2).
        """
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.sock is not None and not is_readable(connection.sock):
                yield connection
            else:
                connection.close()

    def _make_connection(self) -> AnswerConnection:
        socket_address = parse_address(self.address)
        return AnswerConnection(
            socket_address.host, socket_address.port, source_address=self.source_address
        )

    def _exchange(
        self,
        connection: AnswerConnection,
        path: str,
        timeout: float,
        method: str = "GET",
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> PlainAnswer:
        """Send a request on a connection, and keep the connection if it is still open.

        Raises:
            ConnectionError: The process ended the connection.
            NoConnection: Nothing was sent.
            ExchangeFailed: The request may have been received.
        """
        connection.timeout = timeout
        if connection.sock is not None:
            connection.sock.settimeout(timeout)
        try:
            connection.request(
                method,
                path,
                body,
                headers,
                preload_content=False,
                decode_content=False,
            )
            response = connection.getresponse()
            data = response.read()
        except ConnectionError:
            connection.close()
            raise
        except NewConnectionError as error:
            raise NoConnection(f"{self.address}: {error}") from error
        except Exception as error:
            # Errors of urllib3 and the socket, and those of http.client for a malformed
            # answer.
            connection.close()
            raise ExchangeFailed(f"{self.address}: {error!r}") from error
        if connection.sock is not None:
            self.idle_connections.append(connection)
        return PlainAnswer(response.status, response.headers, data)


def is_readable(sock: socket) -> bool:
    """Check whether a socket has unread bytes, or its connection has ended.

    The socket does not block afterwards; its timeout must be set again.
    """
    sock.settimeout(0.0)
    try:
        sock.recv(1, MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
