"""Model-based test: the highest decision stays in force whichever processes end.

Guards against decisions that a late write takes back while few or no processes look,
and against pins that are lost, late or replaced by older ones.
"""

from itertools import count
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from msgspec.json import encode
from test_loader import MODEL
from view_reader import RecordingEventStream

from ridgecourse.cluster.pinned_decisions import PinnedDecisionSource
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import ModelName, Offset, make_offset
from ridgecourse.core.missed_records import ContiguousReads
from ridgecourse.net.clock import boottime
from ridgecourse.net.record_source import (
    AppendConflict,
    KeyedRecord,
    RecordBatch,
    RecordsGone,
    RecordSource,
    SourceUnavailable,
    Topic,
)
from ridgecourse.platform.names import VERSION_KEY_PREFIX
from ridgecourse.platform.records import PlatformRecordDecoder

KEYS = (MODEL, "another-model")
FIRST_VERSION = 1
"""Version that is wanted before the first decision."""
READ_RECORDS = 2
"""Records in one answer, so that a history is read in parts."""


class MemoryStore(RecordSource):
    """Topics in memory, whose history may be dropped and whose writes may be late.

    Attributes:
        topics: Key and value of all records of each topic.
        first: First offset that each topic still has.
        late: Conditional writes of the system that got no answer.
        tells_first: Whether a refusal of dropped records tells the first offset.
        refuses: Whether reads of the decisions from an offset on are refused.
        loses_writes: Whether writes of the system get no answer and are done late.
        cuts_answers: Whether writes of the system are done and their answers are cut.
    """

    def __init__(self) -> None:
        self.topics: dict[Topic, list[tuple[str, bytes]]] = {t: [] for t in Topic}
        self.first = dict.fromkeys(Topic, 0)
        self.late: list[tuple[str, bytes, Offset]] = []
        self.loses_writes = False
        self.cuts_answers = False
        self.tells_first = True
        self.refuses = False

    def newest(self, topic: Topic) -> RecordBatch:
        newest: dict[str, KeyedRecord] = {}
        for offset, (key, value) in enumerate(self.topics[topic]):
            newest.pop(key, None)
            newest[key] = KeyedRecord(key, value, Offset(offset))
        end = Offset(len(self.topics[topic]))
        return RecordBatch(list(newest.values()), end, boottime())

    def read(self, topic: Topic, start: Offset, wait: float) -> RecordBatch:
        if self.refuses and topic is Topic.DECISIONS:
            raise SourceUnavailable("refused")
        if start < self.first[topic]:
            first = Offset(self.first[topic]) if self.tells_first else None
            raise RecordsGone("gone", first)
        stored = self.topics[topic][start : start + READ_RECORDS]
        records = [
            KeyedRecord(key, value, Offset(start + number))
            for number, (key, value) in enumerate(stored)
        ]
        end = Offset(start + len(records))
        behind = len(self.topics[topic]) - end
        return RecordBatch(records, end, boottime(), remaining_records=behind)

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        assert end is not None
        if self.loses_writes:
            self.late.append((key, value, end))
            raise SourceUnavailable("no answer")
        if end != len(self.topics[topic]):
            raise AppendConflict(f"the topic ends at {len(self.topics[topic])}")
        self.topics[topic].append((key, value))
        if self.cuts_answers:
            raise SourceUnavailable("the answer is cut")

    def put(self, model: str, version: int) -> None:
        self.topics[Topic.DECISIONS].append(version_record(model, version))

    def first_offset(self, model: str, version: int) -> int:
        """Return where a decision was written first."""
        return self.topics[Topic.DECISIONS].index(version_record(model, version))


def version_record(model: str, version: int) -> tuple[str, bytes]:
    value = encode({"model": model, "version": version})
    return f"{VERSION_KEY_PREFIX}{model}", value


class Process:
    """A process that reads the store for others and pins what is in force."""

    def __init__(self, store: MemoryStore) -> None:
        self.events = RecordingEventStream()
        decoder = PlatformRecordDecoder()
        self.source = PinnedDecisionSource(store, decoder, self.events)
        self.view = ClusterView(self.source, self.source, decoder, self.events, 8.0)
        self.end: Offset | None = None

    def read(self) -> None:
        """Read once, as the follower of the decisions does."""
        is_snapshot = self.end is None
        try:
            if self.end is None:
                batch = self.source.newest(Topic.DECISIONS)
            else:
                batch = self.source.read(Topic.DECISIONS, self.end, 0.0)
        except RecordsGone:
            self.end = None
            return
        except SourceUnavailable:
            return
        self.end = batch.end
        self.view.apply(Topic.DECISIONS, batch, is_snapshot)

    def skip_ahead(self) -> None:
        """Read the newest records only, as a follower does that is behind."""
        if self.end is None:
            return
        batch = self.source.newest(Topic.DECISIONS)
        self.view.apply(Topic.DECISIONS, batch, True)
        self.end = batch.end

    def pin(self) -> None:
        """Write the pins that are due."""
        for record in list(self.source.pending.values()):
            self.source._try_pin(record)
        if self.source.pin_at <= boottime():
            self.source._try_pin_in_force()
            self.source.pin_at = min(self.source.pin_at, boottime())

    def recheck(self) -> None:
        """Read the pins again, as some time after a full read."""
        self.source._recheck()

    def version(self, model: str) -> int:
        return self.view.wanted_version(ModelName(model))

    def served_offset(self, model: str) -> Offset:
        """Return up to which offset readers get the decision in force from here."""
        records = self.view.record_server.topics[Topic.DECISIONS].records
        return records[f"{VERSION_KEY_PREFIX}{model}"].offset


class PinnedDecisionMachine(RuleBasedStateMachine):
    """Operators write, some writes are late, and processes start, end, read and pin."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.processes: list[Process] = []
        self.versions = count(FIRST_VERSION + 1)
        self.highest = dict.fromkeys(KEYS, FIRST_VERSION)

    @rule(model=st.sampled_from(KEYS))
    def decide(self, model: str) -> None:
        self.highest[model] = next(self.versions)
        self.store.put(model, self.highest[model])

    @rule(model=st.sampled_from(KEYS), lag=st.integers(1, 3))
    def write_late(self, model: str, lag: int) -> None:
        if self.highest[model] > lag + FIRST_VERSION:
            self.store.put(model, self.highest[model] - lag)

    @rule()
    def start(self) -> None:
        if len(self.processes) < 3:
            self.processes.append(Process(self.store))
            self.processes[-1].read()

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        self.processes.remove(data.draw(st.sampled_from(self.processes)))

    @rule()
    def lose_power(self) -> None:
        self.processes.clear()

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def read(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.processes)).read()

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def skip_ahead(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.processes)).skip_ahead()

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def pin(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.processes)).pin()

    @precondition(lambda self: self.processes)
    @rule(data=st.data())
    def recheck(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.processes)).recheck()

    @rule(loses=st.booleans())
    def lose_writes(self, loses: bool) -> None:
        self.store.loses_writes = loses

    @rule()
    def do_late_writes(self) -> None:
        late, self.store.late = self.store.late, []
        loses, self.store.loses_writes = self.store.loses_writes, False
        for key, value, end in late:
            try:
                self.store.append(Topic.KEPT, key, value, end)
            except AppendConflict:
                continue
        self.store.loses_writes = loses

    @rule(refuses=st.booleans())
    def refuse_history(self, refuses: bool) -> None:
        self.store.refuses = refuses

    @rule()
    def drop_history(self) -> None:
        """Drop the history if the highest decisions are kept elsewhere."""
        if all(self._is_kept(model) for model in KEYS):
            self.store.first[Topic.DECISIONS] = len(self.store.topics[Topic.DECISIONS])
            self.store.first[Topic.KEPT] = len(self.store.topics[Topic.KEPT])

    def _is_kept(self, model: str) -> bool:
        """Check whether the highest decision is pinned."""
        probe = PinnedDecisionSource(
            self.store, PlatformRecordDecoder(), RecordingEventStream()
        )
        probe.topic.read_all()
        pin = probe.topic.pins.get(f"{VERSION_KEY_PREFIX}{model}")
        highest = self.highest[model]
        return highest == FIRST_VERSION or (
            pin is not None and probe.revisions.pin_revision(pin) >= highest
        )

    @invariant()
    def a_process_that_starts_has_the_highest_decisions(self) -> None:
        if self.store.refuses:
            return
        process = Process(self.store)
        process.read()
        found = {model: process.version(model) for model in KEYS}
        assert found == self.highest

    @invariant()
    def a_reader_that_has_not_read_a_decision_gets_it_from_each_process(self) -> None:
        for process in self.processes:
            for model in KEYS:
                version = process.version(model)
                if version > FIRST_VERSION:
                    written = self.store.first_offset(model, version)
                    assert process.served_offset(model) >= written

    @invariant()
    def no_process_is_ahead(self) -> None:
        for process in self.processes:
            for model in KEYS:
                assert process.version(model) <= self.highest[model]


PinnedDecisionMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestPinnedDecisions = PinnedDecisionMachine.TestCase


def test_reads_with_a_gap_count_once_the_gap_is_read() -> None:
    reads = ContiguousReads()
    reads.add(Offset(0), Offset(3))
    reads.add(Offset(5), Offset(7))
    reads.add(Offset(7), Offset(9))
    assert reads.end == 3
    reads.add(Offset(3), Offset(5))
    assert reads.end == 9


def test_reads_of_a_later_era_begin_anew() -> None:
    reads = ContiguousReads()
    reads.add(Offset(0), Offset(3))
    reads.add(make_offset(1, 2), make_offset(1, 4))
    assert reads.end == make_offset(1, 0)
    reads.add(Offset(3), Offset(5))
    assert reads.start_in(1) == make_offset(1, 0)
    reads.add(make_offset(1, 0), make_offset(1, 2))
    assert reads.end == make_offset(1, 4)


def test_a_pin_does_not_cover_records_that_its_writer_skipped() -> None:
    store = MemoryStore()
    process = Process(store)
    process.read()
    for version in (2, 3, 2):
        store.put(MODEL, version)
    process.skip_ahead()
    process.pin()
    started = Process(store)
    started.read()
    assert started.version(MODEL) == 3


def test_a_pin_does_not_cover_decisions_that_are_not_pinned_yet() -> None:
    """The writer ends after the first of two pins."""
    store = MemoryStore()
    process = Process(store)
    for model in KEYS:
        store.put(model, 3)
    process.read()
    write = store.append

    def lose_second_write(*arguments: Any) -> None:
        store.loses_writes = bool(store.topics[Topic.KEPT])
        write(*arguments)

    store.append = lose_second_write  # type: ignore[method-assign]
    process.pin()
    store.put(KEYS[1], 2)
    started = Process(store)
    started.read()
    assert started.version(KEYS[1]) == 3


def test_a_late_write_makes_each_reader_pin_at_most_once() -> None:
    store = MemoryStore()
    processes = [Process(store), Process(store)]
    for process in processes:
        process.read()
    store.put(MODEL, 3)
    for process in processes:
        process.read()
        process.pin()
    store.put(MODEL, 2)
    for process in processes:
        process.read()
        process.pin()
    assert len(store.topics[Topic.KEPT]) == 1


def test_a_pin_of_an_older_decision_does_not_replace_a_newer_one() -> None:
    """Its writer had read the topic before the newer decision was pinned."""
    store = MemoryStore()
    slow, fast = Process(store), Process(store)
    store.put(MODEL, 2)
    slow.read()
    store.loses_writes = True
    slow.pin()
    store.loses_writes = False
    store.put(MODEL, 3)
    fast.read()
    fast.pin()
    with pytest.raises(AppendConflict):
        store.append(Topic.KEPT, *store.late[0])
    store.put(MODEL, 2)
    started = Process(store)
    started.read()
    assert started.version(MODEL) == 3


def test_a_history_is_read_by_one_start_alone() -> None:
    store = MemoryStore()
    process = Process(store)
    store.put(MODEL, 4)
    process.read()
    process.pin()
    for version in (3, 2, 3):
        store.put(MODEL, version)
    restarted = Process(store)
    restarted.read()
    assert restarted.source.has_read_hidden
    restarted.pin()
    started = Process(store)
    started.read()
    assert started.version(MODEL) == 4
    assert not started.source.has_read_hidden


def test_a_refusal_cut_before_its_offset_conceals_no_decision() -> None:
    # Guards against records that count as dropped because a cut 410 does not tell
    # which records the store still has: the process then uses an older decision.
    store = MemoryStore()
    for version in (2, 4, 3):
        store.put(MODEL, version)
    store.first[Topic.DECISIONS] = 1
    store.tells_first = False
    process = Process(store)
    process.read()
    assert process.version(MODEL) == FIRST_VERSION
    store.tells_first = True
    process.read()
    assert process.version(MODEL) == 4


def test_a_pin_whose_answer_is_cut_is_written_once() -> None:
    # Guards against pins that are written again although they are in the store.
    store = MemoryStore()
    store.cuts_answers = True
    for version in (4, 3):
        store.put(MODEL, version)
    process = Process(store)
    process.read()
    for _ in range(3):
        process.pin()
    assert len(store.topics[Topic.KEPT]) == 1
    assert process.version(MODEL) == 4


def test_a_pin_of_an_earlier_release_is_written_again_once() -> None:
    """Such a pin holds the record of the decision as it is."""
    key = f"{VERSION_KEY_PREFIX}{MODEL}"
    for pinned in (2, 3, 4):
        store = MemoryStore()
        store.put(MODEL, 3)
        value = encode({"model": MODEL, "version": pinned})
        store.topics[Topic.KEPT].append((key, value))
        process = Process(store)
        process.read()
        assert process.version(MODEL) == max(3, pinned)
        process.pin()
        process.read()
        process.pin()
        assert len(store.topics[Topic.KEPT]) == 2
        assert process.source.topic.pins[key].revision == max(3, pinned)


def test_a_pin_read_before_its_decision_is_left_to_the_read_of_it() -> None:
    """Applied early it had no offset, so that readers of the process missed it."""
    store = MemoryStore()
    store.put(MODEL, 2)
    slow, fast = Process(store), Process(store)
    for process in (slow, fast):
        process.read()
    store.put(MODEL, 3)
    fast.read()
    fast.pin()
    slow.recheck()
    slow.read()
    assert slow.version(MODEL) == 3
    assert slow.served_offset(MODEL) == 1
    assert not slow.view.history(ModelName(MODEL)).lacks_naming_time(3)


def test_the_pin_of_the_first_decision_is_left_to_the_read_of_it() -> None:
    """Both processes had read a topic that was still empty."""
    store = MemoryStore()
    slow, fast = Process(store), Process(store)
    for process in (slow, fast):
        process.read()
    for version in (2, 3):
        store.put(MODEL, version)
    fast.skip_ahead()
    fast.pin()
    slow.recheck()
    slow.read()
    assert slow.served_offset(MODEL) == 1
