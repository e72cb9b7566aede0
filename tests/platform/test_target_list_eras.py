"""The list of targets over returns of its store, in any order of delivery.

An engine writes words: it is ready, it leaves, it is gone. The store may return from a
copy and lose the last ones, and processes hear of records of all eras in any order. The
list never offers an engine whose last word that was heard says otherwise.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ridgecourse.core.ids import (
    DomainName,
    EngineStart,
    Offset,
    Seconds,
    ServiceName,
    TargetId,
    make_offset,
)
from ridgecourse.core.target_list import ListedTarget, TargetList, TargetRecord

NOW = Seconds(100.0)
TARGETS = [TargetId("i-0")]
NEXT_WORDS = {
    None: ["ready"],
    "ready": ["ready", "leaving", "gone"],
    "leaving": ["leaving", "gone"],
    "gone": ["ready"],
}


class Word(NamedTuple):
    """What an engine wrote.

    Attributes:
        number: Number of the word among all words of its engine.
        kind: The word; see ``NEXT_WORDS``.
        incarnation: Incarnation of the engine; a new one begins after it has left.
        has_left: Whether the incarnation has left.
    """

    number: int
    kind: str
    incarnation: int
    has_left: bool


def make_record(target: TargetId, offset: Offset, word: Word) -> TargetRecord:
    entry = ListedTarget(
        target,
        ServiceName("llm"),
        "127.0.0.1:1",
        DomainName("a"),
        1,
        word.kind == "leaving",
        {},
        None,
        EngineStart(word.incarnation),
    )
    return TargetRecord(target, offset, None if word.kind == "gone" else entry)


class ReturningStoreMachine(RuleBasedStateMachine):
    """A process that hears of a store's records while the store returns from copies.

    Attributes:
        log: Target and word of each record of the latest era.
        era: The latest era.
        copied_end: End of the log at the first full read in the latest era.
        sent: All records so far, with their words.
        words: The last word of each engine.
        heard: The last word of each engine that was delivered.
        list: The list under test.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log: list[tuple[TargetId, Word]] = []
        self.era = 1
        self.copied_end = Offset(0)
        self.sent: list[tuple[TargetRecord, Word]] = []
        self.words: dict[TargetId, Word] = {}
        self.heard: dict[TargetId, Word] = {}
        self.list = TargetList()

    def append(self, target: TargetId, word: Word) -> None:
        offset = make_offset(self.era, len(self.log))
        self.log.append((target, word))
        self.sent.append((make_record(target, offset, word), word))

    @rule(target_id=st.sampled_from(TARGETS), data=st.data(), is_read=st.booleans())
    def write(self, target_id: TargetId, data: st.DataObject, is_read: bool) -> None:
        last = self.words.get(target_id)
        kind = data.draw(st.sampled_from(NEXT_WORDS[last.kind if last else None]))
        number = last.number + 1 if last else 0
        incarnation = last.incarnation if last else 0
        has_left = last.has_left if last else False
        if kind == "ready" and has_left:
            incarnation, has_left = incarnation + 1, False
        word = Word(number, kind, incarnation, has_left or kind == "leaving")
        self.words[target_id] = word
        self.append(target_id, word)
        if is_read and self.copied_end:
            self.apply_newest()

    @precondition(lambda self: self.log)
    @rule(lost=st.integers(0, 4))
    def return_from_copy(self, lost: int) -> None:
        del self.log[max(0, len(self.log) - lost) :]
        self.era += 1
        copied = [
            (make_record(target, make_offset(self.era, index), word), word)
            for index, (target, word) in enumerate(self.log)
        ]
        self.sent.extend(copied)
        self.copied_end = Offset(0)

    @rule()
    def read_all(self) -> None:
        end = make_offset(self.era, len(self.log))
        self.copied_end = self.copied_end or end
        self.list.copied_end = self.copied_end
        newest = {
            target: (index, word) for index, (target, word) in enumerate(self.log)
        }
        records = {
            target: make_record(target, make_offset(self.era, index), word)
            for target, (index, word) in newest.items()
            if word.kind != "gone"
        }
        self.list.replace(records.values(), NOW, end)
        for target in records:
            self.hear(target, newest[target][1])

    @precondition(lambda self: self.sent and self.copied_end)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Deliver records of any era; others have told which may be copies."""
        delivered = data.draw(st.lists(st.sampled_from(self.sent), max_size=3))
        self.list.copied_end = self.copied_end
        self.list.apply([record for record, _ in delivered], NOW)
        for record, word in delivered:
            self.hear(record.target, word)

    @precondition(lambda self: self.log and self.copied_end)
    @rule(target_id=st.sampled_from(TARGETS))
    def heartbeat(self, target_id: TargetId) -> None:
        """An engine that is ready writes its entry again, and it is read."""
        word = self.words.get(target_id)
        if word is None or word.kind != "ready":
            return
        self.append(target_id, word)
        self.apply_newest()
        assert target_id in self.serving()

    def apply_newest(self) -> None:
        record, word = self.sent[-1]
        self.list.copied_end = self.copied_end
        self.list.apply([record], NOW)
        self.hear(record.target, word)

    def hear(self, target: TargetId, word: Word) -> None:
        known = self.heard.get(target)
        if known is None or known.number < word.number:
            self.heard[target] = word

    def serving(self) -> set[TargetId]:
        return {target.target for target in self.list.of_service(ServiceName("llm"))}

    @invariant()
    def no_engine_is_offered_that_left_or_is_gone(self) -> None:
        serving = self.serving()
        for target, word in self.heard.items():
            assert target not in serving or word.kind == "ready"


ReturningStoreMachine.TestCase.settings = settings(max_examples=400, deadline=None)
TestReturningStore = ReturningStoreMachine.TestCase


def make_word(kind: str, incarnation: int = 0) -> Word:
    return Word(0, kind, incarnation, kind == "leaving")


class ReadList:
    """A list of one engine, read from a store that returns from copies."""

    def __init__(self) -> None:
        self.list = TargetList()

    def read_all(self, era: int, end: int, *words: tuple[int, Word]) -> None:
        """Read the whole list, the first time in its era."""
        self.list.copied_end = make_offset(era, end)
        records = [
            make_record(TARGETS[0], make_offset(era, index), word)
            for index, word in words
        ]
        self.list.replace(records, NOW, self.list.copied_end)

    def read(self, era: int, index: int, word: Word) -> None:
        record = make_record(TARGETS[0], make_offset(era, index), word)
        self.list.apply([record], NOW)

    def is_serving(self) -> bool:
        return self.list.is_serving(TARGETS[0])


def test_a_copy_does_not_list_a_restarted_engine_whose_removal_was_read() -> None:
    """Of the engine's second incarnation the removal alone had been read."""
    reader = ReadList()
    reader.read_all(1, 1, (0, make_word("ready")))
    reader.read(1, 4, make_word("gone"))
    reader.read_all(2, 4, (3, make_word("ready", 1)))
    assert not reader.is_serving()
    reader.read(2, 4, make_word("ready", 1))
    assert reader.is_serving()


def test_a_copy_does_not_hide_that_a_restarted_engine_leaves() -> None:
    reader = ReadList()
    reader.read_all(3, 0)
    reader.read(3, 0, make_word("ready"))
    reader.read(3, 1, make_word("gone"))
    reader.read_all(4, 1, (0, make_word("leaving", 1)))
    reader.read(3, 2, make_word("ready", 1))
    assert not reader.is_serving()


def test_a_removal_that_is_read_late_counts_after_two_copies() -> None:
    reader = ReadList()
    reader.read_all(3, 3, (2, make_word("ready")))
    reader.read_all(4, 3, (2, make_word("ready")))
    reader.read(2, 3, make_word("gone"))
    assert not reader.is_serving()
