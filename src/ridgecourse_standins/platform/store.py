"""Stand-in of the platform's store, with faults that tests set."""

from base64 import b64encode
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from enum import Enum
from http.server import BaseHTTPRequestHandler
from struct import pack, unpack_from
from threading import Condition, Lock, Thread
from time import monotonic, sleep
from typing import Any
from urllib.parse import parse_qs, urlsplit

from msgspec.json import encode

from ridgecourse.platform.names import (
    CONFIG_KEY,
    DECISIONS_TOPIC,
    ERA_HEADER,
    LOG_APPEND_PATH,
    LOG_NEWEST_PATH,
    LOG_READ_PATH,
    STARTS_TOPIC,
    TARGETS_TOPIC,
    VERSION_KEY_PREFIX,
)
from ridgecourse_standins.platform.http_server import StandInServer

LINK_STEP_SECONDS = 0.02
"""Duration of each block of an answer on a link with limited rate."""


class Link:
    """A link that transmits blocks one after the other, in the order of their arrival.

    Attributes:
        free_at: Monotonic time at which the last block so far is transmitted.
    """

    def __init__(self) -> None:
        self.free_at = 0.0
        self.lock = Lock()

    def reserve(self, seconds: float) -> float:
        """Reserve the link for a block; return the seconds until it is transmitted.

        Args:
            seconds: Duration of the transmission.
        """
        with self.lock:
            now = monotonic()
            self.free_at = max(now, self.free_at) + seconds
            return self.free_at - now


class StoreMode(Enum):
    """How the store answers.

    Attributes:
        UP: Normally.
        DOWN: With status 503.
        SILENT: Not at all.
    """

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


class StoreStandIn:
    """A store on loopback.

    Attributes:
        mode: How the store answers.
        topics: Records of each topic, as key and value.
        earliest_offsets: Earliest readable offset of each topic; reads below it are
            answered with 410.
        calls: Number of calls so far.
        late_writes: Writes that were delayed and can be applied late.
        appended: Records that the tested processes wrote, as topic, key and value,
            without those that gateways write at their start.
        delivered: Records sent to each host, as topic, key and value.
        delayed_writes: Writes that got no answer and are not applied yet; None while
            writes are not delayed.
        newest_reads: Reads of the newest records, as host and topic.
        offset_reads: Reads from an offset on, as host and topic.
        bytes_per_s: Rate of the link that all readers share; None for no limit.
        link: Link that the answers share if ``bytes_per_s`` is set.
        sending_count: Number of answers that are being sent over links.
        max_sending_count: Maximum of ``sending_count`` so far.
        reader_rates: Rate of the link of a single reader, by host.
        refused_readers: Hosts whose calls are answered with 503.
        refused_writers: Hosts whose writes are answered with 503.
        answer_delay_seconds: Time from a call to its answer, without the time that a
            read waits for records.
        version_put_at: Monotonic time at which each version of weights was
            acknowledged, by model and version.
        era: Era named in each answer; None for a store that names none.
        copied_lengths: Number of records of each topic in the latest copy.
        condition: Notified after each change of records, mode or writes.
        closed: Whether the store was closed; ends waiting reads.
    """

    def __init__(self) -> None:
        self.mode = StoreMode.UP
        self.late_writes: list[tuple[str, bytes, int | None]] = []
        self.topics: dict[str, list[tuple[str, bytes]]] = {
            DECISIONS_TOPIC: [],
            TARGETS_TOPIC: [],
        }
        self.earliest_offsets = dict.fromkeys(self.topics, 0)
        self.appended: list[tuple[str, str, bytes]] = []
        self.newest_reads: list[tuple[str, str]] = []
        self.offset_reads: list[tuple[str, str]] = []
        self.delayed_writes: list[tuple[str, bytes, int | None]] | None = None
        self.delivered: dict[str, list[tuple[str, str, bytes]]] = {}
        self.bytes_per_s: float | None = None
        self.link = Link()
        self.sending_count = 0
        self.max_sending_count = 0
        self.reader_rates: dict[str, float] = {}
        self.refused_readers: set[str] = set()
        self.refused_writers: set[str] = set()
        self.answer_delay_seconds = 0.0
        self.version_put_at: dict[tuple[str, int], float] = {}
        self.calls = 0
        self.era: int | None = None
        self.copied_lengths: dict[str, int] = {}
        self.condition = Condition()
        self.closed = False
        self.server = StandInServer("127.0.0.1", self._make_handler())
        self.thread = Thread(target=self.server.serve_forever, daemon=True)

    @property
    def address(self) -> str:
        """Address of the store as "HOST:PORT"."""
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def start(self) -> None:
        """Start accepting connections."""
        self.thread.start()

    def close(self) -> None:
        """Stop the server and end waiting reads."""
        with self.condition:
            self.closed = True
            self.condition.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record of the platform; a value of None removes the key."""
        data = b"" if value is None else encode(value)
        with self.condition:
            self.topics[topic].append((key, data))
            self.condition.notify_all()

    def put_config(self, config: dict[str, Any]) -> None:
        """Publish a configuration."""
        self.put(DECISIONS_TOPIC, CONFIG_KEY, config)

    def put_version(self, model: str, version: int) -> None:
        """Publish the version of the weights that a model is to use."""
        key = f"{VERSION_KEY_PREFIX}{model}"
        self.put(DECISIONS_TOPIC, key, {"model": model, "version": version})
        self.version_put_at[model, version] = monotonic()

    def put_target(self, target: str, entry: dict[str, Any] | None) -> None:
        """Publish the entry of a target; None removes the target from the list."""
        self.put(TARGETS_TOPIC, target, entry)

    def append(
        self, topic: str, data: bytes, expected_end: int | None = None
    ) -> tuple[int, bytes]:
        """Append records that a tested process writes; return status and body.

        Topics of the platform are answered with 403.

        Args:
            topic: The topic.
            data: Encoded records.
            expected_end: End offset that the topic must have; None for any. Another
                end is answered with 412.
        """
        if topic in (DECISIONS_TOPIC, TARGETS_TOPIC):
            return 403, b"{}"
        records = list(split_records(data))
        with self.condition:
            stored = self.topics.setdefault(topic, [])
            offset = len(stored)
            if expected_end not in (None, offset):
                return 412, encode({"end_offset": offset})
            stored.extend(records)
            if topic != STARTS_TOPIC:
                self.appended.extend((topic, *record) for record in records)
            self.condition.notify_all()
        return 200, encode({"offset": offset, "end_offset": offset + len(records)})

    def delay_writes(self) -> None:
        """Delay all following writes: keep them without applying or answering them."""
        self.delayed_writes = []

    def wait_for_delayed_write(self, seconds: float = 3.0) -> bool:
        """Check whether a write is delayed within a time limit."""
        with self.condition:
            return self.condition.wait_for(lambda: bool(self.delayed_writes), seconds)

    def resume_writes(self) -> None:
        """Apply and answer writes again; delayed writes become late writes."""
        with self.condition:
            self.late_writes, self.delayed_writes = self.delayed_writes or [], None

    def apply_late_writes(self) -> None:
        """Apply the late writes whose expected end offset still matches."""
        for topic, data, expected_end in self.late_writes:
            self.append(topic, data, expected_end)

    def wait_for_appends(self, count: int, seconds: float = 3.0) -> bool:
        """Check whether tested processes append ``count`` records in time."""
        with self.condition:
            return self.condition.wait_for(lambda: len(self.appended) >= count, seconds)

    def compact_topic(self, topic: str) -> None:
        """Make all records of a topic unreadable except the newest of each key."""
        with self.condition:
            self.earliest_offsets[topic] = len(self.topics[topic])

    def copy(self) -> None:
        """Make a copy, from which the store may return."""
        with self.condition:
            self.copied_lengths = {
                topic: len(records) for topic, records in self.topics.items()
            }

    def return_from_copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Drop what was written since the copy and begin a new era.

        Returns:
            The lost records of each topic, as key and value.
        """
        lost = {}
        with self.condition:
            for topic, records in self.topics.items():
                length = self.copied_lengths.get(topic, 0)
                lost[topic] = records[length:]
                del records[length:]
            self.era = (self.era or 0) + 1
            self.condition.notify_all()
        return lost

    def write_again(self, topic: str, records: Iterable[tuple[str, bytes]]) -> None:
        """Append lost records, as their writers do after a return."""
        with self.condition:
            self.topics[topic].extend(records)
            self.condition.notify_all()

    def set_mode(self, mode: StoreMode) -> None:
        """Set how the store answers; the mode also ends waiting reads."""
        with self.condition:
            self.mode = mode
            self.condition.notify_all()

    def newest(self, topic: str) -> bytes:
        """Return the newest record of each key, in the encoding of the store."""
        newest: dict[str, dict[str, Any]] = {}
        records = self.topics.get(topic, [])
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                text = b64encode(value).decode()
                newest[key] = {"key_file": key, "value": text, "offset": offset}
        return encode({"items": list(newest.values()), "end_offset": len(records)})

    def read(
        self, topic: str, start: int, wait_seconds: float, max_bytes: int
    ) -> tuple[bytes, list[tuple[str, bytes]]] | None:
        """Return records from an offset on; None if the topic lacks the offset.

        Args:
            topic: The topic.
            start: The offset.
            wait_seconds: Maximum wait for a first record.
            max_bytes: Size of the body after which no further record is added.

        Returns:
            The body of the answer and the records in the body.
        """
        with self.condition:
            records = self.topics.setdefault(topic, [])
            earliest_offset = self.earliest_offsets.get(topic, 0)
            self.condition.wait_for(
                lambda: (
                    len(records) > start or self.closed or self.mode is not StoreMode.UP
                ),
                wait_seconds,
            )
            if not earliest_offset <= start <= len(records):
                return None
            body = pack(">QQ", len(records), earliest_offset)
            delivered = []
            for key, value in records[start:]:
                if delivered and len(body) > max_bytes:
                    break
                record = bytes([len(key)]) + key.encode() + value
                body += pack(">I", len(record)) + record
                delivered.append((key, value))
            return body, delivered

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
        """Answer a call according to the mode of the store."""
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
        status, body = self._handle(host, handler.path, handler.rfile.read(length))
        era = self.era
        sleep(self.answer_delay_seconds)
        if self.mode is StoreMode.DOWN or host in self.refused_readers:
            status, body = 503, b""
        if status == 0:
            handler.close_connection = True
            return
        with suppress(BrokenPipeError, ConnectionResetError):
            handler.send_response(status)
            handler.send_header("Content-Length", str(len(body)))
            if era is not None:
                handler.send_header(ERA_HEADER, str(era))
            handler.end_headers()
            self._send(handler, body)

    def _send(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Send a body at the rate of the link to the reader."""
        reader_rate = self.reader_rates.get(handler.client_address[0])
        rate = reader_rate or self.bytes_per_s
        if rate is None:
            handler.wfile.write(body)
            return
        link = Link() if reader_rate else self.link
        size = max(1, int(rate * LINK_STEP_SECONDS))
        self._change_sending_count(+1)
        try:
            for start in range(0, len(body), size):
                block = body[start : start + size]
                sleep(link.reserve(len(block) / rate))
                handler.wfile.write(block)
        finally:
            self._change_sending_count(-1)

    def _change_sending_count(self, change: int) -> None:
        with self.condition:
            self.sending_count += change
            self.max_sending_count = max(self.max_sending_count, self.sending_count)

    def _handle(self, host: str, target: str, data: bytes) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == LOG_NEWEST_PATH:
            self.newest_reads.append((host, query["topic"]))
            return 200, self.newest(query["topic"])
        if parts.path == LOG_READ_PATH:
            self.offset_reads.append((host, query["topic"]))
            wait_seconds = int(query.get("wait_ms", "0")) / 1000
            max_bytes = int(query.get("max_kb", "1024")) * 1024
            batch = self.read(
                query["topic"], int(query["from"]), wait_seconds, max_bytes
            )
            if batch is None:
                first = self.earliest_offsets.get(query["topic"], 0)
                return 410, encode({"first": first})
            delivered = [(query["topic"], *record) for record in batch[1]]
            self.delivered.setdefault(host, []).extend(delivered)
            return 200, batch[0]
        if parts.path == LOG_APPEND_PATH and host in self.refused_writers:
            return 503, b""
        if parts.path == LOG_APPEND_PATH:
            end = query.get("current_rev")
            write = query["topic"], data, None if end is None else int(end)
            with self.condition:
                if self.delayed_writes is not None:
                    self.delayed_writes.append(write)
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
