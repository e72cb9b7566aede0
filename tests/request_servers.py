"""The HTTP servers of the system in a thread, with handlers that record requests."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from enum import Enum
from struct import pack
from threading import Event, Thread
from time import monotonic, sleep
from typing import NamedTuple

import eventlet

from ridgecourse.net.address import Address
from ridgecourse.net.front_server import FrontReply, FrontRequest, FrontServer
from ridgecourse.net.http_server import (
    HttpReply,
    HttpRequest,
    HttpRouter,
    HttpServer,
)

MAX_BODY_BYTES = 64 * 1024
METHODS = ("GET", "POST")
NOTE_HEADER = "X-Note"
TIMEOUT_SECONDS = 5.0
PROBE = b"GET /probe HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class RecordedRequest(NamedTuple):
    """What a handler got; ``body`` is None if reading the body failed."""

    method: str
    target: str
    note: str
    body: bytes | None


class ClientEnd(Enum):
    """How a client ends its connection behind the last byte that it sends."""

    HALF_CLOSE = "half-close"
    CLOSE = "close"
    RESET = "reset"


class RecordingServer:
    """A server on loopback, with its own event loop in a thread.

    Attributes:
        server: The server.
        requests: Requests that the handler was called with, without probes.
        calls: Functions that are still to be called in the thread of the server.
    """

    def __init__(self, is_front: bool) -> None:
        self.requests: list[RecordedRequest] = []
        address = Address("127.0.0.1", 0)
        if is_front:
            self.server: HttpServer = FrontServer(address, self.answer_client)
        else:
            router = HttpRouter()
            for method in METHODS:
                router.add(method, "/", self.answer_process)
            self.server = HttpServer(address, router)
        self.calls: list[Callable[[], None]] = []
        self.started = Event()
        self.ended = Event()
        self.thread = Thread(target=self.run, daemon=True)

    def run(self) -> None:
        self.server.start()
        self.started.set()
        while not self.ended.is_set():
            eventlet.sleep(0.005)
            while self.calls:
                self.calls.pop()()
        self.server.close()

    def run_in_loop(self, function: Callable[[], None]) -> None:
        """Call a function in the thread of the server."""
        self.calls.append(function)

    def answer_client(self, request: FrontRequest) -> FrontReply:
        notes = ",".join(request.header_values(NOTE_HEADER))
        return FrontReply(
            200, body=self.record(request, request.method, request.target, notes)
        )

    def answer_process(self, request: HttpRequest) -> HttpReply:
        target = request.environ["RAW_PATH_INFO"]
        if query := request.environ.get("QUERY_STRING", ""):
            target += f"?{query}"
        note = request.header(NOTE_HEADER)
        return HttpReply(200, self.record(request, request.method, target, note))

    def record(
        self, request: FrontRequest | HttpRequest, method: str, target: str, note: str
    ) -> bytes:
        """Record a request and return the body of its answer."""
        if target == "/probe":
            return b"settled"
        body = None
        try:
            body = request.read_body(MAX_BODY_BYTES)
        finally:
            self.requests.append(RecordedRequest(method, target, note, body))
        return b"served"

    def exchange(
        self,
        data: bytes,
        end: ClientEnd = ClientEnd.HALF_CLOSE,
        is_bytewise: bool = False,
    ) -> bytes:
        """Send bytes on a new connection and end it.

        Returns:
            All bytes received up to the server's close. Empty unless the client
            half-closes.
        """
        received = b""
        with self.open() as connection, suppress(ConnectionError):
            for piece in split_bytes(data) if is_bytewise else [data]:
                connection.sendall(piece)
            if end is ClientEnd.HALF_CLOSE:
                connection.shutdown(socket.SHUT_WR)
                received = receive_all(connection)
            elif end is ClientEnd.RESET:
                linger = pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return received

    def open(self) -> socket.socket:
        """Open a connection."""
        connection = socket.create_connection(self.server.address, TIMEOUT_SECONDS)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def settle(self) -> list[RecordedRequest]:
        """Wait until all connections have ended; return the new recorded requests."""
        # Connections are accepted in their order, so that earlier ones are known now.
        assert b"settled" in self.exchange(PROBE)
        deadline = monotonic() + TIMEOUT_SECONDS
        while self.server.pool.running():
            assert monotonic() < deadline, "a connection did not end in time"
            sleep(0.001)
        requests = list(self.requests)
        self.requests.clear()
        return requests


def split_bytes(data: bytes) -> Iterator[bytes]:
    """Yield each byte."""
    return (data[index : index + 1] for index in range(len(data)))


def receive_all(connection: socket.socket) -> bytes:
    """Return all bytes up to the end of a connection."""
    return b"".join(iter(lambda: connection.recv(65536), b""))


@contextmanager
def run_server(is_front: bool) -> Iterator[RecordingServer]:
    """Run a server."""
    recording_server = RecordingServer(is_front)
    recording_server.thread.start()
    assert recording_server.started.wait(TIMEOUT_SECONDS)
    try:
        yield recording_server
    finally:
        recording_server.ended.set()
        recording_server.thread.join(TIMEOUT_SECONDS)
