"""HTTP client for the platform's log service.

The log consists of streams of records with consecutive offsets. ``POST
/streams/NAME/records`` with a CBOR list of byte strings appends records and returns
``{"first": OFFSET}``. ``GET /streams/NAME/records?from=&wait_ms=&limit=`` reads
records and returns ``{"earliest", "next", "records"}``; the status is 410, with the
same keys, if the requested offset has passed out of retention.
"""

from enum import Enum
from typing import NamedTuple

import cbor2
from msgspec import Struct
from returns.result import Failure

from ridgecourse.core.ids import Offset
from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.wire.codec import decode_message

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Maximum length of a response body, in bytes."""
DEFAULT_READ_LIMIT = 500
"""Default maximum number of records per read."""
READ_GRACE_SECONDS = 1.5
"""Time, in seconds, by which a long poll may exceed its wait before it times out."""


class Stream(Enum):
    """Streams of the log that the system uses."""

    CONFIG = "config"
    CHECKPOINTS = "checkpoints"
    CLAIMS = "claims"
    LEASES = "leases"


class LogUnavailable(Exception):
    """The log returned no valid response; an append may have taken effect."""


class AppendReply(Struct, frozen=True):
    """Response to an append.

    Attributes:
        first: Offset of the first appended record.
    """

    first: int


class ReadReply(Struct, frozen=True):
    """Response to a read.

    Attributes:
        earliest: Oldest retained offset.
        next: Offset that the next append will get.
        records: Encoded records.
    """

    earliest: int
    next: int
    records: list[bytes]


class LogBatch(NamedTuple):
    """Records read from a stream.

    Attributes:
        first: Offset that was requested.
        records: Encoded records, starting at that offset.
        earliest: Oldest retained offset.
        next: Offset that the next append will get.
        truncated: Whether the requested offset has passed out of retention.
    """

    first: Offset
    records: list[bytes]
    earliest: Offset
    next: Offset
    truncated: bool


class LogClient:
    """Appends to and reads from the log.

    Attributes:
        address: HOST:PORT of the log service.
        http: HTTP client that carries the exchanges.
        seconds: Timeout of an exchange.
        exchanges: Number of completed exchanges.
        bytes_transferred: Total length of the request and response bodies, in bytes.
    """

    def __init__(self, address: str, http: HttpClient, seconds: float = 2.0) -> None:
        self.address = address
        self.http = http
        self.seconds = seconds
        self.exchanges = 0
        self.bytes_transferred = 0

    def append(self, stream: Stream, records: list[bytes]) -> Offset:
        """Append records and return the offset of the first one.

        Raises:
            LogUnavailable: There was no valid response; the records may have been
                appended.
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
        limit: int = DEFAULT_READ_LIMIT,
    ) -> LogBatch:
        """Return the records of a stream from an offset onwards.

        Args:
            stream: Stream to read.
            start: Offset of the first record to return.
            wait: Maximum time to wait for a record, in seconds.
            limit: Maximum number of records.

        Raises:
            LogUnavailable: There was no valid response.
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

    def read_newest(self, stream: Stream) -> bytes | None:
        """Return the newest record of a stream, or None if the stream is empty.

        Raises:
            LogUnavailable: There was no valid response.
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
                method,
                self.address,
                path,
                body,
                timeout=timeout,
                limit=MAX_RESPONSE_BYTES,
            )
        except (NoConnection, ExchangeFailed) as error:
            raise LogUnavailable(str(error)) from error
        self.exchanges += 1
        self.bytes_transferred += len(body or b"") + len(data)
        if status not in (200, 410):
            raise LogUnavailable(f"status {status}")
        return status, data
