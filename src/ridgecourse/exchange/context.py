"""What the parts of the exchange share within one agent."""

from collections.abc import Callable
from hashlib import sha256

from msgspec import Struct

from ridgecourse.core.fetches import Member, PlanPolicy
from ridgecourse.core.ids import ChunkDigest, DomainName, RegionName
from ridgecourse.core.links import Cargo, Link, byte_counter
from ridgecourse.core.manifest import chunk_digest
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.net.events import EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.throttle import AdaptiveRate, Throttle


class LinkPolicy(Struct, frozen=True):
    """What uploads may use of the instance's link.

    Attributes:
        upload_bytes_per_s: None for no limit.
        upload_slots: Chunks sent to other agents at a time.
        upload_queue: Requests of the own domain that may wait for a slot.
        uploads_per_chunk: Times that a chunk is sent to agents of the own
            domain, and of others, before that is left to those who got it.
    """

    upload_bytes_per_s: float | None = None
    upload_slots: int = 2
    upload_queue: int = 1
    uploads_per_chunk: int = 2


class TransferCounts:
    """Bytes of weights that an agent moved, over all versions."""

    def __init__(self) -> None:
        self.from_origin = 0
        self.from_domain = 0
        self.across_domains = 0
        self.fetched_twice = 0
        self.rejected = 0


class ExchangeContext:
    """Identity, clients and bounds of one agent's part in the exchange.

    Attributes:
        me: The agent as others name it.
        store: Its chunks.
        download: Limit of the incoming link.
        key: Proves the system's processes to each other; empty for no proof.
        source: Local address that connections are made from; None for any.
        rate: Rate at which others are asked to send; None for as they like.
        chunk_stall_seconds: Longest wait for bytes of a chunk.
        digest: Returns the digest of a chunk's bytes.
        region: Returns the region of a failure domain.
    """

    def __init__(
        self,
        me: Member,
        events: EventStream,
        metrics: Metrics,
        http: HttpClient,
        store: ChunkStore,
        link: LinkPolicy,
        plan: PlanPolicy,
        key: str = "",
        source: str | None = None,
        download_bytes_per_s: float | None = None,
        rate: AdaptiveRate | None = None,
        chunk_stall_seconds: float = 3.0,
        digest: Callable[[bytes], ChunkDigest] = chunk_digest,
        region: Callable[[DomainName], RegionName] = RegionName,
    ) -> None:
        self.me = me
        self.events = events
        self.metrics = metrics
        self.http = http
        self.store = store
        self.link = link
        self.plan = plan
        self.key = key
        self.source = source
        self.download = Throttle(download_bytes_per_s)
        self.rate = rate
        self.chunk_stall_seconds = chunk_stall_seconds
        self.digest = digest
        self.region = region
        self.counts = TransferCounts()

    def count_received(self, cargo: Cargo, size: int, sender: DomainName) -> None:
        """Count bytes that another process sent."""
        if sender == self.me.domain:
            link = Link.DOMAIN
        elif self.region(sender) == self.region(self.me.domain):
            link = Link.REGION
        else:
            link = Link.ABROAD
        self.events.figures.count(byte_counter(cargo, link), size)

    def count_drawn(self, cargo: Cargo, size: int) -> None:
        """Count bytes that the origin sent."""
        self.events.figures.count(byte_counter(cargo, Link.ORIGIN), size)


def sha256_digest(data: bytes) -> ChunkDigest:
    """Return the digest of a chunk's bytes where the origin uses SHA-256."""
    return ChunkDigest(sha256(data).hexdigest())
