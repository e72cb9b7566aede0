"""Invalid target entries that another writer left in the platform's store.

Another writer may store anything under any key: entries with missing fields or fields
of another type, unknown states and services, or bytes that are not text. Such an entry
must not name a usable engine. It is counted, and logged once with its key; other
entries stay in force.

The tests guard against these failures: an entry with an unknown state counts as ready;
an entry without slots or with an invalid address is listed; an invalid entry that
replaces a valid one leaves the valid one in force; an invalid entry is logged again at
each read.
"""

from typing import Any

import pytest
from gateway_site import MODEL, make_config
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode
from view_reader import (
    TARGET_ENTRY,
    ViewReader,
    json_values,
    raw_record,
    with_fields,
    without_field,
)

from ridgecourse.core.ids import Offset, Seconds, TargetId
from ridgecourse.net.record_source import KeyedRecord, RecordBatch, Topic
from ridgecourse.platform.names import CONFIG_KEY

MAX_LOG_LINES = 100
"""Maximum number of log lines for invalid records, for any number of records."""

REQUIRED_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "sequence",
)

INVALID_ENTRIES = {
    "an unknown state": with_fields(TARGET_ENTRY, state="sleeping"),
    "no address": with_fields(TARGET_ENTRY, address="nowhere"),
    "a host name as the address": with_fields(TARGET_ENTRY, address="host.example:80"),
    "port 0": with_fields(TARGET_ENTRY, address="10.0.0.1:0"),
    "a port of non-ASCII digits": with_fields(
        TARGET_ENTRY, address="10.0.0.1:\u0661\u0662"
    ),
    "a port above 65535": with_fields(TARGET_ENTRY, address="10.0.0.1:65536"),
    "a port of 5,000 digits": with_fields(
        TARGET_ENTRY, address="10.0.0.1:" + "1" * 5000
    ),
    "no slots": with_fields(TARGET_ENTRY, slots=0),
    "negative slots": with_fields(TARGET_ENTRY, slots=-3),
    "half a slot": with_fields(TARGET_ENTRY, slots=1.5),
    "slots that are true": with_fields(TARGET_ENTRY, slots=True),
    "too many slots": with_fields(TARGET_ENTRY, slots=2**60),
    "models that are no list": with_fields(TARGET_ENTRY, models={"name": MODEL}),
    "a model without version": with_fields(TARGET_ENTRY, models=[{"name": MODEL}]),
    "a negative version": with_fields(
        TARGET_ENTRY, models=[{"name": MODEL, "version": -1}]
    ),
    "layers that are a list": with_fields(TARGET_ENTRY, layers=[0, 16, 1]),
    "negative layers": with_fields(
        TARGET_ENTRY, layers={"from": -1, "target_version": 16, "version": 1}
    ),
    "no service": with_fields(TARGET_ENTRY, service=""),
    "no zone": with_fields(TARGET_ENTRY, zone=""),
    "no fields": {},
    "a list": [],
    "null": None,
    **{
        f"without {field}": without_field(TARGET_ENTRY, field)
        for field in REQUIRED_FIELDS
    },
}


@pytest.mark.parametrize("bad", INVALID_ENTRIES.values(), ids=INVALID_ENTRIES)
def test_an_invalid_entry_is_ignored_and_logged(bad: Any) -> None:
    reader = ViewReader()
    reader.list_targets(("i-1", TARGET_ENTRY), ("i-2", bad), ("i-3", TARGET_ENTRY))
    assert reader.serving_targets() == {"i-1", "i-3"}
    assert "i-2" not in reader.view.targets.targets
    (line,) = reader.events.bad_input_details()
    assert line["key"] == "i-2"


@pytest.mark.parametrize("bad", INVALID_ENTRIES.values(), ids=INVALID_ENTRIES)
def test_an_invalid_entry_removes_the_valid_one_it_replaces(bad: Any) -> None:
    """The removal is immediate, also while removals after an outage are deferred."""
    reader = ViewReader()
    reader.list_targets(("i-1", TARGET_ENTRY), ("i-2", TARGET_ENTRY))
    reader.view.targets.record_outage_end(Seconds(1e12))
    reader.list_targets(("i-2", bad))
    assert reader.serving_targets() == {"i-1"}
    reader.list_targets(("i-2", TARGET_ENTRY))
    assert reader.serving_targets() == {"i-1", "i-2"}


@pytest.mark.parametrize("field", TARGET_ENTRY)
def test_an_entry_with_a_field_of_the_wrong_type_is_ignored(field: str) -> None:
    reader = ViewReader()
    reader.list_targets(
        ("i-1", TARGET_ENTRY), ("i-2", with_fields(TARGET_ENTRY, **{field: {"x": [1]}}))
    )
    assert reader.serving_targets() == {"i-1"}
    adapters = [{"name": MODEL, "version": 1, "adapters": 7}]
    reader.list_targets(("i-1", with_fields(TARGET_ENTRY, models=adapters)))
    assert reader.serving_targets() == set()


@given(value=st.binary(min_size=1) | json_values.map(encode))
def test_arbitrary_entry_values_do_not_affect_other_entries(value: bytes) -> None:
    reader = ViewReader()
    good = encode(TARGET_ENTRY)
    reader.apply_answer(Topic.TARGETS, (b"i-1", good), (b"i-2", value), (b"i-3", good))
    assert reader.serving_targets() == {"i-1", "i-3"}


@given(field=st.sampled_from(sorted(TARGET_ENTRY)), value=json_values)
def test_arbitrary_field_values_never_raise(field: str, value: Any) -> None:
    reader = ViewReader()
    reader.list_targets(
        ("i-1", TARGET_ENTRY), ("i-2", with_fields(TARGET_ENTRY, **{field: value}))
    )
    assert "i-1" in reader.serving_targets()
    for target in reader.view.targets.targets.values():
        assert target.slots > 0
        assert target.host


def test_an_older_invalid_entry_does_not_replace_a_newer_valid_one() -> None:
    reader = ViewReader()
    reader.list_targets(("i-1", TARGET_ENTRY), ("i-1", TARGET_ENTRY))
    older = KeyedRecord("i-1", b"junk", Offset(0))
    reader.view.apply_targets(RecordBatch([older], Offset(1), Seconds(0.0)), False)
    assert reader.serving_targets() == {"i-1"}


def test_an_older_valid_entry_does_not_replace_a_newer_invalid_one() -> None:
    reader = ViewReader()
    reader.list_targets(("i-1", TARGET_ENTRY), ("i-1", {}))
    older = KeyedRecord("i-1", encode(TARGET_ENTRY), Offset(0))
    reader.view.apply_targets(RecordBatch([older], Offset(1), Seconds(0.0)), False)
    assert reader.serving_targets() == set()


def test_invalid_entries_are_forwarded_to_other_readers() -> None:
    """A process that reads from this process receives the invalid entry as well."""
    reader, other = ViewReader(), ViewReader()
    for view_reader in (reader, other):
        view_reader.list_targets(("i-1", TARGET_ENTRY))
    reader.apply_encoded_answer(Topic.TARGETS, [raw_record(b"i-1", b"\xff\xfe")])
    shared = reader.view.record_server.topics[Topic.TARGETS].records_since(Offset(0))
    other.view.apply_targets(
        RecordBatch(shared.records, shared.end, Seconds(0.0)), False
    )
    assert other.serving_targets() == set()


def test_an_entry_of_an_unconfigured_service_is_logged_and_not_served() -> None:
    reader = ViewReader()
    reader.apply_decision(CONFIG_KEY, make_config(1))
    reader.list_targets(
        ("i-1", TARGET_ENTRY), ("i-2", with_fields(TARGET_ENTRY, service="nobody"))
    )
    reader.list_targets(
        ("i-2", with_fields(TARGET_ENTRY, service="nobody", sequence=5))
    )
    assert reader.serving_targets() == {"i-1"}
    (line,) = reader.events.bad_input_details()
    assert line["key"] == "i-2"


def test_an_engine_may_be_listed_before_its_service_is_configured() -> None:
    reader = ViewReader()
    reader.apply_decision(CONFIG_KEY, make_config(1, services=[]))
    reader.list_targets(("i-1", TARGET_ENTRY))
    reader.apply_decision(CONFIG_KEY, make_config(2))
    assert reader.serving_targets() == {"i-1"}


def test_an_invalid_entry_is_logged_once_per_key_and_counted_each_time() -> None:
    reader = ViewReader()
    for number in range(50):
        reader.list_targets(("i-1", {"number": number}))
    assert len(reader.events.bad_input_details()) == 1
    assert reader.events.metrics.counters["records_rejected_targets"] == 50


def test_log_and_memory_stay_bounded_with_many_invalid_entries() -> None:
    reader = ViewReader()
    reader.list_targets(("i-good", TARGET_ENTRY))
    for start in range(0, 20_000, 1000):
        reader.list_targets(
            *((f"x-{start + n}", {"a": "b" * 500}) for n in range(1000))
        )
    assert len(reader.events.bad_input_details()) <= MAX_LOG_LINES
    assert reader.events.metrics.counters["records_rejected_targets"] == 20_000
    assert reader.serving_targets() == {"i-good"}
    topic = reader.view.record_server.topics[Topic.TARGETS]
    assert len(topic.records) <= 1001
    assert len(reader.view.targets.histories) <= 1001
    assert sum(len(record.value) for record in topic.records.values()) < 1000


def test_a_removal_is_forwarded_despite_many_later_invalid_entries() -> None:
    reader = ViewReader()
    reader.list_targets(("i-1", TARGET_ENTRY))
    reader.apply_answer(Topic.TARGETS, (b"i-1", b""))
    for start in range(0, 3000, 1000):
        reader.list_targets(*((f"x-{start + number}", {}) for number in range(1000)))
    shared = reader.view.record_server.topics[Topic.TARGETS].records_since(Offset(0))
    assert "i-1" in {record.key for record in shared.records}


def test_log_lines_of_invalid_entries_are_short() -> None:
    reader = ViewReader()
    reader.list_targets(("i-1", with_fields(TARGET_ENTRY, state="x" * 100_000)))
    (line,) = reader.events.bad_input_details()
    assert len(encode(line)) < 1000


def test_an_empty_value_removes_a_target_without_a_log_line() -> None:
    reader = ViewReader()
    reader.list_targets(("i-1", TARGET_ENTRY))
    reader.apply_answer(Topic.TARGETS, (b"i-1", b""))
    assert TargetId("i-1") not in reader.view.targets.targets
    assert reader.events.bad_input_details() == []
