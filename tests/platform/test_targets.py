"""The list of targets against a simple oracle, and its outages."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ridgecourse.core.ids import (
    DomainName,
    Offset,
    Seconds,
    ServiceName,
    TargetId,
)
from ridgecourse.core.target_list import (
    RETURN_SECONDS,
    ListedTarget,
    TargetList,
    TargetRecord,
)

NAMES = [TargetId(f"i-{number}") for number in range(4)]


def make_target(name: TargetId, leaving: bool = False) -> ListedTarget:
    return ListedTarget(
        target=name,
        service=ServiceName("llm"),
        address="127.0.0.1:1",
        domain=DomainName("a"),
        slots=1,
        leaving=leaving,
        models={},
        layers=None,
    )


class TargetListMachine(RuleBasedStateMachine):
    """Records arrive late, twice and out of order; the store goes away and back.

    The oracle is the stream itself: what its newest record of a target says,
    but for removals within the time in which they are not believed.
    """

    @initialize()
    def begin(self) -> None:
        self.list = TargetList()
        self.now = Seconds(100.0)
        self.stream: list[TargetRecord] = []
        self.seen: dict[TargetId, TargetRecord] = {}
        self.kept: dict[TargetId, Seconds] = {}
        self.believed_from = Seconds(0.0)

    @rule(name=st.sampled_from(NAMES), kind=st.sampled_from(["in", "leaving", "gone"]))
    def write(self, name: TargetId, kind: str) -> None:
        entry = None if kind == "gone" else make_target(name, kind == "leaving")
        self.stream.append(TargetRecord(name, Offset(len(self.stream)), entry))

    @precondition(lambda self: self.stream)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        records = data.draw(st.lists(st.sampled_from(self.stream), max_size=4))
        self.list.apply(records, self.now)
        for record in records:
            self.note(record)

    def note(self, record: TargetRecord) -> None:
        known = self.seen.get(record.target)
        if known is not None and known.offset >= record.offset:
            return
        was_listed = (known is not None and known.entry is not None) or (
            record.target in self.kept
        )
        self.seen[record.target] = record
        if record.entry is not None:
            self.kept.pop(record.target, None)
        elif was_listed and self.now < self.believed_from:
            self.kept.setdefault(record.target, self.believed_from)
        else:
            self.kept.pop(record.target, None)

    @rule()
    def outage_ends(self) -> None:
        self.list.record_outage_end(self.now)
        self.believed_from = Seconds(self.now + RETURN_SECONDS)

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        gone = set(self.list.expire(self.now))
        expected = {name for name, end in self.kept.items() if end <= self.now}
        assert gone == expected
        for name in expected:
            del self.kept[name]

    @invariant()
    def holds_what_the_stream_says(self) -> None:
        listed = {
            name: record.entry
            for name, record in self.seen.items()
            if record.entry is not None
        }
        assert set(self.list.targets) == set(listed) | set(self.kept)
        for name, entry in listed.items():
            assert self.list.targets[name] == entry

    @invariant()
    def offers_no_leaving_target(self) -> None:
        for target in self.list.of_service(ServiceName("llm")):
            assert not target.leaving


TestTargetList = TargetListMachine.TestCase


def test_a_whole_list_removes_what_it_lacks() -> None:
    targets = TargetList()
    first = [
        TargetRecord(name, Offset(i), make_target(name)) for i, name in enumerate(NAMES)
    ]
    targets.apply(first, Seconds(0.0))
    targets.replace(first[:2], Seconds(10.0))
    assert set(targets.targets) == set(NAMES[:2])


def test_a_whole_list_after_an_outage_waits_for_those_that_return() -> None:
    targets = TargetList()
    first = [
        TargetRecord(name, Offset(i), make_target(name)) for i, name in enumerate(NAMES)
    ]
    targets.apply(first, Seconds(0.0))
    targets.record_outage_end(Seconds(10.0))
    targets.replace(first[:2], Seconds(10.1))
    assert set(targets.targets) == set(NAMES)
    back = TargetRecord(NAMES[2], Offset(9), make_target(NAMES[2]))
    targets.apply([back], Seconds(11.0))
    assert list(targets.expire(Seconds(13.0))) == [NAMES[3]]
    assert set(targets.targets) == set(NAMES[:3])
