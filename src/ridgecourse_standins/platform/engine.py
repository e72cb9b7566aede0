"""Stand-in of a target whose answers the tests write."""

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

from ridgecourse.platform.names import (
    ATTEMPT_ID_HEADER,
    NOT_EXECUTED_HEADER,
    SIGNATURE_HEADER,
)
from ridgecourse_standins.ports import free_stand_in_port


@dataclass
class ReceivedRequest:
    """A request as received.

    Attributes:
        request_line: The request line.
        headers: Names and values of the headers, in the order received.
        body: The body, without chunk framing.
        connection: Socket for the answer.
        closed: Set once the peer has closed the connection.
    """

    request_line: str
    headers: list[tuple[str, str]]
    body: bytes
    connection: socket
    closed: bool = field(default=False)

    def header(self, name: str) -> str | None:
        """Return the first value of a header; None if absent."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]


Behaviour = Callable[[ReceivedRequest], None]
NANOSECONDS_PER_MILLISECOND = 1_000_000


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time_ns() // NANOSECONDS_PER_MILLISECOND


class EngineStandIn:
    """One incarnation of a target on loopback.

    Attributes:
        behaviour: Writes the answer to a request; tests may replace it at any time.
        born: Start time in Unix milliseconds; None for an engine that does not report
            the time.
        requests: Received requests, health checks included.
        changed: Notified when a request arrives or a connection closes.
        resumed: Cleared while the engine is paused.
        listener: Listening socket.
        bound_address: Host and port of the listener. The next incarnation may listen
            there once this incarnation is killed.
    """

    def __init__(
        self,
        behaviour: Behaviour,
        host: str = "127.0.0.1",
        port: int | None = None,
        born: int | None = None,
    ) -> None:
        self.behaviour = behaviour
        self.born = born
        self.requests: list[ReceivedRequest] = []
        self.changed = Condition()
        self.resumed = Event()
        self.resumed.set()
        self.listener = create_server((host, port or free_stand_in_port()))
        self.bound_address: tuple[str, int] = self.listener.getsockname()[:2]
        self.thread = Thread(target=self._accept, daemon=True)

    @property
    def address(self) -> str:
        """Address of the target as "HOST:PORT"."""
        host, port = self.listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start accepting connections."""
        self.thread.start()

    def close(self) -> None:
        """Stop accepting connections."""
        with suppress(OSError):
            # Wakes the accepting thread, which would otherwise accept one more
            # connection.
            self.listener.shutdown(SHUT_RDWR)
        self.listener.close()

    def kill(self, resets: bool = True) -> None:
        """Stop and end all connections, as after a crash.

        Args:
            resets: Whether the connections are reset. Otherwise they are closed, so
                that a body without a length or chunks ends as if it were complete.
        """
        self.close()
        self.thread.join()
        for request in self.requests:
            with suppress(OSError):
                if resets:
                    reset_connection(request)
                else:
                    request.connection.shutdown(SHUT_WR)

    def next_incarnation(self, at_new_port: bool = False) -> "EngineStandIn":
        """Return the next incarnation, not started, without state of this one.

        Args:
            at_new_port: Whether the next incarnation listens at another port. This is
                required while this incarnation is only paused.
        """
        host, port = self.bound_address
        next_port = None if at_new_port else port
        born = max(now_ms(), (self.born or 0) + 1)
        return EngineStandIn(self.behaviour, host, next_port, born)

    def pause(self) -> None:
        """Pause answering; connections stay open."""
        self.resumed.clear()

    def resume(self) -> None:
        """Resume answering, including the requests received during the pause."""
        self.resumed.set()

    def wait_for_requests(
        self, count: int, seconds: float = 10.0
    ) -> list[ReceivedRequest]:
        """Return the requests once at least ``count`` requests arrived.

        Raises:
            AssertionError: Fewer requests arrived in time.
        """
        with self.changed:
            if not self.changed.wait_for(lambda: len(self.requests) >= count, seconds):
                raise AssertionError(
                    f"{len(self.requests)} of {count} requests arrived"
                )
            return list(self.requests)

    def wait_until_closed(
        self, request: ReceivedRequest, seconds: float = 10.0
    ) -> bool:
        """Check whether the peer closes the connection of a request in time."""
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
            Thread(target=self._wait_for_close, args=(request,), daemon=True).start()
            self.resumed.wait()
            self.behaviour(request)

    def _wait_for_close(self, request: ReceivedRequest) -> None:
        with suppress(OSError):
            while request.connection.recv(4096):
                pass
        with self.changed:
            request.closed = True
            self.changed.notify_all()


def read_request(connection: socket) -> ReceivedRequest:
    """Read one request with its body.

    Raises:
        OSError: The connection ended before the end of the headers.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            raise OSError("the connection ended before the end of the request headers")
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    line, *header_lines = head.decode("latin1").split("\r\n")
    headers = [
        (name, value.strip())
        for name, _, value in (
            header_line.partition(":") for header_line in header_lines
        )
    ]
    request = ReceivedRequest(line, headers, body, connection)
    length = int(request.header("Content-Length") or 0)
    while len(request.body) < length:
        request.body += connection.recv(65536)
    return request


# Behaviours and functions that behaviours are composed of.


def answer_head(
    request: ReceivedRequest, status: str = "200 OK", signed: bool = True
) -> list[str]:
    """Return the status line and the first header lines of an answer.

    Headers that frame the body are left to the callers of this function.
    """
    lines = [
        f"HTTP/1.1 {status}",
        f"{ATTEMPT_ID_HEADER}: {request.header(ATTEMPT_ID_HEADER) or ''}",
    ]
    if signed:
        lines.append(f"{SIGNATURE_HEADER}: signed-by-engine")
    return lines


def send_response(
    request: ReceivedRequest,
    body: bytes = b"answer",
    status: str = "200 OK",
    signed: bool = True,
    extra: tuple[str, ...] = (),
) -> None:
    """Answer with a body and its Content-Length, then shut the connection for writing.

    Args:
        request: Request to answer.
        body: Body of the answer.
        status: Status code and reason phrase.
        signed: Whether the answer has the signature header of an engine.
        extra: Further header lines.
    """
    lines = [*answer_head(request, status, signed), *extra]
    lines.append(f"Content-Length: {len(body)}")
    request.connection.sendall("\r\n".join([*lines, "", ""]).encode() + body)
    request.connection.shutdown(SHUT_WR)


def refuse(request: ReceivedRequest, status: str = "503 Service Unavailable") -> None:
    """Answer that the request was not run, without a signature."""
    send_response(
        request, b"", status, signed=False, extra=(f"{NOT_EXECUTED_HEADER}: 1",)
    )


def send_stream_head(request: ReceivedRequest) -> None:
    """Send the status line and the headers of a chunked event stream."""
    lines = answer_head(request)
    lines.extend(["Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
    request.connection.sendall("\r\n".join([*lines, "", ""]).encode())


def format_event(number: int) -> bytes:
    """Return the server-sent event with a number."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def send_chunk(request: ReceivedRequest, data: bytes) -> None:
    """Send one chunk of a chunked body; empty data ends the body."""
    request.connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def send_events(request: ReceivedRequest, first: int, last: int) -> None:
    """Send the events ``first`` to ``last``, each in a chunk of its own."""
    for number in range(first, last + 1):
        send_chunk(request, format_event(number))


def reset_connection(request: ReceivedRequest) -> None:
    """Close the connection of a request with a TCP reset."""
    request.connection.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    # Wakes the thread in ``_wait_for_close``, which would otherwise keep the
    # connection open.
    request.connection.shutdown(SHUT_RD)
    request.connection.close()
