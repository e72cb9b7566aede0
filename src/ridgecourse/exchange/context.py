"""State shared by the components of the weights exchange within one agent."""

from collections.abc import Callable
from hashlib import sha256

from msgspec import Struct

from ridgecourse.core.fetch_types import (
    LinkKind,
    Member,
    PayloadKind,
    PlanPolicy,
    byte_counter,
)
from ridgecourse.core.ids import ChunkDigest, DomainName, RegionName
from ridgecourse.core.manifest import chunk_digest
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.net.events import EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.throttle import AdaptiveRate, Throttle


class LinkPolicy(Struct, frozen=True):
    """Limits of uploads on the instance's link.

    Attributes:
        upload_bytes_per_s: Upload rate in bytes a second; None for no limit.
        upload_slots: Maximum number of concurrent chunk uploads to other agents.
        upload_queue: Maximum number of requests from the local domain that wait for
            an upload slot.
        uploads_per_chunk: How often a chunk is sent to agents of the local domain,
            and separately to agents of other domains, before requesters are
            referred to the agents that received the chunk.
    """

    upload_bytes_per_s: float | None = None
    upload_slots: int = 2
    upload_queue: int = 1
    uploads_per_chunk: int = 2


class TransferCounts:
    """Traffic of an agent over all versions.

    Attributes:
        from_origin: Bytes received from the origin.
        from_domain: Bytes received from agents of the local domain.
        across_domains: Bytes received from agents of other domains.
        fetched_twice: Bytes of chunks that were already held.
        rejected: Number of chunks that did not match their digest.
    """

    def __init__(self) -> None:
        self.from_origin = 0
        self.from_domain = 0
        self.across_domains = 0
        self.fetched_twice = 0
        self.rejected = 0


class ExchangeContext:
    """Identity, clients and limits of one agent in the exchange.

    Attributes:
        local: The local agent, under the name that other agents use.
        store: Chunks that the agent holds.
        link: Limits of uploads.
        plan: Limits of the fetch planner.
        download: Limit of the incoming link.
        key: Shared key with which the processes authenticate to each other; empty
            for no authentication.
        source: Local address of outgoing connections; None for any.
        rate: Rate that other agents are asked to send at; None for no limit.
        chunk_stall_seconds: Longest wait for bytes of a chunk, in seconds.
        digest: Function that returns the digest of a chunk's bytes.
        region: Function that returns the region of a failure domain.
        counts: Bytes received so far.
    """

    def __init__(
        self,
        local: Member,
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
        self.local = local
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

    def count_received(self, cargo: PayloadKind, size: int, sender: DomainName) -> None:
        """Count bytes received from another process, by kind of link.

        Args:
            cargo: Kind of data.
            size: Number of bytes.
            sender: Failure domain of the sender.
        """
        if sender == self.local.domain:
            link = LinkKind.DOMAIN
        elif self.region(sender) == self.region(self.local.domain):
            link = LinkKind.REGION
        else:
            link = LinkKind.INTER_REGION
        self.events.metrics.count(byte_counter(cargo, link), size)

    def count_received_from_origin(self, cargo: PayloadKind, size: int) -> None:
        """Count bytes received from the origin."""
        self.events.metrics.count(byte_counter(cargo, LinkKind.ORIGIN), size)


def sha256_digest(data: bytes) -> ChunkDigest:
    """Return the SHA-256 digest of a chunk's bytes, for origins that use SHA-256."""
    return ChunkDigest(sha256(data).hexdigest())
