"""The list of targets agrees with a simple oracle, also during outages of the store."""

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

TARGET_IDS = [TargetId(f"i-{number}") for number in range(4)]


def make_target(target_id: TargetId, leaving: bool = False) -> ListedTarget:
    return ListedTarget(
        target=target_id,
        service=ServiceName("llm"),
        address="127.0.0.1:1",
        domain=DomainName("a"),
        slots=1,
        leaving=leaving,
        models={},
        layers=None,
    )


class TargetListMachine(RuleBasedStateMachine):
    """Records arrive late, duplicated and out of order, and outages of the store end.

    The oracle is the stream itself: the newest record of a target decides, except for
    removals during the time after an outage in which removals are deferred.
    """

    @initialize()
    def create_list(self) -> None:
        self.list = TargetList()
        self.now = Seconds(100.0)
        self.stream: list[TargetRecord] = []
        self.newest_records: dict[TargetId, TargetRecord] = {}
        self.deferred_removals: dict[TargetId, Seconds] = {}
        self.removals_valid_from = Seconds(0.0)

    @rule(
        target_id=st.sampled_from(TARGET_IDS),
        kind=st.sampled_from(["in", "leaving", "gone"]),
    )
    def write_record(self, target_id: TargetId, kind: str) -> None:
        entry = None if kind == "gone" else make_target(target_id, kind == "leaving")
        self.stream.append(TargetRecord(target_id, Offset(len(self.stream)), entry))

    @precondition(lambda self: self.stream)
    @rule(data=st.data())
    def deliver_records(self, data: st.DataObject) -> None:
        records = data.draw(st.lists(st.sampled_from(self.stream), max_size=4))
        self.list.apply(records, self.now)
        for record in records:
            self.record_delivery(record)

    def record_delivery(self, record: TargetRecord) -> None:
        known_record = self.newest_records.get(record.target)
        if known_record is not None and known_record.offset >= record.offset:
            return
        was_listed = (known_record is not None and known_record.entry is not None) or (
            record.target in self.deferred_removals
        )
        self.newest_records[record.target] = record
        if record.entry is not None:
            self.deferred_removals.pop(record.target, None)
        elif was_listed and self.now < self.removals_valid_from:
            self.deferred_removals.setdefault(record.target, self.removals_valid_from)
        else:
            self.deferred_removals.pop(record.target, None)

    @rule()
    def outage_ends(self) -> None:
        self.list.record_outage_end(self.now)
        self.removals_valid_from = Seconds(self.now + RETURN_SECONDS)

    @rule(seconds=st.floats(0.1, 3.0))
    def advance_time(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        expired = set(self.list.expire(self.now))
        expected = {
            target_id
            for target_id, end in self.deferred_removals.items()
            if end <= self.now
        }
        assert expired == expected
        for target_id in expected:
            del self.deferred_removals[target_id]

    @invariant()
    def list_agrees_with_stream(self) -> None:
        listed = {
            target_id: record.entry
            for target_id, record in self.newest_records.items()
            if record.entry is not None
        }
        assert set(self.list.targets) == set(listed) | set(self.deferred_removals)
        for target_id, entry in listed.items():
            assert self.list.targets[target_id] == entry

    @invariant()
    def list_offers_no_leaving_target(self) -> None:
        for target in self.list.of_service(ServiceName("llm")):
            assert not target.leaving


TestTargetList = TargetListMachine.TestCase


def test_snapshot_removes_missing_targets() -> None:
    targets = TargetList()
    initial_records = [
        TargetRecord(target_id, Offset(number), make_target(target_id))
        for number, target_id in enumerate(TARGET_IDS)
    ]
    targets.apply(initial_records, Seconds(0.0))
    targets.replace(initial_records[:2], Seconds(10.0), Offset(9))
    assert set(targets.targets) == set(TARGET_IDS[:2])


def test_snapshot_after_outage_keeps_targets_that_may_return() -> None:
    targets = TargetList()
    initial_records = [
        TargetRecord(target_id, Offset(number), make_target(target_id))
        for number, target_id in enumerate(TARGET_IDS)
    ]
    targets.apply(initial_records, Seconds(0.0))
    targets.record_outage_end(Seconds(10.0))
    targets.replace(initial_records[:2], Seconds(10.1), Offset(9))
    assert set(targets.targets) == set(TARGET_IDS)
    returned_record = TargetRecord(TARGET_IDS[2], Offset(9), make_target(TARGET_IDS[2]))
    targets.apply([returned_record], Seconds(11.0))
    assert list(targets.expire(Seconds(13.0))) == [TARGET_IDS[3]]
    assert set(targets.targets) == set(TARGET_IDS[:3])
