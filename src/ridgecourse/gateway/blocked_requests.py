"""Blocked requests in the platform's store, for a time when no gateway knows them."""

from collections.abc import Iterable, Iterator
from random import random
from time import time

import eventlet
from msgspec import Struct
from returns.result import Failure

from ridgecourse.core.ids import RequestSignature
from ridgecourse.core.suspect import (
    SuspectNews,
)
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordSource,
    SourceUnavailable,
    Topic,
    TopicGrown,
)
from ridgecourse.net.threads import spawn_loop
from ridgecourse.wire.codec import decode_message, encode_message

RETRY_SECONDS = 0.5


class StoredBlock(Struct, frozen=True, forbid_unknown_fields=True):
    """The record of a blocked request.

    Attributes:
        news: What was known of it.
        written_at: When, in seconds since 1970 by the writer's clock.
    """

    news: SuspectNews
    written_at: float


class BlockedRequests:
    """Writes and reads the records.

    Attributes:
        store: The platform's store.
        pending: Records still to be written, by key.
    """

    def __init__(self, store: RecordSource, events: EventStream) -> None:
        self.store = store
        self.events = events
        self.pending: dict[str, bytes] = {}
        self.changed = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to write."""
        self.thread = spawn_loop(self._write_pending)

    def close(self) -> None:
        """Stop."""
        if self.thread is not None:
            self.thread.kill()

    def keep(self, news: SuspectNews) -> None:
        """Write a request that is blocked, as soon as the store takes it."""
        record = StoredBlock(news, time())
        self._put(news.signature, encode_message(record))

    def drop(self, signature: RequestSignature) -> None:
        """Remove a request that is no longer blocked."""
        self._put(signature, b"")

    def _put(self, signature: RequestSignature, value: bytes) -> None:
        self.pending[signature.hex()] = value
        self.changed.notify()

    def read(self) -> list[SuspectNews]:
        """Return the requests that were blocked.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """
        return list(self._decode(self.store.newest(Topic.BLOCKED).records))

    def _decode(self, records: Iterable[KeyedRecord]) -> Iterator[SuspectNews]:
        for record in records:
            decoded = decode_message(record.value, StoredBlock)
            if isinstance(decoded, Failure):
                error = f"{record.key}: {decoded.failure()}"
                self.events.emit(EventKind.BAD_INPUT, error=error)
                continue
            stored: StoredBlock = decoded.unwrap()
            yield stored.news.older(max(0.0, time() - stored.written_at))

    def _write_pending(self) -> None:
        while True:
            if not self.pending:
                self.changed.wait()
            for key, value in list(self.pending.items()):
                self._try_write(key, value)
            if self.pending:
                eventlet.sleep(RETRY_SECONDS * (0.5 + random()))

    def _try_write(self, key: str, value: bytes) -> None:
        try:
            end = self.store.newest(Topic.BLOCKED).end
            self.store.append(Topic.BLOCKED, key, value, end)
        except SourceUnavailable as error:
            self.events.emit(EventKind.LOG_LOST, topic="blocked", error=str(error))
        except TopicGrown:
            self.events.figures.count("blocked_elsewhere")
        else:
            if self.pending.get(key) == value:
                del self.pending[key]
