"""Loader process: connects the engine, the weights exchange and the record store."""

from collections.abc import Collection, Sequence

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.domain_source import StoreRecords, open_view
from ridgecourse.cluster.peer_records import RecordRelay
from ridgecourse.cluster.tree_reader import Neighbours
from ridgecourse.core.fetch_types import Member, PlanPolicy
from ridgecourse.core.hubs import Peer, make_seed_addresses, nearest_first
from ridgecourse.core.ids import TargetName
from ridgecourse.core.read_tree import loader_parent
from ridgecourse.core.site import Site
from ridgecourse.exchange.context import ExchangeContext, LinkPolicy, sha256_digest
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.store import ChunkStore
from ridgecourse.loader.cold_feed import ColdFeed
from ridgecourse.loader.engine_control import EngineControl
from ridgecourse.loader.known_gateways import KnownGateways
from ridgecourse.loader.latest_incarnation import LatestIncarnation
from ridgecourse.loader.rollout import Rollout
from ridgecourse.loader.status import StatusFeed
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.figures import MetricsServer
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.http_server import PEER_DRAIN_SECONDS, HttpRouter, HttpServer
from ridgecourse.net.metrics import Metrics
from ridgecourse.net.process import new_incarnation
from ridgecourse.net.record_follower import ReadPace
from ridgecourse.net.record_source import RecordSource
from ridgecourse.net.site_process import SiteProcess
from ridgecourse.net.throttle import AdaptiveRate
from ridgecourse.net.websocket import ChannelClosed, ControlChannel, ControlServer
from ridgecourse.wire.control import Follow, LoaderMessage

DECISION_READ_SECONDS = 5.0
"""Longest wait of one read for a new version, in seconds; no time limit applies to the
reads of a loader."""
TARGETS_PAUSE_SECONDS = 6.0
"""Interval between reads of the list of targets, in seconds; a loader uses the list
only to determine which engines start early."""
STORE_BYTES = 64 * 1024 * 1024
"""Memory for chunks in bytes: enough for several versions of a few MB."""
WEIGHTS_LINK_SHARE = 0.94
"""Share of the instance's incoming link that weights may use: requests to the engine
need some 3 in 100 of the link."""
UPLOAD_QUEUE = 6
"""Number of chunk requests that may wait for an upload slot: a chunk takes some 50 ms,
less than the pause of a refused loader before its next request."""
MAX_CONCURRENT_FETCHES = 2
"""Concurrent fetches: enough to keep the link busy, and few enough that little data is
queued when the link's bandwidth drops."""
FIRST_MESSAGE_SECONDS = 2.0
"""Longest wait for the first message on a control connection, in seconds."""


class Loader(SiteProcess, Neighbours):
    """Loader of one engine, on the engine's instance."""

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
        seeds = make_seed_addresses(site.seeds, chunk_port)
        self.location = Peer(TargetName(site.host), site.domain, "", "")
        store = StoreRecords(source, decoder)
        pace = ReadPace(
            DECISION_READ_SECONDS, TARGETS_PAUSE_SECONDS, TARGETS_PAUSE_SECONDS
        )
        self.view = open_view(site, store, self, self.events, pace)
        self.context = ExchangeContext(
            local=Member(TargetName(site.host), site.domain),
            events=self.events,
            metrics=Metrics(site.process, None),
            http=http,
            store=ChunkStore(STORE_BYTES),
            link=LinkPolicy(
                upload_bytes_per_s=site.upload_bytes_per_s * WEIGHTS_LINK_SHARE,
                upload_queue=UPLOAD_QUEUE,
            ),
            plan=PlanPolicy(fetches=MAX_CONCURRENT_FETCHES),
            rate=AdaptiveRate(site.upload_bytes_per_s * WEIGHTS_LINK_SHARE),
            source=site.host,
            digest=sha256_digest,
            region=site.region,
        )
        self.exchange = Exchange(self.context)
        engine = LatestIncarnation(engine, self.events)
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
        self.cold = ColdFeed(
            engine, self.view, self.rollout.service, lambda: bool(self.feed.watchers)
        )
        self.feed = StatusFeed(
            engine, self.rollout, self.gateways, self.reports, self.cold
        )
        self.router = HttpRouter()
        self.exchange.add_routes(self.router)
        self.rollout.catalogue.add_routes(self.router)
        self.view.record_server.add_routes(self.router)
        self.relay = RecordRelay(self.view, http, self.record_peers, self.events)
        self.http_server = HttpServer(Address(site.host, chunk_port), self.router)
        self.figures = MetricsServer(site.host, self.events.metrics)
        self.control_server = ControlServer(
            Address(site.host, control_port), "", self.handle_channel
        )

    def start(self) -> None:
        """Open the servers, and start to read the store and to control the engine."""
        self.http_server.start()
        self.figures.start()
        self.control_server.start()
        self.reports.start()
        self.view.start()
        self.relay.start()
        self.gateways.start()
        self.rollout.start()
        self.feed.start()
        self.cold.start()
        self.events.emit(EventKind.STARTED, http=str(self.http_server.address))

    def handle_channel(self, channel: ControlChannel) -> None:
        """Serve a control connection until the other process disconnects.

        The first message selects the feed: holdings of a version, or the engine's
        load.

        Raises:
            ChannelClosed: The other process disconnected or sent no first message.
        """
        first = channel.receive(LoaderMessage, FIRST_MESSAGE_SECONDS)
        if first is None:
            raise ChannelClosed("no first message")
        if isinstance(first, Follow):
            self.exchange.announce_holdings(channel, first)
        else:
            self.feed.serve_watcher(channel, first)

    def known_gateways(self) -> Collection[Peer]:
        """Return the gateways that are currently known."""
        return list(self.gateways)

    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        """Return the parent to read decisions from; None to read the store."""
        loaders = [
            peer.name
            for peer in self.rollout.other_loaders().values()
            if peer.domain == self.location.domain
        ]
        return loader_parent(self.location, list(self.gateways), avoided, loaders)

    def record_peers(self) -> Sequence[str]:
        """Return the addresses to fetch the store's records from, nearest first."""
        ports = self.rollout.chunk_port, self.rollout.control_port
        loaders = self.rollout.other_loaders()
        known = nearest_first([*self.gateways, *loaders.values()], self.location)
        seeds = make_seed_addresses(self.site.seeds, ports[0])
        return list(dict.fromkeys([*known, *seeds]))

    def apply_limits(self) -> None:
        """Apply the operators' limits from the current settings."""
        bounds = self.site.bounds
        self.view.set_version_bound(bounds.version_seconds)
        self.view.evacuation_records.bound_seconds = bounds.evacuate_seconds

    def drain(self) -> None:
        """Finish the chunks and records that are being sent to other processes.

        Nothing is handed over: other loaders have the chunks that this loader held, or
        fetch them again.
        """
        self.events.emit(EventKind.STOPPING)
        self.http_server.drain(boottime() + PEER_DRAIN_SECONDS)

    def close(self) -> None:
        """Stop all components and close the servers."""
        self.feed.close()
        self.cold.close()
        self.rollout.close()
        self.relay.close()
        self.gateways.close()
        self.view.close()
        self.control_server.close()
        self.reports.close()
        self.http_server.close()
        self.figures.close()
        self.events.emit(EventKind.STOPPED)
