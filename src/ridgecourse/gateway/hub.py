"""Fetch weight versions into the failure domain and serve them to its loaders.

In each failure domain, one gateway is the hub of a version and the next in rank is its
standby hub. Both fetch the version when it is announced or a loader requests it, the
standby hub from the hub.
"""

from collections.abc import Iterable
from functools import partial

import eventlet

from ridgecourse.cluster.relay import RecordRelay
from ridgecourse.cluster.view import ClusterView
from ridgecourse.core.hubs import (
    GATEWAYS_PATH,
    HubPlan,
    Peer,
    plan_hubs,
)
from ridgecourse.core.ids import TargetName
from ridgecourse.core.site import Site
from ridgecourse.core.supersession import is_usable
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.transfer import Transfer, TransferError
from ridgecourse.gateway.hub_context import make_hub_context
from ridgecourse.gateway.known_peers import AnnouncedGateways, KnownPeers
from ridgecourse.gateway.prefetch import Prefetch, VersionFetcher
from ridgecourse.gateway.skipped_versions import SkippedVersions
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.http_server import (
    HttpReply,
    HttpRequest,
    HttpRouter,
    HttpServer,
)
from ridgecourse.net.threads import spawn_loop
from ridgecourse.net.websocket import ChannelClosed, ControlChannel, ControlServer
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import Follow

OLDER_FIRST_MISSING_SHARE = 0.5
"""Largest missing share of an older version with which that version is completed before
a newer one is fetched; fetched together, both would share the origin's link. It applies
only where the origin's rate is not known."""
OLDER_POLL_INTERVAL_SECONDS = 0.1
MAX_OLDER_WAIT_SECONDS = 8.0
"""Longest wait for an older version. After a longer outage of the origin, both versions
are fetched anew."""
MANIFEST_STAGGER_SECONDS = 0.3
"""How long a hub asks other processes for a manifest before it asks the origin: this
time for each hub ranked before it, and once more if loaders may have the manifest."""
MANIFEST_LOADERS = 3
"""Loaders that a hub asks for a manifest before the origin, which may be
unreachable."""
MANIFEST_TIMEOUT_SECONDS = 1.0
"""How long the standby hub asks its domain's hub; some round trips are enough."""
UNASSIGNED_DELAY_SECONDS = 3.0
"""How long a gateway that is neither hub nor standby hub of a version leaves requests
for the version to these two. All gateways know each other within some 2 s of a
start."""
RETRY_SECONDS = 0.5
FIRST_MESSAGE_TIMEOUT_SECONDS = 2.0


class Hub(VersionFetcher):
    """Fetches versions for the loaders of the failure domain.

    Attributes:
        local: Where other processes reach this gateway.
        announced: Gateways that connected loaders report.
        peers: Processes to fetch versions and records from.
        context: Resources and limits of the transfers.
        exchange: Serves chunks and announces the holdings.
        catalogue: Manifests and holdings of versions.
        skipped: Decides which versions are skipped in favour of newer ones.
        fetching: Threads that fetch versions.
        transfers: Transfers in progress, each with its plan.
        requested_at: Time of the first request for each version, if this gateway is not
            assigned to the version.
        withdrawn: Whether other gateways of the failure domain have taken over.
        prefetch: Fetches the versions in force at the first start.
        relay: Relays records of the store.
    """

    def __init__(
        self,
        site: Site,
        view: ClusterView,
        events: EventStream,
        origin: WeightsOrigin,
        http: HttpClient,
    ) -> None:
        self.site = site
        self.view = view
        self.events = events
        self.origin = origin
        control_port = site.peer_ports[0]
        self.local = Peer(
            TargetName(site.host),
            site.domain,
            f"{site.host}:{control_port + 1}",
            f"{site.host}:{control_port}",
            site.upload_bytes_per_s,
        )
        self.announced = AnnouncedGateways()
        self.peers = KnownPeers(site, view, self.announced, self.local)
        self.context = make_hub_context(site, events, http)
        self.exchange = Exchange(self.context)
        self.catalogue = Catalogue(self.context, origin, self.request_version)
        self.skipped = SkippedVersions(view, self.catalogue, events)
        self.fetching: dict[VersionKey, eventlet.greenthread.GreenThread] = {}
        self.transfers: dict[VersionKey, tuple[HubPlan, Transfer]] = {}
        self.requested_at: dict[VersionKey, float] = {}
        self.withdrawn = False
        self.prefetch = Prefetch(self)
        self.announcement_thread: eventlet.greenthread.GreenThread | None = None
        router = HttpRouter()
        self.exchange.add_routes(router)
        self.catalogue.add_routes(router)
        self.view.record_server.add_routes(router)
        router.add("GET", GATEWAYS_PATH, self.serve_gateways)
        self.relay = RecordRelay(view, http, self.peers.record_addresses, events)
        self.http_server = HttpServer(Address(site.host, control_port + 1), router)
        self.control_server = ControlServer(
            Address(site.host, control_port), "", self.handle_channel
        )

    def start(self) -> None:
        """Open both servers and start to fetch announced versions."""
        self.http_server.start()
        self.control_server.start()
        self.relay.start()
        self.announcement_thread = spawn_loop(self._fetch_on_announcement)
        if self.site.first_start:
            self.prefetch.start()

    def close(self) -> None:
        """Close both servers and end all transfers."""
        self.prefetch.close()
        if self.announcement_thread is not None:
            self.announcement_thread.kill()
        for thread in self.fetching.values():
            thread.kill()
        self.relay.close()
        self.control_server.close()
        self.http_server.close()

    def withdraw(self) -> None:
        """Leave the fetches in progress to the failure domain's other gateways.

        Loaders turn to these gateways at once. Fetching here as well would load the
        origin's link for nothing.
        """
        self.withdrawn = True
        for thread in self.fetching.values():
            thread.kill()
        self.fetching.clear()

    def handle_channel(self, channel: ControlChannel) -> None:
        """Announce the chunks available here to another process until it disconnects.

        Raises:
            ChannelClosed: The process disconnected.
        """
        follow = channel.receive(Follow, FIRST_MESSAGE_TIMEOUT_SECONDS)
        if follow is None:
            raise ChannelClosed("no first message")
        self.exchange.announce_holdings(channel, follow)

    def record_gateways(
        self, loader: str, added: Iterable[Peer], removed: Iterable[TargetName] = ()
    ) -> None:
        """Record a connected loader and the gateways it reports added or removed."""
        self.announced.record_gateways(loader, added, removed)
        self._cancel_outdated_transfers()

    def forget_loader(self, loader: str) -> None:
        """Drop the gateways reported by a loader that disconnected or reports anew."""
        self.announced.forget_loader(loader)
        self._cancel_outdated_transfers()

    def _cancel_outdated_transfers(self) -> None:
        """Cancel the transfers whose plan has changed."""
        for key, (plan, transfer) in list(self.transfers.items()):
            if plan != self.plan(key):
                # A gateway was added or removed: continue with the current gateways.
                transfer.cancel()

    def known_gateways(self) -> list[Peer]:
        """Return the gateways that loaders report."""
        return self.announced.known_gateways()

    def count_gateways(self) -> int:
        """Return the number of gateways that loaders report, this one included."""
        return self.announced.count_including(self.local)

    def has_successor(self) -> bool:
        """Check whether another gateway of the failure domain can take over."""
        return self.announced.has_other_in_domain(self.local)

    def serve_gateways(self, request: HttpRequest) -> HttpReply:
        """Return the known gateways to a loader that no gateway watches yet."""
        gateways = {peer.name: peer for peer in [*self.known_gateways(), self.local]}
        return HttpReply(200, encode_message(list(gateways.values())))

    def plan(self, key: VersionKey) -> HubPlan:
        """Return the plan by which gateways fetch a version.

        A gateway that receives a request and is not its domain's hub copies the version
        from that hub, so that a second gateway does not fetch the version from the
        origin.
        """
        return plan_hubs(str(key), self.known_gateways(), self.local)

    def _fetch_on_announcement(self) -> None:
        while True:
            self.fetch_announced()
            self.view.changed.wait()

    def fetch_announced(self) -> None:
        """Fetch recently announced versions that this gateway is assigned to.

        Loaders request a version only once they have an older version complete. Without
        this early fetch, with two announcements 2 s apart, the newer version reached
        the hubs 3 s later than possible, and engines were without weights for that
        long.
        """
        if not self.known_gateways():
            # No loader has reported the other gateways yet; loaders request versions
            # from the gateway that is to fetch them.
            return
        for model, history in self.view.histories.items():
            key = (model, history.newest)
            if history.is_recent(boottime()) and self.plan(key).fetches_version:
                self.request_version(key)

    def request_version(self, key: VersionKey) -> None:
        """Start to fetch a version, unless the fetch has started."""
        if self.withdrawn or self.is_complete(key) or key in self.fetching:
            return
        if not self.is_needed(key) or not self._is_assigned(key):
            return
        self.fetching[key] = eventlet.spawn(self.fetch, key)

    def _is_assigned(self, key: VersionKey) -> bool:
        """Check whether this gateway is to fetch a version, as hub or standby hub.

        Other gateways receive requests while not all gateways are known. If they
        fetched copies of their own, these would load the hub's link: after a
        simultaneous start of all gateways, 7 of 9 fetched a copy each.
        """
        return self.plan(key).fetches_version or self._is_still_requested(key)

    def _is_still_requested(self, key: VersionKey) -> bool:
        """Check whether an unassigned version is still requested after the delay.

        The requesting process then knows no assigned gateway.
        """
        first_requested_at = self.requested_at.setdefault(key, boottime())
        return boottime() - first_requested_at > UNASSIGNED_DELAY_SECONDS

    def is_complete(self, key: VersionKey) -> bool:
        """Check whether a version is available and complete."""
        holding = self.catalogue.holdings.get(key)
        return holding is not None and holding.complete

    def fetch(self, key: VersionKey) -> None:
        """Fetch a version for other processes until it is complete or not needed."""
        started_at = boottime()
        try:
            while self.is_needed(key) and self._is_assigned(key):
                self._wait_for_older(key)
                try:
                    is_complete = self._try_fetch(key)
                except TransferError as error:
                    self._report_failure(key, str(error))
                    if self.view.wanted_version(key[0]) > key[1]:
                        # A retry would delay newer versions.
                        return
                    continue
                if is_complete:
                    took = round(boottime() - started_at, 2)
                    version = str(key[1])
                    self.events.emit(
                        EventKind.VERSION_COMPLETE, version=version, took=took
                    )
                    return
        finally:
            self.fetching.pop(key, None)

    def _wait_for_older(self, key: VersionKey) -> None:
        """Wait a bounded time while an older version is nearly complete."""
        wait_until = boottime() + MAX_OLDER_WAIT_SECONDS
        while self._older_takes_precedence(key) and boottime() < wait_until:
            if not self.is_needed(key) or self._has_hub_started(key):
                return
            eventlet.sleep(OLDER_POLL_INTERVAL_SECONDS)

    def _has_hub_started(self, key: VersionKey) -> bool:
        """Check whether the domain's hub, if another gateway, has started a fetch.

        The hub then has skipped or completed older versions, so waiting longer only
        delays the newer one.
        """
        plan = self.plan(key)
        if self.local in plan.hubs or not plan.local_gateways:
            return False
        return self.catalogue.fetch_manifest(plan.local_gateways[0], key) is not None

    def _older_takes_precedence(self, key: VersionKey) -> bool:
        """Check whether an older version in transfer is to be completed first."""
        return any(
            other_key[0] == key[0]
            and other_key[1] < key[1]
            and not transfer.missing_at_origin
            and self._takes_precedence(other_key, transfer, key)
            for other_key, (_, transfer) in self.transfers.items()
        )

    def _takes_precedence(
        self, older: VersionKey, transfer: Transfer, newer: VersionKey
    ) -> bool:
        takes_precedence = self.skipped.takes_precedence(older, newer)
        if takes_precedence is None:
            return transfer.missing_share <= OLDER_FIRST_MISSING_SHARE
        return takes_precedence

    def is_needed(self, key: VersionKey) -> bool:
        """Check whether a version is new enough for other processes to use."""
        history = self.view.history(key[0])
        if self.catalogue.is_outdated(key, history.count_newer(key[1])):
            return False
        if self.skipped.is_skipped(key):
            return False
        bound = history.known_start_deadline(key[1])
        fetch_seconds = self.skipped.fetch_seconds(key) or 0.0
        return is_usable(fetch_seconds, bound, boottime())

    def _try_fetch(self, key: VersionKey) -> bool:
        config = self.view.config
        if config is None or config.origin is None:
            eventlet.sleep(RETRY_SECONDS)
            return False
        plan = self.plan(key)
        self._notify_other_hubs(key, plan)
        holding = self._find_manifest(key, config.origin.address, plan)
        if holding is None:
            self._report_failure(key, "no manifest")
            return False
        if plan != self.plan(key) or not self.is_needed(key):
            # A gateway was added or removed meanwhile: try again with the current
            # gateways.
            return False
        self.join(key, holding)
        chunks = self.origin.chunks(config.origin.address, *key)
        hub_names = [hub.name for hub in plan.hubs]
        transfer = Transfer(
            self.context,
            chunks,
            holding,
            self.peers.sources(key, plan),
            1,
            hub_names,
            config.origin.domain,
            is_needed=partial(self.is_needed, key),
            # The rate limit applies to the link between regions.
            unpaced_domain=self.site.domain,
        )
        self.transfers[key] = plan, transfer
        try:
            return transfer.run()
        finally:
            del self.transfers[key]

    def _report_failure(self, key: VersionKey, error: str) -> None:
        self.events.emit(EventKind.ROLLOUT_FAILED, version=str(key[1]), error=error)
        eventlet.sleep(RETRY_SECONDS)

    def _notify_other_hubs(self, key: VersionKey, plan: HubPlan) -> None:
        """Ask the other hubs and the domain's standby hub to start fetching as well."""
        notified = [*plan.hubs, *plan.local_gateways[:1]]
        for peer in notified if self.local in plan.hubs else plan.hubs:
            if peer != self.local:
                eventlet.spawn(self.catalogue.fetch_manifest, peer, key)

    def _find_manifest(
        self, key: VersionKey, origin: str, plan: HubPlan
    ) -> Holding | None:
        """Return a version's holding; the first hub asks the origin for a manifest."""
        if self.local in plan.hubs:
            rank = plan.hubs.index(self.local)
            loaders = self.peers.loaders_that_may_hold(key)[:MANIFEST_LOADERS]
            timeout = MANIFEST_STAGGER_SECONDS * (rank + bool(loaders))
            manifest_peers = [*plan.hubs[:rank], *loaders]
            return self.catalogue.find(key, origin, manifest_peers, timeout)
        return self.catalogue.find(
            key, origin, plan.local_gateways, MANIFEST_TIMEOUT_SECONDS
        )

    def join(self, key: VersionKey, holding: Holding) -> None:
        """Join the exchange of a version, and drop versions older than needed."""
        for dropped in self.catalogue.drop_old(key[0]):
            self.exchange.leave(dropped.root)
        self.catalogue.retain_chunks()
        if holding.root not in self.exchange.holdings:
            self.exchange.join(holding)
