"""The byte counters tell which link carried weights.

The tests guard against counters that do not show whether the link between two regions
or the link of the local domain was full while engines waited for weights. Processes
counted the bytes from the origin, from their failure domain and from all others
together, and reported them only in an event that existed as long as the transfer.
"""

from unittest.mock import Mock

import eventlet
import pytest

from ridgecourse.core.fetch_types import ORIGIN, Fetch, Member, PayloadKind, PlanPolicy
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    ModelName,
    RegionName,
    RootDigest,
    TargetName,
    WeightsVersion,
)
from ridgecourse.core.manifest import (
    ChunkLocation,
    FileEntry,
    Manifest,
    encode_manifest,
)
from ridgecourse.exchange.catalogue import Catalogue
from ridgecourse.exchange.context import ExchangeContext, LinkPolicy
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import ChunkOrigin
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.exchange.transfer import Transfer
from ridgecourse.net.figures import ProcessMetrics

REGIONS = {"hall-a": "north", "hall-b": "north", "hall-c": "south"}


def make_context(http: Mock) -> tuple[ExchangeContext, ProcessMetrics]:
    events = Mock()
    events.metrics = ProcessMetrics()
    context = ExchangeContext(
        Member(TargetName("10.0.0.1"), DomainName("hall-a")),
        events,
        Mock(),
        http,
        ChunkStore(1000),
        LinkPolicy(),
        PlanPolicy(),
        region=lambda domain: RegionName(REGIONS[domain]),
    )
    return context, events.metrics


@pytest.mark.parametrize(
    ("sender", "link"),
    [("hall-a", "domain"), ("hall-b", "region"), ("hall-c", "abroad")],
)
def test_weight_bytes_are_counted_by_link(sender: str, link: str) -> None:
    context, figures = make_context(Mock())
    context.count_received(PayloadKind.WEIGHTS, 700, DomainName(sender))
    context.count_received(PayloadKind.WEIGHTS, 50, DomainName(sender))
    context.count_received_from_origin(PayloadKind.WEIGHTS, 11)
    assert list(figures.lines()) == sorted(
        [
            f"ridgecourse_bytes_weights_{link}_total 750",
            "ridgecourse_bytes_weights_origin_total 11",
        ]
    )


def test_manifest_bytes_are_counted_by_link_of_sender() -> None:
    manifest = Manifest(1024, (FileEntry("weights", 4, (ChunkDigest("0" * 64),)),))
    data = encode_manifest(manifest)
    http = Mock()
    http.fetch.return_value = 200, data, {}
    context, figures = make_context(http)
    catalogue = Catalogue(context, Mock())
    peer = Peer(TargetName("10.0.0.9"), DomainName("hall-c"), "10.0.0.9:1", "")
    catalogue.fetch_manifest(peer, (ModelName("m"), WeightsVersion(2)))
    assert list(figures.lines()) == [
        f"ridgecourse_bytes_manifest_abroad_total {len(data)}"
    ]


class SlowOrigin(ChunkOrigin):
    """An origin that sends each chunk in two parts, concurrently with other chunks."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def chunk(self, place: ChunkLocation, stall: float) -> bytes:
        for _ in range(2):
            eventlet.sleep(0)
            self.received_bytes += place.length // 2
        return place.digest.encode()


def test_concurrently_fetched_chunks_count_once() -> None:
    """Guard against 3 concurrent fetches that each count the bytes of all 3 chunks."""
    context, _ = make_context(Mock())
    context.digest = lambda data: ChunkDigest(data.decode())
    digests = tuple(ChunkDigest(f"{number:064x}") for number in range(6))
    manifest = Manifest(64, (FileEntry("weights", 6 * 64, digests),))
    holding = Holding(RootDigest("root"), manifest, b"")
    transfer = Transfer(context, SlowOrigin(), holding, {}, 1)
    fetches = [
        eventlet.spawn(transfer._get_chunk, Fetch(digest, ORIGIN)) for digest in digests
    ]
    with eventlet.Timeout(10):
        assert [fetch.wait().decode() for fetch in fetches] == list(digests)
    assert context.counts.from_origin == 6 * 64
