"""Connections to one process that is asked small questions many times a second.

A question over ``HttpClient`` looks up its pool, copies time-outs and asks the system
whether the connection has ended, before it is sent.
"""

from contextlib import suppress

from urllib3.connection import HTTPConnection
from urllib3.exceptions import NewConnectionError

from ridgecourse.net.address import parse_address
from ridgecourse.net.http_client import ExchangeFailed, NoConnection


class KeptConnections:
    """Asks one process, over connections that stay open.

    Attributes:
        address: HOST:PORT of the process.
        source: Local address to connect from; None for any.
        idle: Open connections that nobody uses now.
    """

    def __init__(self, address: str, source: str | None = None) -> None:
        self.address = address
        self.source = None if source is None else (source, 0)
        self.idle: list[HTTPConnection] = []

    def get(self, path: str, timeout: float) -> tuple[int, bytes]:
        """Return status and body of an answer.

        A question on a connection that the process has closed meanwhile is asked once
        more, on a new one.

        Args:
            path: Path and query.
            timeout: Longest wait for the connection and for each read, in seconds.

        Raises:
            NoConnection: Nothing was sent.
            ExchangeFailed: The question may have been received.
        """
        while self.idle:
            with suppress(ConnectionError):
                return self._ask(self.idle.pop(), path, timeout)
        where = parse_address(self.address)
        fresh = HTTPConnection(where.host, where.port, source_address=self.source)
        try:
            return self._ask(fresh, path, timeout)
        except ConnectionError as error:
            raise ExchangeFailed(f"{self.address}: {error!r}") from error

    def _ask(
        self, connection: HTTPConnection, path: str, timeout: float
    ) -> tuple[int, bytes]:
        """Ask on one connection; it is kept if it is as good as before.

        Raises:
            ConnectionError: The process ended the connection.
            NoConnection: Nothing was sent.
            ExchangeFailed: The question may have been received.
        """
        connection.timeout = timeout
        if connection.sock is not None:
            connection.sock.settimeout(timeout)
        try:
            connection.request("GET", path, preload_content=False, decode_content=False)
            response = connection.getresponse()
            body = response.read()
        except ConnectionError:
            connection.close()
            raise
        except NewConnectionError as error:
            raise NoConnection(f"{self.address}: {error}") from error
        except Exception as error:
            # Of urllib3 and the socket, and http.client's own for what is no answer.
            connection.close()
            raise ExchangeFailed(f"{self.address}: {error!r}") from error
        if connection.sock is not None:
            self.idle.append(connection)
        return response.status, body
