"""A process that is cut off with its domain asks each other process once.

Guards against reads of the store by many processes right after a partition. A parent
without news is avoided for 0.5 s. On a busy machine a process of a domain of 13
gateways needed longer than that to ask all others, and began again with the first. It
did not find out that it cannot read the store either, so that it did not leave the
attempts to others. In a run at a load of 97, two processes asked 12 others in a circle
for 1.5 s and more, made their first attempts 0.11 and 0.16 s after the end of the
partition, and were 2 of 8 concurrent readers of 390 KB.
"""

from collections.abc import Collection, Sequence
from contextlib import suppress
from typing import Any
from unittest.mock import Mock

import pytest

from ridgecourse.cluster import tree_reader
from ridgecourse.cluster.domain_source import DomainSource
from ridgecourse.cluster.record_server import RecordsResponse
from ridgecourse.cluster.tree_reader import (
    STALE_AVOID_SECONDS,
    Neighbours,
    TreeReader,
)
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, Offset, Seconds, TargetName
from ridgecourse.core.read_tree import TREE_KEY, gateway_parent
from ridgecourse.core.rendezvous import rendezvous_rank
from ridgecourse.net.clock import boottime
from ridgecourse.net.record_source import (
    RecordBatch,
    RecordSource,
    SourceUnavailable,
    Topic,
)

DOMAIN = DomainName("a")
GATEWAYS = [
    Peer(TargetName(f"g{number}"), DOMAIN, f"g{number}:1", f"g{number}:2")
    for number in range(13)
]
REQUEST_SECONDS = 0.1
"""Duration of each request on the busy machine: all requests of a read take longer than
a parent is avoided."""
MAX_REQUESTS = 100


class OtherGateways(Neighbours):
    """The other gateways, as a gateway of low rank knows them."""

    def __init__(self, local: Peer) -> None:
        self.local = local

    def known_gateways(self) -> Collection[Peer]:
        return [peer for peer in GATEWAYS if peer != self.local]

    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        gateways = [peer for peer in self.known_gateways() if peer.name not in avoided]
        return gateway_parent(self.local, gateways)

    def record_peers(self) -> Sequence[str]:
        return []


@pytest.mark.parametrize("local", GATEWAYS)
def test_each_process_that_cannot_read_the_store_is_asked_once(
    local: Peer, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[str] = []

    def fetch_lost(http: Any, address: str, *args: Any) -> RecordsResponse:
        asked.append(address)
        assert len(asked) < MAX_REQUESTS
        return RecordsResponse([], Offset(1), age=4.0, lost=True)

    assert REQUEST_SECONDS * len(GATEWAYS) > STALE_AVOID_SECONDS
    monkeypatch.setattr(tree_reader, "fetch_records", fetch_lost)
    monkeypatch.setattr(tree_reader, "boottime", lambda: REQUEST_SECONDS * len(asked))
    reader = TreeReader(Topic.DECISIONS, Mock(), OtherGateways(local), Mock())
    assert reader.read(Offset(1)) is None
    assert len(asked) == len(set(asked))


@pytest.mark.parametrize("seconds_until_attempt", [5.0, -0.1])
def test_attempts_are_left_to_others_while_a_parent_receives_an_answer(
    seconds_until_attempt: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against more readers the more parents get their answers after an outage.

    A parent that received its first answer did not count as one that cannot read the
    store. With fewer than 3 of these, a process whose next attempt was due 4.7 s later
    read the store at once, beside the answer that its parent received.
    """
    ranked = rendezvous_rank(TREE_KEY, [peer.name for peer in GATEWAYS])
    receiving, local = ranked[1:3]

    def fetch(http: Any, address: str, *args: Any) -> RecordsResponse:
        is_receiving = address == f"{receiving}:1"
        return RecordsResponse(
            [], Offset(1), age=4.0, receiving=is_receiving, lost=not is_receiving
        )

    monkeypatch.setattr(tree_reader, "fetch_records", fetch)
    store = Mock(spec=RecordSource)
    store.read.return_value = RecordBatch([], Offset(1), Seconds(0.0))
    (peer,) = (peer for peer in GATEWAYS if peer.name == local)
    neighbours = OtherGateways(peer)
    source = DomainSource(store, "127.0.0.1", DOMAIN, None, neighbours, Mock())
    retries = source.readers[Topic.DECISIONS].outage_retries
    retries.next_attempt_at = Seconds(boottime() + seconds_until_attempt)
    with suppress(SourceUnavailable):
        source.read(Topic.DECISIONS, Offset(1), 0.0)
    assert store.read.called == (seconds_until_attempt < 0)
