"""Who reads the store for whom: no circles, few readers, little to send."""

from collections import Counter
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from ridgecourse.cluster.record_server import STALE_SECONDS
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, TargetName
from ridgecourse.core.read_tree import (
    FAN_OUT,
    MAX_SKIPPED,
    READING_LOADERS,
    SECONDS_PER_EXTRA_READER,
    choose_seed,
    gateway_parent,
    loader_parent,
    may_skip,
)


def make_peer(number: int, domain: str = "a") -> Peer:
    name = TargetName(f"10.0.0.{number}")
    return Peer(name, DomainName(domain), f"{name}:1", f"{name}:2")


@given(st.integers(1, 90))
def test_one_gateway_reads_the_store_and_none_sends_to_many(count: int) -> None:
    gateways = [make_peer(number) for number in range(count)]
    parents = {peer.name: gateway_parent(peer, gateways) for peer in gateways}
    assert sum(parent is None for parent in parents.values()) == 1
    children = Counter(parent.name for parent in parents.values() if parent)
    assert all(number <= FAN_OUT for number in children.values())
    levels = []
    for peer in gateways:
        level, parent = 0, parents[peer.name]
        while parent is not None:
            level, parent = level + 1, parents[parent.name]
        levels.append(level)
    assert max(levels) <= 4


@given(st.lists(st.sets(st.integers(0, 9)), min_size=10, max_size=10))
def test_there_is_no_circle_whoever_knows_whom(known: list[set[int]]) -> None:
    parents = {}
    for number, others in enumerate(known):
        me = make_peer(number)
        parents[me.name] = gateway_parent(me, [make_peer(other) for other in others])
    for name in parents:
        seen = set()
        while (parent := parents[name]) is not None:
            assert name not in seen
            seen.add(name)
            name = parent.name


def test_parents_are_of_the_own_domain() -> None:
    me, other = make_peer(1), make_peer(2, "b")
    assert gateway_parent(me, [other]) is None
    assert loader_parent(me, [other]) is None
    assert loader_parent(me, [other, make_peer(3)]) == make_peer(3)


@given(st.integers(1, 60), st.integers(1, 20))
def test_two_loaders_read_the_store_while_no_gateway_is_up_to_date(
    loaders: int, gateways: int
) -> None:
    near = [make_peer(100 + number) for number in range(gateways)]
    avoided = {peer.name for peer in near}
    names = [make_peer(number).name for number in range(loaders)]
    parents = [
        loader_parent(make_peer(number), near, avoided, names)
        for number in range(loaders)
    ]
    assert parents.count(None) == min(loaders, READING_LOADERS)
    assert {parent for parent in parents if parent} <= set(near)


def test_loaders_without_gateways_read_the_store() -> None:
    names = [make_peer(number).name for number in range(9)]
    parents = [loader_parent(make_peer(n), [], (), names) for n in range(9)]
    assert parents == [None] * 9


@given(st.integers(1, 40), st.integers(1, 3))
def test_a_seed_asks_no_seed(host: int, seeds: int) -> None:
    addresses = [f"10.0.0.{number}:7" for number in range(1, seeds + 1)]
    seed = choose_seed(f"10.0.0.{host}", addresses)
    assert seed is None if host <= seeds else seed in addresses


@given(st.floats(STALE_SECONDS, 20.0))
def test_one_process_goes_on_while_an_answer_is_on_its_way_to_another(age) -> None:
    """Found by review: the link of the one that reads may be the narrow one."""
    assert may_skip(0, age, receiving=True)
    assert not may_skip(1, age, receiving=True)


@given(st.floats(STALE_SECONDS, 20.0))
def test_one_more_reads_the_store_the_longer_none_has_heard_of_it(age) -> None:
    passed_over = 0
    while may_skip(passed_over, age, receiving=False):
        passed_over += 1
    assert MAX_SKIPPED <= passed_over <= MAX_SKIPPED + age / SECONDS_PER_EXTRA_READER


def test_who_has_heard_nothing_is_late_like_any_other() -> None:
    assert may_skip(0, inf, receiving=False)
    assert not may_skip(1000, inf, receiving=False)
