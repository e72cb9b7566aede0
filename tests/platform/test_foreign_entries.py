"""Records that another writer left in the platform's store.

A writer that is not ours may leave anything under any key: fields missing or of another
type, states and services that nobody names, bytes that are no text. Such a record names
no engine to use, is counted, and is logged once with its key. The others hold.

Before, an entry of an unknown state counted as ready, one without slots or with an
address that is none was listed, a bad entry that replaced a good one left that in
force, and each was logged again whenever it was read.
"""

from typing import Any

import pytest
from foreign_reader import ENTRY, Reader, change, json_values, raw_record, without
from gateway_site import MODEL, make_config
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode

from ridgecourse.core.ids import Offset, Seconds, TargetId
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.names import CONFIG_KEY

LINES_ALLOWED = 100
"""Lines on records that could not be used, however many there are."""

NAMED_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "sequence",
)

BAD_ENTRIES = {
    "an unknown state": change(ENTRY, state="sleeping"),
    "no address": change(ENTRY, address="nowhere"),
    "a name for an address": change(ENTRY, address="host.example:80"),
    "port 0": change(ENTRY, address="10.0.0.1:0"),
    "a port of other digits": change(ENTRY, address="10.0.0.1:\u0661\u0662"),
    "a port too many": change(ENTRY, address="10.0.0.1:65536"),
    "a port of 5,000 digits": change(ENTRY, address="10.0.0.1:" + "1" * 5000),
    "no slots": change(ENTRY, slots=0),
    "negative slots": change(ENTRY, slots=-3),
    "half a slot": change(ENTRY, slots=1.5),
    "slots that are true": change(ENTRY, slots=True),
    "slots beyond all measure": change(ENTRY, slots=2**60),
    "models that are no list": change(ENTRY, models={"name": MODEL}),
    "a model without version": change(ENTRY, models=[{"name": MODEL}]),
    "a negative version": change(ENTRY, models=[{"name": MODEL, "version": -1}]),
    "layers that are a list": change(ENTRY, layers=[0, 16, 1]),
    "negative layers": change(
        ENTRY, layers={"from": -1, "target_version": 16, "version": 1}
    ),
    "no service": change(ENTRY, service=""),
    "no zone": change(ENTRY, zone=""),
    "nothing": {},
    "a list": [],
    "null": None,
    **{f"without {field}": without(ENTRY, field) for field in NAMED_FIELDS},
}


@pytest.mark.parametrize("bad", BAD_ENTRIES.values(), ids=BAD_ENTRIES)
def test_a_bad_entry_names_no_engine_and_the_others_hold(bad: Any) -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY), ("i-2", bad), ("i-3", ENTRY))
    assert reader.serving() == {"i-1", "i-3"}
    assert "i-2" not in reader.view.targets.targets
    (line,) = reader.events.bad()
    assert line["key"] == "i-2"


@pytest.mark.parametrize("bad", BAD_ENTRIES.values(), ids=BAD_ENTRIES)
def test_a_bad_entry_that_replaces_a_good_one_takes_it_out(bad: Any) -> None:
    """At once, also while removals after an outage are not believed yet."""
    reader = Reader()
    reader.list(("i-1", ENTRY), ("i-2", ENTRY))
    reader.view.targets.record_outage_end(Seconds(1e12))
    reader.list(("i-2", bad))
    assert reader.serving() == {"i-1"}
    reader.list(("i-2", ENTRY))
    assert reader.serving() == {"i-1", "i-2"}


@pytest.mark.parametrize("field", ENTRY)
def test_an_entry_with_one_field_of_another_type_names_no_engine(field: str) -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY), ("i-2", change(ENTRY, **{field: {"x": [1]}})))
    assert reader.serving() == {"i-1"}
    adapters = [{"name": MODEL, "version": 1, "adapters": 7}]
    reader.list(("i-1", change(ENTRY, models=adapters)))
    assert reader.serving() == set()


@given(value=st.binary(min_size=1) | json_values.map(encode))
def test_any_value_of_an_entry_leaves_the_others(value: bytes) -> None:
    reader = Reader()
    good = encode(ENTRY)
    reader.read(Topic.TARGETS, (b"i-1", good), (b"i-2", value), (b"i-3", good))
    assert reader.serving() == {"i-1", "i-3"}


@given(field=st.sampled_from(sorted(ENTRY)), value=json_values)
def test_a_field_of_any_value_never_raises(field: str, value: Any) -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY), ("i-2", change(ENTRY, **{field: value})))
    assert "i-1" in reader.serving()
    for target in reader.view.targets.targets.values():
        assert target.slots > 0
        assert target.host


def test_an_older_bad_entry_does_not_replace_a_newer_good_one() -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY), ("i-1", ENTRY))
    late = KeyedRecord("i-1", b"junk", Offset(0))
    reader.view.apply_targets(RecordBatch([late], Offset(1), Seconds(0.0)), False)
    assert reader.serving() == {"i-1"}


def test_an_older_good_entry_does_not_come_back_after_a_bad_one() -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY), ("i-1", {}))
    late = KeyedRecord("i-1", encode(ENTRY), Offset(0))
    reader.view.apply_targets(RecordBatch([late], Offset(1), Seconds(0.0)), False)
    assert reader.serving() == set()


def test_others_are_told_that_an_entry_cannot_be_used() -> None:
    """Who reads from this process hears of the bad entry as well."""
    reader, other = Reader(), Reader()
    for each in (reader, other):
        each.list(("i-1", ENTRY))
    reader.read_raw(Topic.TARGETS, [raw_record(b"i-1", b"\xff\xfe")])
    shared = reader.view.record_server.topics[Topic.TARGETS].records_since(Offset(0))
    other.view.apply_targets(
        RecordBatch(shared.records, shared.end, Seconds(0.0)), False
    )
    assert other.serving() == set()


def test_a_service_that_no_configuration_names_is_logged_and_gets_nothing() -> None:
    reader = Reader()
    reader.decide(CONFIG_KEY, make_config(1))
    reader.list(("i-1", ENTRY), ("i-2", change(ENTRY, service="nobody")))
    reader.list(("i-2", change(ENTRY, service="nobody", sequence=5)))
    assert reader.serving() == {"i-1"}
    (line,) = reader.events.bad()
    assert line["key"] == "i-2"


def test_an_engine_may_be_listed_before_its_service_is_configured() -> None:
    reader = Reader()
    reader.decide(CONFIG_KEY, make_config(1, services=[]))
    reader.list(("i-1", ENTRY))
    reader.decide(CONFIG_KEY, make_config(2))
    assert reader.serving() == {"i-1"}


def test_a_bad_key_is_logged_once_and_counted_each_time() -> None:
    reader = Reader()
    for number in range(50):
        reader.list(("i-1", {"number": number}))
    assert len(reader.events.bad()) == 1
    assert reader.events.metrics.counters["records_rejected_targets"] == 50


def test_neither_log_nor_memory_grows_with_bad_entries() -> None:
    reader = Reader()
    reader.list(("i-good", ENTRY))
    for start in range(0, 20_000, 1000):
        reader.list(*((f"x-{start + n}", {"a": "b" * 500}) for n in range(1000)))
    assert len(reader.events.bad()) <= LINES_ALLOWED
    assert reader.events.metrics.counters["records_rejected_targets"] == 20_000
    assert reader.serving() == {"i-good"}
    topic = reader.view.record_server.topics[Topic.TARGETS]
    assert len(topic.records) <= 1001
    assert len(reader.view.targets.histories) <= 1001
    assert sum(len(record.value) for record in topic.records.values()) < 1000


def test_others_still_hear_of_a_target_that_left_behind_many_bad_entries() -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY))
    reader.read(Topic.TARGETS, (b"i-1", b""))
    for start in range(0, 3000, 1000):
        reader.list(*((f"x-{start + number}", {}) for number in range(1000)))
    shared = reader.view.record_server.topics[Topic.TARGETS].records_since(Offset(0))
    assert "i-1" in {record.key for record in shared.records}


def test_what_is_logged_of_a_value_is_short() -> None:
    reader = Reader()
    reader.list(("i-1", change(ENTRY, state="x" * 100_000)))
    (line,) = reader.events.bad()
    assert len(encode(line)) < 1000


def test_a_target_is_removed_by_an_empty_value_alone() -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY))
    reader.read(Topic.TARGETS, (b"i-1", b""))
    assert TargetId("i-1") not in reader.view.targets.targets
    assert reader.events.bad() == []
