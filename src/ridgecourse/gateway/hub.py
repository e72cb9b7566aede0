"""A gateway's part in the exchange of weights."""

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
from ridgecourse.core.supersession import is_of_use
from ridgecourse.exchange.catalogue import Catalogue, VersionKey
from ridgecourse.exchange.holding import Holding
from ridgecourse.exchange.origin import WeightsOrigin
from ridgecourse.exchange.server import Exchange
from ridgecourse.exchange.transfer import Transfer, TransferError
from ridgecourse.gateway.hub_context import make_hub_context
from ridgecourse.gateway.left_versions import LeftVersions
from ridgecourse.gateway.told_gateways import HubPeers, ToldGateways
from ridgecourse.gateway.warm_up import VersionHolder, WarmUp
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

OLDER_FIRST_SHARE = 0.5
"""Share of an older version's chunks up to which it is finished before a newer one
is drawn, where the origin's rate is not known: both would share its link."""
OLDER_POLL_SECONDS = 0.1
OLDER_WAIT_SECONDS = 8.0
"""Longest wait for that: an origin that is away for longer has both drawn anew."""
MANIFEST_STAGGER_SECONDS = 0.3
"""A hub that is not the first waits so long before it asks the origin itself."""
MANIFEST_LOADERS = 3
"""Loaders that a hub asks for a manifest before the origin, which may be away."""
MANIFEST_PATIENCE_SECONDS = 1.0
"""How long the next in line asks its domain's hub: some round trips are enough."""
ASKED_ON_SECONDS = 3.0
"""How long gateways that are no holders leave it to those that are: all know of each
other within some 2 s of a start."""
RETRY_SECONDS = 0.5
FIRST_MESSAGE_SECONDS = 2.0


class Hub(VersionHolder):
    """Brings versions in for the loaders of the domain.

    Attributes:
        place: Where others find it.
        told: Gateways that connected loaders tell of.
        peers: Whom to take versions and records from.
        working: Versions that are being brought in.
        transfers: Their transfers in progress, with the plan of each.
        left: Decides which versions are not drawn, for newer ones are.
        asked_at: When each was asked for first, if this gateway is no holder.
        withdrawn: Whether the domain's other gateways have taken its place.
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
        self.place = Peer(
            TargetName(site.host),
            site.domain,
            f"{site.host}:{control_port + 1}",
            f"{site.host}:{control_port}",
            site.upload_bytes_per_s,
        )
        self.told = ToldGateways()
        self.peers = HubPeers(site, view, self.told, self.place)
        self.context = make_hub_context(site, events, http)
        self.exchange = Exchange(self.context)
        self.catalogue = Catalogue(self.context, origin, self.want)
        self.left = LeftVersions(view, self.catalogue, events)
        self.working: dict[VersionKey, eventlet.greenthread.GreenThread] = {}
        self.transfers: dict[VersionKey, tuple[HubPlan, Transfer]] = {}
        self.asked_at: dict[VersionKey, float] = {}
        self.withdrawn = False
        self.warm_up = WarmUp(self)
        self.following: eventlet.greenthread.GreenThread | None = None
        router = HttpRouter()
        self.exchange.add_routes(router)
        self.catalogue.add_routes(router)
        self.view.share.add_routes(router)
        router.add("GET", GATEWAYS_PATH, self.serve_gateways)
        self.relay = RecordRelay(view, http, self.peers.for_records, events)
        self.http_server = HttpServer(Address(site.host, control_port + 1), router)
        self.control_server = ControlServer(
            Address(site.host, control_port), "", self.handle_channel
        )

    def start(self) -> None:
        """Open both servers."""
        self.http_server.start()
        self.control_server.start()
        self.relay.start()
        self.following = spawn_loop(self._follow_names)
        if self.site.first_start:
            self.warm_up.start()

    def close(self) -> None:
        """Close them and end all transfers."""
        self.warm_up.close()
        if self.following is not None:
            self.following.kill()
        for thread in self.working.values():
            thread.kill()
        self.relay.close()
        self.control_server.close()
        self.http_server.close()

    def withdraw(self) -> None:
        """Leave what is being brought in to the domain's other gateways.

        Loaders turn to these at once; drawn here as well, it would keep the origin's
        link busy for nothing.
        """
        self.withdrawn = True
        for thread in self.working.values():
            thread.kill()
        self.working.clear()

    def handle_channel(self, channel: ControlChannel) -> None:
        """Tell another process what is held here, until it goes away.

        Raises:
            ChannelClosed: It went away.
        """
        follow = channel.receive(Follow, FIRST_MESSAGE_SECONDS)
        if follow is None:
            raise ChannelClosed("no first message")
        self.exchange.tell_holdings(channel, follow)

    def learn(
        self, loader: str, came: Iterable[Peer], gone: Iterable[TargetName] = ()
    ) -> None:
        """Take in a loader that is connected, and which gateways came and went."""
        self.told.learn(loader, came, gone)
        self._review_plans()

    def forget(self, loader: str) -> None:
        """Drop what a loader told, which is lost or will tell it anew."""
        self.told.forget(loader)
        self._review_plans()

    def _review_plans(self) -> None:
        """End the transfers whose plan is another one now."""
        for key, (plan, transfer) in list(self.transfers.items()):
            if plan != self.plan(key):
                # A gateway came or went: go on with those that are there now.
                transfer.cancel()

    def known(self) -> list[Peer]:
        """Return the gateways that loaders tell of."""
        return self.told.known()

    def count_gateways(self) -> int:
        """Return how many gateways there are, as far as loaders tell."""
        return self.told.count_with(self.place)

    def has_successor(self) -> bool:
        """Tell whether another gateway of the domain can take this one's place."""
        return self.told.has_neighbour(self.place)

    def serve_gateways(self, request: HttpRequest) -> HttpReply:
        """Tell a loader that nobody watches yet which gateways there are."""
        gateways = {peer.name: peer for peer in [*self.known(), self.place]}
        return HttpReply(200, encode_message(list(gateways.values())))

    def plan(self, key: VersionKey) -> HubPlan:
        """Return who brings a version in.

        A gateway that is asked and is not its domain's hub copies the version
        from there, so that no second one draws it from the origin.
        """
        return plan_hubs(str(key), self.known(), self.place)

    def _follow_names(self) -> None:
        while True:
            self.bring_named()
            self.view.changed.wait()

    def bring_named(self) -> None:
        """Bring in what was named lately, if that is this gateway's part.

        Loaders ask for it once they have an older version whole; with two names 2 s
        apart the newer one then came to the hubs 3 s later than it could, and engines
        were without weights for that long.
        """
        if not self.known():
            # No loader has told yet who else there is; loaders ask who is to draw.
            return
        for model, history in self.view.histories.items():
            key = (model, history.newest)
            if history.is_recent(boottime()) and self.plan(key).holds:
                self.want(key)

    def want(self, key: VersionKey) -> None:
        """Bring a version in, if that has not begun."""
        if self.withdrawn or self.has(key) or key in self.working:
            return
        if not self.is_needed(key) or not self._has_part(key):
            return
        self.working[key] = eventlet.spawn(self.bring, key)

    def _has_part(self, key: VersionKey) -> bool:
        """Tell whether this gateway is one that brings a version in.

        Others were asked while not all gateways were known. Copies of their own kept
        the hub's link busy: after a start of all, seven of nine drew one each.
        """
        return self.plan(key).holds or self._is_asked_on(key)

    def _is_asked_on(self, key: VersionKey) -> bool:
        """Tell whether a version is asked for still, by who knows no better gateway."""
        first = self.asked_at.setdefault(key, boottime())
        return boottime() - first > ASKED_ON_SECONDS

    def has(self, key: VersionKey) -> bool:
        """Tell whether a version is held whole."""
        holding = self.catalogue.holdings.get(key)
        return holding is not None and holding.complete

    def bring(self, key: VersionKey) -> None:
        """Bring a version in for others, until it is whole or out of date."""
        begun = boottime()
        try:
            while self.is_needed(key) and self._has_part(key):
                self._wait_for_older(key)
                try:
                    whole = self._try_bring(key)
                except TransferError as error:
                    self._note_failure(key, str(error))
                    if self.view.wanted_version(key[0]) > key[1]:
                        # Tried again, it would hold newer versions back.
                        return
                    continue
                if whole:
                    took = round(boottime() - begun, 2)
                    version = str(key[1])
                    self.events.emit(
                        EventKind.VERSION_COMPLETE, version=version, took=took
                    )
                    return
        finally:
            self.working.pop(key, None)

    def _wait_for_older(self, key: VersionKey) -> None:
        """Wait while an older version is nearly here, but not without end."""
        limit = boottime() + OLDER_WAIT_SECONDS
        while self._goes_older_first(key) and boottime() < limit:
            if not self.is_needed(key) or self._has_begun_near(key):
                return
            eventlet.sleep(OLDER_POLL_SECONDS)

    def _has_begun_near(self, key: VersionKey) -> bool:
        """Tell whether the domain's hub, if that is another, brings a version in.

        It gave up what was older, or has it; waiting on would only be late.
        """
        plan = self.plan(key)
        if self.place in plan.hubs or not plan.near:
            return False
        return self.catalogue.ask(plan.near[0], key) is not None

    def _goes_older_first(self, key: VersionKey) -> bool:
        """Tell whether an older version that is being drawn is finished first."""
        return any(
            other[0] == key[0]
            and other[1] < key[1]
            and not transfer.lacking
            and self._goes_first(other, transfer, key)
            for other, (_, transfer) in self.transfers.items()
        )

    def _goes_first(
        self, older: VersionKey, transfer: Transfer, newer: VersionKey
    ) -> bool:
        goes_first = self.left.goes_first(older, newer)
        if goes_first is None:
            return transfer.missing_share <= OLDER_FIRST_SHARE
        return goes_first

    def is_needed(self, key: VersionKey) -> bool:
        """Tell whether a version is new enough for others to use."""
        history = self.view.history(key[0])
        if self.catalogue.is_outdated(key, history.count_newer(key[1])):
            return False
        if self.left.leaves(key):
            return False
        bound = history.dated_bound(key[1])
        draw = self.left.draw_seconds(key) or 0.0
        return is_of_use(draw, bound, boottime())

    def _try_bring(self, key: VersionKey) -> bool:
        config = self.view.config
        if config is None or config.origin is None:
            eventlet.sleep(RETRY_SECONDS)
            return False
        plan = self.plan(key)
        self._wake_others(key, plan)
        holding = self._find_manifest(key, config.origin.address, plan)
        if holding is None:
            self._note_failure(key, "no manifest")
            return False
        if plan != self.plan(key) or not self.is_needed(key):
            # A gateway came or went meanwhile: ask anew, those that are there now.
            return False
        self.join(key, holding)
        chunks = self.origin.chunks(config.origin.address, *key)
        names = [hub.name for hub in plan.hubs]
        transfer = Transfer(
            self.context,
            chunks,
            holding,
            self.peers.sources(key, plan),
            1,
            names,
            config.origin.domain,
            is_needed=partial(self.is_needed, key),
            # The rate is that of the link between regions.
            unpaced_domain=self.site.domain,
        )
        self.transfers[key] = plan, transfer
        try:
            return transfer.run()
        finally:
            del self.transfers[key]

    def _note_failure(self, key: VersionKey, error: str) -> None:
        self.events.emit(EventKind.ROLLOUT_FAILED, version=str(key[1]), error=error)
        eventlet.sleep(RETRY_SECONDS)

    def _wake_others(self, key: VersionKey, plan: HubPlan) -> None:
        """Ask the other hubs, and the next in line here, to begin as well."""
        woken = [*plan.hubs, *plan.near[:1]]
        for peer in woken if self.place in plan.hubs else plan.hubs:
            if peer != self.place:
                eventlet.spawn(self.catalogue.ask, peer, key)

    def _find_manifest(
        self, key: VersionKey, origin: str, plan: HubPlan
    ) -> Holding | None:
        """Return a version's holding; the hub first in line asks the origin."""
        if self.place in plan.hubs:
            rank = plan.hubs.index(self.place)
            loaders = self.peers.loaders_that_may_hold(key)[:MANIFEST_LOADERS]
            patience = MANIFEST_STAGGER_SECONDS * (rank + bool(loaders))
            asked = [*plan.hubs[:rank], *loaders]
            return self.catalogue.find(key, origin, asked, patience)
        return self.catalogue.find(key, origin, plan.near, MANIFEST_PATIENCE_SECONDS)

    def join(self, key: VersionKey, holding: Holding) -> None:
        """Take part in a version's exchange; drop what is older than needed."""
        for old in self.catalogue.drop_old(key[0]):
            self.exchange.leave(old.root)
        self.catalogue.retain_chunks()
        if holding.root not in self.exchange.holdings:
            self.exchange.join(holding)
