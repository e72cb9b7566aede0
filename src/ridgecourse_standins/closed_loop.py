"""Clients that send one request after the other until their server is gone."""

import socket
from collections.abc import Callable, Iterator
from http.client import HTTPException
from select import POLLIN, poll
from threading import Event, Thread
from time import monotonic
from typing import NamedTuple

from ridgecourse.net.answer_connection import AnswerResponse

TIMEOUT_SECONDS = 20.0


class Reply(NamedTuple):
    """Result of one request.

    Attributes:
        sent_at: Monotonic time at which the request was sent.
        ended_at: Monotonic time at which the answer or the connection ended.
        kept: Whether the connection had served a request before.
        status: HTTP status; 0 if the connection ended without one.
        headers: Headers by lower-case name.
        body: Body of the answer.
        error: Why the answer is incomplete; empty if it is complete.
    """

    sent_at: float
    ended_at: float
    kept: bool
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    error: str = ""


class ClosedLoop:
    """Sends requests over several connections until the server refuses connections.

    Attributes:
        address: Host and port of the server.
        make_request: Returns the bytes of the next request.
        replies: Results of all requests, in the order in which they ended.
        stopped: Set to end the clients before the server is gone.
        threads: One thread for each client.
    """

    def __init__(
        self,
        address: tuple[str, int],
        make_request: Callable[[], bytes],
        keeping: int = 12,
        reconnecting: int = 12,
    ) -> None:
        """Create the clients.

        Args:
            address: Host and port of the server.
            make_request: Returns the bytes of the next request.
            keeping: Number of clients that use a connection for as long as it is open.
            reconnecting: Number of clients that open a connection for each request.
        """
        self.address = address
        self.make_request = make_request
        self.replies: list[Reply] = []
        self.stopped = Event()
        self.threads = [
            Thread(target=self._run, args=(number < keeping,), daemon=True)
            for number in range(keeping + reconnecting)
        ]

    def start(self) -> None:
        """Start all clients."""
        for thread in self.threads:
            thread.start()

    def close(self) -> None:
        """End the clients after their present requests."""
        self.stopped.set()
        self.wait()

    def wait(self) -> None:
        """Wait until the server refuses connections to each client."""
        for thread in self.threads:
            thread.join(2 * TIMEOUT_SECONDS)

    def incomplete(self) -> list[Reply]:
        """Return the requests without a complete answer."""
        return [reply for reply in self.replies if reply.error]

    def _run(self, keeps: bool) -> None:
        while not self.stopped.is_set():
            try:
                connection = socket.create_connection(self.address, TIMEOUT_SECONDS)
            except ConnectionRefusedError:
                return
            except OSError:
                continue
            with connection:
                self.replies.extend(self._use(connection, keeps))

    def _use(self, connection: socket.socket, keeps: bool) -> Iterator[Reply]:
        """Yield the replies over one connection."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        kept = False
        while not self.stopped.is_set() and not is_closed(connection):
            reply = self._exchange(connection, kept)
            yield reply
            kept = True
            closes = reply.headers.get("connection", "").lower() == "close"
            if reply.error or closes or not keeps:
                return

    def _exchange(self, connection: socket.socket, kept: bool) -> Reply:
        request = self.make_request()
        sent_at = monotonic()
        status = 0
        try:
            connection.sendall(request)
            response = AnswerResponse(connection)
            response.begin()
            status = response.status
            headers = {name.lower(): value for name, value in response.getheaders()}
            body = response.read()
        except (OSError, HTTPException) as error:
            return Reply(sent_at, monotonic(), kept, status, error=repr(error))
        return Reply(sent_at, monotonic(), kept, status, headers, body)


def is_closed(connection: socket.socket) -> bool:
    """Check whether the server has closed a connection that is not in use."""
    # Not select, which rejects file descriptors above 1023.
    poller = poll()
    poller.register(connection, POLLIN)
    return bool(poller.poll(0))
