"""Answers of the store that the end of their connection cuts at any byte.

Each call of the store's client returns what the whole answer says, or tells that the
store gave no usable answer. Only a body that nothing but the end of the connection ends
may be read in part: its complete records, with the number of those that are missing.
"""

from base64 import b64encode
from collections.abc import Callable
from contextlib import closing
from struct import pack
from typing import NamedTuple

import pytest
from cut_answers import (
    FRAMINGS,
    EncodedAnswer,
    Framing,
    ScriptedServer,
    server,
)
from msgspec.json import encode

from ridgecourse.core.ids import Offset, index_of, make_offset
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import (
    AppendConflict,
    RecordBatch,
    RecordsGone,
    SourceUnavailable,
    Topic,
)
from ridgecourse.platform.names import ERA_HEADER
from ridgecourse.platform.record_encoding import encode_record
from ridgecourse.platform.store import PlatformStore

__all__ = ["server"]

ERA = 12
START = make_offset(ERA, 3)
Call = Callable[[PlatformStore], RecordBatch | None]


class Outcome(NamedTuple):
    """What a call of the store's client led to.

    Attributes:
        error: Class of the error; None if there was none.
        first: First offset that the store still has, if the error tells.
        records: Key, value and offset of each record.
        end: End of the topic; None if the call returned no records.
        next_offset: Offset from which the next read goes on.
    """

    error: type[Exception] | None = None
    first: Offset | None = None
    records: tuple[tuple[str, bytes, Offset], ...] = ()
    end: int | None = None
    next_offset: Offset | None = None


UNAVAILABLE = Outcome(SourceUnavailable)


class StoreCall(NamedTuple):
    """A call of the store's client and the whole answer of the store.

    Attributes:
        call: Makes the call.
        status: Status line of the answer, without the version.
        body: Whole body of the answer.
        expected: What the whole answer leads to.
        era: Era that the answer names.
        pages: Bodies of the answers before this one, which are not cut.
    """

    call: Call
    status: str
    body: bytes
    expected: Outcome
    era: int = ERA
    pages: tuple[bytes, ...] = ()


def page(*keys: str, truncated: bool = False) -> bytes:
    items = [
        {"key_file": key, "value": b64encode(b"v").decode(), "offset": number}
        for number, key in enumerate(keys, 3)
    ]
    return encode({"items": items, "end_offset": 5, "truncated": truncated})


def record(key: str, index: int) -> tuple[str, bytes, Offset]:
    return key, b"v", make_offset(ERA, index)


def read_newest(store: PlatformStore) -> RecordBatch:
    return store.newest(Topic.TARGETS)


def read_from_start(store: PlatformStore) -> RecordBatch:
    return store.read(Topic.TARGETS, START, 0.0)


def append(store: PlatformStore) -> None:
    store.append(Topic.STARTS, "key", b"value", None)


def append_at_end(store: PlatformStore) -> None:
    store.append(Topic.KEPT, "key", b"value", START)


END = make_offset(ERA, 5)
RECORDS = (record("i-1", 3), record("i-2", 4))
RAW_RECORDS = encode_record("i-1", b"v") + encode_record("i-2", b"v")
DONE = Outcome()
LIST = Outcome(None, None, RECORDS, 5, END)
NO_NEWS = Outcome(None, None, (), 3, START)
GONE = Outcome(RecordsGone, make_offset(ERA, 4))
ANOTHER_ERA = Outcome(RecordsGone)
CONFLICT = Outcome(AppendConflict)
WRITTEN = encode({"offset": 3, "end_offset": 4})
CALLS = {
    "list": StoreCall(read_newest, "200 OK", page("i-1", "i-2"), LIST),
    "second page": StoreCall(
        read_newest,
        "200 OK",
        page("i-2").replace(b":3", b":4"),
        LIST,
        pages=(page("i-1", truncated=True),),
    ),
    "list not found": StoreCall(read_newest, "404 Not Found", b"{}", UNAVAILABLE),
    "records": StoreCall(
        read_from_start, "200 OK", pack(">QQ", 5, 0) + RAW_RECORDS, LIST
    ),
    "no records": StoreCall(read_from_start, "200 OK", pack(">QQ", 3, 0), NO_NEWS),
    "records gone": StoreCall(read_from_start, "410 Gone", b'{"first":4}', GONE),
    "records of another era": StoreCall(
        read_from_start, "200 OK", pack(">QQ", 3, 0), ANOTHER_ERA, era=123
    ),
    "records not found": StoreCall(read_from_start, "404 Not Found", b"", UNAVAILABLE),
    "write": StoreCall(append, "200 OK", WRITTEN, DONE),
    "conditional write": StoreCall(append_at_end, "200 OK", WRITTEN, DONE),
    "conditional write in another era": StoreCall(
        append_at_end, "200 OK", WRITTEN, CONFLICT, era=123
    ),
    "refused write": StoreCall(
        append_at_end, "412 Precondition Failed", b'{"end_offset":5}', CONFLICT
    ),
    "write not found": StoreCall(append_at_end, "404 Not Found", b"{}", UNAVAILABLE),
}


def make_call(
    call: Call, server: ScriptedServer, *answers: bytes
) -> tuple[Outcome, PlatformStore]:
    """Return what a call leads to, and the client."""
    server.answers = list(answers)
    with closing(HttpClient()) as http:
        store = PlatformStore(server.address, http)
        store.era = ERA
        try:
            batch = call(store)
        except (SourceUnavailable, AppendConflict) as error:
            return Outcome(type(error)), store
        except RecordsGone as error:
            return Outcome(RecordsGone, error.first), store
    if batch is None:
        return DONE, store
    records = tuple((entry.key, entry.value, entry.offset) for entry in batch.records)
    end = index_of(batch.end) + batch.remaining_records
    return Outcome(None, None, records, end, batch.end), store


def allowed_outcomes(case: StoreCall, answer: EncodedAnswer, cut: int) -> set[Outcome]:
    """Return what a call may lead to whose answer is cut."""
    if answer.is_framed_at(cut):
        return {UNAVAILABLE}
    if case.expected is LIST and case.call is read_from_start:
        # The complete records; those that are missing still count.
        one = case.expected._replace(
            records=RECORDS[:1], next_offset=make_offset(ERA, 4)
        )
        return {UNAVAILABLE, one}
    if case.expected is GONE:
        return {UNAVAILABLE, Outcome(RecordsGone)}
    if case.call in (append, append_at_end) or case.expected is ANOTHER_ERA:
        # The head tells all that the outcome depends on.
        return {case.expected}
    return {UNAVAILABLE}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", CALLS)
def test_cut_answer_of_the_store_is_not_taken_for_whole(
    name: str, framing: Framing, server: ScriptedServer
) -> None:
    # Guards against a shorter list, an earlier end, another era and a write that
    # counts as done or as refused, because the answer was cut.
    case = CALLS[name]
    fields = [f"{ERA_HEADER}: {case.era}"]
    answer = framing(case.status, fields, case.body)
    pages = [framing("200 OK", fields, body).whole for body in case.pages]
    outcome, _ = make_call(case.call, server, *pages, answer.whole)
    assert outcome == case.expected
    for cut in answer.cuts():
        first_bytes = answer.first_bytes(cut)
        outcome, store = make_call(case.call, server, *pages, first_bytes)
        assert outcome in allowed_outcomes(case, answer, cut), first_bytes
        assert store.era == ERA or not answer.is_framed_at(cut), first_bytes
        assert not store.copied_ends or outcome == case.expected, first_bytes
