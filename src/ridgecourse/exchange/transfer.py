"""The fetching side of the exchange: brings one version in."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import closing
from itertools import chain
from math import inf

import eventlet

from ridgecourse.core.fetches import ORIGIN, Fetch, FetchFailure, Member
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import ChunkDigest, DomainName, Seconds, TargetName
from ridgecourse.core.links import Cargo
from ridgecourse.core.planner import ChunkPlanner
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import (
    ChunkOrigin,
    OriginBusy,
    OriginMissing,
    OriginUnavailable,
)
from ridgecourse.exchange.server import (
    CHUNK_PATH,
    DOMAIN_HEADER,
    LAST_RESORT_HEADER,
    RATE_HEADER,
)
from ridgecourse.net.auth import AUTH_HEADER, sign_request
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_client import ExchangeFailed, NoConnection, read_pieces
from ridgecourse.net.metrics import Metric
from ridgecourse.net.threads import spawn_loop
from ridgecourse.net.websocket import ChannelClosed, open_channel
from ridgecourse.wire.control import PROTOCOL_VERSION, Follow, Holds

logger = logging.getLogger(__name__)

REFOLLOW_SECONDS = 0.5
MAX_CORRUPT_FROM_ORIGIN = 3
"""Times in a row a chunk may come wrong from the origin before it is an error."""
TOLD_SECONDS = 1.0
"""From a transfer's start on, until neighbours have told what they hold: a connection
and some round trips, as for a manifest."""
PROGRESS_SECONDS = 1.0
"""Between two events that tell how far a transfer is."""
LAST_RESORT_REFERRALS = 8
"""Referrals to others after which a holder is asked to exceed its share."""


class TransferError(Exception):
    """The version cannot be brought in, for a reason that waiting won't mend."""


class Transfer:
    """Fetches the missing chunks of a version.

    Attributes:
        origin: Where the chunks come from first; None to take them from peers alone.
        planner: Decides what to fetch and from whom.
        holding: Grows with each chunk.
        is_needed: Tells whether the version still is; once not, the transfer ends.
        lacking: What the origin answered for chunks that it does not have.
        cancelled: Set when the version is no longer wanted.
        error: Named error that stands in the way, empty if none.
        rate: Rate at which peers are asked to send; None for as they like.
        unpaced_domain: Domain whose peers send as they like all the same.
        begun_at: When the transfer was made.
        counted: What of the origin's bytes has been counted.
    """

    def __init__(
        self,
        context: ExchangeContext,
        origin: ChunkOrigin | None,
        holding: Holding,
        peers: Mapping[TargetName, Peer],
        origin_copies: int,
        hubs: Iterable[TargetName] = (),
        origin_domain: DomainName | None = None,
        paced: bool = True,
        is_needed: Callable[[], bool] = lambda: True,
        unpaced_domain: DomainName | None = None,
    ) -> None:
        self.context = context
        self.origin = origin
        self.holding = holding
        self.peers = peers
        self.planner = ChunkPlanner(
            context.me,
            holding.root,
            [place.digest for place in holding.places],
            [holding.places[index].digest for index in holding.held],
            [Member(peer.name, peer.domain) for peer in peers.values()],
            context.plan,
            boottime(),
            origin_copies,
            hubs=hubs,
            origin_domain=origin_domain,
        )
        if origin is None:
            self.planner.origin.not_before = Seconds(inf)
        self.counted = origin.drawn if origin is not None else 0
        self.rate = context.rate if paced else None
        self.unpaced_domain = unpaced_domain
        self.progress = Broadcast()
        self.referred: dict[ChunkDigest, int] = {}
        self.corrupt: dict[ChunkDigest, int] = {}
        self.lacking: dict[ChunkDigest, str] = {}
        self.is_needed = is_needed
        self.begun_at = boottime()
        self.told_at = self.begun_at + TOLD_SECONDS
        self.last_progress = boottime()
        self.next_report = boottime() + PROGRESS_SECONDS
        self.cancelled = False
        self.error = ""
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def run(self) -> bool:
        """Fetch until all is held or no longer needed; tell whether all is held.

        Raises:
            TransferError: The version cannot be brought in.
        """
        for neighbour in self.planner.sources:
            self.threads.append(spawn_loop(self._follow, neighbour))
        if self.rate is not None:
            self.rate.begin(boottime())
        try:
            while not self.planner.complete() and not self.cancelled:
                # The origin may be away, and then never says that it is outdated.
                if not self.is_needed():
                    break
                self._check_origin()
                self._check_lacking()
                self._tell_progress()
                for fetch in self.planner.plan(boottime(), self._probes()):
                    self.threads.append(eventlet.spawn(self._fetch, fetch))
                self.progress.wait(self.planner.wake_after())
                self.threads = [thread for thread in self.threads if not thread.dead]
        finally:
            self.close()
            if self.rate is not None:
                self.rate.end(boottime())
        return self.planner.complete()

    def _probes(self) -> bool:
        """Tell whether the first chunk goes alone, to show what the link takes.

        Two chunks at the usual rate lay before a link that had narrowed to a
        fourteenth, and all requests to its engine behind them, for 1.9 s; one for 1 s.
        A neighbour that hangs holds the others back no longer than a chunk may take.
        """
        rate = self.rate
        if rate is None or rate.is_known or self.unpaced_domain is not None:
            return False
        chunk = self.holding.manifest.chunk_size
        return boottime() < self.begun_at + rate.longest(chunk)

    @property
    def missing_share(self) -> float:
        """Share of the version's chunks that are still missing."""
        return len(self.planner.missing) / max(1, len(self.holding.places))

    @property
    def stalled(self) -> bool:
        """Whether no chunk has come for a while."""
        return self.silent_seconds > self.context.plan.stall_seconds

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last chunk came, or since the start."""
        return boottime() - self.last_progress

    def cancel(self) -> None:
        """Stop at once: what is in flight costs no more bytes."""
        self.cancelled = True
        self.progress.notify()
        self.close()

    def close(self) -> None:
        """End all fetches and followed agents."""
        threads, self.threads = self.threads, []
        for thread in threads:
            thread.kill()

    def _check_origin(self) -> None:
        for digest, times in self.corrupt.items():
            if times >= MAX_CORRUPT_FROM_ORIGIN and digest in self.planner.missing:
                place = self.holding.places[self.holding.index[digest]]
                raise TransferError(
                    f"origin-changed: {place.path} at byte {place.start} does not "
                    f"match the manifest"
                )

    def _tell_progress(self) -> None:
        now = boottime()
        if now < self.next_report:
            return
        self.next_report = now + PROGRESS_SECONDS
        counts = self.context.counts
        self.context.events.emit(
            EventKind.TRANSFER_PROGRESS,
            version=self.holding.root,
            missing=len(self.planner.missing),
            in_flight=dict(
                Counter(chain.from_iterable(self.planner.in_flight.values()))
            ),
            from_origin=counts.from_origin,
            from_domain=counts.from_domain,
            across_domains=counts.across_domains,
            fetched_twice=counts.fetched_twice,
            rate=int(self.rate.current) if self.rate else 0,
            error=self.error,
        )

    def _check_lacking(self) -> None:
        """End where the origin does not have a chunk and no neighbour holds it.

        Asked on and on, a version that the origin gave up holds newer ones back.
        """
        if boottime() < self.told_at:
            return
        for digest, answer in self.lacking.items():
            if digest in self.planner.missing and not self.planner.rarity.get(digest):
                raise TransferError(answer)

    def _follow(self, neighbour: TargetName) -> None:
        """Keep track of what a neighbour holds."""
        while True:
            try:
                for holds in self._holdings_of(neighbour):
                    self._take_holds(neighbour, holds)
            except ChannelClosed as error:
                logger.debug("cannot follow %s: %s", neighbour, error)
            self.planner.peer_lost(neighbour)
            eventlet.sleep(REFOLLOW_SECONDS)

    def _holdings_of(self, neighbour: TargetName) -> Iterator[Holds]:
        channel = open_channel(
            self.peers[neighbour].control_address,
            self.context.key,
            self.context.source,
        )
        with closing(channel):
            me = self.planner.me
            channel.send(
                Follow(PROTOCOL_VERSION, me.target, me.domain, self.holding.root)
            )
            yield from channel.messages(Holds)

    def _take_holds(self, neighbour: TargetName, holds: Holds) -> None:
        if not holds.chunks and not holds.seen:
            return
        now = boottime()
        held = self.holding.add_seen(holds.chunks)
        self.planner.peer_holds(neighbour, held, now)
        if not self.planner.place.hubs:
            # Hubs hear from each other. What loaders had seen at one that is gone kept
            # its successor from drawing it for 4.5 s, as if it were still to be had.
            seen = self.holding.add_seen(holds.seen)
            self.planner.fleet_holds(seen, now)
        self.progress.notify()

    def _fetch(self, fetch: Fetch) -> None:
        """Carry out one fetch and tell the planner how it went."""
        got = self._get_chunk(fetch)
        now = boottime()
        if isinstance(got, FetchFailure):
            self.planner.failed(fetch.digest, fetch.source, got, now)
        else:
            self._take_chunk(fetch, got, now)
        self.progress.notify()

    def _get_chunk(self, fetch: Fetch) -> bytes | FetchFailure:
        got = (
            self._from_origin(fetch)
            if fetch.source == ORIGIN
            else self._from_peer(fetch)
        )
        if isinstance(got, FetchFailure):
            return got
        if self.context.digest(got) == fetch.digest:
            return got
        self._reject(fetch)
        return FetchFailure.CORRUPT

    def _reject(self, fetch: Fetch) -> None:
        self.context.counts.rejected += 1
        self.context.metrics.count(Metric.CHUNKS_REJECTED)
        source = fetch.source or "origin"
        self.context.events.emit(
            EventKind.CHUNK_REJECTED,
            target=self.planner.me.target,
            version=self.holding.root,
            chunk=fetch.digest,
            source=source,
        )
        if fetch.source == ORIGIN:
            self.corrupt[fetch.digest] = self.corrupt.get(fetch.digest, 0) + 1

    def _from_origin(self, fetch: Fetch) -> bytes | FetchFailure:
        assert self.origin is not None
        place = self.holding.places[self.holding.index[fetch.digest]]
        stall = self.context.chunk_stall_seconds
        try:
            data = self.origin.chunk(place, stall)
        except OriginBusy:
            return FetchFailure.BUSY
        except OriginMissing as error:
            self.error = self.lacking[fetch.digest] = f"origin-missing: {error}"
            return FetchFailure.MISSING
        except OriginUnavailable as error:
            self.error = f"origin-unavailable: {error}"
            return FetchFailure.STALLED
        self.error = ""
        # Others are drawn beside it: what came since the last one ended, counted once.
        self.context.counts.from_origin += self.origin.drawn - self.counted
        self.counted = self.origin.drawn
        self.context.count_drawn(Cargo.WEIGHTS, len(data))
        self.context.metrics.count(Metric.BYTES_FROM_ORIGIN, len(data))
        if len(data) != place.length:
            self.error = f"chunk-length: {place.path} at byte {place.start}"
        return data

    def _from_peer(self, fetch: Fetch) -> bytes | FetchFailure:
        peer = self.peers[fetch.source]
        path = f"{CHUNK_PATH}{fetch.digest}"
        headers = {
            AUTH_HEADER: sign_request(self.context.key, "GET", path),
            DOMAIN_HEADER: self.context.me.domain,
        }
        rate = None if peer.domain == self.unpaced_domain else self.rate
        if rate is not None:
            headers[RATE_HEADER] = str(int(rate.current))
        sharing = self.peer_fetches()
        begun = boottime()
        if self.referred.get(fetch.digest, 0) >= LAST_RESORT_REFERRALS:
            headers[LAST_RESORT_HEADER] = "yes"
        limit = self.holding.places[self.holding.index[fetch.digest]].length
        stall = self.context.chunk_stall_seconds
        try:
            response = self.context.http.send(
                "GET", peer.address, path, headers=headers, timeout=stall
            )
            with closing(response):
                if response.status != 200:
                    response.drain_conn()
                    response.release_conn()
                    return self._refused(fetch, response.status)
                data = b"".join(
                    self.context.download.pace(read_pieces(response, limit))
                )
                response.release_conn()
        except NoConnection:
            return FetchFailure.UNREACHABLE
        except ExchangeFailed:
            return FetchFailure.STALLED
        if rate is not None:
            seconds = boottime() - begun
            rate.observe(len(data), seconds, (sharing, self.peer_fetches()))
        self._count_peer_bytes(fetch.source, len(data))
        return data

    def peer_fetches(self) -> int:
        """Return the fetches from other agents in progress."""
        sources = chain.from_iterable(self.planner.in_flight.values())
        return sum(1 for source in sources if source != ORIGIN)

    def _refused(self, fetch: Fetch, status: int) -> FetchFailure:
        if status == 404:
            return FetchFailure.MISSING
        if status == 429:
            self.referred[fetch.digest] = self.referred.get(fetch.digest, 0) + 1
            return FetchFailure.REFERRED
        return FetchFailure.BUSY

    def _count_peer_bytes(self, source: TargetName, size: int) -> None:
        self.context.count_received(Cargo.WEIGHTS, size, self.peers[source].domain)
        if self.peers[source].domain == self.planner.me.domain:
            self.context.counts.from_domain += size
        else:
            self.context.counts.across_domains += size
            self.context.metrics.count(Metric.BYTES_ACROSS_DOMAINS, size)

    def _take_chunk(self, fetch: Fetch, data: bytes, now: Seconds) -> None:
        if not self.planner.arrived(fetch.digest, fetch.source, now):
            self.context.counts.fetched_twice += len(data)
            return
        self.last_progress = now
        self.context.store.put(fetch.digest, data)
        self.holding.add_held(fetch.digest)
        self.context.metrics.count(Metric.CHUNKS_FETCHED)
