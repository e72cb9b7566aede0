"""The store's client tells the eras of a store that returns from older copies apart.

Guards against offsets of an earlier era that are read on in a later one, where they
stand for other records or for none.
"""

from collections.abc import Iterator
from typing import Any

import pytest
from gateway_site import make_config
from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.core.ids import (
    MAX_ERA,
    MAX_INDEX,
    Offset,
    era_of,
    index_of,
    make_offset,
)
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.record_source import (
    AppendConflict,
    RecordsGone,
    SourceUnavailable,
    Topic,
)
from ridgecourse.platform.names import PINNED_TOPIC
from ridgecourse.platform.store import PlatformStore, parse_era
from ridgecourse_standins.platform.store import StoreStandIn

OLD, NEW = 7, 8
POSITIONS = st.tuples(st.integers(0, MAX_ERA), st.integers(0, MAX_INDEX))


@given(POSITIONS, POSITIONS)
def test_offsets_are_ordered_by_era_first(first, second) -> None:
    assert (make_offset(*first) < make_offset(*second)) == (first < second)
    assert (era_of(make_offset(*first)), index_of(make_offset(*first))) == first
    assert make_offset(*first) < 1 << 63


@pytest.mark.parametrize("text", ["", "-1", "1.5", "eight", "²", "9" * 30])
def test_an_unreadable_era_counts_as_missing(text: str) -> None:
    assert parse_era({"Store-Era": text}, 5) == 5


def test_the_header_of_the_era_has_no_case() -> None:
    assert parse_era({"store-era": " 6 "}, 5) == 6


# The store's client.


@pytest.fixture
def stand_in() -> Iterator[StoreStandIn]:
    store = StoreStandIn()
    store.start()
    yield store
    store.close()


def put_decisions(stand_in: StoreStandIn, count: int) -> None:
    for version in range(1, count + 1):
        stand_in.put_config(make_config(version))


def open_store(stand_in: StoreStandIn) -> PlatformStore:
    return PlatformStore(stand_in.address, HttpClient(1.0))


@pytest.mark.parametrize("rewritten", [0, 2, 5])
def test_offsets_of_an_earlier_era_are_gone(stand_in, rewritten: int) -> None:
    """Whether the topic has grown past them again or not."""
    stand_in.era = OLD
    store = open_store(stand_in)
    stand_in.copy()
    put_decisions(stand_in, 2)
    end = store.newest(Topic.DECISIONS).end
    assert (era_of(end), index_of(end)) == (OLD, 2)
    stand_in.return_from_copy()
    put_decisions(stand_in, rewritten)
    with pytest.raises(RecordsGone):
        store.read(Topic.DECISIONS, end, 0.0)
    batch = store.newest(Topic.DECISIONS)
    assert (era_of(batch.end), index_of(batch.end)) == (NEW, rewritten)
    assert batch.end > end
    assert all(era_of(record.offset) == NEW for record in batch.records)


def test_a_store_that_names_no_era_is_read_as_before(stand_in) -> None:
    store = open_store(stand_in)
    put_decisions(stand_in, 3)
    assert store.newest(Topic.DECISIONS).end == 3
    batch = store.read(Topic.DECISIONS, Offset(1), 0.0)
    assert [record.offset for record in batch.records] == [1, 2]


def test_an_answer_without_an_era_belongs_to_the_known_one(stand_in) -> None:
    store = open_store(stand_in)
    stand_in.era = OLD
    put_decisions(stand_in, 1)
    end = store.newest(Topic.DECISIONS).end
    stand_in.era = None
    assert store.read(Topic.DECISIONS, end, 0.0).end == end


def test_an_answer_without_an_era_belongs_to_the_one_another_process_told(
    stand_in,
) -> None:
    store = open_store(stand_in)
    put_decisions(stand_in, 1)
    end = make_offset(NEW, 1)
    assert store.read(Topic.DECISIONS, end, 0.0).end == end


def test_an_answer_of_an_earlier_era_is_not_used(stand_in) -> None:
    """It was on its way while the store returned, and confirms nothing of the new."""
    store = open_store(stand_in)
    put_decisions(stand_in, 1)
    stand_in.era = NEW
    end = store.newest(Topic.DECISIONS).end
    stand_in.era = OLD
    with pytest.raises(SourceUnavailable):
        store.read(Topic.DECISIONS, end, 0.0)
    with pytest.raises(SourceUnavailable):
        store.newest(Topic.DECISIONS)


def test_a_full_read_over_a_return_is_repeated(stand_in, monkeypatch) -> None:
    """Pages are no snapshot, and these belong to two eras."""
    store = open_store(stand_in)
    stand_in.era = OLD
    put_decisions(stand_in, 1)
    pages = iter([True, False])
    original = stand_in.newest

    def newest_page(topic: str) -> bytes:
        body = original(topic)
        if not next(pages, False):
            return body
        return body[:-1] + b',"truncated":true}'

    def answer(handler: Any) -> None:
        original_answer(handler)
        stand_in.era = NEW

    original_answer = stand_in.answer
    monkeypatch.setattr(stand_in, "newest", newest_page)
    monkeypatch.setattr(stand_in, "answer", answer)
    with pytest.raises(SourceUnavailable):
        store.newest(Topic.DECISIONS)
    assert era_of(store.newest(Topic.DECISIONS).end) == NEW


def test_an_append_is_not_right_by_chance_in_a_later_era(stand_in) -> None:
    stand_in.era = OLD
    store = open_store(stand_in)
    end = store.newest(Topic.KEPT).end
    stand_in.copy()
    stand_in.return_from_copy()
    assert index_of(end) == len(stand_in.topics.get(PINNED_TOPIC, []))
    with pytest.raises(AppendConflict):
        store.append(Topic.KEPT, "config", b"{}", end)
