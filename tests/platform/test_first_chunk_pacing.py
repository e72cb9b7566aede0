"""The first chunks of a transfer do not queue before a link that has become narrow.

Guards against bulk data that delays inference requests: 18 of 20 requests ran on after
their clients had disconnected. The link of an engine had narrowed to a fourteenth when
a new version was named. The loader requested the first 2 chunks at the rate of the
whole link, 446,500 bytes per second, as in the transfer before. Both chunks, 64 KB,
queued before the narrow part of the link, in front of all requests, for 2.3 s. Requests
to the engine took 2.40 s and arrived at the end of the client timeout. The
cancellations of these requests arrived 0.5 s or more after the clients had left.
The rate fell to 27731 bytes per second only after 2 chunks had arrived.
"""

from collections.abc import Callable
from time import monotonic
from typing import Any
from unittest.mock import Mock

import eventlet

from ridgecourse.core.fetch_types import Member, PlanPolicy
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import (
    ChunkDigest,
    DomainName,
    RootDigest,
    Seconds,
    TargetName,
)
from ridgecourse.core.manifest import FileEntry, Manifest
from ridgecourse.exchange.context import ExchangeContext, LinkPolicy
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.server import PACE_BURST_SECONDS, PIECE_BYTES, RATE_HEADER
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.exchange.transfer import Transfer
from ridgecourse.loader.loader import MAX_CONCURRENT_FETCHES
from ridgecourse.net.figures import ProcessMetrics
from ridgecourse.net.throttle import AdaptiveRate, Throttle

DOMAIN = DomainName("a")
HUB = Peer(TargetName("10.0.0.2"), DOMAIN, "10.0.0.2:1", "10.0.0.2:2")
CHUNK_BYTES = 32 * 1024
CHUNK_COUNT = 4
USUAL_BYTES_PER_S = 446_500.0
"""Usual rate of the loader's link, in bytes per second."""


class NarrowLink:
    """A hub that sends at the requested rate over a link that may be narrower.

    Attributes:
        rate: Rate of the link, in bytes per second.
        max_queue_seconds: Longest time that bytes were queued before the link.
        free_at: Time at which the link has sent all queued bytes.
        pacer: Limits the hub to the requested rate.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.max_queue_seconds = 0.0
        self.free_at = 0.0
        self.pacer = Throttle(None, PACE_BURST_SECONDS)

    def send(self, method: str, address: str, path: str, **options: Any) -> Mock:
        """Answer a request for a chunk."""
        self.pacer.rate = float(options["headers"][RATE_HEADER])
        body = path.rpartition("/")[2].encode().ljust(CHUNK_BYTES)
        pieces = [PIECE_BYTES] * (CHUNK_BYTES // PIECE_BYTES)
        arrivals = eventlet.Queue()
        eventlet.spawn(self._transmit, pieces, arrivals.put)

        def read(size: int) -> bytes:
            nonlocal body
            if not body:
                return b""
            eventlet.sleep(max(0.0, arrivals.get() - monotonic()))
            piece, body = body[:PIECE_BYTES], body[PIECE_BYTES:]
            return piece

        return Mock(status=200, read=read)

    def _transmit(
        self, pieces: list[int], report_arrival: Callable[[float], None]
    ) -> None:
        for size in pieces:
            self.pacer.acquire(size)
            now = monotonic()
            self.free_at = max(self.free_at, now) + size / self.rate
            self.max_queue_seconds = max(self.max_queue_seconds, self.free_at - now)
            report_arrival(self.free_at)


class SingleHubTransfer(Transfer):
    """A transfer whose hub holds all chunks."""

    def _follow(self, neighbour: TargetName) -> None:
        digests = [place.digest for place in self.holding.places]
        self.planner.record_peer_chunks(neighbour, digests, Seconds(monotonic()))
        self.progress.notify()


def make_context(link: NarrowLink) -> ExchangeContext:
    events = Mock()
    events.metrics = ProcessMetrics()
    return ExchangeContext(
        Member(TargetName("10.0.0.1"), DOMAIN),
        events,
        Mock(),
        Mock(send=link.send),
        ChunkStore(CHUNK_COUNT * CHUNK_BYTES),
        LinkPolicy(),
        PlanPolicy(fetches=MAX_CONCURRENT_FETCHES),
        rate=AdaptiveRate(USUAL_BYTES_PER_S),
        digest=lambda data: ChunkDigest(data.rstrip().decode()),
    )


def run_transfer(link: NarrowLink) -> float:
    """Fetch a version; return the seconds that the transfer took."""
    digests = tuple(ChunkDigest(f"{number:064x}") for number in range(CHUNK_COUNT))
    entry = FileEntry("weights", CHUNK_COUNT * CHUNK_BYTES, digests)
    holding = Holding(RootDigest("root"), Manifest(CHUNK_BYTES, (entry,)), b"")
    hubs = {HUB.name: HUB}
    transfer = SingleHubTransfer(
        make_context(link), Mock(received_bytes=0), holding, hubs, 1, hubs
    )
    started_at = monotonic()
    with eventlet.Timeout(20):
        assert transfer.run()
    return monotonic() - started_at


def test_first_chunks_do_not_queue_before_a_narrowed_link() -> None:
    """One chunk must be in flight; any more would only delay requests."""
    link = NarrowLink(USUAL_BYTES_PER_S / 14)
    run_transfer(link)
    assert link.max_queue_seconds <= CHUNK_BYTES / link.rate


def test_a_link_of_the_usual_rate_is_soon_used_fully() -> None:
    """Fetching the first chunk alone costs less than the time of one chunk."""
    assert (
        run_transfer(NarrowLink(USUAL_BYTES_PER_S))
        < (CHUNK_COUNT + 1) * CHUNK_BYTES / USUAL_BYTES_PER_S
    )
