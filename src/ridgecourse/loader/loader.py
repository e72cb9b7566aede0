"""The loader process: ties engine, exchange of weights and store together."""

from collections.abc import Collection, Sequence

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.domain_source import StoreRecords, open_view
from ridgecourse.cluster.relay import RecordRelay
from ridgecourse.cluster.tree_reader import Neighbours
from ridgecourse.core.fetches import Member, PlanPolicy
from ridgecourse.core.hubs import Peer, nearest_first, seed_peers
from ridgecourse.core.ids import TargetName
from ridgecourse.core.read_tree import loader_parent
from ridgecourse.core.site import Site
from ridgecourse.exchange.context import ExchangeContext, LinkPolicy, sha256_digest
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.loader.gateways import KnownGateways
from ridgecourse.loader.latest_life import LatestLife
from ridgecourse.loader.protocol import EngineControl
from ridgecourse.loader.rollout import Rollout
from ridgecourse.loader.status import StatusFeed
from ridgecourse.net.address import Address
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.figures import FiguresServer
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.http_server import HttpRouter, HttpServer
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.process import new_incarnation
from ridgecourse.net.record_follower import ReadPace
from ridgecourse.net.record_source import RecordSource
from ridgecourse.net.site_process import SiteProcess
from ridgecourse.net.throttle import AdaptiveRate
from ridgecourse.net.websocket import ChannelClosed, ControlChannel, ControlServer
from ridgecourse.wire.control import Follow, LoaderMessage

DECISION_WAIT_SECONDS = 5.0
"""Longest wait of one read for a new version; no rule binds a loader to seconds."""
TARGETS_PAUSE_SECONDS = 6.0
"""Between two reads of the list, which here only tells which engines start early."""
STORE_BYTES = 64 * 1024 * 1024
"""Memory for chunks: some versions of a few MB."""
LINK_SHARE = 0.94
"""Share of the instance's incoming link that weights may use: an engine's requests
need some 3 in 100 of it."""
UPLOAD_QUEUE = 6
"""Requests for chunks that may wait for an upload slot: a chunk takes some 50 ms,
less than a refused loader waits before it asks again."""
FETCHES = 2
"""Chunks asked for at a time: enough that the link is never idle, and few enough
that little has queued up before a link that narrows."""
FIRST_MESSAGE_SECONDS = 2.0


class Loader(SiteProcess, Neighbours):
    """One loader, beside one engine."""

    def __init__(
        self,
        site: Site,
        source: RecordSource,
        decoder: RecordDecoder,
        engine: EngineControl,
        origin: WeightsOrigin,
        http: HttpClient,
    ) -> None:
        events = EventStream(site.process, new_incarnation(), site.domain)
        super().__init__(site, events)
        control_port, chunk_port = site.peer_ports[0], site.peer_ports[0] + 1
        seeds = seed_peers(site.seeds, chunk_port)
        self.place = Peer(TargetName(site.host), site.domain, "", "")
        store = StoreRecords(source, decoder)
        pace = ReadPace(
            DECISION_WAIT_SECONDS, TARGETS_PAUSE_SECONDS, TARGETS_PAUSE_SECONDS
        )
        self.view = open_view(site, store, self, self.events, pace)
        self.context = ExchangeContext(
            me=Member(TargetName(site.host), site.domain),
            events=self.events,
            metrics=Metrics(site.process, None),
            http=http,
            store=ChunkStore(STORE_BYTES),
            link=LinkPolicy(
                upload_bytes_per_s=site.upload_bytes_per_s * LINK_SHARE,
                upload_queue=UPLOAD_QUEUE,
            ),
            plan=PlanPolicy(fetches=FETCHES),
            rate=AdaptiveRate(site.upload_bytes_per_s * LINK_SHARE),
            source=site.host,
            digest=sha256_digest,
            region=site.region,
        )
        self.exchange = Exchange(self.context)
        engine = LatestLife(engine, self.events)
        self.gateways = KnownGateways(seeds, http, self.events)
        self.rollout = Rollout(
            site,
            self.view,
            self.context,
            self.exchange,
            engine,
            origin,
            self.gateways,
            (chunk_port, control_port),
        )
        self.reports = DatagramSocket(Address(site.host, control_port))
        self.feed = StatusFeed(engine, self.rollout, self.gateways, self.reports)
        self.router = HttpRouter()
        self.exchange.add_routes(self.router)
        self.rollout.catalogue.add_routes(self.router)
        self.view.share.add_routes(self.router)
        self.relay = RecordRelay(self.view, http, self.record_peers, self.events)
        self.http_server = HttpServer(Address(site.host, chunk_port), self.router)
        self.figures = FiguresServer(site.host, self.events.figures)
        self.control_server = ControlServer(
            Address(site.host, control_port), "", self.handle_channel
        )

    def start(self) -> None:
        """Open both servers, read the store and drive the engine."""
        self.http_server.start()
        self.figures.start()
        self.control_server.start()
        self.reports.start()
        self.view.start()
        self.relay.start()
        self.gateways.start()
        self.rollout.start()
        self.feed.start()
        self.events.emit(EventKind.STARTED, http=str(self.http_server.address))

    def handle_channel(self, channel: ControlChannel) -> None:
        """Tell another process what it asks for, until it goes away.

        Raises:
            ChannelClosed: It went away.
        """
        first = channel.receive(LoaderMessage, FIRST_MESSAGE_SECONDS)
        if first is None:
            raise ChannelClosed("no first message")
        if isinstance(first, Follow):
            self.exchange.tell_holdings(channel, first)
        else:
            self.feed.tell(channel, first)

    def known_gateways(self) -> Collection[Peer]:
        """Return the gateways that are known."""
        return list(self.gateways)

    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        """Return whom to read decisions from; None for the store."""
        loaders = [
            peer.name
            for peer in self.rollout.other_loaders().values()
            if peer.domain == self.place.domain
        ]
        return loader_parent(self.place, list(self.gateways), avoided, loaders)

    def record_peers(self) -> Sequence[str]:
        """Return whom to ask for the store's records, the nearest first."""
        ports = self.rollout.chunk_port, self.rollout.control_port
        loaders = self.rollout.other_loaders()
        known = nearest_first([*self.gateways, *loaders.values()], self.place)
        seeds = seed_peers(self.site.seeds, ports[0])
        return list(dict.fromkeys([*known, *seeds]))

    def take_bounds(self) -> None:
        """Use the operators' limits as they stand in the settings now."""
        self.view.take_version_bound(self.site.bounds.version_seconds)

    def drain(self) -> None:
        """Stop; other loaders have what this one held, or fetch it anew."""
        self.events.emit(EventKind.STOPPING)

    def close(self) -> None:
        """Release everything."""
        self.feed.close()
        self.rollout.close()
        self.relay.close()
        self.gateways.close()
        self.view.close()
        self.control_server.close()
        self.reports.close()
        self.http_server.close()
        self.figures.close()
        self.events.emit(EventKind.STOPPED)
