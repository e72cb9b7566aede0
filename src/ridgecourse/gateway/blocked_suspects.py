"""Persist blocked suspects in the platform's store.

A gateway that starts reads them from there if no other gateway knows them.
"""

from collections.abc import Iterable, Iterator
from random import random
from time import time

import eventlet
from msgspec import Struct
from returns.result import Failure

from ridgecourse.core.crash_reports import (
    CrashReport,
)
from ridgecourse.core.ids import Signature
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    AppendConflict,
    KeyedRecord,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.net.threads import Broadcast, spawn_loop
from ridgecourse.wire.codec import decode_message, encode_message

RETRY_SECONDS = 0.5


class StoredBlock(Struct, frozen=True, forbid_unknown_fields=True):
    """Stored record of a blocked suspect.

    Attributes:
        news: Crash report on the suspect.
        written_at: Time of the write in seconds since 1970, by the writer's clock.
    """

    news: CrashReport
    written_at: float


class BlockedSuspectStore:
    """Writes and reads the records of blocked suspects.

    Attributes:
        store: The platform's store.
        events: Receives events and metrics.
        pending: Records still to be written, by key; an empty value removes the record.
        changed: Notified when a record is added to ``pending``.
        thread: Thread that writes pending records.
    """

    def __init__(self, store: RecordSource, events: EventStream) -> None:
        self.store = store
        self.events = events
        self.pending: dict[str, bytes] = {}
        self.changed = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the thread that writes pending records."""
        self.thread = spawn_loop(self._write_pending)

    def close(self) -> None:
        """Stop the thread that writes pending records."""
        if self.thread is not None:
            self.thread.kill()

    def add(self, news: CrashReport) -> None:
        """Schedule the record of a blocked suspect to be written.

        Failed writes are retried until the store accepts the record.
        """
        record = StoredBlock(news, time())
        self._put(news.signature, encode_message(record))

    def remove(self, signature: Signature) -> None:
        """Schedule the record of a suspect that was unblocked to be removed."""
        self._put(signature, b"")

    def _put(self, signature: Signature, value: bytes) -> None:
        self.pending[signature.hex()] = value
        self.changed.notify()

    def read(self) -> list[CrashReport]:
        """Return the crash reports of the blocked suspects in the store.

        Their ages include the time since they were written.

        Raises:
            SourceUnavailable: The store gave no usable answer.
        """
        return list(self._decode(self.store.newest(Topic.BLOCKED).records))

    def _decode(self, records: Iterable[KeyedRecord]) -> Iterator[CrashReport]:
        for record in records:
            decoded = decode_message(record.value, StoredBlock)
            if isinstance(decoded, Failure):
                error = f"{record.key}: {decoded.failure()}"
                self.events.emit(EventKind.BAD_INPUT, error=error)
                continue
            stored: StoredBlock = decoded.unwrap()
            yield stored.news.with_added_age(max(0.0, time() - stored.written_at))

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
        except AppendConflict:
            self.events.metrics.count("blocked_elsewhere")
        else:
            if self.pending.get(key) == value:
                del self.pending[key]
