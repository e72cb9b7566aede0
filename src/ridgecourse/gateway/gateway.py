"""Assemble the gateway process from its servers, store reader and target senders."""

from collections.abc import Collection, Sequence
from random import Random

import eventlet

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.domain_source import StoreRecords, open_view
from ridgecourse.cluster.tree_reader import Neighbours
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import Seconds, TargetName
from ridgecourse.core.read_tree import gateway_parent
from ridgecourse.core.routes import ClientLimit
from ridgecourse.core.site import Site
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.gateway.announcement_watch import AnnouncementWatch
from ridgecourse.gateway.cold_watch import ColdWatch
from ridgecourse.gateway.crash_watch import CrashWatch
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.forwarder import Forwarder
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.gateway.hub import Hub
from ridgecourse.gateway.limit_watch import LimitWatch
from ridgecourse.gateway.load_watcher import LoadWatcher
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.gateway.relisted_watch import RelistedWatch
from ridgecourse.gateway.retry_control import RetryControl, StartHistory
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.figures import LoopLag, MetricsServer
from ridgecourse.net.front_server import FrontReply, FrontRequest, FrontServer
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.http_server import (
    PROBE_CONNECTIONS,
    HttpReply,
    HttpRequest,
    HttpRouter,
    HttpServer,
)
from ridgecourse.net.process import new_incarnation
from ridgecourse.net.record_follower import GATEWAY_PACE
from ridgecourse.net.record_source import RecordSource
from ridgecourse.net.site_process import SiteProcess
from ridgecourse.net.threads import kill_threads, spawn_loop

UNREADY_GRACE_SECONDS = 3.0
"""How long new requests are accepted after readiness ended. The load balancer polls
readiness once a second and acts on the second failure. Requests accepted later might
not complete before the process stops."""
STOP_MARGIN_SECONDS = 0.5
"""Time between the end of draining and the moment when the process would be killed."""


class Gateway(SiteProcess, Neighbours):
    """One gateway process.

    Attributes:
        view: Configuration, versions and targets as read from the store.
        hub: Exchanges weights with other processes.
        load_watcher: Follows the loads of the engines.
        lag: Measures the delay of timers in this process.
        link: Datagram link to other gateways.
        crash_watch: Holds back requests that may crash engines.
        starts: Finds out whether this gateway may follow another life of itself.
        cold_watch: Tracks which engines are cold.
        relisted_watch: Asks targets that were listed again for their health.
        limit_watch: Tracks the rate limits that targets report.
        announcements: Tracks what targets announce of themselves.
        dispatcher: Sends requests to targets.
        forwarder: Answers clients.
        front: Server for clients.
        readiness: Server for the load balancer's readiness probe.
        figures: Serves metrics.
        stopping: Whether the process was asked to stop.
    """

    def __init__(
        self,
        site: Site,
        source: RecordSource,
        decoder: RecordDecoder,
        protocol: RequestProtocol,
        origin: WeightsOrigin,
        http: HttpClient,
        ready_path: str,
    ) -> None:
        events = EventStream(site.process, new_incarnation(), site.domain)
        super().__init__(site, events)
        store = StoreRecords(source, decoder)
        self.view = open_view(site, store, self, self.events, GATEWAY_PACE)
        self.hub = Hub(site, self.view, self.events, origin, http)
        self.lag = LoopLag(self.events.metrics)
        random = Random()
        self.link = GatewayLink(site, self.hub.local, self.hub.known_gateways, random)
        self.crash_watch = CrashWatch(site, self.events, self.link, source)
        self.view.eras.listeners.append(self.crash_watch.records.restore_blocked)
        self.starts = StartHistory(site, source, self.events)
        self.cold_watch = ColdWatch(site, self.view, self.events)
        self.relisted_watch = RelistedWatch(
            site, self.view, protocol, self.hub.count_gateways, random
        )
        self.limit_watch = LimitWatch(self.events, self.link, self.cold_watch)
        self.announcements = AnnouncementWatch(
            site, self.events, self.link, self.limit_watch
        )
        self.load_watcher = LoadWatcher(
            site, self.view, self.hub, self.announcements, self.events
        )
        self.dispatcher = Dispatcher(
            site,
            self.view,
            protocol,
            self.load_watcher,
            self.events,
            self.lag.peak,
            random,
            self.hub.count_gateways,
            self.crash_watch,
            self.announcements,
            RetryControl(site, self.hub.announced.fleet, self.starts, self.events),
        )
        self.forwarder = Forwarder(
            site, self.view, protocol, self.dispatcher, self.events, random
        )
        assert site.callers is not None and site.readiness is not None
        self.front = FrontServer(parse_address(site.callers), self.handle)
        self.front.apply_limits(self.front.limits, site.resources)
        self.router = HttpRouter()
        self.router.add("GET", ready_path, self.serve_ready)
        self.readiness = HttpServer(
            parse_address(site.readiness), self.router, PROBE_CONNECTIONS
        )
        for server in (self.front, self.readiness):
            server.on_limit = self._report_limit
        self.figures = MetricsServer(site.host, self.events.metrics)
        self.stopping = False
        self.threads: list = []

    def start(self) -> None:
        """Open the servers and start to read the store."""
        self.front.start()
        self.readiness.start()
        self.figures.start()
        self.view.start()
        self.hub.start()
        self.load_watcher.start()
        self.link.start()
        self.crash_watch.start()
        self.starts.start()
        self.cold_watch.start()
        self.relisted_watch.start()
        self.limit_watch.start()
        self.lag.start()
        self.threads.append(spawn_loop(self._apply_limits))
        self.events.emit(EventKind.STARTED, http=str(self.front.address))

    def _apply_limits(self) -> None:
        while True:
            if self.view.config is not None:
                self.front.apply_limits(self.view.config.limits, self.site.resources)
            self.dispatcher.selector.forget_unlisted()
            self.view.changed.wait()

    def _report_limit(self, limit: ClientLimit, detail: str) -> None:
        """Count and log a client that has exceeded a limit."""
        self.events.metrics.count(limit.metric)
        self.events.emit(EventKind.CLIENT_LIMITED, limit=limit.value, why=detail)

    def known_gateways(self) -> Collection[Peer]:
        """Return the other known gateways."""
        return self.hub.known_gateways()

    def record_peers(self) -> Sequence[str]:
        """Return the addresses to request the store's records from, nearest first."""
        return self.hub.peers.record_addresses()

    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        """Return the gateway to read decisions from, or None to read from the store."""
        gateways = [
            gateway
            for gateway in self.hub.known_gateways()
            if gateway.name not in avoided
        ]
        return gateway_parent(self.hub.local, gateways)

    def handle(self, request: FrontRequest) -> FrontReply:
        """Return the answer to a client's request."""
        return self.forwarder.handle(request)

    def serve_ready(self, request: HttpRequest) -> HttpReply:
        """Return 200 if the load balancer may send clients here, otherwise 503."""
        ready = self.view.is_ready() and self.crash_watch.records.gossip.ready
        ready = ready and self.starts.is_ready() and not self.stopping
        return HttpReply(200 if ready else 503)

    def apply_limits(self) -> None:
        """Apply the operators' limits from the current settings."""
        bounds = self.site.bounds
        self.view.set_version_bound(bounds.version_seconds)
        self.view.targets.relisted.drain_seconds = bounds.leaving_seconds
        self.view.evacuation_records.bound_seconds = bounds.evacuate_seconds

    def drain(self) -> None:
        """End readiness, serve late arrivals, then finish the open requests."""
        started_at = boottime()
        self.stopping = True
        self.events.emit(EventKind.STOPPING, in_flight=self.front.in_flight)
        if self.hub.has_successor():
            self.load_watcher.withdraw()
            self.hub.withdraw()
        eventlet.sleep(UNREADY_GRACE_SECONDS)
        drain_until = started_at + self.site.bounds.stop_seconds - STOP_MARGIN_SECONDS
        self.forwarder.closes_at = Seconds(drain_until)
        hub_drain = eventlet.spawn(self.hub.drain, drain_until)
        self.front.drain(drain_until)
        hub_drain.wait()

    def close(self) -> None:
        """Stop all threads and close all servers."""
        open_connections = self.front.count_states()
        self.lag.close()
        self.crash_watch.close()
        self.limit_watch.close()
        self.starts.close()
        self.cold_watch.close()
        self.relisted_watch.close()
        self.link.close()
        self.load_watcher.close()
        self.hub.close()
        self.view.close()
        kill_threads(self.threads)
        self.front.close()
        self.readiness.close()
        self.figures.close()
        self.events.emit(EventKind.STOPPED, connections=open_connections)
