"""Records of a later era of the store are newer; what a copy holds takes nothing back.

Guards against two faults of a return from a copy. Records of the new era at lower
offsets counted as old. And a copy that counts as the present would list engines as
ready that leave or are gone, and bring back older decisions.
"""

from typing import Any
from unittest.mock import Mock

import pytest
from gateway_site import make_config, make_engine_entry
from msgspec.json import encode
from view_reader import RecordingEventStream

from ridgecourse.cluster.era_watch import REWRITE_SECONDS
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.ids import (
    ModelName,
    Offset,
    Seconds,
    ServiceName,
    WeightsVersion,
    make_offset,
)
from ridgecourse.core.target_list import RETURN_SECONDS
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.record_source import (
    KeyedRecord,
    RecordBatch,
    Topic,
)
from ridgecourse.platform.records import PlatformRecordDecoder

MODEL = ModelName("m0")
OLD, NEW = 7, 8
BORN = 1_796_000_000_000


class ReturningStore:
    """A view that is fed batches of two eras.

    Attributes:
        events: Events of the view.
        pinned: Mock of the source of pinned decisions.
        view: The view under test.
    """

    def __init__(self) -> None:
        self.events = RecordingEventStream()
        self.pinned = Mock()
        self.view = ClusterView(
            Mock(), self.pinned, PlatformRecordDecoder(), self.events, 8.0
        )

    def apply(
        self,
        topic: Topic,
        era: int,
        records: dict[int, tuple[str, Any]],
        end: int,
        whole: bool = False,
        relayed: bool = False,
        copied_end: int | None = None,
    ) -> None:
        """Apply a batch with records by their numbers; a value of None removes."""
        batch = RecordBatch(
            [
                KeyedRecord(
                    key,
                    b"" if value is None else encode(value),
                    make_offset(era, index),
                )
                for index, (key, value) in records.items()
            ],
            make_offset(era, end),
            boottime(),
            is_relayed=relayed,
            copied_end=make_offset(era, copied_end or 0),
        )
        self.view.apply(topic, batch, whole)

    def decide(self, era: int, index: int, version: int, **options: Any) -> None:
        records = {index: ("config", make_config(version))}
        self.apply(Topic.DECISIONS, era, records, index + 1, **options)

    def list_target(
        self,
        era: int,
        index: int,
        state: str | None,
        key: str = "i-1",
        sequence: int = 1,
        **options: Any,
    ) -> None:
        entry = None if state is None else {**make_entry(state), "sequence": sequence}
        self.apply(Topic.TARGETS, era, {index: (key, entry)}, index + 1, **options)

    @property
    def serving(self) -> set[str]:
        targets = self.view.serving_targets(ServiceName("llm"))
        return {str(target.target) for target in targets}

    def pinned_versions(self) -> list[int]:
        decoder = PlatformRecordDecoder()
        records = [call.args[0] for call in self.pinned.pin.call_args_list]
        return [decoder.decision(record).unwrap().version for record in records]  # type: ignore[union-attr]


def make_entry(state: str, born: int = BORN) -> dict[str, Any]:
    return make_engine_entry("127.0.0.1:9", "a", state=state, born=born)


@pytest.fixture
def store() -> ReturningStore:
    return ReturningStore()


def test_a_decision_at_a_lower_offset_of_a_later_era_is_in_force(store) -> None:
    store.decide(OLD, 6, 19)
    store.decide(NEW, 3, 26)
    assert store.view.config.version == 26
    newer = store.view.record_server.topics[Topic.DECISIONS].records_since(
        make_offset(OLD, 7)
    )
    assert [record.offset for record in newer.records] == [make_offset(NEW, 3)]
    assert newer.end == make_offset(NEW, 4)


def test_an_older_decision_of_a_copy_is_not_in_force_and_the_newer_is_pinned(
    store,
) -> None:
    store.decide(OLD, 6, 19)
    store.decide(NEW, 2, 13, whole=True)
    assert store.view.config.version == 19
    assert store.pinned_versions() == [19]


def test_a_decision_that_a_copy_lacks_is_pinned(store) -> None:
    version = {"model": MODEL, "version": 2}
    store.apply(Topic.DECISIONS, OLD, {4: ("version/m0", version)}, 5)
    store.decide(OLD, 5, 19)
    store.apply(Topic.DECISIONS, NEW, {2: ("config", make_config(19))}, 3, whole=True)
    assert store.pinned_versions() == [2]
    assert store.view.wanted_version(MODEL) == 2


def test_nothing_is_pinned_when_no_era_begins(store) -> None:
    store.decide(OLD, 5, 19)
    store.apply(Topic.DECISIONS, OLD, {}, 6, whole=True)
    assert store.pinned_versions() == []


def test_a_version_that_is_written_again_counts_from_before_the_return(store) -> None:
    """It may have been lost before this process read it."""
    store.decide(OLD, 5, 19)
    topic_records = store.view.record_server.topics[Topic.DECISIONS]
    topic_records.confirmed_at = last_confirmed = Seconds(boottime() - 1.5)
    store.decide(NEW, 2, 19, whole=True)
    assert topic_records.confirmed_at > last_confirmed
    version = {"model": MODEL, "version": 2}
    store.apply(Topic.DECISIONS, NEW, {3: ("version/m0", version)}, 4)
    deadline = store.view.history(MODEL).start_deadline(WeightsVersion(1))
    assert deadline == pytest.approx(last_confirmed + 8.0, abs=0.01)
    assert REWRITE_SECONDS > 1.5


def test_an_entry_at_a_lower_offset_of_a_later_era_is_listed(store) -> None:
    store.list_target(OLD, 17, "ready")
    store.list_target(NEW, 4, "draining")
    assert store.serving == set()


@pytest.mark.parametrize("copy_first", [True, False])
def test_a_copy_does_not_take_back_that_an_engine_leaves(
    store, copy_first: bool
) -> None:
    """Processes that have heard of the two eras may meet in both orders."""
    store.list_target(OLD, 16, "ready")

    def hear_of_leaving() -> None:
        store.list_target(OLD, 17, "draining")

    def read_copy() -> None:
        store.list_target(NEW, 4, "ready", whole=True, copied_end=5)

    steps = [read_copy, hear_of_leaving] if copy_first else [hear_of_leaving, read_copy]
    for step in steps:
        step()
    assert store.serving == set()
    store.list_target(NEW, 9, "draining")
    assert store.serving == set()


@pytest.mark.parametrize("copy_first", [True, False])
def test_a_copy_does_not_list_an_engine_that_is_gone(store, copy_first: bool) -> None:
    store.list_target(OLD, 16, "ready")

    def hear_of_removal() -> None:
        store.list_target(OLD, 17, None)

    def read_copy() -> None:
        store.list_target(NEW, 4, "ready", whole=True, copied_end=5)

    steps = [read_copy, hear_of_removal] if copy_first else [hear_of_removal, read_copy]
    for step in steps:
        step()
    if copy_first:
        # Removals are ignored for a moment after a return.
        list(store.view.targets.expire(Seconds(boottime() + RETURN_SECONDS)))
    assert store.serving == set()
    # It is alive after all, and writes its entry again.
    store.list_target(NEW, 7, "ready", sequence=9)
    assert store.serving == {"i-1"}


def test_a_copy_does_not_list_an_engine_that_a_full_read_lacked(store) -> None:
    """Its removal was among the records that were skipped."""
    store.list_target(OLD, 16, "ready")
    store.apply(Topic.TARGETS, OLD, {}, 20, whole=True, copied_end=1)
    assert store.serving == set()
    store.list_target(NEW, 4, "ready", whole=True, copied_end=5)
    assert store.serving == set()


def test_an_engine_that_a_copy_lacks_keeps_its_place_until_it_writes(store) -> None:
    """It started in the seconds that the store has lost."""
    store.list_target(OLD, 16, "ready", key="i-new")
    store.list_target(OLD, 17, "ready")
    store.apply(
        Topic.TARGETS, NEW, {4: ("i-1", make_entry("ready"))}, 5, True, copied_end=5
    )
    assert store.serving == {"i-1", "i-new"}
    store.list_target(NEW, 6, "ready", key="i-new")
    list(store.view.targets.expire(Seconds(boottime() + RETURN_SECONDS)))
    assert store.serving == {"i-1", "i-new"}


def test_an_engine_that_a_copy_lacks_and_that_is_gone_is_dropped(store) -> None:
    store.list_target(OLD, 16, "ready", key="i-gone")
    store.list_target(OLD, 17, "ready")
    store.apply(
        Topic.TARGETS, NEW, {4: ("i-1", make_entry("ready"))}, 5, True, copied_end=5
    )
    list(store.view.targets.expire(Seconds(boottime() + RETURN_SECONDS)))
    assert store.serving == {"i-1"}


def test_a_new_incarnation_in_a_later_era_is_listed(store) -> None:
    store.list_target(OLD, 17, "draining")
    records = {4: ("i-1", make_entry("ready", BORN + 1000))}
    store.apply(Topic.TARGETS, NEW, records, 5, whole=True, copied_end=5)
    assert store.serving == {"i-1"}


def test_downstream_processes_are_not_told_what_a_copy_takes_back(store) -> None:
    """A process that starts later asks from the beginning."""
    store.list_target(OLD, 16, "draining")
    store.list_target(OLD, 17, "ready", key="i-2")
    store.list_target(OLD, 18, None, key="i-2")
    records = {4: ("i-1", make_entry("ready")), 5: ("i-2", make_entry("ready"))}
    store.apply(Topic.TARGETS, NEW, records, 6, whole=True, copied_end=6)
    served = store.view.record_server.topics[Topic.TARGETS].records_since(Offset(0))
    downstream = ReturningStore()
    downstream.view.apply(
        Topic.TARGETS,
        RecordBatch(
            served.records,
            served.end,
            boottime(),
            is_relayed=True,
            copied_end=served.copied_end,
        ),
        True,
    )
    assert downstream.serving == set()


def test_a_return_is_told_once_for_each_topic(store) -> None:
    store.list_target(OLD, 17, "ready")
    store.list_target(NEW, 4, "ready")
    store.list_target(NEW, 5, "ready")
    store.list_target(OLD, 18, "ready")
    rewinds = [
        detail
        for kind, detail in store.events.recorded
        if kind is EventKind.STORE_REWOUND
    ]
    assert [(detail["era_before"], detail["era"]) for detail in rewinds] == [(OLD, NEW)]
