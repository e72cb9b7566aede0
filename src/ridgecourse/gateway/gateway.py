"""The gateway process: ties callers, store and targets together."""

from collections.abc import Collection, Sequence
from random import Random

import eventlet

from ridgecourse.cluster.decoder import RecordDecoder
from ridgecourse.cluster.domain_source import StoreRecords, open_view
from ridgecourse.cluster.tree_reader import Neighbours
from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import TargetName
from ridgecourse.core.read_tree import gateway_parent
from ridgecourse.core.site import Site
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.gateway.crash_watch import CrashWatch
from ridgecourse.gateway.dispatcher import Dispatcher
from ridgecourse.gateway.forwarder import Forwarder
from ridgecourse.gateway.gateway_link import GatewayLink
from ridgecourse.gateway.hub import Hub
from ridgecourse.gateway.limit_watch import LimitWatch
from ridgecourse.gateway.loads import LoadWatcher
from ridgecourse.gateway.protocol import RequestProtocol
from ridgecourse.net.address import parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.figures import FiguresServer
from ridgecourse.net.front_server import FrontReply, FrontRequest, FrontServer
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter, HttpServer
from ridgecourse.net.loop_lag import LoopLag
from ridgecourse.net.process import new_incarnation
from ridgecourse.net.record_follower import GATEWAY_PACE
from ridgecourse.net.record_source import RecordSource
from ridgecourse.net.site_process import SiteProcess
from ridgecourse.net.threads import spawn_loop

UNREADY_SECONDS = 3.0
"""How long new requests are still taken after readiness ended: the balancer asks
once a second and believes the second miss. Later ones might not end in time."""
STOP_MARGIN_SECONDS = 0.5
"""Before the process would be killed, by when it has ended itself."""
DRAIN_POLL_SECONDS = 0.05


class Gateway(SiteProcess, Neighbours):
    """One gateway.

    Attributes:
        stopping: Whether the process has been told to stop.
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
        self.watcher = LoadWatcher(site, self.view, self.hub, self.events)
        self.lag = LoopLag(self.events.figures)
        random = Random()
        self.link = GatewayLink(site, self.hub.place, self.hub.known, random)
        self.crashes = CrashWatch(site, self.events, self.link, source)
        self.limits = LimitWatch(self.events, self.link)
        self.dispatcher = Dispatcher(
            site,
            self.view,
            protocol,
            self.watcher,
            self.events,
            self.lag.peak,
            random,
            self.hub.count_gateways,
            self.crashes,
            self.limits,
        )
        self.forwarder = Forwarder(
            site, self.view, protocol, self.dispatcher, self.events, random
        )
        assert site.callers is not None and site.readiness is not None
        self.front = FrontServer(parse_address(site.callers), self.handle)
        self.router = HttpRouter()
        self.router.add("GET", ready_path, self.serve_ready)
        self.readiness = HttpServer(parse_address(site.readiness), self.router)
        self.figures = FiguresServer(site.host, self.events.figures)
        self.stopping = False
        self.threads: list = []

    def start(self) -> None:
        """Open the servers and begin to read the store."""
        self.front.start()
        self.readiness.start()
        self.figures.start()
        self.view.start()
        self.hub.start()
        self.watcher.start()
        self.link.start()
        self.crashes.start()
        self.limits.start()
        self.lag.start()
        self.threads.append(spawn_loop(self._take_limits))
        self.events.emit(EventKind.STARTED, http=str(self.front.address))

    def _take_limits(self) -> None:
        while True:
            if self.view.config is not None:
                self.front.limits = self.view.config.limits
            self.dispatcher.selector.forget_gone()
            self.view.changed.wait()

    def known_gateways(self) -> Collection[Peer]:
        """Return the other gateways that are known."""
        return self.hub.known()

    def record_peers(self) -> Sequence[str]:
        """Return whom to ask for the store's records, the nearest first."""
        return self.hub.peers.for_records()

    def choose_parent(self, avoided: Collection[TargetName]) -> Peer | None:
        """Return whom to read decisions from; None for the store."""
        gateways = [g for g in self.hub.known() if g.name not in avoided]
        return gateway_parent(self.hub.place, gateways)

    def handle(self, request: FrontRequest) -> FrontReply:
        """Answer a caller."""
        return self.forwarder.handle(request)

    def serve_ready(self, request: HttpRequest) -> HttpReply:
        """Answer whether the balancer may send callers here."""
        ready = self.view.ready() and self.crashes.exchange.ready
        ready = ready and not self.stopping
        return HttpReply(200 if ready else 503)

    def take_bounds(self) -> None:
        """Use the operators' limits as they stand in the settings now."""
        self.view.take_version_bound(self.site.bounds.version_seconds)
        self.dispatcher.budgets.clear()

    def drain(self) -> None:
        """End readiness, serve what still comes, then finish and close."""
        begun = boottime()
        self.stopping = True
        self.events.emit(EventKind.STOPPING, in_flight=self.front.in_flight)
        if self.hub.has_successor():
            self.watcher.withdraw()
            self.hub.withdraw()
        eventlet.sleep(UNREADY_SECONDS)
        self.front.stop_listening()
        self.front.closing = True
        self.front.end_idle_connections()
        limit = begun + self.site.bounds.stop_seconds - STOP_MARGIN_SECONDS
        while self.front.in_flight and boottime() < limit:
            eventlet.sleep(DRAIN_POLL_SECONDS)
            self.front.end_idle_connections()

    def close(self) -> None:
        """Release everything."""
        self.lag.close()
        self.crashes.close()
        self.limits.close()
        self.link.close()
        self.watcher.close()
        self.hub.close()
        self.view.close()
        for thread in self.threads:
            thread.kill()
        self.front.close()
        self.readiness.close()
        self.figures.close()
        self.events.emit(EventKind.STOPPED)
