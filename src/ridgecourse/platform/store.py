"""The platform's store: an append-only log with keyed topics, over HTTP."""

from base64 import b64decode
from collections.abc import Callable, Iterator, Sequence
from struct import error as StructError
from struct import pack, unpack_from
from typing import Annotated, Any, NamedTuple
from urllib.parse import urlencode

from msgspec import DecodeError, Meta, Raw, Struct, field
from msgspec.json import decode

from ridgecourse.core.hearing import heard_at
from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.record_follower import LONG_ANSWER_SECONDS
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
    TopicGrown,
)
from ridgecourse.platform.names import (
    BLOCKED_TOPIC,
    DECISIONS_TOPIC,
    KEPT_TOPIC,
    LOG_APPEND_PATH,
    LOG_NEWEST_PATH,
    LOG_READ_PATH,
    TARGETS_TOPIC,
)

TOPICS = {
    Topic.DECISIONS: DECISIONS_TOPIC,
    Topic.TARGETS: TARGETS_TOPIC,
    Topic.KEPT: KEPT_TOPIC,
    Topic.BLOCKED: BLOCKED_TOPIC,
}
ANSWER_SECONDS = 1.0
"""Longest wait for an answer beyond a requested one: the store answers in 4 ms,
in some hundred when slow."""
RECEIVING_SECONDS = 0.7
"""Since a piece of 16 KB of an answer came, within which more is expected: so slow a
link brings 23 KB a second."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_READ_KB = 128
"""Records in one answer: some configurations, or the heartbeats of many seconds. Who
is further behind reads the newest record of each key, which takes less."""
NO_KEY = ""
"""Key of records whose own cannot be told; nothing has it."""
HEAD_BYTES = 16
"""Bytes of an answer before its first record."""
LENGTH_BYTES = 4
"""Bytes that tell a record's length."""


class ItemKey(Struct):
    """The key of a record, whatever else stands beside it."""

    key: str = field(name="key_file")


class NewestItem(Struct):
    """The newest record of a key.

    Attributes:
        key: The key; the platform calls it a file, which it is not.
        value: The record's value in base64.
        offset: Its position.
    """

    key: str = field(name="key_file")
    value: str
    offset: Annotated[int, Meta(ge=0)]


class NewestPage(Struct):
    """A page of newest records.

    Attributes:
        items: The records, each read apart: one that cannot be leaves the others.
        end_offset: End of the topic.
        truncated: Whether there are more.
    """

    items: list[Raw]
    end_offset: int
    truncated: bool = False


class StoreAnswer(NamedTuple):
    """An answer of the store.

    Attributes:
        status: Its status.
        data: Its body.
        took: Seconds from the first piece of the body to the last.
    """

    status: int
    data: bytes
    took: float


class PlatformStore(RecordSource):
    """Client of the store.

    Attributes:
        address: HOST:PORT.
        calls: Calls made so far; each has a price.
        received_at: When a piece of the answer in progress came, by topic.
    """

    def __init__(self, address: str, http: HttpClient) -> None:
        self.address = address
        self.http = http
        self.calls = 0
        self.received_at: dict[Topic, float] = {}

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key; see ``RecordSource``."""
        asked = boottime()
        pages = list(self._newest_pages(topic))
        records = [
            read_item(item, page.end_offset) for page, _ in pages for item in page.items
        ]
        took = sum(took for _, took in pages)
        # The pages are no snapshot: what changed meanwhile is read again.
        end = Offset(pages[0][0].end_offset)
        read_at = Seconds(boottime() - took)
        return RecordBatch(records, end, asked, took=took, read_at=read_at)

    def _newest_pages(self, topic: Topic) -> Iterator[tuple[NewestPage, float]]:
        """Yield the pages, and the seconds for which each was on its way."""
        after = ""
        while True:
            query: dict[str, Any] = {"topic": TOPICS[topic], "part": 0}
            if after:
                query["after_revision"] = after
            status, data, took = self._receive(topic, LOG_NEWEST_PATH, query)
            if status != 200:
                raise SourceUnavailable(f"status {status}")
            try:
                page = decode(data, type=NewestPage)
            except (DecodeError, RecursionError) as error:
                raise SourceUnavailable(str(error)) from error
            yield page, took
            if not page.truncated or not page.items:
                return
            after = find_next_key(page, after)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return records from an offset on; see ``RecordSource``."""
        query = {
            "topic": TOPICS[topic],
            "part": 0,
            "from": start,
            "wait_ms": int(wait * 1000),
            "max_kb": MAX_READ_KB,
        }
        asked = boottime()
        status, data, took = self._receive(topic, LOG_READ_PATH, query, wait)
        if status == 410:
            raise RecordsGone(f"from {start}")
        if status != 200:
            raise SourceUnavailable(f"status {status}")
        try:
            records, end = decode_records(data, start)
        except (StructError, ValueError) as error:
            raise SourceUnavailable(f"no records: {error}") from error
        now = boottime()
        heard = heard_at(asked, now, wait, not records)
        past = Offset(start + len(records)) if records else Offset(max(start, end))
        behind = max(0, end - past)
        read_at = Seconds(now - took)
        return RecordBatch(
            records, past, heard, behind=behind, took=took, read_at=read_at
        )

    def is_receiving(self, topic: Topic) -> bool:
        """Tell whether an answer is on its way here; see ``RecordSource``."""
        received_at = self.received_at.get(topic)
        return received_at is not None and boottime() - received_at < RECEIVING_SECONDS

    def _receive(
        self, topic: Topic, path: str, query: dict[str, Any], wait: float = 0.0
    ) -> StoreAnswer:
        """Read from a topic, and note what comes of the answer meanwhile."""
        began_at = None

        def note() -> None:
            nonlocal began_at
            self.received_at[topic] = boottime()
            began_at = began_at or boottime()

        took = 0.0
        try:
            status, data = self._call("GET", path, query, wait, on_piece=note)
            took = 0.0 if began_at is None else boottime() - began_at
        finally:
            # The next long one, after a pause for others, counts as on its way already.
            if took < LONG_ANSWER_SECONDS:
                self.received_at.pop(topic, None)
        return StoreAnswer(status, data, took)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset) -> None:
        """Write a record; see ``RecordSource``."""
        query = {"topic": TOPICS[topic], "part": 0, "current_rev": end}
        body = encode_record(key, value)
        status, _ = self._call("POST", LOG_APPEND_PATH, query, body=body)
        if status == 412:
            raise TopicGrown(f"not at {end}")
        if status != 200:
            raise SourceUnavailable(f"status {status}")

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
                timeout=wait + ANSWER_SECONDS,
                limit=MAX_ANSWER_BYTES,
                on_piece=on_piece,
            )
        except (NoConnection, ExchangeFailed) as error:
            raise SourceUnavailable(str(error)) from error
        return status, data


def encode_record(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic."""
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return pack(">I", len(record)) + record


def find_next_key(page: NewestPage, after: str) -> str:
    """Return the key after which the next page begins.

    Raises:
        SourceUnavailable: The page names none beyond the one that it began after.
    """
    for item in reversed(page.items):
        key = read_key(item)
        if key not in (NO_KEY, after):
            return key
    raise SourceUnavailable("a page without a key to go on from")


def read_item(item: Raw, end: int) -> KeyedRecord:
    """Return a record of a page of newest records.

    Args:
        item: The record as it stands in the page.
        end: The topic's end as the page tells it. A record that cannot be read is
            taken for the last before it: that replaces what was known of its key, and
            whatever is written next replaces it.
    """
    try:
        fields = decode(item, type=NewestItem)
        value = b64decode(fields.value, validate=True)
    except (ValueError, RecursionError) as error:
        return KeyedRecord(read_key(item), b"", Offset(max(0, end - 1)), str(error))
    return KeyedRecord(fields.key, value, Offset(fields.offset))


def read_key(item: Raw) -> str:
    """Return the key of a record of a page, ``NO_KEY`` where it has none."""
    try:
        return decode(item, type=ItemKey).key
    except (DecodeError, RecursionError):
        return NO_KEY


def decode_records(data: bytes, start: Offset) -> tuple[Sequence[KeyedRecord], Offset]:
    """Return the records of a keyed topic, and its end.

    The bytes are the end of the topic and the first offset kept, 8 bytes each,
    then records: 4 bytes of length, 1 byte of the key's length, key, value. Of an
    answer that breaks off, the whole records are returned.

    Raises:
        struct.error: The bytes end before the first record.
        ValueError: They end within it.
    """
    end, _first_kept = unpack_from(">QQ", data)
    bodies = list(split_records(data[HEAD_BYTES:]))
    if len(data) > HEAD_BYTES and not bodies:
        raise ValueError("the answer ends within its first record")
    records = [
        read_record(body, Offset(start + index)) for index, body in enumerate(bodies)
    ]
    return records, Offset(end)


def split_records(data: bytes) -> Iterator[bytes]:
    """Yield the whole records of an answer, without their lengths."""
    position = 0
    while position + LENGTH_BYTES <= len(data):
        (length,) = unpack_from(">I", data, position)
        position += LENGTH_BYTES + length
        if position > len(data):
            return
        yield data[position - length : position]


def read_record(body: bytes, offset: Offset) -> KeyedRecord:
    """Return a record of a keyed topic, marked as broken where it has no key."""
    key_end = 1 + body[0] if body else 1
    name = body[1:key_end]
    if len(body) < key_end:
        return KeyedRecord(NO_KEY, b"", offset, "the record ends within its key")
    try:
        return KeyedRecord(name.decode(), body[key_end:], offset)
    except UnicodeDecodeError as error:
        key = name.decode(errors="backslashreplace")
        return KeyedRecord(key, b"", offset, str(error))
