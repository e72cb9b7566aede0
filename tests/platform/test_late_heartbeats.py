"""A heartbeat that reaches the store late takes back neither a removal nor a leaving.

Guards against a failure in which a heartbeat that a cut had held up was taken for the
newest entry of an engine, because it had the highest offset. The engine had left
meanwhile. It got requests for as long as it still ran, and those that may run only once
were lost when it ended.
"""

from dataclasses import dataclass
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode
from test_known_incarnations import ENGINE, NOW, TARGET_ENTRY, make_target

from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import EngineStart, Offset, Seconds, make_offset
from ridgecourse.core.target_list import ListedTarget, TargetList, TargetRecord
from ridgecourse.net.clock import boottime
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.records import PlatformRecordDecoder


@dataclass(frozen=True)
class Write:
    """An entry, or the removal, of the engine in the stream.

    Attributes:
        offset: Position in the stream.
        sequence: Sequence of the entry; 0 for the removal.
        leaving: Whether the entry says that the engine leaves.
        started: Start of the engine.
    """

    offset: int
    sequence: int = 0
    leaving: bool = False
    started: int = 5

    @property
    def entry(self) -> ListedTarget | None:
        if not self.sequence:
            return None
        return make_target(EngineStart(self.started), leaving=self.leaving)

    @property
    def record(self) -> TargetRecord:
        offset = Offset(self.offset)
        return TargetRecord(ENGINE, offset, self.entry, sequence=self.sequence)


def apply(*writes: Write) -> ListedTarget | None:
    """Return the entry that is listed after writes were read in this order."""
    targets = TargetList()
    for write in writes:
        targets.apply([write.record], NOW)
    return targets.targets.get(ENGINE)


def test_late_heartbeat_does_not_list_an_engine_again_that_was_removed() -> None:
    assert apply(Write(1, 3), Write(2, 6), Write(3), Write(4, 4)) is None


def test_late_heartbeat_does_not_take_back_that_an_engine_leaves() -> None:
    listed = apply(Write(1, 3), Write(2, 6, leaving=True), Write(3, 4))
    assert listed is not None
    assert listed.leaving


def test_next_heartbeat_of_an_engine_that_lapsed_lists_it_again() -> None:
    # The late heartbeat of a live engine must not keep its next one out.
    assert apply(Write(1, 3), Write(2), Write(3, 2), Write(4, 7)) is not None


def test_new_start_of_an_engine_counts_from_the_beginning() -> None:
    assert apply(Write(1, 30), Write(2), Write(3, 1, started=9)) is not None


def test_entry_in_a_copy_of_the_store_counts_as_older_than_the_newest() -> None:
    # A store that returns from a copy gives out offsets and earlier entries again.
    targets = TargetList()
    targets.apply([Write(1, 3).record, Write(2, 9).record], NOW)
    copied = Write(make_offset(1, 1), 3, leaving=True)
    targets.copied_end = Offset(make_offset(1, 2))
    targets.replace([copied.record], NOW, targets.copied_end)
    assert not targets.targets[ENGINE].leaving
    removal = Write(make_offset(1, 2)).record
    targets.apply([removal, Write(make_offset(1, 3), 8).record], Seconds(NOW + 60))
    assert ENGINE not in targets.targets
    targets.apply([Write(make_offset(1, 4), 11).record], Seconds(NOW + 61))
    assert ENGINE in targets.targets


def find_expected(writes: list[Write]) -> ListedTarget | None:
    """Return the last entry of the last start, unless it was removed after that."""
    entries = [write for write in writes if write.sequence]
    newest = max(entries, key=lambda w: (w.started, w.sequence, w.offset), default=None)
    removed_at = max((w.offset for w in writes if not w.sequence), default=-1)
    return newest.entry if newest and newest.offset > removed_at else None


@given(st.data())
def test_order_in_which_late_heartbeats_are_read_does_not_matter(
    data: st.DataObject,
) -> None:
    fields = st.tuples(st.integers(0, 4), st.booleans(), st.integers(5, 7))
    drawn = data.draw(st.lists(fields, max_size=7))
    writes = [Write(offset, *write) for offset, write in enumerate(drawn)]
    assert apply(*data.draw(st.permutations(writes))) == find_expected(writes)


class ViewOfEngine:
    """A process that reads the list of targets, and what it serves to others."""

    def __init__(self) -> None:
        self.events = Mock()
        decoder = PlatformRecordDecoder()
        self.view = ClusterView(Mock(), Mock(), decoder, self.events, 8.0)

    def read(self, offset: int, sequence: int, state: str = "ready") -> None:
        """Read a record; a sequence of 0 is a removal."""
        entry: dict[str, Any] = {**TARGET_ENTRY, "sequence": sequence, "state": state}
        value = encode(entry) if sequence else b""
        record = KeyedRecord(ENGINE, value, Offset(offset))
        batch = RecordBatch([record], Offset(offset + 1), boottime())
        self.view.apply(Topic.TARGETS, batch, whole=False)

    def served(self) -> KeyedRecord:
        topic = self.view.record_server.topics[Topic.TARGETS]
        return topic.records_since(Offset(0)).records[0]


@pytest.mark.parametrize("leaving", [True, False])
def test_late_heartbeat_is_logged_and_not_passed_on(leaving: bool) -> None:
    # A process that reads from another one may know no sequence but that of the entry.
    process = ViewOfEngine()
    process.read(1, 3)
    process.read(2, 6)
    process.read(3, 7 if leaving else 0, "draining")
    assert process.served().offset == 3
    process.read(4, 4)
    assert process.served().offset == 3
    assert process.view.record_server.topics[Topic.TARGETS].end == 5
    kinds = [call.args[0].value for call in process.events.emit.call_args_list]
    assert kinds.count("entry-overtaken") == 1
