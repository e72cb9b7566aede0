"""Follows a topic of the platform's store through its outages."""

from collections.abc import Callable
from random import random
from typing import NamedTuple

import eventlet
from msgspec.structs import replace

from ridgecourse.core.ids import Offset, Seconds
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
LONGEST_RETRY_SECONDS = 0.6
"""Between two tries while the store is away; a bound of two seconds must hold
soon after it is back."""

LONGEST_YIELD_SECONDS = 1.0
"""For which a link is left to others at most. Where answers take that long, decisions
are to be in force in 3 s and more."""

LONG_ANSWER_SECONDS = 0.1
"""From which on the way of an answer matters: others wait for it or for their link."""

LATE_ANSWER_SECONDS = 0.8
"""Age of what was heard from which on the next read does not wait: those who read from
here would take it for out of date, though nothing is newer."""

DECISION_WAIT_SECONDS = 0.4
"""Longest wait of one read of the store for an operator's decision. A waiting read can
miss a record, and a connection that died unseen is noticed only after it. With twice a
slow store's 0.35 s it leaves what is heard fresh enough for others to rely on; with
0.6 s a domain of seven processes left its reader 65 times in 6 s."""
TARGETS_PAUSE_SECONDS = 0.6
"""Between two reads of the list by the one that reads it for a domain: heartbeats would
end a waiting read ten times a second. A leaving target may get requests for 2 s more.
Those below ask with a wait; if the one above is frozen they notice it 1.1 s after it
last heard of the store, and read it themselves then."""


class ReadPace(NamedTuple):
    """How often a process reads, in seconds.

    Attributes:
        decision_wait: Longest wait of one read for a decision.
        targets_pause: Between two reads of the list of targets from the store.
        told_pause: The same from another process, which waits for news itself.
    """

    decision_wait: float = DECISION_WAIT_SECONDS
    targets_pause: float = TARGETS_PAUSE_SECONDS
    told_pause: float = 0.0


GATEWAY_PACE = ReadPace()


class SkippedRange(NamedTuple):
    """Records that were passed over.

    Attributes:
        start: Offset of the first.
        end: Offset behind the last.
        since: Before when none of them was written.
    """

    start: Offset
    end: Offset
    since: Seconds


class RecordFollower:
    """Reads a topic from its newest records on.

    Attributes:
        misses_none: Whether records that were passed over are read later.
        skipped: Those that are still to be read.
        topic: What is followed.
        wait: Longest wait of a read for a first record, in seconds.
        pause: Between two reads, in seconds.
        told_pause: The same after an answer of another process, which waits for news
            itself; None for the same.
        offset: Where to read next; None before the first read.
        behind: Whether the topic grows faster than it can be read.
        known_end: End of the topic, as far as the last answer told.
        lost_since: When the store could last be read, while it cannot.
        heard_at: When the store last told that there is nothing newer; 0 for never.
        unheard: Seconds between that and when the last answer was there: a record of
            that answer may be that old.
    """

    def __init__(
        self,
        source: RecordSource,
        topic: Topic,
        wait: float,
        pause: float,
        take: Callable[[RecordBatch, bool], None],
        outage_ended: Callable[[float], None],
        events: EventStream,
        misses_none: bool = False,
        told_pause: float | None = None,
    ) -> None:
        self.source = source
        self.topic = topic
        self.wait = wait
        self.pause = pause
        self.told_pause = told_pause
        self.take = take
        self.outage_ended = outage_ended
        self.events = events
        self.misses_none = misses_none
        self.skipped: SkippedRange | None = None
        self.offset: Offset | None = None
        self.behind = False
        self.known_end = 0
        self.lost_since: Seconds | None = None
        self.heard_at = Seconds(0.0)
        self.unheard = 0.0
        self.failures = 0
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to read."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop reading."""
        if self.thread is not None:
            self.thread.kill()
            self.thread = None

    def restart(self) -> None:
        """Give up a read that waits: its connection may have died unseen."""
        self.close()
        self.start()

    def _run(self) -> None:
        while True:
            try:
                batch, whole = self._read()
            except RecordsGone as error:
                self.events.emit(
                    EventKind.RECORDS_GONE, topic=self.topic.value, error=str(error)
                )
                self.offset = None
                continue
            except SourceUnavailable as error:
                self._note_loss(error)
                eventlet.sleep(self._retry_wait())
                continue
            self._note_answer(batch)
            self._note_skipped(batch, whole)
            if not batch.behind:
                self.heard_at = max(self.heard_at, batch.heard_at)
            # Who is behind needs what holds now, not all that held in between.
            self.behind = self._is_behind(batch, whole)
            self.offset = None if self.behind else self._next_offset(batch)
            self.take(batch, whole)
            if not whole and not batch.records:
                self._read_skipped()
            eventlet.sleep(self._pause_after(batch))

    def _is_behind(self, batch: RecordBatch, whole: bool) -> bool:
        """Tell whether there is more than was read, or was still coming just now.

        A record that is one of many to come is read for nothing: in a storm of large
        configurations each took as long as what holds did.
        """
        end = batch.end + batch.behind
        moved, self.known_end = end != self.known_end, end
        if whole:
            return self.behind and moved and batch.took >= LONG_ANSWER_SECONDS
        return batch.behind > 0

    def _pause_after(self, batch: RecordBatch) -> float:
        """Return how long to wait before the next read.

        A link that answers take long to cross is left to others for as long as the
        last one took: in a storm of large configurations a reader filled it alone.
        """
        pause = self.pause
        if self.behind:
            pause = 0.0
        elif batch.told and self.told_pause is not None:
            pause = self.told_pause
        return max(pause, min(LONGEST_YIELD_SECONDS, batch.took))

    def _note_skipped(self, batch: RecordBatch, whole: bool) -> None:
        """Note what is passed over: up to where the newest records were read."""
        if whole and self.skipped:
            self.skipped = self.skipped._replace(end=batch.end)
        if batch.passed_from is not None and self.misses_none:
            start = self.skipped.start if self.skipped else batch.passed_from
            self.skipped = SkippedRange(start, batch.end, self.heard_at)
        if batch.behind and self.misses_none:
            end = Offset(batch.end + batch.behind)
            skipped = self.skipped or SkippedRange(batch.end, end, self.heard_at)
            self.skipped = skipped._replace(end=end)

    def _read_skipped(self) -> None:
        """Read some of what was passed over, now that nothing new comes.

        A record passed over may be a higher revision than the newest of its key.
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
            # Asked for again after the next read that brings nothing new.
            self.events.figures.count("skipped_unread")
            return
        since = self.skipped.since
        past = not batch.records or batch.end >= self.skipped.end
        self.skipped = None if past else self.skipped._replace(start=batch.end)
        # Taken as behind, for it tells nothing of what holds now.
        self.take(replace(batch, behind=1, since=since), False)

    def _next_offset(self, batch: RecordBatch) -> Offset:
        return batch.end if self.offset is None else max(self.offset, batch.end)

    def _read(self) -> tuple[RecordBatch, bool]:
        if self.offset is None:
            return self.source.newest(self.topic), True
        # A read that waits would tell only at its end that the store is back, or that
        # nothing is newer than what was long on its way.
        late = boottime() - self.heard_at > LATE_ANSWER_SECONDS
        wait = 0.0 if late or self.lost_since is not None else self.wait
        return self.source.read(self.topic, self.offset, wait), False

    def _retry_wait(self) -> float:
        wait = FIRST_RETRY_SECONDS * 2.0 ** min(self.failures, 8)
        return min(LONGEST_RETRY_SECONDS, wait) * (0.5 + random() / 2)

    def _note_loss(self, error: SourceUnavailable) -> None:
        self.failures += 1
        self.events.figures.count(f"read_failed_{self.topic.value}")
        if self.lost_since is None:
            self.lost_since = boottime()
            self.events.emit(
                EventKind.LOG_LOST, topic=self.topic.value, error=str(error)
            )

    def _note_answer(self, batch: RecordBatch) -> None:
        self.failures = 0
        now = boottime()
        self.unheard = now - self.heard_at if self.heard_at else 0.0
        if self.lost_since is not None:
            away = now - self.lost_since
            self.lost_since = None
            self.outage_ended(away)
