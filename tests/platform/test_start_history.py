"""A gateway that starts finds out whether it may follow a former life of itself."""

from time import time
from typing import Any
from unittest.mock import Mock

import pytest

from ridgecourse.core.ids import Offset, ProcessName, Seconds
from ridgecourse.gateway.retry_control import (
    FIRST_START_SHARE,
    StartHistory,
    StartKind,
    StoredStart,
)
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    SourceUnavailable,
    Topic,
)
from ridgecourse.wire.codec import encode_message

WINDOW_SECONDS = 10.0
LATEST_SECONDS = FIRST_START_SHARE * WINDOW_SECONDS
OWN_NAME = ProcessName("edge-a-1")
OTHER_NAME = "edge-a-2"


class StartsTopic:
    """The records of first starts in the store.

    Attributes:
        records: Value of each record.
        failures: Number of calls that the store does not answer.
        lost_answers: Number of writes that are done and whose answers are cut.
        calls: Number of calls.
    """

    def __init__(self, records: dict[str, bytes], failures: int = 0) -> None:
        self.records = records
        self.failures = failures
        self.lost_answers = 0
        self.calls = 0

    def _call(self) -> None:
        self.calls += 1
        if self.calls <= self.failures:
            raise SourceUnavailable("no answer")

    def newest(self, topic: Topic) -> RecordBatch:
        assert topic is Topic.STARTS
        self._call()
        records = [
            KeyedRecord(key, value, Offset(0)) for key, value in self.records.items()
        ]
        return RecordBatch(records, Offset(len(records)), Seconds(0.0))

    def append(self, topic: Topic, key: str, value: bytes, end: Offset | None) -> None:
        assert (topic, end) == (Topic.STARTS, None)
        self._call()
        self.records[key] = value
        if self.lost_answers:
            self.lost_answers -= 1
            raise SourceUnavailable("the answer is cut")


def record_of_start(age: float) -> bytes:
    return encode_message(StoredStart(time() - age))


def find_start(topic: StartsTopic, first_start: bool = False) -> StartHistory:
    site: Any = Mock(process=OWN_NAME, first_start=first_start)
    site.bounds.retry_seconds = WINDOW_SECONDS
    source: Any = topic
    history = StartHistory(site, source, Mock())
    history.start()
    assert history.thread is not None
    history.thread.wait()
    return history


@pytest.mark.parametrize(
    "ages,kind",
    [
        ({}, StartKind.FIRST),
        ({OTHER_NAME: 0.5}, StartKind.FIRST),
        ({OTHER_NAME: LATEST_SECONDS + 5.0}, StartKind.LATER),
        ({OWN_NAME: 0.5}, StartKind.LATER),
    ],
    ids=["first", "beside-others", "joins", "starts-again"],
)
def test_kind_of_a_start(ages: dict[str, float], kind: StartKind) -> None:
    topic = StartsTopic({name: record_of_start(age) for name, age in ages.items()})
    former = dict(topic.records)
    assert find_start(topic).kind is kind
    added = topic.records.keys() - former.keys()
    assert added == ({OWN_NAME} if kind is StartKind.FIRST else set())


def test_an_invalid_record_counts_as_an_earlier_start() -> None:
    assert find_start(StartsTopic({OTHER_NAME: b"\xff"})).kind is StartKind.LATER


def test_the_next_start_follows_a_first_start_of_the_whole_system() -> None:
    topic = StartsTopic({OTHER_NAME: record_of_start(0.1)})
    assert find_start(topic, first_start=True).kind is StartKind.FIRST
    assert topic.calls == 1
    assert find_start(topic).kind is StartKind.LATER
    assert topic.calls == 2


@pytest.mark.parametrize("failures", [1, 2])
def test_no_start_counts_as_the_first_before_its_record_is_written(
    failures: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ridgecourse.gateway.retry_control.STORE_RETRY_SECONDS", 0.01)
    topic = StartsTopic({}, failures)
    history = find_start(topic)
    assert history.kind is StartKind.FIRST
    assert list(topic.records) == [OWN_NAME]
    assert topic.calls == failures + 2


@pytest.mark.parametrize("lost_answers", [1, 2])
def test_cut_answer_to_the_write_of_a_first_start_leaves_it_the_first(
    lost_answers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a gateway that takes its own record for one of a former life, and
    # then repeats no request for a whole window.
    monkeypatch.setattr("ridgecourse.gateway.retry_control.STORE_RETRY_SECONDS", 0.01)
    topic = StartsTopic({})
    topic.lost_answers = lost_answers
    assert find_start(topic).kind is StartKind.FIRST
    assert find_start(topic).kind is StartKind.LATER
