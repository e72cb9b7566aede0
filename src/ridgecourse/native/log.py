"""Client of the platform's log service.

Its protocol: streams of records with consecutive offsets. ``POST
/streams/NAME/records`` with a CBOR list of byte strings appends and answers
``{"first": OFFSET}``; ``GET /streams/NAME/records?from=&wait_ms=&limit=`` reads
and answers ``{"earliest", "next", "records"}``, or 410 with the same keys where
the offset is past retention.
"""

from enum import Enum
from typing import NamedTuple

import cbor2
from msgspec import Struct
from returns.result import Failure

from ridgecourse.core.ids import Offset
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.wire.codec import decode_message

MAX_BATCH_BYTES = 64 * 1024 * 1024
READ_LIMIT = 500
"""Records asked for at a time."""
READ_GRACE_SECONDS = 1.5
"""How much longer than asked a long poll may take before it counts as lost."""


class Stream(Enum):
    """The system's streams in the log."""

    CONFIG = "config"
    CHECKPOINTS = "checkpoints"
    CLAIMS = "claims"
    LEASES = "leases"


class LogUnavailable(Exception):
    """The log gave no usable answer; an append may have taken effect."""


class AppendReply(Struct, frozen=True):
    """Answer to an append."""

    first: int


class ReadReply(Struct, frozen=True):
    """Answer to a read."""

    earliest: int
    next: int
    records: list[bytes]


class LogBatch(NamedTuple):
    """Records read from a stream.

    Attributes:
        first: Offset of the first record.
        records: Their bytes.
        earliest: Oldest offset that the log still keeps.
        next: Offset that the next append will get.
        truncated: Whether the offset asked for is past retention.
    """

    first: Offset
    records: list[bytes]
    earliest: Offset
    next: Offset
    truncated: bool


class LogClient:
    """Appends to and reads from the log.

    Attributes:
        address: HOST:PORT of the service.
        seconds: Longest wait for an answer.
        exchanges: Requests sent so far.
        moved: Bytes of their bodies, both ways.
    """

    def __init__(self, address: str, http: HttpClient, seconds: float = 2.0) -> None:
        self.address = address
        self.http = http
        self.seconds = seconds
        self.exchanges = 0
        self.moved = 0

    def append(self, stream: Stream, records: list[bytes]) -> Offset:
        """Append records and return the offset of the first one.

        Raises:
            LogUnavailable: There was no answer; the records may be in the log.
        """
        path = f"/streams/{stream.value}/records"
        data = self._exchange("POST", path, cbor2.dumps(records), self.seconds)[1]
        decoded = decode_message(data, AppendReply)
        if isinstance(decoded, Failure):
            raise LogUnavailable(str(decoded.failure()))
        return Offset(decoded.unwrap().first)

    def read(
        self,
        stream: Stream,
        start: int,
        wait: float = 0.0,
        limit: int = READ_LIMIT,
    ) -> LogBatch:
        """Return records from an offset on.

        Args:
            stream: What to read.
            start: First offset wanted.
            wait: Longest time in seconds to wait for a record to come.
            limit: Most records wanted.

        Raises:
            LogUnavailable: There was no usable answer.
        """
        query = f"from={start}&wait_ms={int(wait * 1000)}&limit={limit}"
        path = f"/streams/{stream.value}/records?{query}"
        timeout = wait + max(READ_GRACE_SECONDS, self.seconds)
        status, data = self._exchange("GET", path, None, timeout)
        decoded = decode_message(data, ReadReply)
        if isinstance(decoded, Failure):
            raise LogUnavailable(str(decoded.failure()))
        reply = decoded.unwrap()
        return LogBatch(
            Offset(start),
            reply.records,
            Offset(reply.earliest),
            Offset(reply.next),
            truncated=status == 410,
        )

    def last(self, stream: Stream) -> bytes | None:
        """Return a stream's newest record, None if it has none.

        Raises:
            LogUnavailable: There was no usable answer.
        """
        end = self.read(stream, 0, limit=1).next
        if end == 0:
            return None
        batch = self.read(stream, end - 1, limit=1)
        return batch.records[0] if batch.records else None

    def _exchange(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> tuple[int, bytes]:
        try:
            status, data, _ = self.http.fetch(
                method, self.address, path, body, timeout=timeout, limit=MAX_BATCH_BYTES
            )
        except (NoConnection, ExchangeFailed) as error:
            raise LogUnavailable(str(error)) from error
        self.exchanges += 1
        self.moved += len(body or b"") + len(data)
        if status not in (200, 410):
            raise LogUnavailable(f"status {status}")
        return status, data
