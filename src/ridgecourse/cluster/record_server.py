"""Serves the records of the platform's store to other processes."""

from collections.abc import Callable, Collection, Iterable, Sequence
from math import isfinite
from zlib import MAX_WBITS, compress

from msgspec import Struct
from msgspec.structs import replace

from ridgecourse.core.ids import Offset, Seconds, era_of
from ridgecourse.core.missed_records import MissedRecords
from ridgecourse.core.weights import VersionAge
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.net.threads import Broadcast
from ridgecourse.wire.codec import encode_message

RECORDS_PATH = "/records/"
WAIT_PARAMETER = "wait"
AGE_PARAMETER = "age"
"""Age in seconds of the data that the asking process has."""
MAX_WAIT_SECONDS = 2.0
STALE_SECONDS = 1.4
"""Age from which a process does not rely on another process's records. It then reads
the store itself, and a decision is still in force in less than the 2 s allowed. If the
store takes 0.35 s to answer, records of other processes are up to 1.1 s old."""
CONFIRMATION_TOLERANCE_SECONDS = 0.2
"""Difference of two ages from which the data of this process were confirmed later. The
asking process counts the network delay as age."""
MAX_REMOVED_KEYS = 1000
"""Most removed keys, and most rejected keys, that are still served: far more than the
targets that leave during an outage."""
LATE_RECORD_SECONDS = 3.0
"""How long a decision that was found late is served to all processes, whatever offset
they ask from. Each process asks several times in that time."""
COMPRESSION_THRESHOLD_BYTES = 4096
"""Answers of this size or more are compressed. Compression shrinks a configuration of
54 KB to a tenth, on links of loaders that carry 450 KB/s."""
COMPRESSION_LEVEL = 1
GZIP_WINDOW_BITS = MAX_WBITS + 16
"""Makes ``zlib`` write the gzip format; importing the gzip module takes longer."""


class RecordsResponse(Struct, frozen=True):
    """The answer to a process that asks for records.

    Attributes:
        records: The newest record of each key, from the requested offset on.
        end: Offset at which the answering process reads next.
        age: Seconds since the store confirmed that there are no newer records.
        waited: Seconds for which the process waited for new records before it answered.
        receiving: Whether the answering process is receiving an answer from the store.
        lost: Whether the answering process cannot read the store.
        kept: Seconds for which the answering process still ignores removals after an
            outage.
        read_age: Seconds since the newest record was first read from the store.
        level: Number of processes that passed that record on to the answering process.
        copied_end: See ``RecordBatch.copied_end``.
        knows_removals: See ``RecordBatch.knows_removals``.
        whole_from: See ``RecordBatch.whole_from``.
        has_gap: See ``RecordBatch.has_gap``.
        version_ages: See ``RecordBatch.version_ages``.
    """

    records: Sequence[KeyedRecord]
    end: Offset
    age: float
    waited: float = 0.0
    receiving: bool = False
    lost: bool = False
    kept: float = 0.0
    read_age: float = 0.0
    level: int = 0
    copied_end: Offset = Offset(0)
    knows_removals: bool = False
    whole_from: Offset | None = None
    has_gap: bool = False
    version_ages: Sequence[VersionAge] = ()


class TopicRecords:
    """The current records of a topic.

    Attributes:
        records: The records by key, including those of removed keys.
        end: Offset at which to read next.
        confirmed_at: When the store confirmed that there are no newer records; 0 for
            never.
        late_records: Records that are in force although newer records of their keys
            were known before, and until when they are served to all.
        read_at: When the newest record was first read from the store, by any process.
        level: Number of processes that passed that record on to this one.
        copied_end: See ``RecordBatch.copied_end``; the earliest that is known of the
            latest era.
        knows_removals: See ``RecordBatch.knows_removals``.
        missed: Ranges whose removals may be missing from the records.
        unchanged: The newest records of keys that changed nothing. They are served only
            where removals may be missing: the reader may know one that came before.
    """

    def __init__(self) -> None:
        self.knows_removals = False
        self.missed = MissedRecords()
        self.unchanged: dict[str, KeyedRecord] = {}
        self.copied_end = Offset(0)
        self.read_at = Seconds(0.0)
        self.level = 0
        self.late_records: dict[str, tuple[KeyedRecord, float]] = {}
        self.records: dict[str, KeyedRecord] = {}
        self.end = Offset(0)
        self.confirmed_at = Seconds(0.0)

    def apply(self, batch: RecordBatch) -> None:
        """Apply a batch; an older record never replaces a newer one."""
        self.record_origin(batch)
        for record in batch.records:
            known = self.records.get(record.key)
            if known is None or known.offset < record.offset:
                self.put(record)
        self.record_progress(batch)
        self._evict_removed()

    def put(self, record: KeyedRecord) -> None:
        """Store a record as the current one of its key."""
        self.records.pop(record.key, None)
        self.unchanged.pop(record.key, None)
        self.records[record.key] = record

    def put_late(self, record: KeyedRecord) -> None:
        """Store a record that takes the place of a newer record of its key."""
        self.put(record)
        self.late_records[record.key] = record, boottime() + LATE_RECORD_SECONDS

    def record_origin(self, batch: RecordBatch) -> None:
        """Record when the new records of a batch were first read, and their level."""
        if batch.records and batch.end > self.end:
            self.read_at = batch.read_at
            self.level = batch.relay_hops

    def record_progress(self, batch: RecordBatch) -> None:
        """Record up to which offset the topic has been read, and when."""
        self.end = max(self.end, batch.end)
        if not batch.remaining_records:
            self.confirmed_at = max(self.confirmed_at, batch.confirmed_at)

    def record_missed(self, batch: RecordBatch, is_snapshot: bool) -> None:
        """Record which removals a batch may lack, before it is applied.

        Args:
            batch: The batch.
            is_snapshot: Whether the records are the newest ones of all keys.
        """
        is_continued = self.end > 0 and not is_snapshot
        if is_continued and (not batch.is_relayed or batch.whole_from is not None):
            return
        whole_from = batch.end if batch.whole_from is None else batch.whole_from
        self.missed.add(self.end, whole_from)

    def record_copied_end(self, batch: RecordBatch) -> None:
        """Record which records of the latest era may be copies."""
        era, known_era = era_of(batch.copied_end), era_of(self.copied_end)
        if era > known_era or era == known_era and batch.copied_end < self.copied_end:
            self.copied_end = batch.copied_end

    @property
    def age(self) -> float:
        """Seconds since the store confirmed that there are no newer records."""
        return boottime() - self.confirmed_at

    @property
    def lag(self) -> float:
        """Seconds since the newest record was first read from the store."""
        return boottime() - self.read_at

    def remove_unlisted(self, listed: Collection[str], end: Offset) -> None:
        """Store removals of the keys that a complete list does not contain.

        The reader skipped the records of these removals, but processes that read from
        this one must receive them.

        Args:
            listed: The keys in the list.
            end: Offset up to which the list was read.
        """
        for key, known in list(self.records.items()):
            if known.value and key not in listed and known.offset < end:
                self.put(KeyedRecord(key, b"", Offset(end - 1)))

    def _evict_removed(self) -> None:
        """Delete all but the latest removed keys and the latest rejected keys.

        The two kinds are counted separately, so that rejected keys, however many they
        are, do not displace the keys of targets that left.
        """
        empty = [record for record in self.records.values() if not record.value]
        removed = [record.key for record in empty if not record.broken]
        rejected = [record.key for record in empty if record.broken]
        for key in [*removed[:-MAX_REMOVED_KEYS], *rejected[:-MAX_REMOVED_KEYS]]:
            evicted = self.records.pop(key)
            self.missed.add(Offset(0), Offset(evicted.offset + 1))

    def records_since(self, start: Offset) -> RecordsResponse:
        """Return the records from an offset on, and the late records.

        If this process may lack removals after the offset, all records are returned.
        """
        now = boottime()
        has_gap = self.missed.has_gap_after(start)
        late = [record for record, end in self.late_records.values() if now < end]
        if has_gap:
            newer = [*{**self.records, **self.unchanged}.values()]
        else:
            newer = [
                record for record in self.records.values() if record.offset >= start
            ]
        records = [*newer, *(record for record in late if record.offset < start)]
        records.sort(key=lambda record: record.offset)
        return RecordsResponse(
            records,
            self.end,
            self.age,
            read_age=self.lag,
            level=self.level,
            copied_end=self.copied_end,
            knows_removals=self.knows_removals,
            whole_from=self.missed.end,
            has_gap=has_gap,
        )


class RecordServer:
    """Serves the records that this process has read.

    Attributes:
        topics: The records of each topic.
        changed: Notified when records were read.
        is_receiving: Returns whether this process is receiving a store answer.
        is_lost: Returns whether this process cannot read the store.
        removal_grace_seconds: Returns for how many seconds this process still ignores
            removals.
        version_ages: Returns the ages of the named versions.
    """

    def __init__(
        self,
        is_receiving: Callable[[Topic], bool] = lambda topic: False,
        is_lost: Callable[[Topic], bool] = lambda topic: False,
        removal_grace_seconds: Callable[[Topic], float] = lambda topic: 0.0,
        version_ages: Callable[[], Iterable[VersionAge]] = lambda: (),
    ) -> None:
        self.is_receiving = is_receiving
        self.is_lost = is_lost
        self.removal_grace_seconds = removal_grace_seconds
        self.version_ages = version_ages
        self.topics = {topic: TopicRecords() for topic in Topic}
        self.changed = Broadcast()

    def add_routes(self, router: HttpRouter) -> None:
        """Register the route that serves records."""
        router.add("GET", RECORDS_PATH, self.serve)

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer a request for a topic's records.

        Returns:
            The records; status 204 if no record has been read, 400 for an invalid
            request.
        """
        name, _, start = request.path.removeprefix(RECORDS_PATH).partition("/")
        matching = [topic for topic in Topic if topic.value == name]
        wait = parse_wait(request.query.get(WAIT_PARAMETER, "0"))
        if not matching or not start.isdecimal() or wait is None:
            return HttpReply(400)
        topic = self.topics[matching[0]]
        started_at = boottime()
        if not self.is_lost(matching[0]):
            # A process that cannot read the store gets no new records. It answers
            # without waiting, so that the client asks another process at once.
            known_age = parse_age(request.query.get(AGE_PARAMETER, "0"))
            self._wait_for_records(topic, Offset(int(start)), wait, known_age)
        receiving = self.is_receiving(matching[0])
        if not topic.records and not topic.confirmed_at and not receiving:
            return HttpReply(204)
        response = replace(
            topic.records_since(Offset(int(start))),
            waited=boottime() - started_at,
            receiving=receiving,
            lost=self.is_lost(matching[0]),
            kept=self.removal_grace_seconds(matching[0]),
        )
        if matching[0] is Topic.DECISIONS:
            response = replace(response, version_ages=[*self.version_ages()])
        return build_reply(encode_message(response))

    def _wait_for_records(
        self, topic: TopicRecords, start: Offset, wait: float, known_age: float
    ) -> None:
        """Wait for a new record, or until the store confirms that there is none.

        Thus, on each level of the read tree, downstream records are hardly older than
        the records of this process. A confirmation that the asking process does not
        know yet is passed on at once: it may have arrived right after the end of the
        wait before this one.

        Args:
            topic: The topic.
            start: The first offset wanted.
            wait: Longest wait, in seconds.
            known_age: Age of the data of the asking process, in seconds.
        """
        if topic.age + CONFIRMATION_TOLERANCE_SECONDS < known_age:
            return
        deadline = boottime() + wait
        confirmed_at = topic.confirmed_at
        while topic.end <= start and topic.confirmed_at == confirmed_at:
            remaining = min(deadline - boottime(), STALE_SECONDS - topic.age)
            if remaining <= 0.0:
                return
            self.changed.wait(remaining)


def parse_wait(text: str) -> float | None:
    """Return a wait in seconds, or None if the text is not a valid wait."""
    try:
        wait = float(text)
    except ValueError:
        return None
    return wait if 0.0 <= wait <= MAX_WAIT_SECONDS else None


def parse_age(text: str) -> float:
    """Return an age in seconds; 0 if the text is not a valid age."""
    try:
        age = float(text)
    except ValueError:
        return 0.0
    return age if isfinite(age) else 0.0


def build_reply(body: bytes) -> HttpReply:
    """Return a reply with status 200, compressed if the body is large enough."""
    if len(body) < COMPRESSION_THRESHOLD_BYTES:
        return HttpReply(200, body)
    compressed = compress(body, COMPRESSION_LEVEL, GZIP_WINDOW_BITS)
    return HttpReply(200, compressed, [("Content-Encoding", "gzip")])
