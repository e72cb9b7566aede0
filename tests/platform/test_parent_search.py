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
from typing import Any
from unittest.mock import Mock

import pytest

from ridgecourse.cluster import tree_reader
from ridgecourse.cluster.record_server import RecordsResponse
from ridgecourse.cluster.tree_reader import (
    STALE_AVOID_SECONDS,
    Neighbours,
    TreeReader,
)
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, Offset, TargetName
from ridgecourse.core.read_tree import gateway_parent
from ridgecourse.net.record_source import Topic

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
