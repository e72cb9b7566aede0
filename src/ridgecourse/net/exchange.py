"""One request to a target, and what can be proved of its fate.

Each exchange has a connection of its own. A reused one may carry bytes left
over from an earlier answer, or be closed by the target just when it is used
again; both leave open whether a request has run.
"""

from collections.abc import Iterator
from contextlib import suppress
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Any

from urllib3 import BaseHTTPResponse
from urllib3._collections import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.util import SKIP_HEADER

from ridgecourse.core.ids import Seconds
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import HeaderList

READ_BYTES = 16 * 1024
RESET_AT_CLOSE = pack("ii", 1, 0)
"""Value of SO_LINGER: linger for no time at all."""
SHORTEST_WAIT = 0.001
"""Seconds; a socket cannot wait for no time at all."""


class NotSent(Exception):
    """No connection came up, so no byte of the request was sent."""


class Broken(Exception):
    """The exchange failed after bytes of the request may have arrived."""


class TooLate(Broken):
    """The time for the exchange ran out."""


class Disconnected(Broken):
    """The other side ended the connection before the answer was whole."""


class Exchange:
    """A request on a connection of its own.

    Attributes:
        address: HOST:PORT of the target.
        deadline: When to give up.
        response: The answer, once its head has come.
    """

    def __init__(self, address: str, deadline: Seconds) -> None:
        where = parse_address(address)
        self.address = address
        self.deadline = deadline
        self.connection = HTTPConnection(where.host, where.port)
        self.sock: Any = None
        self.response: BaseHTTPResponse | None = None

    def connect(self, seconds: float) -> None:
        """Open the connection.

        Raises:
            NotSent: It did not come up in time.
        """
        self.connection.timeout = max(SHORTEST_WAIT, seconds)
        try:
            self.connection.connect()
        except (HTTPError, OSError) as error:
            self.close()
            raise NotSent(f"{self.address}: {error}") from error
        self.sock = self.connection.sock

    def send(
        self, method: str, target: str, headers: HeaderList, body: bytes | None
    ) -> None:
        """Send the request.

        Raises:
            Disconnected: Bytes may have arrived, but not all.
            Broken: The request cannot be written.
        """
        fields = HTTPHeaderDict(headers)
        for name in ("User-Agent", "Accept-Encoding", "Host"):
            if name not in fields:
                fields[name] = SKIP_HEADER
        self._wait_at_most(self.remaining())
        try:
            self.connection.request(
                method,
                target,
                body=body,
                headers=fields,
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            raise Disconnected(f"{self.address}: {error}") from error
        except ValueError as error:
            raise Broken(f"{self.address}: {error}") from error

    def receive_head(self, begin_by: Seconds | None = None) -> BaseHTTPResponse:
        """Wait for the answer's head.

        Args:
            begin_by: When the answer must have begun, if before the deadline.

        Raises:
            TooLate: It did not come by the deadline.
            Disconnected: The connection ended.
            Broken: What came is no answer, or it had not begun when it must have.
        """
        wait = self.remaining()
        if begin_by is not None:
            wait = min(wait, begin_by - boottime())
        self._wait_at_most(wait)
        try:
            self.response = self.connection.getresponse()
        except TimeoutError as error:
            if wait < self.deadline - boottime():
                raise Broken(f"{self.address}: not begun in time") from error
            raise TooLate(f"{self.address}: no answer in time") from error
        except ConnectionError as error:
            raise Disconnected(f"{self.address}: {error!r}") from error
        except Exception as error:
            # http.client has errors of its own for what is no answer.
            raise Broken(f"{self.address}: {error!r}") from error
        return self.response

    def read_whole(self, limit: int) -> bytes:
        """Return the whole body.

        Raises:
            TooLate: It was not there by the deadline.
            Broken: It ended early, or is longer than the limit.
        """
        return b"".join(self.read_pieces(limit))

    def read_pieces(self, limit: int, pause: float | None = None) -> Iterator[bytes]:
        """Yield the body as it comes.

        Args:
            limit: Most bytes in all.
            pause: Longest wait for a next piece in seconds; None for no limit
                but the deadline.

        Raises:
            TooLate: It did not come in time.
            Disconnected: It ended early.
            Broken: It is longer than the limit.
        """
        assert self.response is not None
        total = 0
        while True:
            wait = self.remaining()
            self._wait_at_most(wait if pause is None else min(wait, pause))
            try:
                piece = self.response.read1(READ_BYTES)
            except (TimeoutError, ReadTimeoutError) as error:
                raise TooLate(f"{self.address}: body stalled") from error
            except (HTTPError, OSError) as error:
                raise Disconnected(f"{self.address}: {error!r}") from error
            if not piece:
                return
            total += len(piece)
            if total > limit:
                raise Broken(f"{self.address}: over {limit} bytes")
            yield piece

    def remaining(self) -> float:
        """Return the seconds left.

        Raises:
            TooLate: There are none.
        """
        left = self.deadline - boottime()
        if left <= 0:
            raise TooLate(f"{self.address}: out of time")
        return left

    def _wait_at_most(self, seconds: float) -> None:
        wait = max(SHORTEST_WAIT, seconds)
        # urllib3 puts its own figure on the socket before it reads the head.
        self.connection.timeout = wait
        self.sock.settimeout(wait)

    def abandon(self) -> None:
        """End the connection by a reset: what is still on its way is not sent.

        A closed connection would bring it to the target first, on a slow link seconds
        after whoever asked has gone.
        """
        if self.sock is not None:
            with suppress(OSError):
                self.sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_AT_CLOSE)
        self._release()

    def close(self) -> None:
        """End the connection; the target sees that nobody waits any more."""
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(SHUT_RDWR)
        self._release()

    def _release(self) -> None:
        if self.response is not None:
            with suppress(OSError, HTTPError):
                self.response.close()
        with suppress(OSError):
            self.connection.close()
        if self.sock is not None:
            with suppress(OSError):
                self.sock.close()
