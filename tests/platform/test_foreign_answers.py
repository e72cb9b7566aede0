"""Answers of the store that hold records of another writer.

Before, a record whose key is no text, or one without a key, made every read of its
topic fail for ever, and so did one item of a page that is no record. A value that is no
base64 could pass for an empty one, which removes a target, and an answer that broke off
within a record gave half a value for a whole one.
"""

from base64 import b64encode
from struct import pack
from typing import Any

import pytest
from foreign_reader import (
    ENTRY,
    Answers,
    Reader,
    change,
    json_values,
    raw_record,
    without,
)
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode

from ridgecourse.core.ids import Offset
from ridgecourse.net.record_source import SourceUnavailable, Topic
from ridgecourse.platform.store import PlatformStore, decode_records

BAD_KEYS = [b"\xff\xfe", b"", b"i-1\r\nX: y", b"i 1", b"\x00", "i-é".encode()]


@pytest.mark.parametrize("key", BAD_KEYS)
def test_a_bad_key_names_no_engine_and_the_others_hold(key: bytes) -> None:
    reader = Reader()
    good = encode(ENTRY)
    reader.read(Topic.TARGETS, (b"i-1", good), (key, good), (b"i-3", good))
    assert reader.serving() == {"i-1", "i-3"}
    assert len(reader.view.targets.targets) == 2
    assert len(reader.events.bad()) == 1


@given(key=st.binary(max_size=40), value=st.binary(max_size=40))
def test_any_key_leaves_the_others(key: bytes, value: bytes) -> None:
    for topic in (Topic.TARGETS, Topic.DECISIONS):
        reader = Reader()
        reader.read(topic, (key, value))
    reader.list(("i-1", ENTRY))
    assert reader.serving() == {"i-1"}


BAD_RECORDS = {
    "nothing": pack(">I", 0),
    "a key cut short": pack(">I", 3) + b"\x09i-",
    "a key alone, cut short": pack(">I", 1) + b"\x05",
}


@pytest.mark.parametrize("record", BAD_RECORDS.values(), ids=BAD_RECORDS)
def test_a_record_without_its_key_is_passed_over(record: bytes) -> None:
    reader = Reader()
    good = encode(ENTRY)
    parts = [raw_record(b"i-1", good), record, raw_record(b"i-3", good)]
    reader.read_raw(Topic.TARGETS, parts)
    assert reader.serving() == {"i-1", "i-3"}
    assert len(reader.events.bad()) == 1


def test_an_answer_that_ends_within_a_record_holds_up_to_it() -> None:
    """The rest is read again; half a value must not pass for a whole one."""
    first, second = raw_record(b"i-1", b"12345"), raw_record(b"i-2", b"12345")
    answer = pack(">QQ", 2, 0) + first + second
    for length in range(16 + len(first) + 1, len(answer)):
        records, _ = decode_records(answer[:length], Offset(0))
        assert [record.key for record in records] == ["i-1"]


@pytest.mark.parametrize("length", [0, 8, 15, 17, 21, 25])
def test_an_answer_without_a_whole_record_is_no_answer(length: int) -> None:
    answer = pack(">QQ", 1, 0) + raw_record(b"i-1", b"12345")
    store = PlatformStore("store:1", Answers(answer[:length]))  # type: ignore[arg-type]
    with pytest.raises(SourceUnavailable):
        store.read(Topic.TARGETS, Offset(0), 0.0)


@given(data=st.binary(max_size=120))
def test_any_answer_is_read_or_the_store_counts_as_away(data: bytes) -> None:
    for body in (data, pack(">QQ", 3, 0) + data):
        store = PlatformStore("store:1", Answers(body, body))  # type: ignore[arg-type]
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


def read_newest(*pages: bytes) -> Reader:
    reader = Reader()
    store = PlatformStore("store:1", Answers(*pages))  # type: ignore[arg-type]
    batch = store.newest(Topic.TARGETS)
    reader.end = batch.end
    reader.view.apply_targets(batch, True)
    return reader


GOOD_ITEM = make_item("i-1", encode(ENTRY), 3)
BAD_ITEMS = {
    "a value that is no base64": change(GOOD_ITEM, key_file="i-2", value="!!!"),
    "a value cut short": change(GOOD_ITEM, key_file="i-2", value="abc"),
    "a value beyond ASCII": change(GOOD_ITEM, key_file="i-2", value="\u00e9\u00e9"),
    "a value that is a number": change(GOOD_ITEM, key_file="i-2", value=7),
    "no value": without(change(GOOD_ITEM, key_file="i-2"), "value"),
    "no offset": without(change(GOOD_ITEM, key_file="i-2"), "offset"),
    "an offset of text": change(GOOD_ITEM, key_file="i-2", offset="3"),
    "no key": without(GOOD_ITEM, "key_file"),
    "a key that is a number": change(GOOD_ITEM, key_file=2),
    "a number": 5,
    "null": None,
    "a list": [GOOD_ITEM],
}


@pytest.mark.parametrize("item", BAD_ITEMS.values(), ids=BAD_ITEMS)
def test_a_bad_item_of_a_page_leaves_the_others(item: Any) -> None:
    last = make_item("i-3", encode(ENTRY), 4)
    reader = read_newest(make_page([GOOD_ITEM, item, last]))
    assert reader.serving() == {"i-1", "i-3"}
    assert len(reader.events.bad()) == 1


@pytest.mark.parametrize("item", BAD_ITEMS.values(), ids=BAD_ITEMS)
def test_a_page_that_ends_with_a_bad_item_is_gone_on_from(item: Any) -> None:
    last = make_item("i-3", encode(ENTRY), 4)
    first = make_page([GOOD_ITEM, item], truncated=True)
    reader = read_newest(first, make_page([last]))
    assert reader.serving() == {"i-1", "i-3"}


def test_a_page_of_bad_items_alone_is_not_asked_for_for_ever() -> None:
    page = make_page([5, None], truncated=True)
    store = PlatformStore("store:1", Answers(*[page] * 3))  # type: ignore[arg-type]
    with pytest.raises(SourceUnavailable):
        store.newest(Topic.TARGETS)


@given(items=st.lists(json_values, max_size=4))
def test_any_items_leave_the_others(items: list[Any]) -> None:
    reader = read_newest(make_page([GOOD_ITEM, *items]))
    assert reader.serving() == {"i-1"}


def test_a_bad_item_takes_out_what_an_earlier_read_listed() -> None:
    reader = Reader()
    reader.list(("i-1", ENTRY), ("i-2", ENTRY))
    item = change(make_item("i-2", b"", 5), value="!!!")
    store = PlatformStore("store:1", Answers(make_page([item])))  # type: ignore[arg-type]
    reader.view.apply_targets(store.newest(Topic.TARGETS), False)
    assert reader.serving() == {"i-1"}
