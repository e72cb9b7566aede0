"""Fetch weight versions into the failure domain and serve them to its loaders.

In each failure domain, one gateway is the hub of a version and the next in rank is its
standby hub. Both fetch the version when it is announced or when a loader, the process
that fetches weights for an engine, requests it. The hub fetches it from the origin, the
server of published weights, and from hubs of other domains; the standby hub copies it
from the hub.
"""

from collections.abc import Iterable
from functools import partial

import eventlet

from ridgecourse.cluster.peer_records import RecordRelay
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
from ridgecourse.gateway.known_peers import AnnouncedGateways, FleetSize, KnownPeers
from ridgecourse.gateway.prefetch import Prefetch, VersionFetcher
from ridgecourse.gateway.skipped_versions import SkippedVersions
from ridgecourse.net.address import Address
from ridgecourse.net.clock import boottime
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.http_client import HttpClient
from ridgecourse.net.http_server import (
    PEER_DRAIN_SECONDS,
    HttpReply,
    HttpRequest,
    HttpRouter,
    HttpServer,
)
from ridgecourse.net.threads import kill_threads, spawn_loop
from ridgecourse.net.websocket import ChannelClosed, ControlChannel, ControlServer
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import Follow

OLDER_FIRST_MISSING_SHARE = 0.5
"""Largest missing share of an older version at which that version is completed before a
newer one is fetched; fetched together, both would share the origin's link. It applies
only if the bytes to fetch, the origin's rate or the bounds of the versions are not
known."""
OLDER_POLL_INTERVAL_SECONDS = 0.1
"""Interval of checks whether a newer version still has to wait for an older one."""
MAX_OLDER_WAIT_SECONDS = 8.0
"""Longest wait for an older version before a newer one is fetched beside it. After an
outage of the origin that lasts longer, both versions are fetched at the same time."""
MANIFEST_STAGGER_SECONDS = 0.3
"""Unit of the time for which a hub asks other processes for a manifest before it asks
the origin: one unit for each hub ranked before it, and one more if loaders may have the
manifest."""
MANIFEST_LOADERS = 3
"""Number of loaders that a hub asks for a manifest before it asks the origin, because
the origin may be unreachable."""
MANIFEST_TIMEOUT_SECONDS = 1.0
"""How long a gateway that is not its domain's hub, such as the standby hub, asks the
domain's other gateways for a manifest before it asks the origin; some round trips are
enough."""
UNASSIGNED_DELAY_SECONDS = 3.0
"""How long a gateway that is neither hub nor standby hub of a version leaves requests
for the version to these two. All gateways know each other within about 2 s of a
simultaneous start."""
RETRY_SECONDS = 0.5
"""Pause before the next attempt after a failed fetch, or while the configuration does
not name an origin."""
FIRST_MESSAGE_TIMEOUT_SECONDS = 2.0
"""How long a process that connects to the control port may take to send its first
message."""


class Hub(VersionFetcher):
    """Fetches versions for the loaders of the failure domain and serves their chunks.

    Every gateway has a hub object. The plan of a version decides whether the gateway is
    its domain's hub or standby hub for this version, or neither of them.

    Attributes:
        site: The settings in force.
        view: Configuration, version histories and listed targets, as known here.
        events: Receives events.
        origin: Server of published weights.
        local: Where other processes reach this gateway.
        announced: Gateways that connected loaders report.
        peers: Processes to fetch versions and records from.
        context: Resources and limits of the transfers.
        exchange: Serves chunks and announces the holdings.
        catalogue: Manifests and holdings of versions. A holding records which chunks of
            a version are available here.
        skipped: Decides which versions are skipped in favour of newer ones.
        fetching: Threads that fetch versions, by version.
        transfers: Transfers in progress, by version, each with the plan that it was
            started with.
        requested_at: When each version that this gateway is not assigned to was first
            requested.
        withdrawn: Whether other gateways of the failure domain have taken over.
        prefetch: At the system's first start, fetches the versions that are to be
            served.
        announcement_thread: Fetches versions when they are announced.
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
        self.announced = AnnouncedGateways(FleetSize(site, self.local, boottime()))
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
        """Open both servers, for HTTP and control, and fetch announced versions."""
        self.http_server.start()
        self.control_server.start()
        self.relay.start()
        self.announcement_thread = spawn_loop(self._fetch_on_announcement)
        if self.site.first_start:
            self.prefetch.start()

    def close(self) -> None:
        """Close both servers and stop all fetches."""
        self.prefetch.close()
        if self.announcement_thread is not None:
            self.announcement_thread.kill()
        kill_threads(self.fetching.values())
        self.relay.close()
        self.control_server.close()
        self.http_server.close()

    def withdraw(self) -> None:
        """Stop all fetches, because other gateways of the domain take over.

        Loaders send their requests to these gateways at once. If this gateway continued
        to fetch, it would load the origin's link without benefit. Later requests for
        versions do not start a fetch here.
        """
        self.withdrawn = True
        self.prefetch.close()
        kill_threads(self.fetching.values())
        self.fetching.clear()

    def drain(self, deadline: float) -> None:
        """Finish the chunks and records that are being sent to other processes.

        Args:
            deadline: When to return at the latest, on this process's clock.
        """
        self.http_server.drain(min(deadline, boottime() + PEER_DRAIN_SECONDS))

    def handle_channel(self, channel: ControlChannel) -> None:
        """Announce the chunks available here to another process until it disconnects.

        Raises:
            ChannelClosed: The process disconnected, or it sent no valid first message
                in time.
        """
        follow = channel.receive(Follow, FIRST_MESSAGE_TIMEOUT_SECONDS)
        if follow is None:
            raise ChannelClosed("no request to follow a version received in time")
        self.exchange.announce_holdings(channel, follow)

    def record_gateways(
        self, loader: str, added: Iterable[Peer], removed: Iterable[TargetName] = ()
    ) -> None:
        """Record a connected loader and the gateways it reports added or removed.

        Transfers whose plan changes are cancelled; the next attempts use the new plan.

        Args:
            loader: Address of the loader.
            added: Gateways that the loader newly knows.
            removed: Names of gateways that the loader does not know any more.
        """
        self.announced.record_gateways(loader, added, removed)
        self._cancel_outdated_transfers()

    def forget_loader(self, loader: str) -> None:
        """Drop the gateways reported by a loader that disconnected or reports anew.

        Transfers whose plan changes are cancelled; the next attempts use the new plan.
        """
        self.announced.forget_loader(loader)
        self._cancel_outdated_transfers()

    def _cancel_outdated_transfers(self) -> None:
        """Cancel the transfers whose plan has changed; ``fetch`` then retries."""
        for key, (plan, transfer) in list(self.transfers.items()):
            if plan != self.plan(key):
                # A gateway was added or removed: the next attempt uses the current
                # gateways, and keeps the chunks that have arrived.
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
        """Return the known gateways to a loader that no gateway is connected to yet."""
        gateways = {peer.name: peer for peer in [*self.known_gateways(), self.local]}
        return HttpReply(200, encode_message(list(gateways.values())))

    def plan(self, key: VersionKey) -> HubPlan:
        """Return which gateways fetch a version, from the gateways known at present.

        A gateway that fetches the version and is not its domain's hub copies it from
        that hub, so that only one gateway of the domain fetches from the origin.
        """
        return plan_hubs(str(key), self.known_gateways(), self.local)

    def _fetch_on_announcement(self) -> None:
        while True:
            self.fetch_announced()
            self.view.changed.wait()

    def fetch_announced(self) -> None:
        """Start to fetch recently announced versions that this gateway is assigned to.

        A loader requests a version only after it has completed the older one. Without
        this early fetch, with two announcements 2 s apart, the newer version reached
        the hubs 3 s later than possible, and engines were without weights for these
        3 s.
        """
        if not self.known_gateways():
            # No loader has reported the other gateways yet, so the plan would assign
            # every version to this gateway. Loaders request the versions from the
            # gateways that are to fetch them.
            return
        for model, history in self.view.histories.items():
            key = (model, history.newest)
            if history.is_recent(boottime()) and self.plan(key).fetches_version:
                self.request_version(key)

    def request_version(self, key: VersionKey) -> None:
        """Start to fetch a version that is needed and that this gateway is to fetch.

        A request for a version that is complete or being fetched has no effect, nor has
        any request after the gateway has withdrawn.
        """
        if self.withdrawn or self.is_complete(key) or key in self.fetching:
            return
        if not self.is_needed(key) or not self._is_assigned(key):
            return
        self.fetching[key] = eventlet.spawn(self.fetch, key)

    def _is_assigned(self, key: VersionKey) -> bool:
        """Check whether this gateway is to fetch a version.

        The hub and the standby hub are to fetch it; another gateway only if requests
        continue after a delay. Other gateways receive requests while not all gateways
        are known. If each of them fetched a copy at once, these copies would load the
        hub's link: after a simultaneous start of all gateways, 7 of 9 fetched a copy
        each.
        """
        return self.plan(key).fetches_version or self._is_still_requested(key)

    def _is_still_requested(self, key: VersionKey) -> bool:
        """Check whether a version is requested long after its first request.

        The first call for a version records the time of the first request. If requests
        continue after the delay, the requesting process knows neither the hub nor the
        standby hub.
        """
        first_requested_at = self.requested_at.setdefault(key, boottime())
        return boottime() - first_requested_at > UNASSIGNED_DELAY_SECONDS

    def is_complete(self, key: VersionKey) -> bool:
        """Check whether a version is available and complete."""
        holding = self.catalogue.holdings.get(key)
        return holding is not None and holding.complete

    def fetch(self, key: VersionKey) -> None:
        """Fetch a version for other processes, with retries.

        The fetch ends when the version is complete, when it is not needed any more,
        when this gateway is not to fetch it any more, or when an attempt fails and a
        newer version is to be served.
        """
        started_at = boottime()
        try:
            while self.is_needed(key) and self._is_assigned(key):
                self._wait_for_older(key)
                try:
                    is_complete = self._attempt_fetch(key)
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
        """Wait a bounded time while an older version is to be completed first."""
        wait_until = boottime() + MAX_OLDER_WAIT_SECONDS
        while self._older_takes_precedence(key) and boottime() < wait_until:
            if not self.is_needed(key) or self._has_hub_started(key):
                return
            eventlet.sleep(OLDER_POLL_INTERVAL_SECONDS)

    def _has_hub_started(self, key: VersionKey) -> bool:
        """Check whether another gateway is the domain's hub and has started a fetch.

        The hub fetches the manifest only when it does not wait for older versions any
        more: it has skipped or completed them, or has waited long enough. A longer wait
        here would only delay the newer version.
        """
        plan = self.plan(key)
        if self.local in plan.hubs or not plan.local_gateways:
            return False
        return self.catalogue.fetch_manifest(plan.local_gateways[0], key) is not None

    def _older_takes_precedence(self, key: VersionKey) -> bool:
        """Check whether an older version in transfer is to be completed first.

        An older version of which the origin lacks a chunk does not take precedence.
        """
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
        """Check whether an older version in transfer is completed before a newer one.

        If the durations of the fetches are not known, the missing share decides.
        """
        takes_precedence = self.skipped.takes_precedence(older, newer)
        if takes_precedence is None:
            return transfer.missing_share <= OLDER_FIRST_MISSING_SHARE
        return takes_precedence

    def is_needed(self, key: VersionKey) -> bool:
        """Check whether a version is new enough for other processes to use.

        It is not if it is older than the retained versions, if it is skipped, or if
        engines would have it only when a newer version is required already.
        """
        history = self.view.history(key[0])
        if self.catalogue.is_outdated(key, history.count_newer(key[1])):
            return False
        if self.skipped.is_skipped(key):
            return False
        bound = history.known_start_deadline(key[1])
        fetch_seconds = self.skipped.fetch_seconds(key) or 0.0
        return is_usable(fetch_seconds, bound, boottime())

    def _attempt_fetch(self, key: VersionKey) -> bool:
        """Make one attempt to fetch a version from the gateways of the current plan.

        Returns:
            Whether the version is complete.

        Raises:
            TransferError: The version cannot be fetched.
        """
        config = self.view.config
        if config is None or config.origin is None:
            eventlet.sleep(RETRY_SECONDS)
            return False
        plan = self.plan(key)
        self._notify_other_hubs(key, plan)
        holding = self._find_manifest(key, config.origin.address, plan)
        if holding is None:
            self._report_failure(key, "no manifest from other processes or the origin")
            return False
        if plan != self.plan(key) or not self.is_needed(key):
            # While the manifest was fetched, a gateway was added or removed, or the
            # version became outdated. If the fetch continues, the next attempt uses the
            # current gateways.
            return False
        self.join(key, holding)
        chunks = self.origin.chunks(config.origin.address, *key)
        hub_names = [hub.name for hub in plan.hubs]
        transfer = Transfer(
            self.context,
            chunks,
            holding,
            self.peers.sources(key, plan),
            1,  # copy from the origin
            hub_names,
            config.origin.domain,
            is_needed=partial(self.is_needed, key),
            # The rate limit is for links between regions; gateways and loaders of the
            # local domain send without it.
            unpaced_domain=self.site.domain,
            awaited=self._possible_holders(plan),
        )
        self.transfers[key] = plan, transfer
        try:
            return transfer.run()
        finally:
            del self.transfers[key]

    def _possible_holders(self, plan: HubPlan) -> list[TargetName]:
        """Return the gateways whose holdings are awaited before the origin is asked.

        A stopping gateway holds what it has fetched as hub. At the system's first
        start, another gateway may have copied the version from engines that this one
        does not know yet.
        """
        holders = self.peers.departed_gateways()
        if self.prefetch.is_waiting:
            holders = [*holders, *plan.local_gateways]
        return [peer.name for peer in holders]

    def _report_failure(self, key: VersionKey, error: str) -> None:
        """Emit an event about a failed attempt, and pause before the next attempt."""
        self.events.emit(EventKind.ROLLOUT_FAILED, version=str(key[1]), error=error)
        eventlet.sleep(RETRY_SECONDS)

    def _notify_other_hubs(self, key: VersionKey, plan: HubPlan) -> None:
        """Make the other hubs and the domain's standby hub fetch the version as well.

        A request for a version's manifest makes a gateway fetch the version. Only the
        domain's hub notifies the standby hub; all fetching gateways notify the hubs.
        """
        notified = [*plan.hubs, *plan.local_gateways[:1]]
        for peer in notified if self.local in plan.hubs else plan.hubs:
            if peer != self.local:
                eventlet.spawn(self.catalogue.fetch_manifest, peer, key)

    def _find_manifest(
        self, key: VersionKey, origin: str, plan: HubPlan
    ) -> Holding | None:
        """Return a version's holding; None if its manifest is currently unavailable.

        The first hub of the plan asks the origin for the manifest at once, unless
        loaders may have it. All other gateways ask other processes first, and the
        origin only if none of them answers in time.
        """
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
        """Start to serve and announce a version, and drop versions not retained."""
        for dropped in self.catalogue.drop_old(key[0]):
            self.exchange.leave(dropped.root)
        self.catalogue.retain_chunks()
        if holding.root not in self.exchange.holdings:
            self.exchange.join(holding)
