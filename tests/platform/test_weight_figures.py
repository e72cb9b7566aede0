"""Nothing told which link had carried weights while engines waited for them.

Processes counted what came from the origin, from their failure domain and from all
others together, and told it in an event that lived with a transfer. Whether the
link between two regions or the one of the own domain was full could not be told.
"""

from unittest.mock import Mock

import eventlet
import pytest

from ridgecourse.core.byte_counters import PayloadKind
from ridgecourse.core.fetch_types import ORIGIN, Fetch, Member, PlanPolicy
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
def test_bytes_of_weights_are_counted_by_link(sender: str, link: str) -> None:
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


def test_manifests_are_counted_by_who_sent_them() -> None:
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
    """Sends each chunk in two pieces, beside others."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def chunk(self, place: ChunkLocation, stall: float) -> bytes:
        for _ in range(2):
            eventlet.sleep(0)
            self.received_bytes += place.length // 2
        return place.digest.encode()


def test_chunks_drawn_beside_each_other_count_once() -> None:
    """Of 3 chunks under way at a time each counted the bytes of all three."""
    context, _ = make_context(Mock())
    context.digest = lambda data: ChunkDigest(data.decode())
    digests = tuple(ChunkDigest(f"{n:064x}") for n in range(6))
    manifest = Manifest(64, (FileEntry("weights", 6 * 64, digests),))
    holding = Holding(RootDigest("root"), manifest, b"")
    transfer = Transfer(context, SlowOrigin(), holding, {}, 1)
    fetches = [
        eventlet.spawn(transfer._get_chunk, Fetch(digest, ORIGIN)) for digest in digests
    ]
    with eventlet.Timeout(10):
        assert [fetch.wait().decode() for fetch in fetches] == list(digests)
    assert context.counts.from_origin == 6 * 64
