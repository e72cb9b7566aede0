"""Sends one request to a target and reports how far the request provably got.

Each exchange opens its own connection. A reused connection may hold bytes of an
earlier answer, or the target may close it just as the next request is sent. In both
cases it would be unknown whether the request has run.
"""

from collections.abc import Iterator
from contextlib import suppress
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET
from typing import Any, cast

from urllib3 import BaseHTTPResponse
from urllib3._collections import HTTPHeaderDict
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.util import SKIP_HEADER

from ridgecourse.core.ids import Seconds
from ridgecourse.core.memory_budget import BudgetExceeded, Reservation
from ridgecourse.net.address import parse_address
from ridgecourse.net.answer_connection import AnswerConnection
from ridgecourse.net.answer_end import (
    BodyEnd,
    HeadEnd,
    classify_failure,
    classify_head_failure,
    find_stated_end,
)
from ridgecourse.net.clock import boottime
from ridgecourse.net.head_reader import IncompleteHead
from ridgecourse.net.http_server import HeaderList
from ridgecourse.net.request_body import Body, gather
from ridgecourse.net.tcp import LINGER_RESET

READ_BYTES = 16 * 1024
MIN_TIMEOUT_SECONDS = 0.001
"""Shortest socket timeout: a timeout of 0 would make the socket non-blocking."""


class NotSent(Exception):
    """The connection could not be opened, so no byte of the request was sent."""


class ExchangeBroken(Exception):
    """The exchange failed after bytes of the request may have arrived."""


class ExchangeTimeout(ExchangeBroken):
    """The deadline of the exchange passed."""


class TargetDisconnected(ExchangeBroken):
    """The target ended the connection before the answer was complete."""


class Exchange:
    """A request and its answer, on a connection used for nothing else.

    Attributes:
        address: HOST:PORT of the target.
        deadline: Time by which the exchange must end, by ``boottime``.
        connection: The HTTP connection.
        sock: Socket of the connection; None before ``connect``.
        response: The answer; None before its head was received.
        head_end: How the head of the answer ended; None before its end.
        body_end: How the body ended; None before its end.
    """

    def __init__(self, address: str, deadline: Seconds) -> None:
        socket_address = parse_address(address)
        self.address = address
        self.deadline = deadline
        self.connection = AnswerConnection(socket_address.host, socket_address.port)
        self.sock: Any = None
        self.response: BaseHTTPResponse | None = None
        self.head_end: HeadEnd | None = None
        self.body_end: BodyEnd | None = None

    def connect(self, seconds: float) -> None:
        """Open the connection.

        Args:
            seconds: Longest wait.

        Raises:
            NotSent: The connection was refused or could not be opened in time.
        """
        self.connection.timeout = max(MIN_TIMEOUT_SECONDS, seconds)
        try:
            self.connection.connect()
        except (HTTPError, OSError) as error:
            self.close()
            raise NotSent(f"{self.address}: {error}") from error
        self.sock = self.connection.sock

    def send(
        self, method: str, target: str, headers: HeaderList, body: Body | None
    ) -> None:
        """Send the request.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Names and values; no default headers are added.
            body: Body of the request; None for none.

        Raises:
            ExchangeTimeout: The deadline has passed.
            TargetDisconnected: The connection failed; a part of the request may have
                arrived.
            ExchangeBroken: The request is malformed and cannot be written.
        """
        fields = HTTPHeaderDict(headers)
        for name in ("User-Agent", "Accept-Encoding", "Host"):
            if name not in fields:
                fields[name] = SKIP_HEADER
        self._set_timeout(self.remaining())
        try:
            self.connection.request(
                method,
                target,
                # The library takes any buffer; its types lack memoryview.
                body=cast(bytes | None, body),
                headers=fields,
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            raise TargetDisconnected(f"{self.address}: {error}") from error
        except ValueError as error:
            raise ExchangeBroken(f"{self.address}: {error}") from error

    def receive_head(self, head_deadline: Seconds | None = None) -> BaseHTTPResponse:
        """Wait for the head of the answer.

        Args:
            head_deadline: Time by which the answer must begin, if before the deadline.

        Raises:
            ExchangeTimeout: The head was not received by the deadline.
            TargetDisconnected: The connection ended.
            ExchangeBroken: The received bytes are not a valid answer, or the answer did
                not begin by ``head_deadline``.
        """
        wait = self.remaining()
        if head_deadline is not None:
            wait = min(wait, head_deadline - boottime())
        self._set_timeout(wait)
        try:
            self.response = self.connection.getresponse()
        except TimeoutError as error:
            self.head_end = HeadEnd.STALLED
            if wait < self.deadline - boottime():
                raise ExchangeBroken(f"{self.address}: not begun in time") from error
            raise ExchangeTimeout(f"{self.address}: no answer in time") from error
        except Exception as error:
            # Errors of the socket, and those of http.client for a malformed answer.
            self.head_end = classify_head_failure(error)
            if isinstance(error, (ConnectionError, IncompleteHead)):
                raise TargetDisconnected(f"{self.address}: {error!r}") from error
            raise ExchangeBroken(f"{self.address}: {error!r}") from error
        self.head_end = HeadEnd.EMPTY_LINE
        return self.response

    def read_whole(self, limit: int, memory: Reservation | None = None) -> Body:
        """Return the complete body.

        Args:
            limit: Largest accepted size in bytes.
            memory: Holds the memory of the body; None if it is not limited.

        Raises:
            ExchangeTimeout: The body was not complete by the deadline.
            ExchangeBroken: The body ended early, is longer than the limit, or there is
                no memory for the body.
        """
        assert self.response is not None
        size = min(self.response.length_remaining or 0, limit)
        if memory is None:
            return gather(self.read_pieces(limit), size)
        held_before = memory.held_bytes
        try:
            memory.take(size, boottime())
            return gather(self._reserved_pieces(limit, size, memory), size)
        except BudgetExceeded as error:
            memory.give_back(memory.held_bytes - held_before)
            raise ExchangeBroken(f"{self.address}: {error}") from error
        except ExchangeBroken:
            memory.give_back(memory.held_bytes - held_before)
            raise

    def _reserved_pieces(
        self, limit: int, reserved_bytes: int, memory: Reservation
    ) -> Iterator[bytes]:
        """Yield the pieces of the body, with memory for what exceeds its length."""
        for piece in self.read_pieces(limit):
            reserved_bytes -= len(piece)
            if reserved_bytes < 0:
                memory.take(-reserved_bytes, boottime())
                reserved_bytes = 0
            yield piece

    def read_pieces(self, limit: int, pause: float | None = None) -> Iterator[bytes]:
        """Yield the pieces of the body as they arrive.

        Args:
            limit: Largest accepted size in bytes.
            pause: Longest wait for the next piece in seconds; None to wait until
                the deadline.

        Raises:
            ExchangeTimeout: A piece did not arrive in time.
            TargetDisconnected: The body ended early.
            ExchangeBroken: The body is longer than the limit.
        """
        assert self.response is not None
        total = 0
        while True:
            wait = self.remaining()
            self._set_timeout(wait if pause is None else min(wait, pause))
            try:
                piece = self.response.read1(READ_BYTES)
            except (TimeoutError, ReadTimeoutError) as error:
                self.body_end = BodyEnd.STALLED
                raise ExchangeTimeout(f"{self.address}: body stalled") from error
            except (HTTPError, OSError) as error:
                self.body_end = classify_failure(error)
                raise TargetDisconnected(f"{self.address}: {error!r}") from error
            if not piece:
                self.body_end = find_stated_end(self.response)
                return
            total += len(piece)
            if total > limit:
                raise ExchangeBroken(f"{self.address}: over {limit} bytes")
            yield piece

    def remaining(self) -> float:
        """Return the seconds left until the deadline.

        Raises:
            ExchangeTimeout: The deadline has passed.
        """
        remaining_seconds = self.deadline - boottime()
        if remaining_seconds <= 0:
            raise ExchangeTimeout(f"{self.address}: out of time")
        return remaining_seconds

    def _set_timeout(self, seconds: float) -> None:
        wait = max(MIN_TIMEOUT_SECONDS, seconds)
        # urllib3 sets the timeout of the connection on the socket before it reads
        # the head.
        self.connection.timeout = wait
        # The socket is closed with the body if the answer has "Connection: close".
        if self.sock.fileno() >= 0:
            self.sock.settimeout(wait)

    def abandon(self) -> None:
        """Reset the connection, which discards bytes that are not yet sent.

        An ordinary close would first deliver them to the target. On a slow link that
        can be seconds after the client has gone.
        """
        if self.sock is not None:
            with suppress(OSError):
                self.sock.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)
        self._close_connection()

    def close(self) -> None:
        """Close the connection; the target sees that the answer is not awaited."""
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(SHUT_RDWR)
        self._close_connection()

    def _close_connection(self) -> None:
        if self.response is not None:
            with suppress(OSError, HTTPError):
                self.response.close()
        with suppress(OSError):
            self.connection.close()
        if self.sock is not None:
            with suppress(OSError):
                self.sock.close()
