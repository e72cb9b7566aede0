"""Follows a topic of the store of the platform, also through outages of the store.

A follower that is behind skips to the newest record of each key, because only the
current state matters, and reads the skipped records later if it has to.
"""

from collections.abc import Callable
from random import random
from typing import NamedTuple

import eventlet
from msgspec.structs import replace

from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.core.read_tree import LinkYield, list_pause
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.record_source import (
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.net.threads import spawn_loop

FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.6
"""Longest pause between two retries while the store is unavailable. Soon after the
store is available again, a time limit of 2 s must hold."""

SLOW_TRANSFER_SECONDS = 0.1
"""Transfer time from which an answer counts as slow: it delays other processes, which
wait for the answer or for the link."""

MAX_AGE_BEFORE_WAIT_SECONDS = 0.55
"""Age of the confirmed data above which the next read does not wait. A record that
arrives late in a wait confirms only the state at its start. After one more wait and the
0.35 s of a slow store the data would be older than 1.4 s, and downstream processes
would avoid their reader, though the store has nothing newer."""

DECISION_WAIT_SECONDS = 0.4
"""Longest wait of one store read for a decision of an operator. A waiting read can miss
a record, and a lost connection is detected only at the end of the wait. Together with 2
times the 0.35 s of a slow store, the wait keeps the data fresh enough for downstream
readers. With 0.6 s, the 7 processes of a domain abandoned their upstream reader 65
times in 6 s."""
TARGETS_PAUSE_SECONDS = 0.6
"""Pause between two reads of the target list by the process that reads it for a domain:
heartbeats would end a waiting read 10 times a second. A leaving target may receive
requests for 2 s more. Downstream processes use waiting reads. If the upstream process
is frozen, they detect it 1.1 s after its last confirmation by the store, and then read
the store themselves."""


class ReadPace(NamedTuple):
    """Waits and pauses of the reads of a process, in seconds.

    Attributes:
        decision_wait: Longest wait of one read for a decision.
        targets_pause: Pause between two reads of the target list from the store.
        relay_pause: Pause between two reads of the target list from another process,
            which itself waits for new records before it answers.
    """

    decision_wait: float = DECISION_WAIT_SECONDS
    targets_pause: float = TARGETS_PAUSE_SECONDS
    relay_pause: float = 0.0


GATEWAY_PACE = ReadPace()


class SkippedRange(NamedTuple):
    """A range of records that were skipped and are still to be read.

    Attributes:
        start: Offset of the first record.
        end: Offset after the last record.
        earliest_written_at: Time before which none of the records was written.
    """

    start: Offset
    end: Offset
    earliest_written_at: Seconds


class RecordFollower:
    """Reads a topic, starting with its newest records.

    Attributes:
        source: Source of the records.
        topic: The topic to follow.
        wait: Longest wait of a read for a first record, in seconds.
        pause: Pause between two reads, in seconds.
        relay_pause: Pause after an answer of another process, which itself waits for
            new records; None to use ``pause``.
        apply_batch: Called with each batch, and with whether the batch is a full read
            of the newest record of each key.
        on_outage_end: Called after an outage of the store with its duration in seconds.
        events: The event stream of the process.
        reads_skipped: Whether skipped records are read later.
        skipped: Skipped records that are still to be read; None for none.
        offset: Offset of the next read; None to read the newest records.
        is_behind: Whether the topic grows faster than the follower can read it.
        known_end: End of the topic at the time of the last answer.
        unavailable_since: Time of the first failed read of the current outage; None
            while the store is available.
        confirmed_at: Last time at which the store confirmed that there is nothing
            newer; 0 for never.
        unconfirmed_seconds: Seconds from the confirmation before the last answer to the
            arrival of that answer: the largest possible age of a record in the answer.
        failures: Number of consecutive failed reads.
        link_yield: Decides for how long the link is left to others after an answer.
    """

    def __init__(
        self,
        source: RecordSource,
        topic: Topic,
        wait: float,
        pause: float,
        apply_batch: Callable[[RecordBatch, bool], None],
        on_outage_end: Callable[[float], None],
        events: EventStream,
        reads_skipped: bool = False,
        relay_pause: float | None = None,
    ) -> None:
        self.source = source
        self.topic = topic
        self.wait = wait
        self.pause = pause
        self.relay_pause = relay_pause
        self.apply_batch = apply_batch
        self.on_outage_end = on_outage_end
        self.events = events
        self.reads_skipped = reads_skipped
        self.skipped: SkippedRange | None = None
        self.offset: Offset | None = None
        self.is_behind = False
        self.known_end = 0
        self.unavailable_since: Seconds | None = None
        self.confirmed_at = Seconds(0.0)
        self.unconfirmed_seconds = 0.0
        self.failures = 0
        self.link_yield = LinkYield()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start reading."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop reading."""
        if self.thread is not None:
            self.thread.kill()
            self.thread = None

    def restart(self) -> None:
        """Restart, aborting a waiting read whose connection may be lost."""
        self.close()
        self.start()

    def _run(self) -> None:
        while True:
            try:
                batch, is_full_read = self._read()
            except RecordsGone as error:
                self.events.emit(
                    EventKind.RECORDS_GONE, topic=self.topic.value, error=str(error)
                )
                self.offset = None
                continue
            except SourceUnavailable as error:
                self._record_failure(error)
                eventlet.sleep(self._retry_wait())
                continue
            self._record_answer(batch)
            self._record_skipped(batch, is_full_read)
            if not batch.remaining_records:
                self.confirmed_at = max(self.confirmed_at, batch.confirmed_at)
            # A follower that is behind needs the current records, not all records in
            # between.
            self.is_behind = self._check_behind(batch, is_full_read)
            self.offset = None if self.is_behind else self._next_offset(batch)
            self.apply_batch(batch, is_full_read)
            if not is_full_read and not batch.records:
                self._read_skipped()
            eventlet.sleep(self._pause_after(batch))

    def _check_behind(self, batch: RecordBatch, is_full_read: bool) -> bool:
        """Check whether the topic has unread records, or grew during a slow full read.

        While many records arrive, reading each of them is wasted work: in a burst of
        large configurations, each record took as long as the current configuration.

        Args:
            batch: The last answer.
            is_full_read: Whether the answer has the newest record of each key.
        """
        end = batch.end + batch.remaining_records
        has_grown, self.known_end = end != self.known_end, end
        if is_full_read:
            return (
                self.is_behind
                and has_grown
                and batch.transfer_seconds >= SLOW_TRANSFER_SECONDS
            )
        return batch.remaining_records > 0

    def _pause_after(self, batch: RecordBatch) -> float:
        """Return the pause before the next read, in seconds.

        After slow transfers in a row the follower leaves the link to others for a
        while; see ``LinkYield``.
        """
        pause = list_pause(self.pause, boottime() - batch.confirmed_at)
        if self.is_behind:
            pause = 0.0
        elif batch.is_relayed:
            pause = self.pause if self.relay_pause is None else self.relay_pause
        link_yield = self.link_yield.record_transfer(batch.transfer_seconds, boottime())
        return max(pause, link_yield)

    def _record_skipped(self, batch: RecordBatch, is_full_read: bool) -> None:
        """Record the range of skipped records, up to the end of the newest records."""
        if is_full_read and self.skipped:
            self.skipped = self.skipped._replace(end=batch.end)
        if batch.skipped_from is not None and self.reads_skipped:
            start = self.skipped.start if self.skipped else batch.skipped_from
            self.skipped = SkippedRange(start, batch.end, self.confirmed_at)
        if batch.remaining_records and self.reads_skipped:
            end = Offset(batch.end + batch.remaining_records)
            skipped = self.skipped or SkippedRange(batch.end, end, self.confirmed_at)
            self.skipped = skipped._replace(end=end)

    def _read_skipped(self) -> None:
        """Read some skipped records while no new records arrive.

        A skipped record may have a higher revision than the newest record of its key.
        """
        if self.skipped is None:
            return
        try:
            batch = self.source.read(self.topic, self.skipped.start, 0.0)
        except RecordsGone as error:
            self.events.emit(
                EventKind.RECORDS_GONE, topic=self.topic.value, error=str(error)
            )
            self.skipped = None
            return
        except SourceUnavailable:
            # The read is repeated after the next read without new records.
            self.events.metrics.count("skipped_unread")
            return
        since = self.skipped.earliest_written_at
        is_caught_up = not batch.records or batch.end >= self.skipped.end
        self.skipped = None if is_caught_up else self.skipped._replace(start=batch.end)
        # The batch is marked as behind, because it does not show the current state.
        self.apply_batch(
            replace(batch, remaining_records=1, earliest_written_at=since), False
        )

    def _next_offset(self, batch: RecordBatch) -> Offset:
        return batch.end if self.offset is None else max(self.offset, batch.end)

    def _read(self) -> tuple[RecordBatch, bool]:
        if self.offset is None:
            return self.source.newest(self.topic), True
        # A waiting read would report only at its end that the store is available again,
        # or that nothing is newer than an answer with a slow transfer.
        is_old = boottime() - self.confirmed_at > MAX_AGE_BEFORE_WAIT_SECONDS
        wait = 0.0 if is_old or self.unavailable_since is not None else self.wait
        return self.source.read(self.topic, self.offset, wait), False

    def _retry_wait(self) -> float:
        wait = FIRST_RETRY_SECONDS * 2.0 ** min(self.failures, 8)
        return min(MAX_RETRY_SECONDS, wait) * (0.5 + random() / 2)

    def _record_failure(self, error: SourceUnavailable) -> None:
        self.failures += 1
        self.events.metrics.count(f"read_failed_{self.topic.value}")
        if self.unavailable_since is None:
            self.unavailable_since = boottime()
            self.events.emit(
                EventKind.LOG_LOST, topic=self.topic.value, error=str(error)
            )

    def _record_answer(self, batch: RecordBatch) -> None:
        self.failures = 0
        now = boottime()
        self.unconfirmed_seconds = now - self.confirmed_at if self.confirmed_at else 0.0
        if self.unavailable_since is not None:
            outage_seconds = now - self.unavailable_since
            self.unavailable_since = None
            self.on_outage_end(outage_seconds)
