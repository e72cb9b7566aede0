"""Store responses that contain malformed records of another writer.

The tests guard against these failures: a record with a key that is not text, a record
without a key or a page item that is not a record makes every read of its topic fail
permanently; a value that is not base64 is decoded as an empty one, which removes a
target; a response that is truncated within a record yields a partial value as a
complete one.
"""

from base64 import b64encode
from struct import pack
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode
from view_reader import (
    TARGET_ENTRY,
    PreparedAnswers,
    ViewReader,
    json_values,
    raw_record,
    with_fields,
    without_field,
)

from ridgecourse.core.ids import Offset
from ridgecourse.net.record_source import SourceUnavailable, Topic
from ridgecourse.platform.store import PlatformStore, decode_records

INVALID_KEYS = [b"\xff\xfe", b"", b"i-1\r\nX: y", b"i 1", b"\x00", "i-é".encode()]


@pytest.mark.parametrize("key", INVALID_KEYS)
def test_a_record_with_an_invalid_key_is_ignored(key: bytes) -> None:
    reader = ViewReader()
    good = encode(TARGET_ENTRY)
    reader.apply_answer(Topic.TARGETS, (b"i-1", good), (key, good), (b"i-3", good))
    assert reader.serving_targets() == {"i-1", "i-3"}
    assert len(reader.view.targets.targets) == 2
    assert len(reader.events.bad_input_details()) == 1


@given(key=st.binary(max_size=40), value=st.binary(max_size=40))
def test_arbitrary_keys_do_not_affect_other_records(key: bytes, value: bytes) -> None:
    for topic in (Topic.TARGETS, Topic.DECISIONS):
        reader = ViewReader()
        reader.apply_answer(topic, (key, value))
    reader.list_targets(("i-1", TARGET_ENTRY))
    assert reader.serving_targets() == {"i-1"}


INVALID_RECORDS = {
    "no content": pack(">I", 0),
    "a truncated key": pack(">I", 3) + b"\x09i-",
    "only a truncated key": pack(">I", 1) + b"\x05",
}


@pytest.mark.parametrize("record", INVALID_RECORDS.values(), ids=INVALID_RECORDS)
def test_a_record_without_a_complete_key_is_skipped(record: bytes) -> None:
    reader = ViewReader()
    good = encode(TARGET_ENTRY)
    parts = [raw_record(b"i-1", good), record, raw_record(b"i-3", good)]
    reader.apply_encoded_answer(Topic.TARGETS, parts)
    assert reader.serving_targets() == {"i-1", "i-3"}
    assert len(reader.events.bad_input_details()) == 1


def test_a_truncated_response_yields_only_complete_records() -> None:
    """The remainder is read again; a partial value must not count as complete."""
    first, second = raw_record(b"i-1", b"12345"), raw_record(b"i-2", b"12345")
    answer = pack(">QQ", 2, 0) + first + second
    for length in range(16 + len(first) + 1, len(answer)):
        records, _ = decode_records(answer[:length], Offset(0))
        assert [record.key for record in records] == ["i-1"]


@pytest.mark.parametrize("length", [0, 8, 15, 16, 17, 21, 25])
def test_a_response_without_a_complete_record_raises(length: int) -> None:
    answer = pack(">QQ", 1, 0) + raw_record(b"i-1", b"12345")
    store = PlatformStore("store:1", PreparedAnswers(answer[:length]))  # type: ignore[arg-type]
    with pytest.raises(SourceUnavailable):
        store.read(Topic.TARGETS, Offset(0), 0.0)


def test_a_response_cut_before_its_records_skips_none() -> None:
    # Guards against reading on at the stated end when the records are cut off.
    records = raw_record(b"i-1", b"12345") + raw_record(b"i-2", b"12345")
    answer = pack(">QQ", 2, 0) + records
    for length in range(len(answer) + 1):
        store = PlatformStore("store:1", PreparedAnswers(answer[:length]))  # type: ignore[arg-type]
        try:
            batch = store.read(Topic.TARGETS, Offset(0), 0.0)
        except SourceUnavailable:
            continue
        assert batch.end == Offset(len(batch.records))
        assert batch.remaining_records == 2 - len(batch.records)


def test_a_response_without_new_records_is_complete() -> None:
    # Guards against taking the end of a wait without records for a cut response.
    store = PlatformStore("store:1", PreparedAnswers(pack(">QQ", 2, 0)))  # type: ignore[arg-type]
    batch = store.read(Topic.TARGETS, Offset(2), 0.0)
    assert (batch.records, batch.end, batch.remaining_records) == ([], Offset(2), 0)


@given(data=st.binary(max_size=120))
def test_arbitrary_responses_are_decoded_or_raise_source_unavailable(
    data: bytes,
) -> None:
    for body in (data, pack(">QQ", 3, 0) + data):
        store = PlatformStore("store:1", PreparedAnswers(body, body))  # type: ignore[arg-type]
        for read in (store.newest, lambda topic: store.read(topic, Offset(0), 0.0)):  # noqa: B023
            try:
                read(Topic.TARGETS)
            except SourceUnavailable:
                continue


def make_item(key: str, value: bytes, offset: int) -> dict[str, Any]:
    text = b64encode(value).decode()
    return {"key_file": key, "value": text, "offset": offset}


def make_page(items: list[Any], truncated: bool = False) -> bytes:
    return encode({"items": items, "end_offset": 9, "truncated": truncated})


def test_cut_page_of_newest_records_is_invalid() -> None:
    # Guards against a list of targets or decisions that lacks its last records.
    page = make_page([make_item(f"i-{number}", b"123", number) for number in range(3)])
    for length in range(len(page)):
        store = PlatformStore("store:1", PreparedAnswers(page[:length]))  # type: ignore[arg-type]
        with pytest.raises(SourceUnavailable):
            store.newest(Topic.TARGETS)


def read_newest(*pages: bytes) -> ViewReader:
    reader = ViewReader()
    store = PlatformStore("store:1", PreparedAnswers(*pages))  # type: ignore[arg-type]
    batch = store.newest(Topic.TARGETS)
    reader.end = batch.end
    reader.view.apply_targets(batch, True)
    return reader


VALID_ITEM = make_item("i-1", encode(TARGET_ENTRY), 3)
INVALID_ITEMS = {
    "a value that is no base64": with_fields(VALID_ITEM, key_file="i-2", value="!!!"),
    "a truncated value": with_fields(VALID_ITEM, key_file="i-2", value="abc"),
    "a value beyond ASCII": with_fields(
        VALID_ITEM, key_file="i-2", value="\u00e9\u00e9"
    ),
    "a value that is a number": with_fields(VALID_ITEM, key_file="i-2", value=7),
    "no value": without_field(with_fields(VALID_ITEM, key_file="i-2"), "value"),
    "no offset": without_field(with_fields(VALID_ITEM, key_file="i-2"), "offset"),
    "an offset that is text": with_fields(VALID_ITEM, key_file="i-2", offset="3"),
    "no key": without_field(VALID_ITEM, "key_file"),
    "a key that is a number": with_fields(VALID_ITEM, key_file=2),
    "a number": 5,
    "null": None,
    "a list": [VALID_ITEM],
}


@pytest.mark.parametrize("item", INVALID_ITEMS.values(), ids=INVALID_ITEMS)
def test_an_invalid_page_item_does_not_affect_other_items(item: Any) -> None:
    last = make_item("i-3", encode(TARGET_ENTRY), 4)
    reader = read_newest(make_page([VALID_ITEM, item, last]))
    assert reader.serving_targets() == {"i-1", "i-3"}
    assert len(reader.events.bad_input_details()) == 1


@pytest.mark.parametrize("item", INVALID_ITEMS.values(), ids=INVALID_ITEMS)
def test_reading_continues_after_a_page_that_ends_with_an_invalid_item(
    item: Any,
) -> None:
    last = make_item("i-3", encode(TARGET_ENTRY), 4)
    first = make_page([VALID_ITEM, item], truncated=True)
    reader = read_newest(first, make_page([last]))
    assert reader.serving_targets() == {"i-1", "i-3"}


def test_a_page_of_only_invalid_items_is_not_requested_endlessly() -> None:
    page = make_page([5, None], truncated=True)
    store = PlatformStore("store:1", PreparedAnswers(*[page] * 3))  # type: ignore[arg-type]
    with pytest.raises(SourceUnavailable):
        store.newest(Topic.TARGETS)


@given(items=st.lists(json_values, max_size=4))
def test_arbitrary_items_do_not_affect_other_items(items: list[Any]) -> None:
    reader = read_newest(make_page([VALID_ITEM, *items]))
    assert reader.serving_targets() == {"i-1"}


def test_an_invalid_item_removes_the_target_listed_earlier() -> None:
    reader = ViewReader()
    reader.list_targets(("i-1", TARGET_ENTRY), ("i-2", TARGET_ENTRY))
    item = with_fields(make_item("i-2", b"", 5), value="!!!")
    store = PlatformStore("store:1", PreparedAnswers(make_page([item])))  # type: ignore[arg-type]
    reader.view.apply_targets(store.newest(Topic.TARGETS), False)
    assert reader.serving_targets() == {"i-1"}
