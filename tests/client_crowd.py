"""Crowds of clients that do not behave, against one process, and bounds on the process.

All clients of a crowd share one thread. A client sends the pieces of its script as fast
as the server reads, or one piece at a time, and then stays connected without a word.
"""

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import repeat
from pathlib import Path
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector
from threading import Event, Thread
from time import monotonic, sleep
from typing import NamedTuple

from gateway_site import GatewaySite, HttpResponse, receive_response
from psutil import Process

POLL_SECONDS = 0.05
CONNECT_SECONDS = 10.0
SETTLED_SECONDS = 2.0
"""A crowd has settled once none of its clients could send for this time."""
MAX_CROWD_SECONDS = 30.0
"""Longest wait for a crowd that does not settle, since it sends without end."""
PATIENCE_SECONDS = 60.0
"""How long an ordinary client tries. It ends a test whose server hangs."""
ATTEMPT_SECONDS = 8.0
"""Longest wait of an ordinary client for one answer; its deadline is half of it."""
DEADLINE_MS = 4000
RETRY_SECONDS = 0.1
MEGABYTE = 1_000_000
KIBIBYTE = 1024
NARROW_WINDOW_BYTES = 4096

Script = Callable[[], Iterator[bytes]]
"""Returns the pieces that a client sends."""


class CrowdPlan(NamedTuple):
    """A crowd.

    Attributes:
        clients: Number of clients.
        script: What each of them sends.
        pause: Seconds between two pieces once ``burst`` pieces are sent; 0 to send as
            fast as the server reads.
        burst: Number of pieces that are sent without a pause.
        reads: Whether the clients read what the server answers.
    """

    clients: int
    script: Script
    pause: float = 0.0
    burst: int = 0
    reads: bool = True


class CrowdClient:
    """One client of a crowd.

    Attributes:
        connection: The connection, which does not block.
        pieces: Pieces that are still to be sent.
        unsent: Rest of the current piece.
        sent_pieces: Number of pieces that were begun.
        next_at: When the next piece may be sent, by ``monotonic``.
        has_sent_all: Whether no piece is left.
    """

    def __init__(self, connection: socket.socket, pieces: Iterator[bytes]) -> None:
        self.connection = connection
        self.pieces = pieces
        self.unsent = memoryview(b"")
        self.sent_pieces = 0
        self.next_at = 0.0
        self.has_sent_all = False

    def send(self, plan: CrowdPlan) -> int:
        """Send as much as the server takes of one piece; return the number of bytes."""
        if not self.unsent:
            piece = next(self.pieces, None)
            if piece is None:
                self.has_sent_all = True
                return 0
            self.unsent = memoryview(piece)
            self.sent_pieces += 1
        sent = self.connection.send(self.unsent)
        self.unsent = self.unsent[sent:]
        if not self.unsent and plan.pause and self.sent_pieces >= plan.burst:
            self.next_at = monotonic() + plan.pause
        return sent


class Crowd:
    """A crowd of clients at one address.

    Attributes:
        address: Host and port of the server.
        plan: What the clients do.
        clients: Clients whose connections are open.
        moved_at: When a client last sent more than the next piece of a paced script.
        ended: Set to end the thread.
    """

    def __init__(self, address: tuple[str, int], plan: CrowdPlan) -> None:
        self.address = address
        self.plan = plan
        self.selector = DefaultSelector()
        self.clients: list[CrowdClient] = []
        self.moved_at = monotonic()
        self.ended = Event()
        self.thread = Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Let the clients connect and send."""
        self.thread.start()

    def run(self) -> None:
        """Send until the crowd is closed."""
        for _ in range(self.plan.clients):
            self.connect()
        while not self.ended.is_set():
            if not self.send_round():
                sleep(POLL_SECONDS)

    def connect(self) -> None:
        """Add a client; it is counted out if the server does not take it."""
        connection = socket.socket()
        if not self.plan.reads:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_WINDOW_BYTES
            )
        connection.settimeout(CONNECT_SECONDS)
        try:
            connection.connect(self.address)
        except OSError:
            connection.close()
            return
        connection.setblocking(False)
        client = CrowdClient(connection, self.plan.script())
        self.clients.append(client)
        self.selector.register(connection, EVENT_READ | EVENT_WRITE, client)

    def send_round(self) -> bool:
        """Let each client send and read once; return whether bytes have moved."""
        has_moved = False
        for key, events in self.selector.select(POLL_SECONDS):
            client: CrowdClient = key.data
            try:
                if events & EVENT_READ and self.plan.reads:
                    if not client.connection.recv(65536):
                        self.drop(client)
                        continue
                if (
                    events & EVENT_WRITE
                    and self.may_send(client)
                    and client.send(self.plan)
                ):
                    has_moved = True
                    if not client.next_at:
                        self.moved_at = monotonic()
            except BlockingIOError:
                continue
            except OSError:
                self.drop(client)
        return has_moved

    def may_send(self, client: CrowdClient) -> bool:
        """Check whether a client has something to send now."""
        return not client.has_sent_all and client.next_at <= monotonic()

    def drop(self, client: CrowdClient) -> None:
        """Forget a client whose connection the server has ended."""
        self.selector.unregister(client.connection)
        client.connection.close()
        self.clients.remove(client)

    def wait_settled(self) -> None:
        """Wait until no client can send, or the crowd has sent for long enough."""
        deadline = monotonic() + MAX_CROWD_SECONDS
        while monotonic() < deadline:
            if monotonic() - self.moved_at > SETTLED_SECONDS:
                return
            sleep(POLL_SECONDS)

    def close(self) -> None:
        """End all connections."""
        self.ended.set()
        self.thread.join()
        for client in list(self.clients):
            self.drop(client)
        self.selector.close()


def stalled_body(head: str, length: int, missing: int) -> Iterator[bytes]:
    """Yield a request with a length whose last bytes are missing."""
    yield head.encode()
    yield from cut_pieces(length - missing)


def cut_pieces(length: int, piece_bytes: int = 64 * KIBIBYTE) -> Iterator[bytes]:
    """Yield a number of bytes in pieces."""
    for start in range(0, length, piece_bytes):
        yield b"x" * min(piece_bytes, length - start)


def chunked_body(head: str, count: int, chunk_bytes: int) -> Iterator[bytes]:
    """Yield a request whose body is a number of chunks, without the last one."""
    yield head.encode()
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    per_piece = max(1, 16 * KIBIBYTE // len(chunk))
    for start in range(0, count, per_piece):
        yield chunk * min(per_piece, count - start)


def endless_head(line: bytes, length: int) -> Iterator[bytes]:
    """Yield the beginning of a head: fields alike, up to a number of bytes."""
    yield b"GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
    per_piece = max(1, 16 * KIBIBYTE // len(line))
    for _ in range(0, length, per_piece * len(line)):
        yield line * per_piece


def endless(beginning: bytes, piece: bytes) -> Iterator[bytes]:
    """Yield a piece again and again behind a beginning."""
    yield beginning
    yield from repeat(piece)


def peak_megabytes(pid: int) -> float:
    """Return the largest resident memory that the kernel has seen of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIBIBYTE / MEGABYTE
    raise AssertionError(f"process {pid} has no VmHWM")


class DescriptorProbe:
    """Watches how many descriptors a process has open.

    Attributes:
        process: The process.
        peak: Most descriptors seen at once.
    """

    def __init__(self, pid: int) -> None:
        self.process = Process(pid)
        self.peak = 0
        self.ended = Event()
        self.thread = Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Start to watch."""
        self.thread.start()

    def run(self) -> None:
        """Watch until the probe is closed or the process ends."""
        with suppress(Exception):
            while not self.ended.wait(POLL_SECONDS):
                self.peak = max(self.peak, self.process.num_fds())

    def close(self) -> None:
        """Stop watching."""
        self.ended.set()
        self.thread.join()


def is_answered(
    site: GatewaySite, body: bytes = b"", seconds: float = PATIENCE_SECONDS
) -> bool:
    """Check whether an ordinary client gets an answer; it tries again if refused."""
    deadline = monotonic() + seconds
    while monotonic() < deadline:
        with suppress(OSError):
            if ask(site, body)[0] == 200:
                return True
        sleep(RETRY_SECONDS)
    return False


def ask(site: GatewaySite, body: bytes) -> HttpResponse:
    """Send one ordinary request and return its response; it may be refused.

    Raises:
        OSError: The gateway did not take the request or did not answer.
    """
    method = "POST" if body else "GET"
    with socket.create_connection(site.frontend, ATTEMPT_SECONDS) as connection:
        site.send(connection, "/safe/x", body, method=method, deadline_ms=DEADLINE_MS)
        return receive_response(connection)
