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
