"""A server for tests that sends given bytes as the answer to each request."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from threading import Thread

from ridgecourse.net.tcp import LINGER_RESET

EARLIER_PATH = "/earlier"
EARLIER_BODY = b"ok"
EARLIER_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + EARLIER_BODY
"""Whole answer to requests of ``EARLIER_PATH``, after which a connection is kept."""


class ClosingServer(ABC):
    """Serves each connection in a thread of its own, then closes it in order.

    Attributes:
        listener: Listening socket.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.thread = Thread(target=self.run, daemon=True)

    @property
    def address(self) -> str:
        """Address of the server as "HOST:PORT"."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        """Start accepting connections."""
        self.thread.start()

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def run(self) -> None:
        """Accept connections until the server is closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            # A client that keeps its connection open must not delay other clients.
            Thread(target=self.serve_until_end, args=(connection,), daemon=True).start()

    def serve_until_end(self, connection: socket.socket) -> None:
        """Serve a connection, and close it."""
        with connection, suppress(ConnectionError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.serve(connection)

    @abstractmethod
    def serve(self, connection: socket.socket) -> None:
        """Serve a connection up to its end."""


class AnsweringServer(ClosingServer):
    """Answers each request with the same bytes, then ends the connection.

    Attributes:
        answer: All bytes that are sent as an answer.
        resets: Whether the connection is reset in place of an orderly close.
        is_bytewise: Whether each byte is sent by itself.
        request_count: Number of requests that were answered with ``answer``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answer = b""
        self.resets = False
        self.is_bytewise = False
        self.request_count = 0

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of a connection up to one that ends it."""
        request = receive_head(connection)
        while request.split(b" ")[1:2] == [EARLIER_PATH.encode()]:
            connection.sendall(EARLIER_ANSWER)
            request = receive_head(connection)
        if not request:
            return
        self.request_count += 1
        answer, resets = self.answer, self.resets
        step = 1 if self.is_bytewise else max(1, len(answer))
        for start in range(0, len(answer), step):
            connection.sendall(answer[start : start + step])
        if resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            return
        end_in_order(connection)


def end_in_order(connection: socket.socket) -> None:
    """Send the end of a connection, and wait for that of the client."""
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(4096):
        pass


def receive_head(connection: socket.socket) -> bytes:
    """Return the head of a request; empty if the client closes the connection."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(4096)
        if not data:
            return b""
        received += data
    return received


@contextmanager
def run_server() -> Iterator[AnsweringServer]:
    """Run a server up to the end of a ``with`` block."""
    server = AnsweringServer()
    server.start()
    with closing(server):
        yield server
