"""A stand-in for the platform's store, with the failures that tests ask for."""

from base64 import b64encode
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from struct import pack, unpack_from
from threading import Condition, Lock, Thread
from time import monotonic, sleep
from typing import Any
from urllib.parse import parse_qs, urlsplit

from msgspec.json import encode

from ridgecourse.platform.names import (
    CONFIG_KEY,
    DECISIONS_TOPIC,
    LOG_APPEND_PATH,
    LOG_NEWEST_PATH,
    LOG_READ_PATH,
    TARGETS_TOPIC,
    VERSION_KEY_PREFIX,
)

LINK_STEP_SECONDS = 0.02
"""Between two pieces of an answer on a link with a rate."""


class Link:
    """Carries pieces one after the other, in the order in which they come.

    Attributes:
        free_at: When the last piece so far has passed.
    """

    def __init__(self) -> None:
        self.free_at = 0.0
        self.lock = Lock()

    def reserve(self, seconds: float) -> float:
        """Return after how many seconds a piece has passed that takes so many."""
        with self.lock:
            now = monotonic()
            self.free_at = max(now, self.free_at) + seconds
            return self.free_at - now


class StoreMode(Enum):
    """How the store answers.

    UP: As it should.
    DOWN: With 503.
    SILENT: Not at all.
    """

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


class StoreStandIn:
    """A store on loopback.

    Attributes:
        mode: How it answers.
        topics: Records of each topic, as key and value.
        first_kept: Offsets below this answer 410.
        calls: Calls so far.
        late: Writes held back earlier.
        appended: Records that the system wrote, as topic, key and value.
        told: The records told to each host, as topic, key and value.
        held_back: Writes that got no answer and are still to be done; None for none to
            come.
        newest_asked: Who asked for the newest records, as host and topic.
        asked: Who asked for records from an offset on, as host and topic.
        bytes_per_s: Rate of the link to all readers together; None for no limit.
        link: What answers share where it has a rate.
        sending: Answers that are on their way over it.
        most_sending: Most of them at once.
        narrow: Rates of links that single readers have of their own.
        turned_away: Readers that are answered 503.
        answer_seconds: From a call to its answer, beyond any wait.
        named_at: When each version of weights was acknowledged, by model and version.
    """

    def __init__(self) -> None:
        self.mode = StoreMode.UP
        self.late: list[tuple[str, bytes, int | None]] = []
        self.topics: dict[str, list[tuple[str, bytes]]] = {
            DECISIONS_TOPIC: [],
            TARGETS_TOPIC: [],
        }
        self.first_kept = dict.fromkeys(self.topics, 0)
        self.appended: list[tuple[str, str, bytes]] = []
        self.newest_asked: list[tuple[str, str]] = []
        self.asked: list[tuple[str, str]] = []
        self.held_back: list[tuple[str, bytes, int | None]] | None = None
        self.told: dict[str, list[tuple[str, str, bytes]]] = {}
        self.bytes_per_s: float | None = None
        self.link = Link()
        self.sending = 0
        self.most_sending = 0
        self.narrow: dict[str, float] = {}
        self.turned_away: set[str] = set()
        self.answer_seconds = 0.0
        self.named_at: dict[tuple[str, int], float] = {}
        self.calls = 0
        self.condition = Condition()
        self.closed = False
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), self._make_handler())
        self.server.daemon_threads = True
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    @property
    def address(self) -> str:
        """HOST:PORT of the store."""
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def start(self) -> None:
        """Begin to answer."""
        self.thread.start()

    def close(self) -> None:
        """Stop."""
        with self.condition:
            self.closed = True
            self.condition.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record; None drops the key."""
        data = b"" if value is None else encode(value)
        with self.condition:
            self.topics[topic].append((key, data))
            self.condition.notify_all()

    def put_config(self, config: dict[str, Any]) -> None:
        """Publish a configuration."""
        self.put(DECISIONS_TOPIC, CONFIG_KEY, config)

    def put_version(self, model: str, version: int) -> None:
        """Name a version of a model's weights."""
        key = f"{VERSION_KEY_PREFIX}{model}"
        self.put(DECISIONS_TOPIC, key, {"model": model, "version": version})
        self.named_at[model, version] = monotonic()

    def put_target(self, target: str, entry: dict[str, Any] | None) -> None:
        """List a target; None takes it off the list."""
        self.put(TARGETS_TOPIC, target, entry)

    def append(
        self, topic: str, data: bytes, expected_end: int | None = None
    ) -> tuple[int, bytes]:
        """Take records of the system's own; return status and body."""
        if topic in (DECISIONS_TOPIC, TARGETS_TOPIC):
            return 403, b"{}"
        records = list(split_records(data))
        with self.condition:
            kept = self.topics.setdefault(topic, [])
            offset = len(kept)
            if expected_end not in (None, offset):
                return 412, encode({"end_offset": offset})
            kept.extend(records)
            self.appended.extend((topic, *record) for record in records)
            self.condition.notify_all()
        return 200, encode({"offset": offset, "end_offset": offset + len(records)})

    def hold_writes_back(self) -> None:
        """Do writes from now on only when released, and answer none."""
        self.held_back = []

    def wait_held_back(self, seconds: float = 3.0) -> bool:
        """Tell whether a write was held back in time."""
        with self.condition:
            return self.condition.wait_for(lambda: bool(self.held_back), seconds)

    def answer_writes(self) -> None:
        """Do and answer writes again; those held back are still to be done."""
        with self.condition:
            self.late, self.held_back = self.held_back or [], None

    def do_late_writes(self) -> None:
        """Do what was held back, where its condition still holds."""
        for topic, data, expected_end in self.late:
            self.append(topic, data, expected_end)

    def wait_appended(self, count: int, seconds: float = 3.0) -> bool:
        """Tell whether the system wrote so many records in time."""
        with self.condition:
            return self.condition.wait_for(lambda: len(self.appended) >= count, seconds)

    def forget_history(self, topic: str) -> None:
        """Drop all records but the newest of each key."""
        with self.condition:
            self.first_kept[topic] = len(self.topics[topic])

    def set_mode(self, mode: StoreMode) -> None:
        """Change how it answers, waiting reads included."""
        with self.condition:
            self.mode = mode
            self.condition.notify_all()

    def newest(self, topic: str) -> bytes:
        """Return the newest records as the store encodes them."""
        newest: dict[str, dict[str, Any]] = {}
        records = self.topics.get(topic, [])
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                text = b64encode(value).decode()
                newest[key] = {"key_file": key, "value": text, "offset": offset}
        return encode({"items": list(newest.values()), "end_offset": len(records)})

    def read(
        self, topic: str, start: int, wait: float, most: int
    ) -> tuple[bytes, list[tuple[str, bytes]]] | None:
        """Return records from an offset on, None where they are gone.

        Args:
            topic: The topic.
            start: The offset.
            wait: Longest wait for a first record, in seconds.
            most: Bytes after which no further record is told.

        Returns:
            The answer's body and the records in it.
        """
        records = self.topics[topic]
        with self.condition:
            self.condition.wait_for(
                lambda: (
                    len(records) > start or self.closed or self.mode is not StoreMode.UP
                ),
                wait,
            )
            if start < self.first_kept[topic]:
                return None
            body = pack(">QQ", len(records), self.first_kept[topic])
            told = []
            for key, value in records[start:]:
                if told and len(body) > most:
                    break
                record = bytes([len(key)]) + key.encode() + value
                body += pack(">I", len(record)) + record
                told.append((key, value))
            return body, told

    def _make_handler(self) -> Callable[..., BaseHTTPRequestHandler]:
        store = self

        class Handler(BaseHTTPRequestHandler):
            """Answers one connection."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                """Answer a read."""
                store.answer(self)

            def do_POST(self) -> None:  # noqa: N802
                """Answer a write."""
                store.answer(self)

            def log_message(self, *_: Any) -> None:
                """Log nothing."""

        return Handler

    def answer(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer a call as the mode has it."""
        self.calls += 1
        if self.mode is StoreMode.SILENT:
            with self.condition:
                self.condition.wait_for(
                    lambda: self.closed or self.mode is not StoreMode.SILENT
                )
            handler.close_connection = True
            return
        length = int(handler.headers.get("Content-Length", "0"))
        host = handler.client_address[0]
        status, body = self._find(host, handler.path, handler.rfile.read(length))
        sleep(self.answer_seconds)
        if self.mode is StoreMode.DOWN or host in self.turned_away:
            status, body = 503, b""
        if status == 0:
            handler.close_connection = True
            return
        with suppress(BrokenPipeError, ConnectionResetError):
            handler.send_response(status)
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            self._send(handler, body)

    def _send(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Send a body at the rate of its link."""
        own = self.narrow.get(handler.client_address[0])
        rate = own or self.bytes_per_s
        if rate is None:
            handler.wfile.write(body)
            return
        link = Link() if own else self.link
        size = max(1, int(rate * LINK_STEP_SECONDS))
        self._count_sending(+1)
        try:
            for start in range(0, len(body), size):
                piece = body[start : start + size]
                sleep(link.reserve(len(piece) / rate))
                handler.wfile.write(piece)
        finally:
            self._count_sending(-1)

    def _count_sending(self, change: int) -> None:
        with self.condition:
            self.sending += change
            self.most_sending = max(self.most_sending, self.sending)

    def _find(self, host: str, target: str, data: bytes) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == LOG_NEWEST_PATH:
            self.newest_asked.append((host, query["topic"]))
            return 200, self.newest(query["topic"])
        if parts.path == LOG_READ_PATH:
            self.asked.append((host, query["topic"]))
            wait = int(query.get("wait_ms", "0")) / 1000
            most = int(query.get("max_kb", "1024")) * 1024
            found = self.read(query["topic"], int(query["from"]), wait, most)
            if found is None:
                return 410, b"{}"
            told = [(query["topic"], *record) for record in found[1]]
            self.told.setdefault(host, []).extend(told)
            return 200, found[0]
        if parts.path == LOG_APPEND_PATH:
            end = query.get("current_rev")
            write = query["topic"], data, None if end is None else int(end)
            with self.condition:
                if self.held_back is not None:
                    self.held_back.append(write)
                    self.condition.notify_all()
                    return 0, b""
            return self.append(*write)
        return 404, b""


def split_records(data: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the keys and values of appended records."""
    position = 0
    while position < len(data):
        (length,) = unpack_from(">I", data, position)
        record = data[position + 4 : position + 4 + length]
        key_end = 1 + record[0]
        yield record[1:key_end].decode(), record[key_end:]
        position += 4 + length
