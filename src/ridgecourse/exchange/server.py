"""The serving side of the exchange: chunks and manifests for other agents."""

from collections.abc import Iterator
from itertools import islice

import eventlet

from ridgecourse.core.ids import ChunkDigest, RootDigest
from ridgecourse.exchange.context import ExchangeContext
from ridgecourse.exchange.frames import TICKET_HEADER, frame_header
from ridgecourse.exchange.holding import Holding
from ridgecourse.net.broadcast import Broadcast
from ridgecourse.net.clock import boottime
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.net.throttle import Throttle, in_pieces
from ridgecourse.net.websocket import ControlChannel
from ridgecourse.wire.control import Follow, Holds

CHUNK_PATH = "/chunks/"
MANIFEST_PATH = "/manifests/"
ENGINE_PATH = "/engine/"
DOMAIN_HEADER = "Ridgecourse-Domain"
RATE_HEADER = "Ridgecourse-Rate"
"""Bytes a second that the link of whoever asks can take."""
LAST_RESORT_HEADER = "Ridgecourse-Last-Resort"
PIECE_BYTES = 4 * 1024
"""Sent at a time where the link is limited, so that requests wait little behind."""
PACE_BURST_SECONDS = 0.02
"""Of an agent's rate that may go to it at once: requests to its engine wait behind."""
QUEUE_SECONDS = 1.0
"""Longest wait of a request for an upload slot."""
HOLDS_INTERVAL = 0.05
"""Seconds over which newly held chunks are gathered into one message."""


class Exchange:
    """Hands out chunks to other agents, and all of a version to the engine.

    Attributes:
        store: The chunks.
        holdings: The versions taken part in.
        uploads: Uploads in progress.
        queued: Requests of the own domain that wait for an upload slot.
        queued_across: The same of other domains.
        link: Limit of the outgoing link.
        tickets: What the engine shows to fetch a version.
        pacers: Limits of uploads to each agent that asked for one.
    """

    def __init__(self, context: ExchangeContext) -> None:
        self.domain = context.me.domain
        self.store = context.store
        self.policy = context.link
        self.key = context.key
        self.link = Throttle(self.policy.upload_bytes_per_s)
        self.holdings: dict[RootDigest, Holding] = {}
        self.joined = Broadcast()
        self.tickets: dict[str, RootDigest] = {}
        self.uploads = 0
        self.queued = 0
        self.queued_across = 0
        self.slot_free = Broadcast()
        self.pacers: dict[str, Throttle] = {}

    def add_routes(self, router: HttpRouter) -> None:
        """Serve chunks and manifests on a router."""
        router.add("GET", CHUNK_PATH, self.serve_chunk)
        router.add("GET", MANIFEST_PATH, self.serve_manifest)
        router.add("GET", f"{ENGINE_PATH}manifest/", self.serve_engine_manifest)
        router.add("GET", f"{ENGINE_PATH}stream/", self.serve_engine_stream)

    def join(self, holding: Holding) -> None:
        """Take part in the exchange of a version."""
        self.holdings[holding.root] = holding
        for place in holding.places:
            if self.store.get(place.digest) is not None:
                holding.add_held(place.digest)
        self.joined.notify()

    def leave(self, root: RootDigest) -> None:
        """Take no part in a version any more."""
        self.holdings.pop(root, None)

    def serve_chunk(self, request: HttpRequest) -> HttpReply:
        """Answer with a chunk, or 503 where all upload slots are taken."""
        if not request.is_signed(self.key):
            return HttpReply(401)
        digest = ChunkDigest(request.path.removeprefix(CHUNK_PATH))
        data = self.store.get(digest)
        if data is None:
            return HttpReply(404)
        holding = self._holding_of(digest)
        last_resort = request.header(LAST_RESORT_HEADER) == "yes"
        across = request.header(DOMAIN_HEADER) != self.domain
        if not last_resort and self._over_share(holding, digest, across):
            return HttpReply(429)
        if not self._take_slot(across):
            return HttpReply(503)
        if holding is not None:
            holding.uploads[digest, across] += 1
        headers = [("Content-Length", str(len(data)))]
        return HttpReply(200, self._upload(data, self._pacer(request)), headers)

    def _take_slot(self, across: bool) -> bool:
        """Wait for an upload slot; tell whether one was got.

        A short queue costs less than asking again and again does. Requests from
        other domains always queue and go first: a whole domain waits for what
        they bring in.
        """
        if not across and self.queued >= self.policy.upload_queue:
            return False
        self.queued += not across
        self.queued_across += across
        try:
            deadline = boottime() + QUEUE_SECONDS
            while self._must_wait(across):
                left = deadline - boottime()
                if left <= 0 or not self.slot_free.wait(left):
                    return False
        finally:
            self.queued -= not across
            self.queued_across -= across
        self.uploads += 1
        return True

    def _must_wait(self, across: bool) -> bool:
        taken = self.uploads >= self.policy.upload_slots
        return taken or (not across and self.queued_across > 0)

    def _holding_of(self, digest: ChunkDigest) -> Holding | None:
        for holding in self.holdings.values():
            if digest in holding.index:
                return holding
        return None

    def _over_share(
        self, holding: Holding | None, digest: ChunkDigest, across: bool
    ) -> bool:
        """Tell whether others should send a chunk on now.

        The first holder of a chunk is asked by all at once. If it served them
        all, its link would bound the whole rollout; those that it served can.
        """
        if holding is None:
            return False
        return holding.uploads[digest, across] >= self.policy.uploads_per_chunk

    def _pacer(self, request: HttpRequest) -> Throttle | None:
        """Return what keeps all uploads to one agent below the rate it asks for."""
        rate = request.header(RATE_HEADER)
        if not rate.isdecimal() or not int(rate):
            return None
        host = request.environ.get("REMOTE_ADDR", "")
        pacer = self.pacers.setdefault(host, Throttle(None, PACE_BURST_SECONDS))
        pacer.rate = float(rate)
        return pacer

    def _upload(self, data: bytes, pacer: Throttle | None) -> Iterator[bytes]:
        pieces = in_pieces(data, PIECE_BYTES)
        if pacer is not None:
            pieces = pacer.pace(pieces)
        try:
            yield from self.link.pace(pieces)
        finally:
            self.uploads -= 1
            self.slot_free.notify()

    def serve_manifest(self, request: HttpRequest) -> HttpReply:
        """Answer with a version's manifest."""
        if not request.is_signed(self.key):
            return HttpReply(401)
        root = RootDigest(request.path.removeprefix(MANIFEST_PATH))
        holding = self.holdings.get(root)
        if holding is None:
            return HttpReply(404)
        return HttpReply(200, self.link.pace((holding.manifest_bytes,)))

    def serve_engine_manifest(self, request: HttpRequest) -> HttpReply:
        """Answer the engine, which shows a ticket, with a manifest."""
        root = self.tickets.get(request.header(TICKET_HEADER))
        holding = self.holdings.get(root) if root is not None else None
        if holding is None:
            return HttpReply(401)
        return HttpReply(200, holding.manifest_bytes)

    def serve_engine_stream(self, request: HttpRequest) -> HttpReply:
        """Answer the engine with a version's chunks, each as soon as it is held."""
        ticket = request.header(TICKET_HEADER)
        root = self.tickets.get(ticket)
        holding = self.holdings.get(root) if root is not None else None
        if holding is None:
            return HttpReply(401)
        return HttpReply(200, self._chunk_frames(holding, ticket))

    def _chunk_frames(self, holding: Holding, ticket: str) -> Iterator[bytes]:
        """Yield digest, length and bytes of each chunk, in order of arrival.

        The stream ends early where the version is dropped meanwhile.
        """
        sent = 0
        while sent < len(holding.places):
            fresh = list(islice(holding.held, sent, None))
            for index in fresh:
                digest = holding.places[index].digest
                data = self.store.get(digest)
                if data is None:
                    return
                yield frame_header(digest, len(data)) + data
            sent += len(fresh)
            if not fresh:
                holding.changed.wait(1.0)
            if ticket not in self.tickets:
                return

    def tell_holdings(self, channel: ControlChannel, follow: Follow) -> None:
        """Tell a follower what is held of a version, until it goes away.

        Raises:
            ChannelClosed: The follower is gone.
        """
        while True:
            holding = self.holdings.get(follow.root)
            if holding is None:
                self.joined.wait(1.0)
                channel.send(Holds(follow.root, []))
                continue
            self._tell_holding(channel, holding)

    def _tell_holding(self, channel: ControlChannel, holding: Holding) -> None:
        held_told = seen_told = 0
        while self.holdings.get(holding.root) is holding:
            held = list(islice(holding.held, held_told, None))
            seen = list(islice(holding.seen, seen_told, None))
            if held or seen:
                held_told += len(held)
                seen_told += len(seen)
                told = set(held)
                others = [index for index in seen if index not in told]
                channel.send(Holds(holding.root, held, others))
                eventlet.sleep(HOLDS_INTERVAL)
            elif not holding.changed.wait(1.0):
                # A sign of life, and notice of a follower that went away.
                channel.send(Holds(holding.root, []))
