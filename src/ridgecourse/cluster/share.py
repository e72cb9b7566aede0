"""Records of the platform's store, told to other processes."""

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from zlib import MAX_WBITS, compress

from msgspec import Struct
from msgspec.structs import replace

from ridgecourse.core.ids import Offset, Seconds
from ridgecourse.core.targets import ListedTarget, TargetRecord
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.wire.codec import encode_message

RECORDS_PATH = "/records/"
WAIT_PARAMETER = "wait"
LONGEST_WAIT_SECONDS = 2.0
STALE_SECONDS = 1.4
"""Age from which on nobody relies on what another process last heard of the store: with
the own read that follows, a decision is in force in less than the 2 s allowed. Where
the store takes 0.35 s to answer, what is heard is up to 1.1 s old."""
KEPT_DROPPED = 1000
"""Dropped or rejected keys that are still told: far more than targets leave within an
outage."""
TOLD_LATE_SECONDS = 3.0
"""How long a decision that was found late is told to all who ask, whatever they have
read: each asks some times in that."""
COMPRESSED_BYTES = 4096
"""Longer answers are compressed: a configuration of 54 KB is a tenth of that then, on
links of loaders that carry 450 KB/s."""
COMPRESSION_LEVEL = 1
GZIP_WINDOW_BITS = MAX_WBITS + 16
"""For ``zlib`` to write the format of gzip: the module of that name takes longer to
import."""


class SharedRecords(Struct, frozen=True):
    """The answer to a process that asks for records.

    Attributes:
        records: The newest of each key from the offset asked for on.
        end: Where the answering process goes on reading.
        age: Seconds since the store told that there is nothing newer.
        waited: Seconds for which the process waited for news before it answered.
        receiving: Whether an answer of the store is on its way to it.
        lost: Whether it cannot read the store now.
        kept: Seconds for which it does not believe removals, after an outage.
        read_age: Seconds since the newest record was first read from the store.
        level: Processes through which that record came to it.
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


class TopicRecords:
    """What holds of one topic.

    Attributes:
        records: By key, dropped keys included.
        end: Where to go on reading.
        heard_at: When the store told that there is nothing newer; 0 for never.
        found_late: Records that hold though newer ones of their key were known, and
            until when they are told.
        read_at: When the newest record was first read from the store, by anybody.
        level: Processes through which that record came here.
    """

    def __init__(self) -> None:
        self.read_at = Seconds(0.0)
        self.level = 0
        self.found_late: dict[str, tuple[KeyedRecord, float]] = {}
        self.records: dict[str, KeyedRecord] = {}
        self.end = Offset(0)
        self.heard_at = Seconds(0.0)

    def take(self, batch: RecordBatch) -> None:
        """Take in records; an older one never replaces a newer."""
        self.note_way(batch)
        for record in batch.records:
            known = self.records.get(record.key)
            if known is None or known.offset < record.offset:
                self.put(record)
        self.note_read(batch)
        self._forget_dropped()

    def put(self, record: KeyedRecord) -> None:
        """Take in a record that is known to hold."""
        self.records.pop(record.key, None)
        self.records[record.key] = record

    def put_late(self, record: KeyedRecord) -> None:
        """Take in a record that holds in place of a newer one of its key."""
        self.put(record)
        self.found_late[record.key] = record, boottime() + TOLD_LATE_SECONDS

    def note_way(self, batch: RecordBatch) -> None:
        """Note when what is new in a batch was first read, and by which way it came."""
        if batch.records and batch.end > self.end:
            self.read_at = batch.read_at
            self.level = batch.level

    def note_read(self, batch: RecordBatch) -> None:
        """Note how far the topic has been read, and when."""
        self.end = max(self.end, batch.end)
        if not batch.behind:
            self.heard_at = max(self.heard_at, batch.heard_at)

    @property
    def age(self) -> float:
        """Seconds since the store told that there is nothing newer."""
        return boottime() - self.heard_at

    @property
    def lag(self) -> float:
        """Seconds since any process read the newest record from the store."""
        return boottime() - self.read_at

    def drop_unlisted(self, listed: Collection[str], end: Offset) -> None:
        """Note that keys were dropped meanwhile: the whole topic, read up to an end.

        Their removals were passed over, and those who read from here have to be told.
        """
        for key, known in list(self.records.items()):
            if known.value and key not in listed and known.offset < end:
                self.put(KeyedRecord(key, b"", Offset(end - 1)))

    def _forget_dropped(self) -> None:
        """Forget all but the last keys that were dropped, and that were rejected.

        Counted apart: any number of rejected ones leaves it known which targets left.
        """
        empty = [record for record in self.records.values() if not record.value]
        dropped = [record.key for record in empty if not record.broken]
        rejected = [record.key for record in empty if record.broken]
        for key in [*dropped[:-KEPT_DROPPED], *rejected[:-KEPT_DROPPED]]:
            del self.records[key]

    def since(self, start: Offset) -> SharedRecords:
        """Return the records from an offset on."""
        now = boottime()
        late = [record for record, end in self.found_late.values() if now < end]
        newer = [r for r in self.records.values() if r.offset >= start]
        records = [*newer, *(r for r in late if r.offset < start)]
        records.sort(key=lambda record: record.offset)
        return SharedRecords(
            records, self.end, self.age, read_age=self.lag, level=self.level
        )


class ToldTargets:
    """Passes on what changes in the list of targets, without heartbeats.

    Load pattern: each target writes its entry each 1.2 s, changed or not. Told on, that
    was most of what a domain of 20 gateways read, over the link between two regions.

    Attributes:
        shared: What others are told.
        entries: The entries that they have been told, by key.
    """

    def __init__(self, shared: TopicRecords) -> None:
        self.shared = shared
        self.entries: dict[str, ListedTarget] = {}

    def take(
        self, batch: RecordBatch, changes: Sequence[TargetRecord], whole: bool
    ) -> None:
        """Take in records.

        Args:
            batch: The records.
            changes: What each of them says.
            whole: Whether they are the whole list.
        """
        told = list(tell_rejected(batch.records, changes))
        if whole:
            self.shared.drop_unlisted({record.key for record in told}, batch.end)
        news = [
            record
            for record, change in zip(told, changes, strict=True)
            if self._is_news(record, change)
        ]
        self.shared.take(replace(batch, records=news))

    def _is_news(self, record: KeyedRecord, change: TargetRecord) -> bool:
        """Tell whether a record says anything that others have not been told."""
        known = self.shared.records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        before = self.entries.pop(record.key, None)
        if change.entry is None:
            return True
        self.entries[record.key] = change.entry
        is_listed = known is not None and known.value
        return not is_listed or change.entry != before


def tell_rejected(
    records: Iterable[KeyedRecord], changes: Iterable[TargetRecord]
) -> Iterator[KeyedRecord]:
    """Yield records as others are told of them.

    Those that were rejected are told without their value, of which nobody has any use.
    """
    rejected = {(item.target, item.offset) for item in changes if item.rejected}
    for record in records:
        if (record.key, record.offset) in rejected:
            why = record.broken or "rejected"
            yield replace(record, value=b"", broken=why)
        else:
            yield record


class RecordShare:
    """Serves what this process has read.

    Attributes:
        topics: The records of each topic.
        changed: Notified when something was read.
        is_receiving: Tells whether an answer of the store is on its way here.
        is_lost: Tells whether the store cannot be read from here.
        kept_seconds: Tells for how long removals are not believed here.
    """

    def __init__(
        self,
        is_receiving: Callable[[Topic], bool] = lambda topic: False,
        is_lost: Callable[[Topic], bool] = lambda topic: False,
        kept_seconds: Callable[[Topic], float] = lambda topic: 0.0,
    ) -> None:
        self.is_receiving = is_receiving
        self.is_lost = is_lost
        self.kept_seconds = kept_seconds
        self.topics = {topic: TopicRecords() for topic in Topic}
        self.changed = Broadcast()

    def add_routes(self, router: HttpRouter) -> None:
        """Serve records on a router."""
        router.add("GET", RECORDS_PATH, self.serve)

    def serve(self, request: HttpRequest) -> HttpReply:
        """Answer with a topic's records, or 204 where nothing has been read."""
        name, _, start = request.path.removeprefix(RECORDS_PATH).partition("/")
        found = [topic for topic in Topic if topic.value == name]
        wait = parse_wait(request.query.get(WAIT_PARAMETER, "0"))
        if not found or not start.isdecimal() or wait is None:
            return HttpReply(400)
        topic = self.topics[found[0]]
        begun = boottime()
        if not self.is_lost(found[0]):
            # Who cannot read the store has no news: others are to be asked at once.
            self._wait_for_news(topic, Offset(int(start)), wait)
        receiving = self.is_receiving(found[0])
        if not topic.records and not topic.heard_at and not receiving:
            return HttpReply(204)
        shared = replace(
            topic.since(Offset(int(start))),
            waited=boottime() - begun,
            receiving=receiving,
            lost=self.is_lost(found[0]),
            kept=self.kept_seconds(found[0]),
        )
        return reply(encode_message(shared))

    def _wait_for_news(self, topic: TopicRecords, start: Offset, wait: float) -> None:
        """Wait for a record, or until the store was heard again.

        So what those below have is hardly older than what is here, on each level.
        """
        limit = boottime() + wait
        heard_at = topic.heard_at
        while topic.end <= start and topic.heard_at == heard_at:
            left = min(limit - boottime(), STALE_SECONDS - topic.age)
            if left <= 0.0:
                return
            self.changed.wait(left)


def parse_wait(text: str) -> float | None:
    """Return a wait in seconds, None where the text is none."""
    try:
        wait = float(text)
    except ValueError:
        return None
    return wait if 0.0 <= wait <= LONGEST_WAIT_SECONDS else None


def reply(body: bytes) -> HttpReply:
    """Return an answer, compressed where that pays."""
    if len(body) < COMPRESSED_BYTES:
        return HttpReply(200, body)
    packed = compress(body, COMPRESSION_LEVEL, GZIP_WINDOW_BITS)
    return HttpReply(200, packed, [("Content-Encoding", "gzip")])
