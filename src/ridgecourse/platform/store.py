"""HTTP client of the platform's store, an append-only log with keyed topics.

Reads the records of a topic, either all from an offset on or the newest of each key,
and appends records. A record that cannot be decoded is returned as broken, not dropped,
so that it still replaces older records of its key.
"""

from base64 import b64decode
from collections.abc import Callable, Iterator, Sequence
from struct import error as StructError
from struct import pack, unpack_from
from typing import Annotated, Any, NamedTuple
from urllib.parse import urlencode

from msgspec import DecodeError, Meta, Raw, Struct, field
from msgspec.json import decode

from ridgecourse.core.answer_time import confirmed_at
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.record_follower import SLOW_TRANSFER_SECONDS
from ridgecourse.net.record_source import (
    AppendConflict,
    KeyedRecord,
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.platform.names import (
    BLOCKED_TOPIC,
    DECISIONS_TOPIC,
    LOG_APPEND_PATH,
    LOG_NEWEST_PATH,
    LOG_READ_PATH,
    PINNED_TOPIC,
    TARGETS_TOPIC,
)

TOPIC_NAMES = {
    Topic.DECISIONS: DECISIONS_TOPIC,
    Topic.TARGETS: TARGETS_TOPIC,
    Topic.KEPT: PINNED_TOPIC,
    Topic.BLOCKED: BLOCKED_TOPIC,
}
ANSWER_TIMEOUT_SECONDS = 1.0
"""Timeout of an answer, in addition to the wait that the request asks for. The store
answers in 4 ms, or in some hundred ms when slow."""
PIECE_TIMEOUT_SECONDS = 0.7
"""Time after a piece of an answer within which the next piece is expected. Pieces have
16 KB, which a link of 23 KB per second delivers in this time."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_READ_KB = 128
"""Maximum size of the records in one answer, in KB: enough for several configurations,
or for the heartbeats of many seconds. A process that is further behind reads the newest
record of each key, which is less data."""
NO_KEY = ""
"""Key of records whose own key cannot be decoded. No valid record has this key."""
HEADER_BYTES = 16
"""Size of the header of an answer, before its first record."""
LENGTH_PREFIX_BYTES = 4
"""Size of the length that precedes each record."""


class ItemKey(Struct):
    """The key of a record. Other fields are ignored, so they may be invalid."""

    key: str = field(name="key_file")


class NewestItem(Struct):
    """The newest record of a key.

    Attributes:
        key: Key of the record. Despite the platform's name for this field it is not a
            file.
        value: Value of the record in base64.
        offset: Position of the record in the topic.
    """

    key: str = field(name="key_file")
    value: str
    offset: Annotated[int, Meta(ge=0)]


class NewestPage(Struct):
    """A page of newest records.

    Attributes:
        items: The records, each decoded separately, so that an invalid record does not
            affect the others.
        end_offset: Offset after the last record of the topic.
        truncated: Whether there are further pages.
    """

    items: list[Raw]
    end_offset: int
    truncated: bool = False


class StoreAnswer(NamedTuple):
    """An answer of the store.

    Attributes:
        status: HTTP status.
        data: Body of the answer.
        transfer_seconds: Time from the first piece of the body to the last, in seconds.
    """

    status: int
    data: bytes
    transfer_seconds: float


class PlatformStore(RecordSource):
    """Client of the store.

    Attributes:
        address: HOST:PORT of the store.
        http: Client for the calls.
        calls: Number of calls so far. Each call has a cost.
        last_piece_at: Time of the last piece of the answer in progress, by topic. After
            an answer with a long transfer, the entry stays for the next answer.
    """

    def __init__(self, address: str, http: HttpClient) -> None:
        self.address = address
        self.http = http
        self.calls = 0
        self.last_piece_at: dict[Topic, float] = {}

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key; see ``RecordSource``."""
        asked_at = boottime()
        pages = list(self._newest_pages(topic))
        records = [
            decode_item(item, page.end_offset)
            for page, _ in pages
            for item in page.items
        ]
        transfer_seconds = sum(transfer_seconds for _, transfer_seconds in pages)
        # The pages are no snapshot. Reading continues at the end of the first page, so
        # that records appended since then are read again.
        end = Offset(pages[0][0].end_offset)
        read_at = Seconds(boottime() - transfer_seconds)
        return RecordBatch(
            records, end, asked_at, transfer_seconds=transfer_seconds, read_at=read_at
        )

    def _newest_pages(self, topic: Topic) -> Iterator[tuple[NewestPage, float]]:
        """Yield the pages, each with its transfer time in seconds.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """
        after_key = ""
        while True:
            query: dict[str, Any] = {"topic": TOPIC_NAMES[topic], "part": 0}
            if after_key:
                query["after_revision"] = after_key
            status, data, transfer_seconds = self._receive(
                topic, LOG_NEWEST_PATH, query
            )
            if status != 200:
                raise SourceUnavailable(f"status {status}, expected 200")
            try:
                page = decode(data, type=NewestPage)
            except (DecodeError, RecursionError) as error:
                raise SourceUnavailable(str(error)) from error
            yield page, transfer_seconds
            if not page.truncated or not page.items:
                return
            after_key = find_next_key(page, after_key)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return the records from an offset on; see ``RecordSource``."""
        query = {
            "topic": TOPIC_NAMES[topic],
            "part": 0,
            "from": start,
            "wait_ms": int(wait * 1000),
            "max_kb": MAX_READ_KB,
        }
        asked_at = boottime()
        status, data, transfer_seconds = self._receive(
            topic, LOG_READ_PATH, query, wait
        )
        if status == 410:
            raise RecordsGone(f"offset {start} precedes the first retained record")
        if status != 200:
            raise SourceUnavailable(f"status {status}, expected 200")
        try:
            records, end = decode_records(data, start)
        except (StructError, ValueError) as error:
            raise SourceUnavailable(
                f"invalid records in the answer: {error}"
            ) from error
        now = boottime()
        confirmed = confirmed_at(asked_at, now, wait, not records)
        next_offset = (
            Offset(start + len(records)) if records else Offset(max(start, end))
        )
        behind = max(0, end - next_offset)
        read_at = Seconds(now - transfer_seconds)
        return RecordBatch(
            records,
            next_offset,
            confirmed,
            remaining_records=behind,
            transfer_seconds=transfer_seconds,
            read_at=read_at,
        )

    def is_receiving(self, topic: Topic) -> bool:
        """Check whether an answer is being received; see ``RecordSource``."""
        last_piece_at = self.last_piece_at.get(topic)
        return (
            last_piece_at is not None
            and boottime() - last_piece_at < PIECE_TIMEOUT_SECONDS
        )

    def _receive(
        self, topic: Topic, path: str, query: dict[str, Any], wait: float = 0.0
    ) -> StoreAnswer:
        """Read from a topic and record the time of each piece of the answer.

        Raises:
            SourceUnavailable: The store gave no answer.
        """
        first_piece_at = None

        def record_piece() -> None:
            nonlocal first_piece_at
            self.last_piece_at[topic] = boottime()
            first_piece_at = first_piece_at or boottime()

        transfer_seconds = 0.0
        try:
            status, data = self._call("GET", path, query, wait, on_piece=record_piece)
            transfer_seconds = (
                0.0 if first_piece_at is None else boottime() - first_piece_at
            )
        finally:
            # After a long transfer the time of the last piece stays: the next answer is
            # probably long as well. It is requested after a pause, in which other
            # processes use the link, and already counts as being received.
            if transfer_seconds < SLOW_TRANSFER_SECONDS:
                self.last_piece_at.pop(topic, None)
        return StoreAnswer(status, data, transfer_seconds)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Append a record; see ``RecordSource``."""
        query = {"topic": TOPIC_NAMES[topic], "part": 0, "current_rev": end}
        body = encode_record(key, value)
        status, _ = self._call("POST", LOG_APPEND_PATH, query, body=body)
        if status == 412:
            raise AppendConflict(f"the topic does not end at offset {end}")
        if status != 200:
            raise SourceUnavailable(f"status {status}, expected 200")

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        wait: float = 0.0,
        body: bytes | None = None,
        on_piece: Callable[[], None] | None = None,
    ) -> tuple[int, bytes]:
        self.calls += 1
        target = f"{path}?{urlencode(query)}"
        try:
            status, data, _ = self.http.fetch(
                method,
                self.address,
                target,
                body,
                timeout=wait + ANSWER_TIMEOUT_SECONDS,
                limit=MAX_ANSWER_BYTES,
                on_piece=on_piece,
            )
        except (NoConnection, ExchangeFailed) as error:
            raise SourceUnavailable(str(error)) from error
        return status, data


def encode_record(key: str, value: bytes) -> bytes:
    """Return the encoding of a record of a keyed topic; see ``decode_records``."""
    key_bytes = key.encode()
    record = bytes([len(key_bytes)]) + key_bytes + value
    return pack(">I", len(record)) + record


def find_next_key(page: NewestPage, after_key: str) -> str:
    """Return the key after which the next page begins.

    Args:
        page: The last page that was read.
        after_key: The key after which ``page`` begins; empty for the first page.

    Raises:
        SourceUnavailable: The page has no key other than ``after_key``, so that reading
            cannot continue.
    """
    for item in reversed(page.items):
        key = decode_key(item)
        if key not in (NO_KEY, after_key):
            return key
    raise SourceUnavailable(
        "the page of newest records has no key from which the next page could continue"
    )


def decode_item(item: Raw, end: int) -> KeyedRecord:
    """Decode a record of a page of newest records.

    Args:
        item: The encoded record.
        end: End of the topic according to the page. A record that cannot be decoded
            gets the last offset before this end. It then replaces the known record of
            its key, and the next record written for the key replaces it.

    Returns:
        The record, marked as broken if it cannot be decoded.
    """
    try:
        fields = decode(item, type=NewestItem)
        value = b64decode(fields.value, validate=True)
    except (ValueError, RecursionError) as error:
        return KeyedRecord(decode_key(item), b"", Offset(max(0, end - 1)), str(error))
    return KeyedRecord(fields.key, value, Offset(fields.offset))


def decode_key(item: Raw) -> str:
    """Return the key of a record of a page, or ``NO_KEY`` if it has no valid key."""
    try:
        return decode(item, type=ItemKey).key
    except (DecodeError, RecursionError):
        return NO_KEY


def decode_records(data: bytes, start: Offset) -> tuple[Sequence[KeyedRecord], Offset]:
    """Decode an answer with records of a keyed topic.

    The answer starts with the end offset of the topic and the first retained offset, 8
    bytes each. Each record has 4 bytes with its length, 1 byte with the length of the
    key, the key and the value. If the answer is cut off within a record, the complete
    records before it are returned.

    Args:
        data: Body of the answer.
        start: Offset of the first record.

    Returns:
        The records and the end offset of the topic.

    Raises:
        struct.error: The answer ends before the first record.
        ValueError: The answer ends within the first record.
    """
    end, _first_retained = unpack_from(">QQ", data)
    bodies = list(split_records(data[HEADER_BYTES:]))
    if len(data) > HEADER_BYTES and not bodies:
        raise ValueError("the answer ends within its first record")
    records = [
        decode_record(body, Offset(start + index)) for index, body in enumerate(bodies)
    ]
    return records, Offset(end)


def split_records(data: bytes) -> Iterator[bytes]:
    """Yield the complete records of an answer, without their length prefixes."""
    position = 0
    while position + LENGTH_PREFIX_BYTES <= len(data):
        (length,) = unpack_from(">I", data, position)
        position += LENGTH_PREFIX_BYTES + length
        if position > len(data):
            return
        yield data[position - length : position]


def decode_record(body: bytes, offset: Offset) -> KeyedRecord:
    """Decode a record of a keyed topic; without a valid key it is marked as broken."""
    key_end = 1 + body[0] if body else 1
    key_bytes = body[1:key_end]
    if len(body) < key_end:
        return KeyedRecord(NO_KEY, b"", offset, "the record ends within its key")
    try:
        return KeyedRecord(key_bytes.decode(), body[key_end:], offset)
    except UnicodeDecodeError as error:
        key = key_bytes.decode(errors="backslashreplace")
        return KeyedRecord(key, b"", offset, str(error))
