"""Records of blocked suspects whose write the store does, but whose answer is cut."""

from typing import Any
from unittest.mock import Mock

from ridgecourse.core.crash_reports import CrashReport, EngineEnd
from ridgecourse.core.engine_incarnation import EngineIncarnation
from ridgecourse.core.ids import Offset, Seconds, Signature, TargetId
from ridgecourse.gateway.blocked_suspects import BlockedSuspectStore
from ridgecourse.net.record_source import (
    AppendConflict,
    KeyedRecord,
    RecordBatch,
    SourceUnavailable,
    Topic,
)

SIGNATURE = Signature(b"\x01\x02")
REPORT = CrashReport(
    SIGNATURE, (EngineEnd(EngineIncarnation(TargetId("i-1"), None), 0.0),)
)


class BlockedTopic:
    """The records of blocked suspects in the store.

    Attributes:
        records: Key and value of each record.
        cuts_answers: Whether the answers to writes, which are done, are cut.
    """

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.cuts_answers = True

    def newest(self, topic: Topic) -> RecordBatch:
        newest = {
            key: KeyedRecord(key, value, Offset(offset))
            for offset, (key, value) in enumerate(self.records)
        }
        present = [record for record in newest.values() if record.value]
        return RecordBatch(present, Offset(len(self.records)), Seconds(0.0))

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        if end != len(self.records):
            raise AppendConflict(f"the topic ends at {len(self.records)}")
        self.records.append((key, value))
        if self.cuts_answers:
            raise SourceUnavailable("the answer is cut")


def write_once(blocks: BlockedSuspectStore) -> None:
    for key, value in list(blocks.pending.items()):
        blocks._try_write(key, value)


def test_block_whose_answer_is_cut_is_written_again_as_it_is() -> None:
    # Guards against a block that counts as written because of a cut answer, and against
    # a second write that changes it or brings back one that was removed.
    topic = BlockedTopic()
    source: Any = topic
    blocks = BlockedSuspectStore(source, Mock())
    blocks.add(REPORT)
    write_once(blocks)
    assert blocks.pending
    write_once(blocks)
    assert len(topic.records) == 2
    assert len(set(topic.records)) == 1
    assert [report.signature for report in blocks.read()] == [SIGNATURE]
    blocks.remove(SIGNATURE)
    write_once(blocks)
    topic.cuts_answers = False
    write_once(blocks)
    assert not blocks.pending
    assert blocks.read() == []
