"""A stand-in for a target whose answers a test writes itself."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from socket import (
    SHUT_RD,
    SHUT_RDWR,
    SHUT_WR,
    SO_LINGER,
    SOL_SOCKET,
    create_server,
    socket,
)
from struct import pack
from threading import Condition, Event, Thread
from time import time_ns

from ridgecourse.platform.names import ATTEMPT_ID, NOT_RUN, SIGNATURE


@dataclass
class ReceivedRequest:
    """A request as it arrived.

    Attributes:
        line: The request line.
        headers: Names and values in order.
        body: The body, without chunk framing.
        connection: Where to answer.
        closed: Set once the other side has ended the connection.
    """

    line: str
    headers: list[tuple[str, str]]
    body: bytes
    connection: socket
    closed: bool = field(default=False)

    def header(self, name: str) -> str | None:
        """Return a header's first value."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]


Behaviour = Callable[[ReceivedRequest], None]
NANOSECONDS_PER_MILLISECOND = 1_000_000
ANY_PORT = 0


def now_ms() -> int:
    """Return the Unix millisecond."""
    return time_ns() // NANOSECONDS_PER_MILLISECOND


class EngineStandIn:
    """One life of a target on loopback.

    Attributes:
        requests: What arrived, health checks included.
        behaviour: Writes the answer; replaced by tests at any time.
        born: Unix millisecond of its start; None for an engine that does not tell.
        awake: Cleared while it is frozen.
        bound: Where it listens; its next life may listen there once it is killed.
    """

    def __init__(
        self,
        behaviour: Behaviour,
        host: str = "127.0.0.1",
        port: int = ANY_PORT,
        born: int | None = None,
    ) -> None:
        self.behaviour = behaviour
        self.born = born
        self.requests: list[ReceivedRequest] = []
        self.changed = Condition()
        self.awake = Event()
        self.awake.set()
        self.listener = create_server((host, port))
        self.bound: tuple[str, int] = self.listener.getsockname()[:2]
        self.thread = Thread(target=self._accept, daemon=True)

    @property
    def address(self) -> str:
        """HOST:PORT of the target."""
        host, port = self.listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Begin to answer."""
        self.thread.start()

    def close(self) -> None:
        """Stop listening."""
        with suppress(OSError):
            # Wakes the accepting thread, which else would take one more.
            self.listener.shutdown(SHUT_RDWR)
        self.listener.close()

    def kill(self) -> None:
        """End at once: callers see a reset."""
        self.close()
        self.thread.join()
        for request in self.requests:
            with suppress(OSError):
                reset(request)

    def restart(self, moved: bool = False) -> "EngineStandIn":
        """Return the next life, not started yet: it knows nothing of this one.

        Args:
            moved: Whether it stands at another address, as it must while this one
                is only frozen.
        """
        host, port = self.bound
        next_port = ANY_PORT if moved else port
        born = max(now_ms(), (self.born or 0) + 1)
        return EngineStandIn(self.behaviour, host, next_port, born)

    def freeze(self) -> None:
        """Stop answering; connections stay open."""
        self.awake.clear()

    def wake(self) -> None:
        """Go on, also with what came meanwhile."""
        self.awake.set()

    def wait_for(self, count: int, seconds: float = 10.0) -> list[ReceivedRequest]:
        """Return the requests once there are so many."""
        with self.changed:
            if not self.changed.wait_for(lambda: len(self.requests) >= count, seconds):
                raise AssertionError(f"{len(self.requests)} of {count} requests came")
            return list(self.requests)

    def wait_closed(self, request: ReceivedRequest, seconds: float = 10.0) -> bool:
        """Tell whether the other side ended a request's connection in time."""
        with self.changed:
            return self.changed.wait_for(lambda: request.closed, seconds)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket) -> None:
        with suppress(OSError, ValueError):
            request = read_request(connection)
            with self.changed:
                self.requests.append(request)
                self.changed.notify_all()
            Thread(target=self._watch, args=(request,), daemon=True).start()
            self.awake.wait()
            self.behaviour(request)

    def _watch(self, request: ReceivedRequest) -> None:
        with suppress(OSError):
            while request.connection.recv(4096):
                pass
        with self.changed:
            request.closed = True
            self.changed.notify_all()


def read_request(connection: socket) -> ReceivedRequest:
    """Read one request with its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            raise OSError("the connection ended")
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    line, *rest = head.decode("latin1").split("\r\n")
    headers = [
        (name, value.strip())
        for name, _, value in (text.partition(":") for text in rest)
    ]
    request = ReceivedRequest(line, headers, body, connection)
    length = int(request.header("Content-Length") or 0)
    while len(request.body) < length:
        request.body += connection.recv(65536)
    return request


# Behaviours, and parts to build them from.


def answer_head(
    request: ReceivedRequest, status: str = "200 OK", signed: bool = True
) -> list[str]:
    """Return the lines of an answer's head, without framing."""
    lines = [f"HTTP/1.1 {status}", f"{ATTEMPT_ID}: {request.header(ATTEMPT_ID) or ''}"]
    if signed:
        lines.append(f"{SIGNATURE}: signed-by-engine")
    return lines


def send_whole(
    request: ReceivedRequest,
    body: bytes = b"answer",
    status: str = "200 OK",
    signed: bool = True,
    extra: tuple[str, ...] = (),
) -> None:
    """Answer with a body of a told length."""
    lines = [*answer_head(request, status, signed), *extra]
    lines.append(f"Content-Length: {len(body)}")
    request.connection.sendall("\r\n".join([*lines, "", ""]).encode() + body)
    request.connection.shutdown(SHUT_WR)


def refuse(request: ReceivedRequest, status: str = "503 Service Unavailable") -> None:
    """Answer that the request was not run."""
    send_whole(request, b"", status, signed=False, extra=(f"{NOT_RUN}: 1",))


def send_stream_head(request: ReceivedRequest) -> None:
    """Send the head of a chunked stream of events."""
    lines = answer_head(request)
    lines.extend(["Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
    request.connection.sendall("\r\n".join([*lines, "", ""]).encode())


def event(number: int) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def send_chunk(request: ReceivedRequest, data: bytes) -> None:
    """Send one chunk of a chunked body; empty data ends it."""
    request.connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def send_events(request: ReceivedRequest, first: int, last: int) -> None:
    """Send events, both ends included."""
    for number in range(first, last + 1):
        send_chunk(request, event(number))


def reset(request: ReceivedRequest) -> None:
    """End the connection by a reset."""
    request.connection.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    # Wakes the watching thread, which else would keep the connection alive.
    request.connection.shutdown(SHUT_RD)
    request.connection.close()
