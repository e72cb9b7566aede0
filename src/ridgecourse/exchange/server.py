"""Serving side of the exchange: sends chunks and manifests to agents and the engine."""

from collections.abc import Iterator
from itertools import islice

import eventlet

from ridgecourse.core.ids import ChunkDigest, RootDigest
from ridgecourse.core.manifest import DIGEST_HEX_LENGTH
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.holding import Holding
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.net.threads import Broadcast
from ridgecourse.net.throttle import Throttle, split_into_pieces
from ridgecourse.net.websocket import ControlChannel
from ridgecourse.wire.control import Follow, HeldChunks

CHUNK_PATH = "/chunks/"
MANIFEST_PATH = "/manifests/"
ENGINE_PATH = "/engine/"
TICKET_HEADER = "Ridgecourse-Ticket"
"""Request header: the ticket with which an engine fetches the version that it was
ordered to load."""
FRAME_HEADER_BYTES = DIGEST_HEX_LENGTH + 8
"""Size of a frame header: hexadecimal digest and 8 bytes of length."""
DOMAIN_HEADER = "Ridgecourse-Domain"
"""Request header: failure domain of the requester."""
RATE_HEADER = "Ridgecourse-Rate"
"""Request header: bytes a second that the requester's link can receive."""
LAST_RESORT_HEADER = "Ridgecourse-Last-Resort"
"""Request header: "yes" asks for a chunk beyond the limit of uploads per chunk."""
PIECE_BYTES = 4 * 1024
"""Bytes sent at a time on a limited link: small, so that inference requests on the same
link wait only briefly."""
PACE_BURST_SECONDS = 0.02
"""Burst to one agent, in seconds of its rate: requests to the agent's engine wait
behind the burst."""
QUEUE_SECONDS = 1.0
"""Longest wait of a request for an upload slot, in seconds."""
HOLDS_INTERVAL_SECONDS = 0.05
"""Seconds over which newly available chunks are batched into one message."""


class Exchange:
    """Serves chunks to other agents, and whole versions to the local engine.

    Attributes:
        domain: Failure domain of the local agent.
        store: Chunks that the local agent holds.
        policy: Limits of uploads.
        key: Shared key with which requests of other agents are signed.
        holdings: Versions that this agent exchanges, by root digest.
        joined: Notified when a version is added to ``holdings``.
        uploads: Number of uploads in progress.
        queued: Number of requests from the local domain that wait for an upload slot.
        queued_cross_domain: Number of requests from other domains that wait for one.
        slot_free: Notified when an upload slot becomes free.
        link: Limit of the outgoing link.
        tickets: Version that each ticket lets the engine fetch.
        pacers: Upload limit of each agent that requested one, by host.
    """

    def __init__(self, context: ExchangeContext) -> None:
        self.domain = context.local.domain
        self.store = context.store
        self.policy = context.link
        self.key = context.key
        self.link = Throttle(self.policy.upload_bytes_per_s)
        self.holdings: dict[RootDigest, Holding] = {}
        self.joined = Broadcast()
        self.tickets: dict[str, RootDigest] = {}
        self.uploads = 0
        self.queued = 0
        self.queued_cross_domain = 0
        self.slot_free = Broadcast()
        self.pacers: dict[str, Throttle] = {}

    def add_routes(self, router: HttpRouter) -> None:
        """Register the handlers of chunks and manifests on a router."""
        router.add("GET", CHUNK_PATH, self.serve_chunk)
        router.add("GET", MANIFEST_PATH, self.serve_manifest)
        router.add("GET", f"{ENGINE_PATH}manifest/", self.serve_engine_manifest)
        router.add("GET", f"{ENGINE_PATH}stream/", self.serve_engine_stream)

    def join(self, holding: Holding) -> None:
        """Start to exchange a version with other agents."""
        self.holdings[holding.root] = holding
        for place in holding.places:
            if self.store.get(place.digest) is not None:
                holding.add_held(place.digest)
        self.joined.notify()

    def leave(self, root: RootDigest) -> None:
        """Stop exchanging a version."""
        self.holdings.pop(root, None)

    def serve_chunk(self, request: HttpRequest) -> HttpReply:
        """Answer a request for a chunk.

        The status is 401 without a valid signature, 404 if the chunk is not held, 429
        if the chunk was sent often enough, and 503 if no upload slot became free.
        """
        if not request.is_signed(self.key):
            return HttpReply(401)
        digest = ChunkDigest(request.path.removeprefix(CHUNK_PATH))
        data = self.store.get(digest)
        if data is None:
            return HttpReply(404)
        holding = self._find_holding(digest)
        last_resort = request.header(LAST_RESORT_HEADER) == "yes"
        cross_domain = request.header(DOMAIN_HEADER) != self.domain
        if not last_resort and self._is_upload_limit_reached(
            holding, digest, cross_domain
        ):
            return HttpReply(429)
        if not self._acquire_slot(cross_domain):
            return HttpReply(503)
        if holding is not None:
            holding.uploads[digest, cross_domain] += 1
        headers = [("Content-Length", str(len(data)))]
        return HttpReply(200, self._upload(data, self._pacer_for(request)), headers)

    def _acquire_slot(self, cross_domain: bool) -> bool:
        """Wait for an upload slot; return whether one was acquired.

        A short queue costs less than repeated requests. Requests from other domains
        always queue and take precedence, because a whole domain waits for the chunks
        that they fetch.
        """
        if not cross_domain and self.queued >= self.policy.upload_queue:
            return False
        self.queued += not cross_domain
        self.queued_cross_domain += cross_domain
        try:
            deadline = boottime() + QUEUE_SECONDS
            while self._must_wait(cross_domain):
                remaining = deadline - boottime()
                if remaining <= 0 or not self.slot_free.wait(remaining):
                    return False
        finally:
            self.queued -= not cross_domain
            self.queued_cross_domain -= cross_domain
        self.uploads += 1
        return True

    def _must_wait(self, cross_domain: bool) -> bool:
        """Check whether a request must wait for an upload slot."""
        slots_busy = self.uploads >= self.policy.upload_slots
        return slots_busy or (not cross_domain and self.queued_cross_domain > 0)

    def _find_holding(self, digest: ChunkDigest) -> Holding | None:
        """Return a version that contains a chunk; None if no version does."""
        for holding in self.holdings.values():
            if digest in holding.index:
                return holding
        return None

    def _is_upload_limit_reached(
        self, holding: Holding | None, digest: ChunkDigest, cross_domain: bool
    ) -> bool:
        """Check whether a chunk was uploaded often enough to leave it to other agents.

        All agents request a chunk from its first holder at once. If that agent served
        all of them, its link would limit the whole rollout; the agents that received
        the chunk can send it to the rest.
        """
        if holding is None:
            return False
        return holding.uploads[digest, cross_domain] >= self.policy.uploads_per_chunk

    def _pacer_for(self, request: HttpRequest) -> Throttle | None:
        """Return the throttle that limits uploads to one agent to its requested rate.

        Returns:
            None if the request names no rate.
        """
        rate = request.header(RATE_HEADER)
        if not rate.isdecimal() or not int(rate):
            return None
        host = request.environ.get("REMOTE_ADDR", "")
        pacer = self.pacers.setdefault(host, Throttle(None, PACE_BURST_SECONDS))
        pacer.rate = float(rate)
        return pacer

    def _upload(self, data: bytes, pacer: Throttle | None) -> Iterator[bytes]:
        """Yield a chunk in paced pieces; release the upload slot at the end."""
        pieces = split_into_pieces(data, PIECE_BYTES)
        if pacer is not None:
            pieces = pacer.pace(pieces)
        try:
            yield from self.link.pace(pieces)
        finally:
            self.uploads -= 1
            self.slot_free.notify()

    def serve_manifest(self, request: HttpRequest) -> HttpReply:
        """Answer another agent with the manifest of a version."""
        if not request.is_signed(self.key):
            return HttpReply(401)
        root = RootDigest(request.path.removeprefix(MANIFEST_PATH))
        holding = self.holdings.get(root)
        if holding is None:
            return HttpReply(404)
        return HttpReply(200, self.link.pace((holding.manifest_bytes,)))

    def serve_engine_manifest(self, request: HttpRequest) -> HttpReply:
        """Answer the engine with the manifest of the version that its ticket names."""
        root = self.tickets.get(request.header(TICKET_HEADER))
        holding = self.holdings.get(root) if root is not None else None
        if holding is None:
            return HttpReply(401)
        return HttpReply(200, holding.manifest_bytes)

    def serve_engine_stream(self, request: HttpRequest) -> HttpReply:
        """Answer the engine with a stream of chunks, each sent once it is held."""
        ticket = request.header(TICKET_HEADER)
        root = self.tickets.get(ticket)
        holding = self.holdings.get(root) if root is not None else None
        if holding is None:
            return HttpReply(401)
        return HttpReply(200, self._chunk_frames(holding, ticket))

    def _chunk_frames(self, holding: Holding, ticket: str) -> Iterator[bytes]:
        """Yield digest, length and bytes of each chunk, in order of arrival.

        The stream ends early if the version is dropped or the ticket is withdrawn.
        """
        sent = 0
        while sent < len(holding.places):
            unsent = list(islice(holding.held, sent, None))
            for index in unsent:
                digest = holding.places[index].digest
                data = self.store.get(digest)
                if data is None:
                    return
                yield frame_header(digest, len(data)) + data
            sent += len(unsent)
            if not unsent:
                holding.changed.wait(1.0)
            if ticket not in self.tickets:
                return

    def announce_holdings(self, channel: ControlChannel, follow: Follow) -> None:
        """Announce the available chunks of a version until the follower disconnects.

        Raises:
            ChannelClosed: The follower disconnected.
        """
        while True:
            holding = self.holdings.get(follow.root)
            if holding is None:
                self.joined.wait(1.0)
                channel.send(HeldChunks(follow.root, []))
                continue
            self._announce_holding(channel, holding)

    def _announce_holding(self, channel: ControlChannel, holding: Holding) -> None:
        """Send changes of a holding until this agent leaves the version."""
        held_sent = seen_sent = 0
        while self.holdings.get(holding.root) is holding:
            held = list(islice(holding.held, held_sent, None))
            seen = list(islice(holding.seen, seen_sent, None))
            if held or seen:
                held_sent += len(held)
                seen_sent += len(seen)
                sent_as_held = set(held)
                others = [index for index in seen if index not in sent_as_held]
                channel.send(HeldChunks(holding.root, held, others))
                eventlet.sleep(HOLDS_INTERVAL_SECONDS)
            elif not holding.changed.wait(1.0):
                # Keepalive, which also detects a follower that disconnected.
                channel.send(HeldChunks(holding.root, []))


def frame_header(digest: ChunkDigest, length: int) -> bytes:
    """Return the header that precedes a chunk's bytes in the stream to an engine."""
    return digest.encode() + length.to_bytes(8, "big")
