"""HTTP client of the platform's store, an append-only log with keyed topics.

Reads the records of a topic, either all from an offset on or the newest of each key,
and appends records.
"""

from collections.abc import Callable, Iterator, Mapping
from struct import error as StructError
from typing import Any, NamedTuple
from urllib.parse import urlencode

from msgspec import DecodeError, Raw
from msgspec.json import decode

from ridgecourse.core.ids import (
    MAX_ERA,
    Offset,
    Seconds,
    era_of,
    index_of,
    make_offset,
)
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.net.record_follower import SLOW_TRANSFER_SECONDS
from ridgecourse.net.record_source import (
    AppendConflict,
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
    confirmed_at,
)
from ridgecourse.platform.names import (
    BLOCKED_TOPIC,
    DECISIONS_TOPIC,
    ERA_HEADER,
    LOG_APPEND_PATH,
    LOG_NEWEST_PATH,
    LOG_READ_PATH,
    PINNED_TOPIC,
    STARTS_TOPIC,
    TARGETS_TOPIC,
)
from ridgecourse.platform.record_encoding import (
    GoneAnswer,
    NewestPage,
    decode_item,
    decode_records,
    encode_record,
    find_next_key,
)

TOPIC_NAMES = {
    Topic.DECISIONS: DECISIONS_TOPIC,
    Topic.TARGETS: TARGETS_TOPIC,
    Topic.KEPT: PINNED_TOPIC,
    Topic.BLOCKED: BLOCKED_TOPIC,
    Topic.STARTS: STARTS_TOPIC,
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
MAX_ERA_DIGITS = 9


class ReceivedPage(NamedTuple):
    """A page of newest records as it was received.

    Attributes:
        items: The encoded records.
        end: Number of records of the topic.
        era: Era of the store.
        transfer_seconds: Transfer time of the page, in seconds.
    """

    items: list[Raw]
    end: int
    era: int
    transfer_seconds: float


class StoreAnswer(NamedTuple):
    """An answer of the store.

    Attributes:
        status: HTTP status.
        data: Body of the answer.
        era: Era of the store.
        transfer_seconds: Time from the first piece of the body to the last, in seconds.
    """

    status: int
    data: bytes
    era: int
    transfer_seconds: float = 0.0


class PlatformStore(RecordSource):
    """Client of the store.

    Attributes:
        address: HOST:PORT of the store.
        http: Client for the calls.
        calls: Number of calls so far. Each call has a cost.
        era: Highest era that an answer has named; 0 for none.
        copied_ends: End of each topic at its first full read in the latest era.
        last_piece_at: Time of the last piece of the answer in progress, by topic. After
            an answer with a long transfer, the entry stays for the next answer.
    """

    def __init__(self, address: str, http: HttpClient) -> None:
        self.address = address
        self.http = http
        self.calls = 0
        self.era = 0
        self.copied_ends: dict[Topic, Offset] = {}
        self.last_piece_at: dict[Topic, float] = {}

    def newest(self, topic: Topic) -> RecordBatch:
        """Return the newest record of each key; see ``RecordSource``."""
        asked_at = boottime()
        pages = list(self._newest_pages(topic))
        era = pages[0].era
        if any(page.era != era for page in pages):
            raise SourceUnavailable("the store returned from a copy between two pages")
        records = [
            decode_item(item, era, page.end) for page in pages for item in page.items
        ]
        transfer_seconds = sum(page.transfer_seconds for page in pages)
        # The pages are no snapshot. Reading continues at the end of the first page, so
        # that records appended since then are read again.
        end = make_offset(era, pages[0].end)
        read_at = Seconds(boottime() - transfer_seconds)
        copied_end = self.copied_ends.get(topic, Offset(0))
        if era_of(copied_end) < era:
            self.copied_ends[topic] = copied_end = end
        return RecordBatch(
            records,
            end,
            asked_at,
            transfer_seconds=transfer_seconds,
            read_at=read_at,
            copied_end=copied_end,
        )

    def _newest_pages(self, topic: Topic) -> Iterator[ReceivedPage]:
        """Yield the pages of the newest records.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """
        after_key = ""
        while True:
            query: dict[str, Any] = {"topic": TOPIC_NAMES[topic], "part": 0}
            if after_key:
                query["after_revision"] = after_key
            answer = self._receive(topic, LOG_NEWEST_PATH, query)
            if answer.status != 200:
                raise SourceUnavailable(f"status {answer.status}, expected 200")
            try:
                page = decode(answer.data, type=NewestPage)
            except (DecodeError, RecursionError) as error:
                raise SourceUnavailable(str(error)) from error
            yield ReceivedPage(
                page.items, page.end_offset, answer.era, answer.transfer_seconds
            )
            if not page.truncated or not page.items:
                return
            after_key = find_next_key(page, after_key)

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        """Return the records from an offset on; see ``RecordSource``."""
        query = {
            "topic": TOPIC_NAMES[topic],
            "part": 0,
            "from": index_of(start),
            "wait_ms": int(wait * 1000),
            "max_kb": MAX_READ_KB,
        }
        # Another process may have told of the era first.
        self.era = max(self.era, era_of(start))
        asked_at = boottime()
        answer = self._receive(topic, LOG_READ_PATH, query, wait)
        place = f"offset {index_of(start)} of era {era_of(start)}"
        if answer.status == 410:
            raise RecordsGone(
                f"{place}: status 410 in era {answer.era}",
                decode_first(answer, era_of(start)),
            )
        if answer.status != 200:
            raise SourceUnavailable(f"status {answer.status}, expected 200")
        if answer.era != era_of(start):
            raise RecordsGone(f"{place}: the store is in era {answer.era}")
        try:
            records, end = decode_records(answer.data, start)
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
        read_at = Seconds(now - answer.transfer_seconds)
        return RecordBatch(
            records,
            next_offset,
            confirmed,
            remaining_records=behind,
            transfer_seconds=answer.transfer_seconds,
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
            answer = self._call("GET", path, query, wait, on_piece=record_piece)
            transfer_seconds = (
                0.0 if first_piece_at is None else boottime() - first_piece_at
            )
        finally:
            # After a long transfer the time of the last piece stays: the next answer is
            # probably long as well. It is requested after a pause, in which other
            # processes use the link, and already counts as being received.
            if transfer_seconds < SLOW_TRANSFER_SECONDS:
                self.last_piece_at.pop(topic, None)
        return answer._replace(transfer_seconds=transfer_seconds)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        """Append a record; see ``RecordSource``."""
        query: dict[str, Any] = {"topic": TOPIC_NAMES[topic], "part": 0}
        if end is not None:
            query["current_rev"] = index_of(end)
        body = encode_record(key, value)
        answer = self._call("POST", LOG_APPEND_PATH, query, body=body)
        if end is not None and answer.era != era_of(end):
            # The end may be right by chance in the new era.
            raise AppendConflict(f"the store is in era {answer.era}")
        if answer.status == 412:
            raise AppendConflict(f"the topic does not end at offset {end}")
        if answer.status != 200:
            raise SourceUnavailable(f"status {answer.status}, expected 200")

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        wait: float = 0.0,
        body: bytes | None = None,
        on_piece: Callable[[], None] | None = None,
    ) -> StoreAnswer:
        """Call the store.

        Raises:
            SourceUnavailable: The store gave no answer, or the answer was on its way
                while the store returned from a copy.
        """
        self.calls += 1
        target = f"{path}?{urlencode(query)}"
        try:
            status, data, headers = self.http.fetch(
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
        era = parse_era(headers, self.era)
        if era < self.era:
            raise SourceUnavailable(f"an answer of era {era}, after one of {self.era}")
        self.era = era
        return StoreAnswer(status, data, era)


def decode_first(answer: StoreAnswer, era: int) -> Offset | None:
    """Return the first offset that the store still has of a topic.

    Args:
        answer: An answer that refuses earlier offsets.
        era: Era of the request.

    Returns:
        The offset; None if the answer does not tell, or is of another era.
    """
    if answer.era != era:
        return None
    try:
        return make_offset(era, decode(answer.data, type=GoneAnswer).first)
    except (DecodeError, RecursionError):
        return None


def parse_era(headers: Mapping[str, str], known: int) -> int:
    """Return the era that an answer names; the known one if it names none.

    Args:
        headers: Headers of the answer.
        known: The era that the last answer named.
    """
    names = {name.lower(): value.strip() for name, value in headers.items()}
    text = names.get(ERA_HEADER.lower(), "")
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS):
        return known
    era = int(text)
    return era if era <= MAX_ERA else known
