"""Tests of the read tree: no cycles, few store readers, few children per process."""

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
def test_one_gateway_reads_the_store_and_fan_out_is_limited(count: int) -> None:
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
def test_tree_has_no_cycle_with_differing_known_gateways(
    known_gateways: list[set[int]],
) -> None:
    parents = {}
    for number, others in enumerate(known_gateways):
        local = make_peer(number)
        parents[local.name] = gateway_parent(
            local, [make_peer(other) for other in others]
        )
    for name in parents:
        visited = set()
        while (parent := parents[name]) is not None:
            assert name not in visited
            visited.add(name)
            name = parent.name


def test_parent_is_in_the_same_domain() -> None:
    local, other = make_peer(1), make_peer(2, "b")
    assert gateway_parent(local, [other]) is None
    assert loader_parent(local, [other]) is None
    assert loader_parent(local, [other, make_peer(3)]) == make_peer(3)


@given(st.integers(1, 60), st.integers(1, 20))
def test_two_loaders_read_the_store_while_all_gateways_are_stale(
    loaders: int, gateways: int
) -> None:
    gateways_nearby = [make_peer(100 + number) for number in range(gateways)]
    avoided = {peer.name for peer in gateways_nearby}
    loader_names = [make_peer(number).name for number in range(loaders)]
    parents = [
        loader_parent(make_peer(number), gateways_nearby, avoided, loader_names)
        for number in range(loaders)
    ]
    assert parents.count(None) == min(loaders, READING_LOADERS)
    assert {parent for parent in parents if parent} <= set(gateways_nearby)


def test_loaders_without_gateways_read_the_store() -> None:
    loader_names = [make_peer(number).name for number in range(9)]
    parents = [
        loader_parent(make_peer(number), [], (), loader_names) for number in range(9)
    ]
    assert parents == [None] * 9


@given(st.integers(1, 40), st.integers(1, 3))
def test_seed_requests_no_other_seed(host: int, seeds: int) -> None:
    addresses = [f"10.0.0.{number}:7" for number in range(1, seeds + 1)]
    seed = choose_seed(f"10.0.0.{host}", addresses)
    assert seed is None if host <= seeds else seed in addresses


@given(st.floats(STALE_SECONDS, 20.0))
def test_only_one_process_is_skipped_while_receiving_an_answer(age) -> None:
    """The link of the receiving process may be the bottleneck."""
    assert may_skip(0, age, receiving=True)
    assert not may_skip(1, age, receiving=True)


@given(st.floats(STALE_SECONDS, 20.0))
def test_number_of_store_readers_grows_with_the_age_of_the_records(age) -> None:
    skipped_count = 0
    while may_skip(skipped_count, age, receiving=False):
        skipped_count += 1
    assert MAX_SKIPPED <= skipped_count <= MAX_SKIPPED + age / SECONDS_PER_EXTRA_READER


def test_process_without_records_counts_as_stale() -> None:
    assert may_skip(0, inf, receiving=False)
    assert not may_skip(1000, inf, receiving=False)
