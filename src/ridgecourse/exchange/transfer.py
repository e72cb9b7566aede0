"""Fetching side of the exchange: fetches the chunks of one version.

An agent is a process that holds or fetches chunks; a transfer's neighbours are the
agents whose holdings the transfer follows. The transfer receives from them which chunks
they hold, lets the planner choose a source for each missing chunk, a neighbour or the
origin, and verifies and stores the chunks that arrive.
"""

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import closing
from itertools import chain
from math import inf

import eventlet

from ridgecourse.core.fetch_types import (
    ORIGIN,
    Fetch,
    FetchFailure,
    Member,
    PayloadKind,
)
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import ChunkDigest, DomainName, Seconds, TargetName
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
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_client import ExchangeFailed, NoConnection, read_pieces
from ridgecourse.net.metrics import Metric
from ridgecourse.net.threads import Broadcast, kill_threads, spawn_loop
from ridgecourse.net.websocket import ChannelClosed, open_channel
from ridgecourse.wire.control import PROTOCOL_VERSION, Follow, HeldChunks

logger = logging.getLogger(__name__)

REFOLLOW_SECONDS = 0.5
"""Pause before a lost control connection to a neighbour is opened again, in seconds."""
MAX_CORRUPT_FROM_ORIGIN = 3
"""Number of corrupt copies of one chunk, all from the origin and without a valid copy
in between, after which the transfer fails."""
INITIAL_HOLDINGS_SECONDS = 1.0
"""Seconds from the start of a transfer until neighbours have announced their holdings:
enough to open one connection and for some round trips, as a manifest needs too."""
AWAIT_HOLDINGS_SECONDS = 0.3
"""Longest wait for the holdings of peers before the origin is asked: some round trips,
and little beside the time of a copy from the origin."""
PROGRESS_SECONDS = 1.0
"""Interval of progress events, in seconds."""
LAST_RESORT_REFERRALS = 8
"""Number of referrals of one chunk after which the next source is asked to send the
chunk beyond its limit of uploads per chunk. An agent that has reached this limit refers
the fetch to the agents that it has sent the chunk to."""


class TransferError(Exception):
    """The version cannot be fetched, and waiting would not help."""


class Transfer:
    """Fetches the missing chunks of a version.

    Attributes:
        context: Identity, clients and limits of the local agent.
        origin: Origin of the chunks; None to fetch from peers alone.
        peers: Agents that chunks may be fetched from, by name.
        planner: Chooses the chunks to fetch and their sources.
        holding: Chunks of the version that are held; grows with each chunk.
        is_needed: Returns whether the version is still needed; the transfer ends when
            it is not.
        progress: Notified when the next fetches are to be planned: a fetch ended, new
            holdings were announced, or the transfer was cancelled.
        referrals: How often agents that hold a chunk referred its fetch to other
            agents, by chunk.
        corrupt_counts: Number of corrupt copies of each chunk from the origin.
        missing_at_origin: The origin's answer for each chunk that it does not have.
        cancelled: Whether the transfer was cancelled.
        error: Error that currently blocks the transfer; empty if none.
        rate: Estimated rate of the incoming link, at which peers are asked to send;
            None for no limit.
        unpaced_domain: Domain whose peers send without a rate limit; None if no domain
            is exempt.
        started_at: When the transfer was created.
        holdings_due_at: When neighbours have announced their holdings at the latest.
        last_progress: When the last chunk arrived, or the transfer was created.
        next_progress_report: When the next progress event is due.
        counted_bytes: Part of the bytes received from the origin that the traffic
            counts of the context include already.
        awaited: Neighbours that may hold chunks and have not announced them yet.
        threads: Threads of the fetches in progress and of the control connections.
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
        awaited: Iterable[TargetName] = (),
    ) -> None:
        """Prepare a transfer; ``run`` starts it.

        Args:
            context: Identity, clients and limits of the local agent.
            origin: Origin of the chunks; None to fetch from peers alone.
            holding: Chunks of the version that are held.
            peers: Agents that chunks may be fetched from, by name.
            origin_copies: Number of copies of the version that the origin sends.
            hubs: Agents that fetch from the origin and into their domains before all
                others.
            origin_domain: Failure domain of the origin, if known.
            paced: Whether peers are asked to send at the rate of the context.
            is_needed: Returns whether the version is still needed.
            unpaced_domain: Domain whose peers send without a rate limit.
            awaited: Peers that may hold chunks. The origin is asked once each of them
                has announced its holdings or does not answer, or after
                ``AWAIT_HOLDINGS_SECONDS``.
        """
        self.context = context
        self.origin = origin
        self.holding = holding
        self.peers = peers
        self.planner = ChunkPlanner(
            context.local,
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
            self.planner.origin_state.not_before = Seconds(inf)
        self.counted_bytes = origin.received_bytes if origin is not None else 0
        self.rate = context.rate if paced else None
        self.unpaced_domain = unpaced_domain
        self.progress = Broadcast()
        self.referrals: dict[ChunkDigest, int] = {}
        self.corrupt_counts: dict[ChunkDigest, int] = {}
        self.missing_at_origin: dict[ChunkDigest, str] = {}
        self.is_needed = is_needed
        self.started_at = boottime()
        self.awaited = set(awaited) & set(self.planner.sources)
        if self.awaited:
            self.planner.origin_state.not_before = self._await_until()
        self.holdings_due_at = self.started_at + INITIAL_HOLDINGS_SECONDS
        self.last_progress = boottime()
        self.next_progress_report = boottime() + PROGRESS_SECONDS
        self.cancelled = False
        self.error = ""
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def run(self) -> bool:
        """Fetch chunks until the version is complete, cancelled or not needed any more.

        Returns:
            Whether the version is complete.

        Raises:
            TransferError: The version cannot be fetched.
        """
        for neighbour in self.planner.sources:
            self.threads.append(spawn_loop(self._follow, neighbour))
        if self.rate is not None:
            self.rate.record_start(boottime())
        try:
            while not self.planner.is_complete() and not self.cancelled:
                # Checked in each round: while the origin is unavailable, no answer of
                # the origin can end the transfer of an outdated version.
                if not self.is_needed():
                    break
                self._check_corrupt_chunks()
                self._check_missing_at_origin()
                self._report_progress()
                for fetch in self.planner.plan(boottime(), self._is_probing()):
                    self.threads.append(eventlet.spawn(self._fetch, fetch))
                self.progress.wait(self.planner.replan_delay())
                self.threads = [thread for thread in self.threads if not thread.dead]
        finally:
            self.close()
            if self.rate is not None:
                self.rate.record_end(boottime())
        return self.planner.is_complete()

    def _is_probing(self) -> bool:
        """Check whether the first chunk is fetched alone to measure the link's rate.

        This applies if the rate is limited for all domains and no chunk has confirmed
        the estimate since the last pause; fetches from the origin do not wait for it.
        On a link whose bandwidth had dropped to 1/14, two chunks sent at the usual rate
        blocked all requests to the engine on this link for 1.9 s, one chunk for 1 s.

        The measurement ends at the latest after the longest time that a chunk may take,
        so a neighbour that hangs delays the other fetches no longer than that.
        """
        rate = self.rate
        if rate is None or rate.is_known or self.unpaced_domain is not None:
            return False
        chunk = self.holding.manifest.chunk_size
        return boottime() < self.started_at + rate.max_transfer_seconds(chunk)

    @property
    def missing_share(self) -> float:
        """Share of the version's chunks that are still missing, from 0 to 1."""
        return len(self.planner.missing) / max(1, len(self.holding.places))

    @property
    def stalled(self) -> bool:
        """Whether no chunk has arrived for the stall time of the planner policy."""
        return self.silent_seconds > self.context.plan.stall_seconds

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last chunk arrived, or since the transfer was created."""
        return boottime() - self.last_progress

    def cancel(self) -> None:
        """Stop at once; abort fetches in flight so that they use no more bandwidth."""
        self.cancelled = True
        self.progress.notify()
        self.close()

    def close(self) -> None:
        """Stop all fetches and close all control connections to neighbours."""
        threads, self.threads = self.threads, []
        kill_threads(threads)

    def _check_corrupt_chunks(self) -> None:
        """Fail if the origin repeatedly sent a chunk that does not match its digest.

        Raises:
            TransferError: The origin's data differs from the manifest.
        """
        for digest, failures in self.corrupt_counts.items():
            if failures >= MAX_CORRUPT_FROM_ORIGIN and digest in self.planner.missing:
                place = self.holding.places[self.holding.index[digest]]
                raise TransferError(
                    f"origin-changed: {place.path} at byte {place.start} does not "
                    f"match the manifest"
                )

    def _report_progress(self) -> None:
        """Emit a progress event if one is due."""
        now = boottime()
        if now < self.next_progress_report:
            return
        self.next_progress_report = now + PROGRESS_SECONDS
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

    def _check_missing_at_origin(self) -> None:
        """Fail if the origin does not have a chunk and no neighbour holds it.

        Without this check the transfer would repeat its requests for a version that the
        origin has dropped, which would delay newer versions. Neighbours first get the
        time to announce their holdings.

        Raises:
            TransferError: A chunk is not available anywhere.
        """
        if boottime() < self.holdings_due_at:
            return
        for digest, answer in self.missing_at_origin.items():
            if digest in self.planner.missing and not self.planner.rarity.get(digest):
                raise TransferError(answer)

    def _follow(self, neighbour: TargetName) -> None:
        """Track the holdings of a neighbour; reconnect when the connection is lost."""
        while True:
            try:
                for announcement in self._receive_holdings(neighbour):
                    self._apply_announcement(neighbour, announcement)
                    self._end_wait(neighbour)
            except ChannelClosed as error:
                logger.debug(
                    "cannot follow the holdings of neighbour %s: %s", neighbour, error
                )
            self.planner.drop_peer(neighbour)
            self._end_wait(neighbour)
            eventlet.sleep(REFOLLOW_SECONDS)

    def _end_wait(self, neighbour: TargetName) -> None:
        """Stop awaiting a neighbour; after the last one the origin may be asked."""
        now = Seconds(boottime())
        was_awaited = neighbour in self.awaited
        self.awaited.discard(neighbour)
        if was_awaited and not self.awaited and now < self._await_until():
            self.planner.origin_state.not_before = now
            self.progress.notify()

    def _await_until(self) -> Seconds:
        """Return when the origin is asked although a neighbour is awaited."""
        return Seconds(self.started_at + AWAIT_HOLDINGS_SECONDS)

    def _receive_holdings(self, neighbour: TargetName) -> Iterator[HeldChunks]:
        """Follow a neighbour and yield its announcements.

        Raises:
            ChannelClosed: The connection failed or was closed.
        """
        channel = open_channel(
            self.peers[neighbour].control_address,
            self.context.key,
            self.context.source,
        )
        with closing(channel):
            local = self.planner.local
            channel.send(
                Follow(PROTOCOL_VERSION, local.target, local.domain, self.holding.root)
            )
            yield from channel.messages(HeldChunks)

    def _apply_announcement(
        self, neighbour: TargetName, announcement: HeldChunks
    ) -> None:
        """Pass the announced holdings of a neighbour to the planner."""
        if not announcement.chunks and not announcement.seen:
            return
        now = boottime()
        held = self.holding.add_seen(announcement.chunks)
        self.planner.record_peer_chunks(neighbour, held, now)
        if not self.planner.role.hubs:
            # Without hubs, chunks that a neighbour has seen at other agents count too.
            # Hubs announce their holdings to each other directly. If indirect reports
            # counted for hubs, a hub's successor would not fetch chunks that loaders
            # had seen at the failed hub, as if these were still available; in one case
            # this lasted 4.5 s.
            seen = self.holding.add_seen(announcement.seen)
            self.planner.record_fleet_chunks(seen, now)
        self.progress.notify()

    def _fetch(self, fetch: Fetch) -> None:
        """Carry out one fetch and report its result to the planner."""
        result = self._get_chunk(fetch)
        now = boottime()
        if isinstance(result, FetchFailure):
            self.planner.record_failure(fetch.digest, fetch.source, result, now)
        else:
            self._store_chunk(fetch, result, now)
        self.progress.notify()

    def _get_chunk(self, fetch: Fetch) -> bytes | FetchFailure:
        """Fetch a chunk from its planned source and verify its digest."""
        result = (
            self._fetch_from_origin(fetch)
            if fetch.source == ORIGIN
            else self._fetch_from_peer(fetch)
        )
        if isinstance(result, FetchFailure):
            return result
        if self.context.digest(result) == fetch.digest:
            return result
        self._record_rejection(fetch)
        return FetchFailure.CORRUPT

    def _record_rejection(self, fetch: Fetch) -> None:
        """Count a chunk whose bytes do not match its digest, and emit an event."""
        self.context.counts.rejected += 1
        self.context.metrics.count(Metric.CHUNKS_REJECTED)
        source = fetch.source or "origin"
        self.context.events.emit(
            EventKind.CHUNK_REJECTED,
            target=self.planner.local.target,
            version=self.holding.root,
            chunk=fetch.digest,
            source=source,
        )
        if fetch.source == ORIGIN:
            self.corrupt_counts[fetch.digest] = (
                self.corrupt_counts.get(fetch.digest, 0) + 1
            )

    def _fetch_from_origin(self, fetch: Fetch) -> bytes | FetchFailure:
        """Fetch a chunk from the origin; the bytes are not verified yet."""
        assert self.origin is not None
        place = self.holding.places[self.holding.index[fetch.digest]]
        stall_seconds = self.context.chunk_stall_seconds
        try:
            data = self.origin.chunk(place, stall_seconds)
        except OriginBusy:
            return FetchFailure.BUSY
        except OriginMissing as error:
            self.error = self.missing_at_origin[fetch.digest] = (
                f"origin-missing: {error}"
            )
            return FetchFailure.MISSING
        except OriginUnavailable as error:
            self.error = f"origin-unavailable: {error}"
            return FetchFailure.STALLED
        self.error = ""
        # The origin counts the bytes of all concurrent fetches together. Only the bytes
        # since the last successful fetch are added, so that each byte counts once.
        self.context.counts.from_origin += (
            self.origin.received_bytes - self.counted_bytes
        )
        self.counted_bytes = self.origin.received_bytes
        self.context.count_received_from_origin(PayloadKind.WEIGHTS, len(data))
        self.context.metrics.count(Metric.BYTES_FROM_ORIGIN, len(data))
        if len(data) != place.length:
            self.error = (
                f"chunk-length: {place.path} at byte {place.start}: the origin sent "
                f"another length than the manifest states"
            )
        return data

    def _fetch_from_peer(self, fetch: Fetch) -> bytes | FetchFailure:
        """Fetch a chunk from another agent; the bytes are not verified yet."""
        peer = self.peers[fetch.source]
        path = f"{CHUNK_PATH}{fetch.digest}"
        headers = {
            AUTH_HEADER: sign_request(self.context.key, "GET", path),
            DOMAIN_HEADER: self.context.local.domain,
        }
        rate = None if peer.domain == self.unpaced_domain else self.rate
        if rate is not None:
            headers[RATE_HEADER] = str(int(rate.current))
        fetches_before = self.peer_fetches()
        started_at = boottime()
        if self.referrals.get(fetch.digest, 0) >= LAST_RESORT_REFERRALS:
            headers[LAST_RESORT_HEADER] = "yes"
        max_bytes = self.holding.places[self.holding.index[fetch.digest]].length
        stall_seconds = self.context.chunk_stall_seconds
        try:
            response = self.context.http.send(
                "GET", peer.address, path, headers=headers, timeout=stall_seconds
            )
            with closing(response):
                if response.status != 200:
                    response.drain_conn()
                    response.release_conn()
                    return self._classify_refusal(fetch, response.status)
                data = b"".join(
                    self.context.download.pace(read_pieces(response, max_bytes))
                )
                response.release_conn()
        except NoConnection:
            return FetchFailure.UNREACHABLE
        except ExchangeFailed:
            return FetchFailure.STALLED
        if rate is not None:
            seconds = boottime() - started_at
            rate.observe(len(data), seconds, (fetches_before, self.peer_fetches()))
        self._count_peer_bytes(fetch.source, len(data))
        return data

    def peer_fetches(self) -> int:
        """Return the number of fetches from other agents in progress."""
        sources = chain.from_iterable(self.planner.in_flight.values())
        return sum(1 for source in sources if source != ORIGIN)

    def _classify_refusal(self, fetch: Fetch, status: int) -> FetchFailure:
        """Return the failure that an HTTP status of a peer stands for; count referrals.

        404 means that the peer does not hold the chunk, 429 that it refers the fetch to
        agents that it has sent the chunk to. Any other status counts as busy.
        """
        if status == 404:
            return FetchFailure.MISSING
        if status == 429:
            self.referrals[fetch.digest] = self.referrals.get(fetch.digest, 0) + 1
            return FetchFailure.REFERRED
        return FetchFailure.BUSY

    def _count_peer_bytes(self, source: TargetName, size: int) -> None:
        """Count bytes received from a peer, by whether they crossed a domain border."""
        self.context.count_received(
            PayloadKind.WEIGHTS, size, self.peers[source].domain
        )
        if self.peers[source].domain == self.planner.local.domain:
            self.context.counts.from_domain += size
        else:
            self.context.counts.across_domains += size
            self.context.metrics.count(Metric.BYTES_ACROSS_DOMAINS, size)

    def _store_chunk(self, fetch: Fetch, data: bytes, now: Seconds) -> None:
        """Store a verified chunk, or count its bytes if it was fetched twice."""
        if not self.planner.record_arrival(fetch.digest, fetch.source, now):
            self.context.counts.fetched_twice += len(data)
            return
        self.last_progress = now
        self.context.store.put(fetch.digest, data)
        self.holding.add_held(fetch.digest)
        self.context.metrics.count(Metric.CHUNKS_FETCHED)
