"""Stand-ins for an engine's staging area and orders, and for the origin of weights."""

from collections.abc import Callable
from hashlib import sha256
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, urlsplit

from msgspec.json import decode, encode

from ridgecourse.platform.names import (
    CHUNK_INDEX,
    CHUNK_PATH,
    MANIFEST_PATH,
    ORDER_PATH,
    REPORT_PATH,
    STAGE_GET_PATH,
    STAGE_PUT_PATH,
)
from ridgecourse_standins.platform.engine import now_ms

Answer = tuple[int, bytes]
LATE_SECONDS = 1.8
"""After which a call that was given up is carried out at the latest."""


class HttpStandIn:
    """An HTTP server on loopback whose answers a subclass finds.

    Attributes:
        calls: Method and target of each call so far.
        away: Whether connections end without an answer.
        turned_away: Connections that ended so.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.calls: list[tuple[str, str]] = []
        self.away = False
        self.turned_away = 0
        self.changed = Condition()
        self.server = ThreadingHTTPServer((host, 0), self._make_handler())
        self.server.daemon_threads = True
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    @property
    def address(self) -> str:
        """HOST:PORT of the server."""
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def start(self) -> None:
        """Begin to answer."""
        self.thread.start()

    def close(self) -> None:
        """Stop."""
        if self.thread.is_alive():
            self.server.shutdown()
        self.server.server_close()

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> Any:
        """Return status and body of the answer to a call."""
        raise NotImplementedError

    def wait_until(self, condition: Callable[[], bool], seconds: float = 20.0) -> None:
        """Wait until a condition holds, looking at it after each call."""
        with self.changed:
            if not self.changed.wait_for(condition, seconds):
                raise AssertionError("the condition did not come about")

    def _make_handler(self) -> type[BaseHTTPRequestHandler]:
        stand_in = self

        class Handler(BaseHTTPRequestHandler):
            """Answers one connection."""

            protocol_version = "HTTP/1.1"

            def _answer(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if stand_in.away:
                    with stand_in.changed:
                        stand_in.turned_away += 1
                        stand_in.changed.notify_all()
                    self.close_connection = True
                    return
                parts = urlsplit(self.path)
                query = {name: v[0] for name, v in parse_qs(parts.query).items()}
                with stand_in.changed:
                    stand_in.calls.append((self.command, self.path))
                    status, data = stand_in.answer(
                        self.command, parts.path, query, body
                    )
                    stand_in.changed.notify_all()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_PUT = do_POST = _answer  # noqa: N815

            def log_message(self, *_: Any) -> None:
                """Log nothing."""

        return Handler


class StagingEngine(HttpStandIn):
    """An engine that serves what was staged when it was told to start.

    Attributes:
        layers: Layers of its model.
        staged: Chunks in the staging area, by index.
        version: Version that it serves; 0 for none.
        started: What lay staged at each start, by version.
        spoil: Called after each staged chunk; may turn others bad.
        late: A chunk whose call is to be given up and carried out later; None for none.
        late_until: When it is carried out at the latest.
        born: Unix millisecond of its start, or whatever else it tells for that; None
            for an engine that does not tell.
        busy: Whether it tells that an order is under way.
        looked_at: Called after each look at the staging area, with the index.
    """

    def __init__(self, layers: int, host: str = "127.0.0.1") -> None:
        super().__init__(host)
        self.layers = layers
        self.staged: dict[int, bytes] = {}
        self.version = 0
        self.orders = 0
        self.started: dict[int, dict[int, bytes]] = {}
        self.spoil: Callable[[dict[int, bytes]], None] = lambda staged: None
        self.late: bytes | None = None
        self.late_until = 0.0
        self.born: Any = None
        self.busy = False
        self.looked_at: Callable[[int], None] = lambda index: None

    def restart(self, keeps_staged: bool = True, busy: bool = False) -> None:
        """Begin a new life under the same identity: it serves and knows nothing.

        Args:
            keeps_staged: Whether the staging area is left, as after a crash; a loss of
                power clears it.
            busy: Whether the new life tells that an order is under way.
        """
        with self.changed:
            self.version = self.orders = 0
            self.busy = busy
            self.started.clear()
            self.born = max(now_ms(), (self.born or 0) + 1)
            if not keeps_staged:
                self.staged.clear()
            self.changed.notify_all()

    def answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer:
        """Answer a report, an order, or a call of the staging area."""
        if path == REPORT_PATH:
            return 200, encode(self.describe())
        if path == ORDER_PATH:
            return self._start(decode(body))
        if path.startswith(STAGE_PUT_PATH) and body == self.late:
            self.late_until = monotonic() + LATE_SECONDS
            return 504, b""
        if path.startswith(STAGE_PUT_PATH):
            self.staged[int(query[CHUNK_INDEX])] = body
            self.spoil(self.staged)
            return 200, b""
        if path.startswith(STAGE_GET_PATH):
            data = self.staged.get(int(query[CHUNK_INDEX]))
            self.looked_at(int(query[CHUNK_INDEX]))
            return (404, b"") if data is None else (200, data)
        return 404, b""

    def describe(self) -> dict[str, Any]:
        """Return the fields of its report."""
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

    def _start(self, order: dict[str, Any]) -> Answer:
        self.orders += 1
        if self.late is not None and monotonic() < self.late_until:
            # At the worst moment: after the last look at what lies staged.
            self.staged[0] = self.late
        self.busy = False
        self.version = order["version"]
        self.started[self.version] = dict(self.staged)
        return 202, b""


class OriginStandIn(HttpStandIn):
    """An origin of weights.

    Attributes:
        versions: Chunks of each version.
        spoilt: Chunks that come wrong the next time, as version and index.
        hold_after: Chunks sent until others are held back; None for no limit.
        sent: Chunks sent so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.versions: dict[int, list[bytes]] = {}
        self.spoilt: set[tuple[int, int]] = set()
        self.hold_after: int | None = None
        self.sent = 0

    def release(self) -> None:
        """Send the chunks that were held back."""
        with self.changed:
            self.hold_after = None
            self.changed.notify_all()

    def answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer:
        """Answer with a manifest or a chunk."""
        version = int(query["version"])
        chunks = self.versions.get(version)
        if chunks is None:
            return 410, b""
        if path.startswith(MANIFEST_PATH):
            digests = [sha256(chunk).hexdigest() for chunk in chunks]
            return 200, encode({"chunk_bytes": len(chunks[0]), "digests": digests})
        if path.startswith(CHUNK_PATH):
            self.changed.notify_all()
            self.changed.wait_for(
                lambda: self.hold_after is None or self.sent < self.hold_after
            )
            self.sent += 1
            index = int(query[CHUNK_INDEX])
            if (version, index) in self.spoilt:
                self.spoilt.discard((version, index))
                return 200, bytes(len(chunks[index]))
            return 200, chunks[index]
        return 404, b""
