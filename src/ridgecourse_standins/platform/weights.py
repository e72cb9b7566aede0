"""Stand-ins of an engine that stages weights and of the origin of weights."""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256
from http.server import BaseHTTPRequestHandler
from threading import Condition, Thread
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, urlsplit

from msgspec.json import decode, encode

from ridgecourse.platform.names import (
    CHUNK_INDEX_PARAMETER,
    CHUNK_PATH,
    COLD_HEADER,
    MANIFEST_PATH,
    ORDER_PATH,
    REPORT_PATH,
    STAGE_GET_PATH,
    STAGE_PUT_PATH,
)
from ridgecourse_standins.closed_loop import is_closed
from ridgecourse_standins.platform.engine import now_ms
from ridgecourse_standins.platform.http_server import StandInServer

StatusAndBody = tuple[int, bytes]
HEALTH_PATH = "/healthz"
"""Path of the engine's health check in the sample configuration."""
LATE_SECONDS = 1.8
"""Maximum time from an abandoned call to the moment when the call takes effect."""


@dataclass
class Exchange:
    """A call and its answer.

    Attributes:
        client: Address of the client, without the port.
        target: Request target.
        received_at: Monotonic time at which the call was received.
        answered_at: Monotonic time at which the answer was ready; 0.0 before.
        client_left: Whether the client had closed its connection by then.
    """

    client: str
    target: str
    received_at: float = field(default_factory=monotonic)
    answered_at: float = 0.0
    client_left: bool = False

    def __str__(self) -> str:
        answered = f"{self.answered_at:.3f}" if self.answered_at else "never"
        left = ", client had left" if self.client_left else ""
        return (
            f"{self.received_at:.3f} {self.client} {self.target},"
            f" answered {answered}{left}"
        )


class HttpStandIn:
    """An HTTP server on loopback whose answers a subclass provides.

    Attributes:
        calls: Method and request target of each call so far.
        exchanges: The calls so far with their clients and times.
        unreachable: Whether connections are closed without an answer.
        dropped_connections: Number of connections closed without an answer.
        changed: Notified after each call; also guards the state of the subclass.
    """

    def __init__(self, host: str = "127.0.0.1", queued_connections: int = 128) -> None:
        """Prepare a stand-in; it answers once it is started.

        Args:
            host: Address to listen on.
            queued_connections: Connections that it takes before they are accepted.
        """
        self.calls: list[tuple[str, str]] = []
        self.exchanges: list[Exchange] = []
        self.unreachable = False
        self.dropped_connections = 0
        self.changed = Condition()
        self.server = StandInServer(host, self._make_handler(), queued_connections)
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    @property
    def address(self) -> str:
        """Address of the server as "HOST:PORT"."""
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def start(self) -> None:
        """Start accepting connections."""
        self.thread.start()

    def close(self) -> None:
        """Stop the server."""
        if self.thread.is_alive():
            self.server.shutdown()
        self.server.server_close()

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Any:
        """Return status and body of the answer to a call.

        Args:
            method: HTTP method.
            path: Path of the request target.
            query: First value of each query parameter.
            body: Body of the request.
        """
        raise NotImplementedError

    def answer_headers(self, path: str) -> list[tuple[str, str]]:
        """Return further headers of the answer to a call."""
        return []

    def wait_until(self, condition: Callable[[], bool], seconds: float = 20.0) -> None:
        """Wait until a condition holds; the condition is evaluated after each call.

        Raises:
            AssertionError: The condition did not hold in time.
        """
        with self.changed:
            if not self.changed.wait_for(condition, seconds):
                raise AssertionError("the condition did not hold in time")

    def _make_handler(self) -> type[BaseHTTPRequestHandler]:
        stand_in = self

        class Handler(BaseHTTPRequestHandler):
            """Answers one connection."""

            protocol_version = "HTTP/1.1"

            def _answer(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if stand_in.unreachable:
                    with stand_in.changed:
                        stand_in.dropped_connections += 1
                        stand_in.changed.notify_all()
                    self.close_connection = True
                    return
                parts = urlsplit(self.path)
                query = {
                    name: values[0] for name, values in parse_qs(parts.query).items()
                }
                exchange = Exchange(self.client_address[0], self.path)
                with stand_in.changed:
                    stand_in.calls.append((self.command, self.path))
                    stand_in.exchanges.append(exchange)
                    status, data = stand_in.answer(
                        self.command, parts.path, query, body
                    )
                    stand_in.changed.notify_all()
                exchange.client_left = is_closed(self.connection)
                exchange.answered_at = monotonic()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                for name, value in stand_in.answer_headers(parts.path):
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_PUT = do_POST = _answer  # noqa: N815

            def log_message(self, *_: Any) -> None:
                """Log nothing."""

        return Handler


ENGINE_QUEUE = 5
"""Connections that an engine takes while it starts; the next ones time out."""


class StagingEngine(HttpStandIn):
    """An engine that serves the chunks that are staged when a start order arrives.

    Attributes:
        layers: Number of layers of the model.
        staged: Chunks in the staging area, by index.
        version: Version that the engine serves; 0 for none.
        orders: Number of start orders since the engine started.
        staged_at_start: Staged chunks at each start order, by version.
        corrupt_staged: Called with the staged chunks after each write of a chunk; may
            corrupt chunks.
        late_chunk: A chunk whose write is answered with 504 and takes effect later;
            None for none.
        late_deadline: Monotonic time until which the late write can take effect.
        born: Start time in Unix milliseconds, or another value to report in its
            place; None for an engine that does not report the time.
        busy: Whether the engine reports an order in progress.
        on_staging_read: Called after each read of the staging area, with the index.
        loses_next_order: Whether the next start order is not carried out, and answered
            with 504.
        cold_ms: Value of the cold header of health answers; None for no header.
    """

    def __init__(self, layers: int, host: str = "127.0.0.1") -> None:
        super().__init__(host, ENGINE_QUEUE)
        self.layers = layers
        self.staged: dict[int, bytes] = {}
        self.version = 0
        self.orders = 0
        self.staged_at_start: dict[int, dict[int, bytes]] = {}
        self.corrupt_staged: Callable[[dict[int, bytes]], None] = lambda staged: None
        self.late_chunk: bytes | None = None
        self.late_deadline = 0.0
        self.born: Any = None
        self.busy = False
        self.on_staging_read: Callable[[int], None] = lambda index: None
        self.loses_next_order = False
        self.cold_ms: Any = None

    def restart(self, keeps_staged: bool = True, busy: bool = False) -> None:
        """Start a new incarnation with the same identity, without version or orders.

        Args:
            keeps_staged: Whether the staging area survives, as after a crash; a loss of
                power clears the area.
            busy: Whether the new incarnation reports an order in progress.
        """
        with self.changed:
            self.version = self.orders = 0
            self.busy = busy
            self.staged_at_start.clear()
            self.born = max(now_ms(), (self.born or 0) + 1)
            if not keeps_staged:
                self.staged.clear()
            self.changed.notify_all()

    def answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> StatusAndBody:
        """Answer a report request, a start order or a call to the staging area."""
        if path == REPORT_PATH:
            return 200, encode(self.make_report())
        if path == HEALTH_PATH:
            return 200, b""
        if path == ORDER_PATH:
            return self._start(decode(body))
        if path.startswith(STAGE_PUT_PATH) and body == self.late_chunk:
            self.late_deadline = monotonic() + LATE_SECONDS
            return 504, b""
        if path.startswith(STAGE_PUT_PATH):
            self.staged[int(query[CHUNK_INDEX_PARAMETER])] = body
            self.corrupt_staged(self.staged)
            return 200, b""
        if path.startswith(STAGE_GET_PATH):
            data = self.staged.get(int(query[CHUNK_INDEX_PARAMETER]))
            self.on_staging_read(int(query[CHUNK_INDEX_PARAMETER]))
            return (404, b"") if data is None else (200, data)
        return 404, b""

    def answer_headers(self, path: str) -> list[tuple[str, str]]:
        """Return the cold header of a health answer, if it has one."""
        if path != HEALTH_PATH or self.cold_ms is None:
            return []
        return [(COLD_HEADER, str(self.cold_ms))]

    def make_report(self) -> dict[str, Any]:
        """Return the fields of the report of the engine."""
        report: dict[str, Any] = {"utilization": self.busy, "sequence": self.orders}
        if self.born is not None:
            report["born"] = self.born
        if self.version:
            report["layers"] = {
                "from": 0,
                "target_version": self.layers,
                "version": self.version,
            }
        return report

    def _start(self, order: dict[str, Any]) -> StatusAndBody:
        self.orders += 1
        if self.loses_next_order:
            self.loses_next_order = False
            return 504, b""
        if self.late_chunk is not None and monotonic() < self.late_deadline:
            # The late write takes effect at the worst moment: after the last check of
            # the staged chunks.
            self.staged[0] = self.late_chunk
        self.busy = False
        self.version = order["version"]
        self.staged_at_start[self.version] = dict(self.staged)
        return 202, b""


class OriginStandIn(HttpStandIn):
    """An origin of weights.

    Attributes:
        versions: Chunks of each version.
        corrupt_chunks: Chunks that are sent corrupted the next time, as version and
            index.
        corrupt_manifests: Number of manifests that are sent with one wrong digest next.
        send_limit: Number of chunks after which further chunks are held back; None for
            no limit.
        sent: Number of chunks sent so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.versions: dict[int, list[bytes]] = {}
        self.corrupt_chunks: set[tuple[int, int]] = set()
        self.corrupt_manifests = 0
        self.send_limit: int | None = None
        self.sent = 0

    def release(self) -> None:
        """Remove the limit and send the chunks that were held back."""
        with self.changed:
            self.send_limit = None
            self.changed.notify_all()

    def answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> StatusAndBody:
        """Answer with a manifest or a chunk; unknown versions are answered with 410."""
        version = int(query["version"])
        chunks = self.versions.get(version)
        if chunks is None:
            return 410, b""
        if path.startswith(MANIFEST_PATH):
            digests = [sha256(chunk).hexdigest() for chunk in chunks]
            if self.corrupt_manifests:
                self.corrupt_manifests -= 1
                digests[-1] = sha256(b"%d" % self.corrupt_manifests).hexdigest()
            return 200, encode({"chunk_bytes": len(chunks[0]), "digests": digests})
        if path.startswith(CHUNK_PATH):
            self.changed.notify_all()
            self.changed.wait_for(
                lambda: self.send_limit is None or self.sent < self.send_limit
            )
            self.sent += 1
            index = int(query[CHUNK_INDEX_PARAMETER])
            if (version, index) in self.corrupt_chunks:
                self.corrupt_chunks.discard((version, index))
                return 200, bytes(len(chunks[index]))
            return 200, chunks[index]
        return 404, b""
